#pragma once

#include "domain/result.hpp"

#include <cstdint>
#include <netinet/in.h>
#include <string>

namespace acaciastile
{

/// An IPv4 number and a port.
struct socket_address
{
    std::string host;
    std::uint16_t port = 0; ///< Zero: any free one.

    /// Reads `a.b.c.d:port`. Errors: `invalid_value`.
    [[nodiscard]] static result<socket_address> parse(const std::string& text);

    [[nodiscard]] bool is_loopback() const;
    [[nodiscard]] std::string str() const;
    [[nodiscard]] sockaddr_in native() const;
};

} // namespace acaciastile
