#include "platform/http/http_peer_gateway.hpp"

#include "platform/http/reply_reader.hpp"

namespace acaciastile
{

std::unique_ptr<peer_gateway> http_peer_gateway::create(http_client& client)
{
    return std::unique_ptr<peer_gateway>(new http_peer_gateway(client));
}

void http_peer_gateway::call(peer_call message, completion<std::string> done)
{
    auto read = [done = std::move(done)](result<http_reply> outcome)
    { done(read_reply(std::move(outcome), refusal_code::unreachable)); };
    client_.post(
        {std::move(message.address),
         "/v1/peer/" + message.method,
         std::move(message.body),
         message.timeout},
        std::move(read));
}

} // namespace acaciastile
