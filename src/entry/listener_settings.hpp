#pragma once

#include "domain/instant.hpp"
#include "entry/socket_address.hpp"
#include "entry/tls_files.hpp"

#include <cstddef>
#include <optional>

namespace acaciastile
{

/// Bounds of one HTTP listener.
struct listener_settings
{
    socket_address address;
    std::size_t connections = 1024;        ///< More wait in the backlog.
    std::size_t requests_in_hand = 768;    ///< More are refused at once.
    std::size_t body_limit = 1 << 20;      ///< Bytes.
    std::size_t header_limit = 32 * 1024;  ///< Bytes of one connection.
    std::chrono::seconds idle_timeout{30}; ///< Of a silent connection.
    std::optional<tls_files> tls;
};

} // namespace acaciastile
