#pragma once

namespace acaciastile
{

inline constexpr const char* program_version = "0.1.0";

} // namespace acaciastile
