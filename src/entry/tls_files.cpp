#include "entry/tls_files.hpp"

#include <absl/cleanup/cleanup.h>
#include <fstream>
#include <gnutls/gnutls.h>
#include <sstream>

namespace acaciastile
{

namespace
{

result<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream content;
    content << in.rdbuf();
    if (!in || content.str().empty())
    {
        return refuse(
            refusal_code::invalid_value, "cannot read '" + path + "'");
    }
    return content.str();
}

gnutls_datum_t as_datum(std::string& text)
{
    return {
        reinterpret_cast<unsigned char*>(text.data()),
        static_cast<unsigned int>(text.size())};
}

result<void> check(tls_material& material, const tls_files& files)
{
    gnutls_certificate_credentials_t credentials = nullptr;
    if (gnutls_certificate_allocate_credentials(&credentials) < 0)
    {
        return refuse(refusal_code::internal, "out of memory");
    }
    absl::Cleanup freed = [&]
    { gnutls_certificate_free_credentials(credentials); };
    const gnutls_datum_t certificate = as_datum(material.certificate);
    const gnutls_datum_t key = as_datum(material.key);
    const int pair = gnutls_certificate_set_x509_key_mem(
        credentials, &certificate, &key, GNUTLS_X509_FMT_PEM);
    if (pair < 0)
    {
        return refuse(
            refusal_code::invalid_value,
            "'" + files.certificate + "' and '" + files.key +
                "' are no certificate and its key: " + gnutls_strerror(pair));
    }
    if (material.client_ca.empty())
    {
        return {};
    }
    const gnutls_datum_t authority = as_datum(material.client_ca);
    if (gnutls_certificate_set_x509_trust_mem(
            credentials, &authority, GNUTLS_X509_FMT_PEM) <= 0)
    {
        return refuse(
            refusal_code::invalid_value,
            "'" + files.client_ca + "' holds no certificate");
    }
    return {};
}

} // namespace

result<tls_material> load_tls(const tls_files& files)
{
    auto certificate = read_file(files.certificate);
    if (!certificate)
    {
        return tl::unexpected(certificate.error());
    }
    auto key = read_file(files.key);
    if (!key)
    {
        return tl::unexpected(key.error());
    }
    tls_material material{*certificate, *key, {}};
    if (!files.client_ca.empty())
    {
        auto authority = read_file(files.client_ca);
        if (!authority)
        {
            return tl::unexpected(authority.error());
        }
        material.client_ca = *std::move(authority);
    }
    if (auto checked = check(material, files); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return material;
}

} // namespace acaciastile
