#include "cell/membership.hpp"

#include "cell/swim_membership.hpp"

#include <utility>

namespace acaciastile
{

std::unique_ptr<membership> membership::create(
    member self,
    membership_settings settings,
    std::uint64_t seed,
    peer_gateway& peers,
    event_sink& events)
{
    return std::make_unique<impl::swim_membership>(
        std::move(self), settings, seed, peers, events);
}

} // namespace acaciastile
