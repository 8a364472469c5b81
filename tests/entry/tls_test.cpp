#include "cli/api_client.hpp"
#include "cli/text_file.hpp"
#include "support/entry_fixture.hpp"
#include "support/temporary_folder.hpp"
#include "support/test_certificates.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace acaciastile;

namespace
{

/// Certificate files in a folder of their own.
struct certificate_files
{
    explicit certificate_files(const tls_material& material)
    {
        write(material);
    }

    void write(const tls_material& material)
    {
        REQUIRE(write_text_file(files.certificate, material.certificate));
        REQUIRE(write_text_file(files.key, material.key));
    }

    temporary_folder folder;
    tls_files files{folder.file("cert.pem"), folder.file("key.pem"), ""};
};

entry_settings with_tls(const tls_files& files)
{
    entry_settings settings = entry_fixture::small_settings();
    settings.external.tls = files;
    return settings;
}

client_settings client_for(const entry_fixture& made, const std::string& ca)
{
    client_settings settings;
    settings.address = made.service->external_address();
    settings.tls = true;
    settings.server_ca = ca;
    return settings;
}

bool is_healthy(const client_settings& settings)
{
    return api_client::create(settings)
        .value()
        ->call("GET", "/health")
        .has_value();
}

} // namespace

TEST_CASE("callers connect over TLS and check the certificate", "[tls]")
{
    const certificate_files mine(make_certificate(1));
    const certificate_files foreign(make_certificate(2));
    entry_fixture made(with_tls(mine.files));
    CHECK(is_healthy(client_for(made, mine.files.certificate)));
    const auto refused =
        api_client::create(client_for(made, foreign.files.certificate))
            .value()
            ->call("GET", "/health");
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().effect == verdict::not_run);
}

TEST_CASE("a key that is not the certificate's is refused", "[tls]")
{
    certificate_files mixed(make_certificate(1));
    tls_material wrong = make_certificate(1);
    wrong.key = make_certificate(2).key;
    mixed.write(wrong);
    const auto loaded = load_tls(mixed.files);
    REQUIRE_FALSE(loaded.has_value());
    CHECK(loaded.error().code == refusal_code::invalid_value);
    CHECK(loaded.error().message.find("PRIVATE") == std::string::npos);
}

TEST_CASE("a reload drops no request and takes the new files", "[tls]")
{
    certificate_files mine(make_certificate(1));
    const certificate_files next(make_certificate(2));
    entry_settings settings = with_tls(mine.files);
    settings.external.idle_timeout = std::chrono::seconds(1);
    entry_fixture made(settings);
    temporary_folder folder;
    const std::string both = folder.file("both.pem");
    const std::string old_pem = read_text_file(mine.files.certificate).value();
    const std::string new_pem = read_text_file(next.files.certificate).value();
    REQUIRE(write_text_file(both, old_pem + new_pem));

    std::atomic<bool> stop{false};
    std::atomic<std::size_t> lost{0};
    std::atomic<std::size_t> answered{0};
    std::thread caller(
        [&]
        {
            auto client = api_client::create(client_for(made, both)).value();
            while (!stop.load())
            {
                const bool well = client->call("GET", "/health").has_value();
                ++(well ? answered : lost);
            }
        });
    while (answered.load() == 0 && lost.load() == 0)
    {
        std::this_thread::yield();
    }
    mine.write({new_pem, read_text_file(next.files.key).value(), ""});
    CHECK(made.service->reload_tls().has_value());
    stop.store(true);
    caller.join();
    CHECK(lost.load() == 0);
    CHECK(answered.load() > 0);
    CHECK(made.events.count(event_number::certificates_reloaded) == 1);
    CHECK(is_healthy(client_for(made, next.files.certificate)));
}

TEST_CASE("files that cannot be used leave the old ones in use", "[tls]")
{
    certificate_files mine(make_certificate(1));
    const std::string ca = mine.folder.file("ca.pem");
    REQUIRE(
        write_text_file(ca, read_text_file(mine.files.certificate).value()));
    entry_fixture made(with_tls(mine.files));
    mine.write({"no certificate", "no key", ""});
    CHECK_FALSE(made.service->reload_tls().has_value());
    CHECK(made.events.count(event_number::certificates_kept) == 1);
    CHECK(is_healthy(client_for(made, ca)));
}

TEST_CASE("callers without a certificate of the CA are refused", "[tls]")
{
    const certificate_files mine(make_certificate(1));
    const certificate_files callers(make_certificate(2));
    tls_files files = mine.files;
    files.client_ca = callers.files.certificate;
    entry_fixture made(with_tls(files));
    client_settings settings = client_for(made, mine.files.certificate);
    const auto refused =
        api_client::create(settings).value()->call("GET", "/health");
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == refusal_code::unauthenticated);
    CHECK(refused.error().effect == verdict::not_run);
    settings.certificate = callers.files.certificate;
    settings.private_key = callers.files.key;
    CHECK(is_healthy(settings));
}
