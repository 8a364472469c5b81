#pragma once

#include "domain/result.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace acaciastile::impl
{

/// A TCP socket that listens on an IPv4 address. Owns its descriptor.
class listen_socket
{
public:
    /// `address` is `a.b.c.d:port`; port 0 takes a free one. Errors:
    /// `invalid_value` for the address, `internal` with the system's reason.
    [[nodiscard]] static result<listen_socket>
    create(const std::string& address);

    listen_socket(listen_socket&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)),
          address_(std::move(other.address_)),
          port_(other.port_)
    {
    }
    listen_socket& operator=(listen_socket&& other) noexcept
    {
        std::swap(descriptor_, other.descriptor_);
        std::swap(address_, other.address_);
        std::swap(port_, other.port_);
        return *this;
    }
    ~listen_socket();

    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
    /// Gives the descriptor away, for another owner to close.
    [[nodiscard]] int release() noexcept
    {
        return std::exchange(descriptor_, -1);
    }
    /// The address with the port that it really has.
    [[nodiscard]] const std::string& address() const noexcept
    {
        return address_;
    }
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

private:
    explicit listen_socket(int descriptor) : descriptor_(descriptor) {}

    int descriptor_ = -1;
    std::string address_;
    std::uint16_t port_ = 0;
};

} // namespace acaciastile::impl
