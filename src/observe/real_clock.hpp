#pragma once

#include "domain/instant.hpp"

namespace acaciastile
{

/// The system's monotonic clock. Only the outermost loops of a process read it.
class real_clock final : public clock_source
{
public:
    [[nodiscard]] instant now() const noexcept override
    {
        const auto since_boot =
            std::chrono::steady_clock::now().time_since_epoch();
        return instant(std::chrono::duration_cast<milliseconds>(since_boot));
    }
};

} // namespace acaciastile
