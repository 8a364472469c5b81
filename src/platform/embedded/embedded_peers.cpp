#include "platform/embedded/embedded_peers.hpp"

#include <utility>

namespace acaciastile
{

void embedded_peers::enter(
    const std::string& address, const std::string& name, peer_handler handler)
{
    members_[address] =
        member{name, std::move(handler), std::make_shared<int>()};
}

void embedded_peers::leave(const std::string& address)
{
    members_.erase(address);
}

void embedded_peers::lose_answers(const std::string& name, std::size_t count)
{
    lose_[name] = count;
}

void embedded_peers::call_as(
    const std::string& caller,
    peer_call message,
    completion<std::string> done,
    std::weak_ptr<void> alive)
{
    auto called = members_.find(message.address);
    embedded_route route{
        caller,
        called == members_.end() ? message.address : called->second.name,
        refusal_code::unreachable,
        message.timeout,
        std::move(alive)};
    auto handler = [this, message = std::move(message)](
                       const embedded_reply<std::string>& reply)
    { serve(message, reply); };
    exchange<std::string>(
        network_, std::move(route), std::move(handler), std::move(done));
}

void embedded_peers::serve(
    const peer_call& message, const embedded_reply<std::string>& reply)
{
    auto called = members_.find(message.address);
    if (called == members_.end())
    {
        reply.answer(refuse(
            refusal_code::unreachable,
            "nothing listens at " + message.address));
        return;
    }
    ++calls_;
    std::size_t& to_lose = lose_[called->second.name];
    const bool lost = to_lose > 0;
    to_lose -= lost ? 1 : 0;
    std::weak_ptr<void> alive = called->second.alive;
    // A handler may take itself out while it runs.
    const peer_handler handler = called->second.handler;
    handler(
        message.method,
        message.body,
        [reply, lost, alive](result<std::string> answer)
        {
            if (!lost && !alive.expired())
            {
                reply.answer(std::move(answer));
            }
        });
}

embedded_peer_gateway::embedded_peer_gateway(
    embedded_peers& peers, std::string caller)
    : peers_(peers), caller_(std::move(caller)), alive_(std::make_shared<int>())
{
}

void embedded_peer_gateway::call(
    peer_call message, completion<std::string> done)
{
    peers_.call_as(caller_, std::move(message), std::move(done), alive_);
}

} // namespace acaciastile
