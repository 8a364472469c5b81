#pragma once

#include "entry/socket_address.hpp"

namespace acaciastile
{

/// Owns a listening TCP socket.
class listen_socket
{
public:
    /// Errors: `invalid_value` where the address cannot be bound.
    [[nodiscard]] static result<listen_socket>
    create(const socket_address& address);

    ~listen_socket();
    listen_socket(listen_socket&& other) noexcept;
    listen_socket& operator=(listen_socket&& other) noexcept;
    listen_socket(const listen_socket&) = delete;
    listen_socket& operator=(const listen_socket&) = delete;

    /// Another descriptor of the same socket, owned by the caller.
    /// Errors: `internal`.
    [[nodiscard]] result<int> duplicate() const;

    /// The port that was bound.
    [[nodiscard]] std::uint16_t port() const;

    void close() noexcept;

private:
    explicit listen_socket(int descriptor) : descriptor_(descriptor) {}

    int descriptor_ = -1;
};

} // namespace acaciastile
