#pragma once

#include "domain/result.hpp"

#include <string>

namespace acaciastile
{

/// Where the certificate, its key and the CA of callers lie.
struct tls_files
{
    std::string certificate;
    std::string key;
    std::string client_ca; ///< Empty: callers need no certificate.
};

/// The content of these files, in PEM.
struct tls_material
{
    std::string certificate;
    std::string key;
    std::string client_ca;
};

/// Reads the files and checks that they parse and that the key is that of
/// the certificate. Errors: `invalid_value`, naming the file.
[[nodiscard]] result<tls_material> load_tls(const tls_files& files);

} // namespace acaciastile
