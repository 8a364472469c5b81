#include "cli/client_flags.hpp"

#include "cli/text_file.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/strip.h>
#include <cstdlib>

ABSL_FLAG(
    std::string, address, "127.0.0.1:7080", "control interface, a.b.c.d:port");
ABSL_FLAG(
    std::string,
    key_file,
    "",
    "file that holds the key, id.secret; else ACACIASTILE_KEY is read");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(40), "bound of one call");
ABSL_FLAG(bool, tls, false, "call over TLS");
ABSL_FLAG(std::string, tls_ca, "", "file with the server's CA in PEM");
ABSL_FLAG(
    std::string, tls_certificate, "", "file with the caller's certificate");
ABSL_FLAG(std::string, tls_key, "", "file with that certificate's key");

namespace acaciastile
{

const char* const client_flags_help =
    "--address=A.B.C.D:PORT  control interface (127.0.0.1:7080)\n"
    "--key_file=FILE         key id.secret; else ACACIASTILE_KEY is read\n"
    "--timeout=40s           bound of one call\n"
    "--tls --tls_ca=FILE --tls_certificate=FILE --tls_key=FILE\n"
    "--output=text|json      how the answer is written\n";

namespace
{

result<std::string> read_key()
{
    const std::string file = absl::GetFlag(FLAGS_key_file);
    if (!file.empty())
    {
        auto text = read_text_file(file);
        if (!text)
        {
            return text;
        }
        return std::string(absl::StripAsciiWhitespace(*text));
    }
    const char* set = std::getenv("ACACIASTILE_KEY");
    return std::string(set == nullptr ? "" : set);
}

} // namespace

result<client_settings> client_settings_from_flags()
{
    auto key = read_key();
    if (!key)
    {
        return tl::unexpected(key.error());
    }
    client_settings settings;
    settings.address = absl::GetFlag(FLAGS_address);
    settings.key = *std::move(key);
    settings.tls = absl::GetFlag(FLAGS_tls);
    settings.server_ca = absl::GetFlag(FLAGS_tls_ca);
    settings.certificate = absl::GetFlag(FLAGS_tls_certificate);
    settings.private_key = absl::GetFlag(FLAGS_tls_key);
    settings.timeout =
        milliseconds(absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_timeout)));
    return settings;
}

result<std::unique_ptr<api_client>> client_from_flags()
{
    auto settings = client_settings_from_flags();
    if (!settings)
    {
        return tl::unexpected(settings.error());
    }
    return api_client::create(*std::move(settings));
}

} // namespace acaciastile
