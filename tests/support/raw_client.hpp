#pragma once

#include "domain/instant.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace acaciastile::test
{

/// A connection to a port on loopback that sends bytes as they are.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port);
    ~raw_client();
    raw_client(raw_client&& other) noexcept;
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    /// Sends bytes until all are sent. Returns false if the other side closes
    /// the connection or takes nothing for as long as the patience.
    [[nodiscard]] bool send_all(std::string_view bytes, milliseconds patience);

    /// The next line that arrives, without its end; empty if none does.
    [[nodiscard]] std::string receive_line(milliseconds patience);

    /// The next `bytes` bytes, or fewer if no more arrive.
    [[nodiscard]] std::string receive(std::size_t bytes, milliseconds patience);

private:
    int socket_ = -1;
};

} // namespace acaciastile::test
