#pragma once

#include "domain/instant.hpp"
#include "domain/verdict.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace acaciastile::net
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// A numeric IP address and a port, for example `10.1.0.17:8183`.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    [[nodiscard]] bool operator==(const endpoint&) const = default;
    [[nodiscard]] auto operator<=>(const endpoint&) const = default;
    template<class H>
    friend H AbslHashValue(H state, const endpoint& value)
    {
        return H::combine(std::move(state), value.address, value.port);
    }
    [[nodiscard]] std::string str() const
    {
        return address + ":" + std::to_string(port);
    }
    /// Parses what `str` writes. Returns nothing if the port is missing or
    /// invalid; the address is not checked.
    [[nodiscard]] static std::optional<endpoint> parse(std::string_view text);
};

/// The outcome of one call. `effect` is `not_run` if the request was not sent,
/// `may_have_run` if it was sent but no complete response arrived, and `ran` if
/// `response` is that to the request.
struct http_outcome
{
    verdict effect = verdict::not_run;
    http_response response;
    std::string failure; ///< Reason if there is no response to the request.
    bool timed_out = false;
    /// The request was also sent before, on a pooled connection that broke, and
    /// that copy got no response. It may have run or may run later, whatever
    /// `effect` and `response` say of the copy that was sent last.
    bool unanswered_copy = false;
    /// The request was not sent, as the process at the endpoint is not the one
    /// that it was meant for; see `peer_check`.
    bool other_peer = false;
    /// The request was not sent, as the introduction was answered with a status
    /// other than 200. `response` is that answer.
    bool introduction_refused = false;

    /// True if `response` is that to the request.
    [[nodiscard]] bool answered() const noexcept
    {
        return effect == verdict::ran;
    }
    [[nodiscard]] unsigned status() const noexcept
    {
        return answered() ? response.result_int() : 0;
    }
};

/// Names the process that a request is meant for. A process that restarted at
/// the same endpoint is another one. A connection does not outlive the process
/// at its other end, so what is sent on it never reaches a later one. The
/// client notes for each connection which process has answered there.
struct peer_check
{
    /// Reads the identity of the process that sent a response; zero if the
    /// response does not tell it.
    using identity_reader = std::function<std::uint64_t(const http_response&)>;

    /// The request is sent only on a connection on which this process has
    /// answered. Zero: on any.
    std::uint64_t required = 0;
    /// Makes a request that is sent before the other one on a connection whose
    /// process is not known, if one is required. It must do no harm in any
    /// process at the endpoint.
    std::function<http_request()> introduction;
    /// The introduction is sent on every connection if a process is required,
    /// so that the request goes out only just after that process has answered.
    bool always_introduce = false;
    /// If there is no response to the introduction for this long, it is sent
    /// once more on a new connection.
    milliseconds introduction_timeout{200};
    /// Reads the identity from a response to the introduction of status 200.
    identity_reader introduction_identity;
    /// Reads the identity from a response to the request, of any status. May be
    /// empty.
    identity_reader response_identity;
};

} // namespace acaciastile::net
