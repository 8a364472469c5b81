#pragma once

#include "domain/verdict.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
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

/// The outcome of one call. `effect` is `not_run` if nothing was sent,
/// `may_have_run` if the request was sent but no complete response arrived, and
/// `ran` if `response` is valid.
struct http_outcome
{
    verdict effect = verdict::not_run;
    http_response response;
    std::string failure; ///< Reason if there is no response.
    bool timed_out = false;
    /// The request was also sent before, on a pooled connection that broke, and
    /// that copy got no response. It may have run or may run later, whatever
    /// `effect` and `response` say of the copy that was sent last.
    bool unanswered_copy = false;

    [[nodiscard]] bool answered() const noexcept
    {
        return effect == verdict::ran;
    }
    [[nodiscard]] unsigned status() const noexcept
    {
        return answered() ? response.result_int() : 0;
    }
};

} // namespace acaciastile::net
