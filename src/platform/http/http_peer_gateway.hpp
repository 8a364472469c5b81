#pragma once

#include "platform/http/http_client.hpp"
#include "platform/peer_gateway.hpp"

#include <memory>

namespace acaciastile
{

/// The other instances over HTTP: `POST /v1/peer/METHOD` with the encoded
/// parameters as the body; the reply's body is the encoded answer.
class http_peer_gateway : public peer_gateway
{
public:
    [[nodiscard]] static std::unique_ptr<peer_gateway>
    create(http_client& client);

    void call(peer_call message, completion<std::string> done) override;

private:
    explicit http_peer_gateway(http_client& client) : client_(client) {}

    http_client& client_;
};

} // namespace acaciastile
