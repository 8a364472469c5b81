#pragma once

#include "platform/completion.hpp"
#include "platform/executor.hpp"

#include "domain/instant.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace acaciastile
{

struct http_client_settings
{
    std::size_t connections_per_host = 4; ///< More calls wait their turn.
    std::size_t kept_connections = 512;   ///< Idle ones, over all hosts.
    std::size_t pending_calls = 20'000;   ///< More are refused.
    std::size_t request_bytes = 16u << 20;
    std::size_t reply_bytes = 16u << 20;
    milliseconds connect_timeout{1'000};
    bool keep_connections = true; ///< False: a new one for each call.
};

/// One POST with a MessagePack body.
struct http_request
{
    std::string host; ///< `a.b.c.d:port`.
    std::string path;
    std::string body;
    milliseconds timeout{3'000}; ///< From the call to the whole reply.
};

struct http_reply
{
    long status = 0;
    std::string body;
};

/// What a client has done so far, headers included.
struct http_client_counts
{
    std::uint64_t calls = 0;       ///< Settled.
    std::uint64_t connections = 0; ///< Opened.
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Sends HTTP calls from a traffic thread of its own and hands each outcome
/// to the executor. Safe to call from any thread. On destruction every
/// pending call is settled with an error before the thread ends.
class http_client
{
public:
    /// The executor must outlive the client. Errors: `internal` where the
    /// HTTP library fails to start.
    [[nodiscard]] static result<std::unique_ptr<http_client>>
    create(http_client_settings settings, executor& control);

    virtual ~http_client() = default;

    /// Any status is a reply. Errors: `unreachable` with `not_run` where not a
    /// byte was sent, else with `may_have_run`; `body_too_large` and
    /// `overloaded` with `not_run`.
    /// A call on a kept connection that the other side closes before the first
    /// byte of its reply is sent once more on a new connection: it may arrive
    /// twice.
    virtual void post(http_request call, completion<http_reply> done) = 0;

    [[nodiscard]] virtual http_client_counts counts() const = 0;
};

} // namespace acaciastile
