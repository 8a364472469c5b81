#include "support/test_certificates.hpp"

#include <absl/cleanup/cleanup.h>
#include <ctime>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>
#include <stdexcept>

namespace acaciastile
{

namespace
{

constexpr unsigned int key_bits = 256;
constexpr std::time_t one_hour = 3'600;
constexpr unsigned int version_three = 3;

void check(int code)
{
    if (code < 0)
    {
        throw std::runtime_error(gnutls_strerror(code));
    }
}

std::string take(gnutls_datum_t& from)
{
    std::string text(reinterpret_cast<char*>(from.data), from.size);
    gnutls_free(from.data);
    return text;
}

void describe(gnutls_x509_crt_t certificate, unsigned char number)
{
    const unsigned char address[] = {127, 0, 0, 1};
    const std::time_t now = std::time(nullptr);
    check(gnutls_x509_crt_set_version(certificate, version_three));
    check(gnutls_x509_crt_set_serial(certificate, &number, 1));
    check(gnutls_x509_crt_set_activation_time(certificate, now - one_hour));
    check(gnutls_x509_crt_set_expiration_time(certificate, now + one_hour));
    check(gnutls_x509_crt_set_ca_status(certificate, 1));
    check(gnutls_x509_crt_set_key_usage(
        certificate, GNUTLS_KEY_DIGITAL_SIGNATURE | GNUTLS_KEY_KEY_CERT_SIGN));
    check(gnutls_x509_crt_set_dn_by_oid(
        certificate, GNUTLS_OID_X520_COMMON_NAME, 0, "entry", 5));
    check(gnutls_x509_crt_set_subject_alt_name(
        certificate, GNUTLS_SAN_IPADDRESS, address, sizeof address, 0));
}

} // namespace

tls_material make_certificate(unsigned char number)
{
    gnutls_x509_privkey_t key = nullptr;
    gnutls_x509_crt_t certificate = nullptr;
    check(gnutls_x509_privkey_init(&key));
    check(gnutls_x509_crt_init(&certificate));
    absl::Cleanup freed = [&]
    {
        gnutls_x509_crt_deinit(certificate);
        gnutls_x509_privkey_deinit(key);
    };
    check(gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA, key_bits, 0));
    describe(certificate, number);
    check(gnutls_x509_crt_set_key(certificate, key));
    check(gnutls_x509_crt_sign2(
        certificate, certificate, key, GNUTLS_DIG_SHA256, 0));
    gnutls_datum_t certificate_pem{};
    gnutls_datum_t key_pem{};
    check(gnutls_x509_crt_export2(
        certificate, GNUTLS_X509_FMT_PEM, &certificate_pem));
    check(gnutls_x509_privkey_export2(key, GNUTLS_X509_FMT_PEM, &key_pem));
    return {take(certificate_pem), take(key_pem), ""};
}

} // namespace acaciastile
