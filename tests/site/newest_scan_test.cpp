#include "codec/url_text.hpp"
#include "support/store_server.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

using namespace acaciastile;
using namespace acaciastile::test;
using nlohmann::json;

namespace
{

/// The value of a parameter in the query of a request, decoded; empty if it is
/// not there.
std::string parameter(const std::string& target, const std::string& name)
{
    const std::size_t query = target.find('?');
    std::size_t at = query == std::string::npos ? target.size() : query + 1;
    while (at < target.size())
    {
        const std::size_t end = std::min(target.find('&', at), target.size());
        const std::string part = target.substr(at, end - at);
        if (part.starts_with(name + "="))
        {
            std::string text;
            for (std::size_t n = name.size() + 1; n < part.size(); ++n)
            {
                if (part[n] == '%' && n + 2 < part.size())
                {
                    text += absl::HexStringToBytes(part.substr(n + 1, 2));
                    n += 2;
                }
                else
                {
                    text += part[n] == '+' ? ' ' : part[n];
                }
            }
            return text;
        }
        at = end + 1;
    }
    return {};
}

/// A server with one keyed topic that it returns in pages, ordered by key.
struct paged_store : store_server
{
    std::map<std::string, std::string> entries;
    std::size_t page_records = 500;
    int pages = 0;

    paged_store()
    {
        answer = [this](
                     const net::http_request& request,
                     const net::http_responder& respond)
        {
            ++pages;
            REQUIRE(pages < 10'000);
            const std::string target(request.target());
            auto next = entries.begin();
            if (target.find("&after=") != std::string::npos)
            {
                next = entries.upper_bound(parameter(target, "after"));
            }
            json items = json::array();
            for (; next != entries.end() && items.size() < page_records; ++next)
            {
                items.push_back(
                    {{"key", next->first},
                     {"value", absl::Base64Escape(next->second)},
                     {"offset", 7}});
            }
            const json body{
                {"items", std::move(items)},
                {"hasMore", next != entries.end()},
                {"endOffset", 9}};
            respond(reply(
                200,
                body.dump(-1, ' ', false, json::error_handler_t::replace)));
        };
    }

    result<fleet::store_page> read(const std::string& topic = "keyed.servers")
    {
        return wait<fleet::store_page>(
            [&](fleet::completion<fleet::store_page> done)
            { store.read_newest(topic, {}, std::move(done)); });
    }
};

std::set<std::string> keys_of(const fleet::store_page& page)
{
    std::set<std::string> keys;
    for (const fleet::store_record& record : page.records)
    {
        keys.insert(record.key);
    }
    return keys;
}

} // namespace

// Guards against an owner that never loads: the key at the border of a page was
// written into the next query as it was, so the store returned that page again.
TEST_CASE("pages go on after keys of any bytes", "[site]")
{
    paged_store at;
    std::set<std::string> readable;
    constexpr int byte_values = 256;
    constexpr int first_non_ascii = 128;
    for (int byte = 0; byte < byte_values; ++byte)
    {
        for (const char* prefix : {"", "pool=a"})
        {
            const std::string key =
                std::string(prefix) + static_cast<char>(byte) + "host";
            at.entries[key] = "value";
            if (byte < first_non_ascii)
            {
                readable.insert(key);
            }
        }
    }
    at.page_records = GENERATE(1U, 2U, 3U, 7U, 64U, 500U);
    CAPTURE(at.page_records);
    const std::string topic =
        GENERATE("keyed.servers", "keyed.progress", "keyed.op");
    const auto page = at.read(topic);
    REQUIRE(page.has_value());
    const auto keys = keys_of(*page);
    CHECK(std::includes(
        keys.begin(), keys.end(), readable.begin(), readable.end()));
}

TEST_CASE("keys of the greatest length are read page by page", "[site]")
{
    paged_store at;
    for (char last = '!'; last < '~'; ++last)
    {
        at.entries[std::string(254, '&') + last] = "value";
    }
    at.page_records = 1;
    const auto page = at.read();
    REQUIRE(page.has_value());
    CHECK(page->records.size() == at.entries.size());
}

TEST_CASE("keys that are not UTF-8 do not hide those beside them", "[site]")
{
    paged_store at;
    for (int n = 0; n < 1'200; ++n)
    {
        at.entries["a\xC3\x28" + std::to_string(n)] = "value";
    }
    at.entries["a"] = "value";
    at.entries["b"] = "value";
    const auto page = at.read();
    REQUIRE(page.has_value());
    CHECK(keys_of(*page).contains("a"));
    CHECK(keys_of(*page).contains("b"));
}

// Guards against a call that is repeated although its answer cannot change.
TEST_CASE("a read of pages that do not go on ends with an error", "[site]")
{
    store_server at;
    int pages = 0;
    const bool is_empty = GENERATE(false, true);
    at.answer =
        [&](const net::http_request&, const net::http_responder& respond)
    {
        ++pages;
        REQUIRE(pages < 10);
        // Two pages in turn, or empty ones.
        const std::string key = pages % 2 == 0 ? "x" : "y&z";
        const std::string items =
            is_empty ? ""
                     : R"({"key":")" + key + R"(","value":"dg==","offset":4})";
        respond(reply(
            200,
            R"({"items":[)" + items + R"(],"hasMore":true,"endOffset":6})"));
    };
    const auto page = at.wait<fleet::store_page>(
        [&](fleet::completion<fleet::store_page> done)
        { at.store.read_newest("keyed.servers", {}, std::move(done)); });
    REQUIRE_FALSE(page.has_value());
    CHECK(page.error().code == refusal_code::malformed);
    CHECK_THAT(page.error().message, Catch::Contains("keyed.servers"));
    if (!is_empty)
    {
        CHECK_THAT(page.error().message, Catch::Contains("y&z"));
    }
}

TEST_CASE("an observer follows the pages and may drop values", "[site]")
{
    paged_store at;
    at.page_records = 2;
    at.entries = {{"a", "keep"}, {"b", "drop"}, {"c", "drop"}};
    std::vector<std::size_t> pages;
    fleet::newest_observer observer;
    observer.on_page = [&](std::size_t records) { pages.push_back(records); };
    observer.on_record = [](fleet::store_record& record)
    {
        if (record.value == "drop")
        {
            record.value.clear();
        }
    };
    const auto page = at.wait<fleet::store_page>(
        [&](fleet::completion<fleet::store_page> done)
        { at.store.read_newest("keyed.servers", observer, std::move(done)); });
    REQUIRE(page.has_value());
    CHECK(pages == std::vector<std::size_t>{2, 1});
    CHECK(page->records.at(0).value == "keep");
    CHECK(page->records.at(1).value.empty());
}

TEST_CASE("a text of any bytes is one part of a URL", "[site]")
{
    std::string all;
    for (int byte = 0; byte < 256; ++byte)
    {
        all += static_cast<char>(byte);
    }
    const std::string escaped = escape_url(all);
    CHECK(escaped.find_first_of(" &#+?/=\r\n") == std::string::npos);
    CHECK(parameter("/?a=1&text=" + escaped + "&b=2", "text") == all);
    CHECK(escape_url("").empty());
    CHECK(escape_url("aZ09-._~") == "aZ09-._~");
}
