#include "clients/running_edge.hpp"
#include "support/raw_client.hpp"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <functional>
#include <vector>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t crowd = 8; ///< Connections to each listener at a time.
constexpr std::size_t bytes_each = 16U << 20U; ///< That each tries to send.
/// Connections that stand still, on each listener: more than the process may
/// open descriptors.
constexpr std::size_t still_crowd = 200;
/// A client gives up when nothing of what it sends is taken for so long.
constexpr milliseconds send_patience{2'000};

constexpr const char* post = "POST /a/0123456789abcdef HTTP/1.1\r\n"
                             "Host: h.example\r\n";
constexpr const char* chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string repeat(std::string_view text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes)
    {
        all += text;
    }
    return all;
}

/// What the clients of a crowd send first, and again and again after it.
struct stream
{
    std::string first;
    std::string more;
};

/// Opens the crowd, lets its clients send in turn as much as is taken, and
/// leaves their connections open while the process is looked at.
std::vector<raw_client> send(std::uint16_t port, const stream& what)
{
    std::vector<raw_client> clients;
    std::vector<bool> gone(crowd);
    for (std::size_t n = 0; n < crowd; ++n)
    {
        clients.emplace_back(port);
        gone[n] = !clients.back().send_all(what.first, send_patience);
    }
    for (std::size_t sent = 0; sent < bytes_each; sent += what.more.size())
    {
        for (std::size_t n = 0; n < crowd; ++n)
        {
            gone[n] = gone[n] || !clients[n].send_all(what.more, send_patience);
        }
    }
    return clients;
}

/// The process lives within the limits of its VM and answers an ordinary caller
/// on each of its listeners.
void check_serves(const running_edge& edge)
{
    CHECK(edge.lives());
    for (const running_edge::listener& each : edge.listeners())
    {
        INFO("ordinary request to " << each.name);
        CHECK(is_answered(each));
    }
    CHECK(edge.lives());
    CHECK(edge.peak_memory_kib() <= running_edge::memory_mib * 1'024);
    CHECK(edge.open_descriptors() <= running_edge::descriptors);
}

/// Sends a crowd's stream to each listener in turn.
void check_bears(const stream& what)
{
    running_edge edge;
    for (const running_edge::listener& each : edge.listeners())
    {
        REQUIRE(is_answered(each));
    }
    for (const running_edge::listener& each : edge.listeners())
    {
        INFO("crowd at " << each.name);
        const std::vector<raw_client> open = send(each.port, what);
        check_serves(edge);
    }
}

constexpr std::size_t piece = 64U << 10U;

} // namespace

// Guards against a process that runs out of memory: it kept every trailer of a
// chunked request.
TEST_CASE("clients send trailers without end", "[clients]")
{
    check_bears(
        {absl::StrCat(post, chunked, "1\r\nx\r\n0\r\n"),
         repeat("Some-Trailer: value\r\n", piece)});
}

// Guards against a process that runs out of memory: it kept the beginning of a
// line until its end.
TEST_CASE("clients send one trailer line without end", "[clients]")
{
    check_bears(
        {absl::StrCat(post, chunked, "1\r\nx\r\n0\r\nSome-Trailer: "),
         std::string(piece, 'v')});
}

// Guards against a process that runs out of memory, as above.
TEST_CASE("clients send a chunk extension without end", "[clients]")
{
    check_bears(
        {absl::StrCat(post, chunked, "1;name="), std::string(piece, 'v')});
}

// Guards against a client that holds a session for good without sending a body.
TEST_CASE("clients send small chunks with large extensions", "[clients]")
{
    check_bears(
        {absl::StrCat(post, chunked),
         repeat(
             absl::StrCat("1;name=", std::string(15'000, 'v'), "\r\nx\r\n"),
             piece)});
}

TEST_CASE("clients send headers without end", "[clients]")
{
    check_bears({post, repeat("Some-Header: value\r\n", piece)});
}

// Guards against a process that runs out of memory: the parser took each line
// of a header as it came, and bounded only what was left over. The lines here
// end one byte before the end of each read of 512 bytes.
TEST_CASE("clients send tiny header lines without end", "[clients]")
{
    check_bears(
        {"POST /a/0123456789abcdef HTTP/1.1\r\n", repeat("a:\r\n", piece)});
}

TEST_CASE("clients send bodies without end", "[clients]")
{
    check_bears(
        {absl::StrCat(post, chunked),
         absl::StrCat("10000\r\n", std::string(piece, 'b'), "\r\n")});
}

// Guards against a process that keeps answers which nobody reads.
TEST_CASE("clients do not read the answers to their requests", "[clients]")
{
    check_bears(
        {"",
         repeat("GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n", piece)});
}

// Guards against ordinary callers that are shut out: connections that stand
// still use up the places of a listener, or the descriptors of the process.
TEST_CASE("clients stand still within their request line", "[clients]")
{
    running_edge edge;
    for (const running_edge::listener& each : edge.listeners())
    {
        REQUIRE(is_answered(each));
    }
    std::vector<raw_client> still;
    for (const running_edge::listener& each : edge.listeners())
    {
        for (std::size_t n = 0; n < still_crowd; ++n)
        {
            still.emplace_back(each.port);
            static_cast<void>(still.back().send_all("GET /a", send_patience));
        }
        INFO("crowd at " << each.name);
        check_serves(edge);
    }
}
