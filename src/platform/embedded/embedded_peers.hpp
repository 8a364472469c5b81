#pragma once

#include "platform/embedded/embedded_network.hpp"
#include "platform/peer_gateway.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace acaciastile
{

/// Handles one peer call at the called instance.
using peer_handler = std::function<void(
    const std::string& method,
    const std::string& body,
    completion<std::string> done)>;

/// The instances of one process as each other's peers. An instance is an
/// endpoint of the network under its own name, so cuts, delays and pauses are
/// commanded there.
class embedded_peers
{
public:
    explicit embedded_peers(embedded_network& network) : network_(network) {}

    /// Enters an instance, which is then reached at that address.
    void enter(
        const std::string& address,
        const std::string& name,
        peer_handler handler);
    /// Takes an instance out: calls to it fail with `not_run`, and what it
    /// had not yet answered stays without an answer.
    void leave(const std::string& address);

    /// Handles the next calls to an instance and loses their answers.
    void lose_answers(const std::string& name, std::size_t count);

    void call_as(
        const std::string& caller,
        peer_call message,
        completion<std::string> done,
        std::weak_ptr<void> alive);

    /// Calls that arrived, for measurements.
    [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }

private:
    struct member
    {
        std::string name;
        peer_handler handler;
        std::shared_ptr<void> alive;
    };

    void
    serve(const peer_call& message, const embedded_reply<std::string>& reply);

    embedded_network& network_;
    std::map<std::string, member> members_;
    std::map<std::string, std::size_t> lose_;
    std::uint64_t calls_ = 0;
};

/// The peers as one named instance calls them.
class embedded_peer_gateway : public peer_gateway
{
public:
    embedded_peer_gateway(embedded_peers& peers, std::string caller);

    void call(peer_call message, completion<std::string> done) override;

private:
    embedded_peers& peers_;
    std::string caller_;
    std::shared_ptr<void> alive_;
};

} // namespace acaciastile
