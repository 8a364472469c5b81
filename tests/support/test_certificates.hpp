#pragma once

#include "entry/tls_files.hpp"

#include <string>

namespace acaciastile
{

/// A self-signed certificate for 127.0.0.1 with its key, in PEM, that is also
/// a CA. The number goes into its serial number.
[[nodiscard]] tls_material make_certificate(unsigned char number);

} // namespace acaciastile
