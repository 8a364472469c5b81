#pragma once

#include "domain/instant.hpp"
#include "domain/result.hpp"
#include "platform/http/http_client.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciastile
{

/// Takes the reply of one served call; from any thread, once.
using http_answer = std::function<void(http_reply)>;

struct http_call
{
    std::string body;
    /// Of the path and of the query.
    std::map<std::string, std::string> variables;
};

/// Serves one call. It runs on a traffic thread, which then waits for the
/// answer.
using http_handler =
    std::function<void(const http_call& call, http_answer answer)>;

struct http_route
{
    std::string verb; ///< `GET` or `POST`.
    std::string path; ///< With `:name` for a part that varies.
    const char* content_type = "application/msgpack";
    http_handler handle;
};

struct http_server_settings
{
    std::string address;           ///< `a.b.c.d:port`; port 0 takes a free one.
    std::size_t connections = 512; ///< Each has a thread; more are refused.
    std::size_t request_bytes = 16u << 20;
    milliseconds idle_timeout{60'000};
    milliseconds answer_bound{30'000}; ///< Then the reply is a 504.
};

/// An HTTP server over ulfius with kept connections. `stop` accepts no more,
/// lets every call that is in hand have its answer, and ends the threads.
class http_server
{
public:
    /// Errors: `invalid_value`, `internal`.
    [[nodiscard]] static result<std::unique_ptr<http_server>>
    create(http_server_settings settings, std::vector<http_route> routes);

    virtual ~http_server() = default;

    [[nodiscard]] virtual const std::string& address() const noexcept = 0;
    virtual void stop() = 0;
};

/// The reply that carries an error, as the codec writes it.
[[nodiscard]] http_reply error_reply(const error& refused);

} // namespace acaciastile
