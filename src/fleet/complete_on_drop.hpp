#pragma once

#include "fleet/ports.hpp"

#include <memory>
#include <utility>

namespace acaciastile::fleet
{

/// Wraps a completion so that it is called exactly once: if all copies of the
/// result are destroyed without a call, it gets `drop_error`. Calls after the
/// first have no effect.
template<class Value>
[[nodiscard]] completion<Value>
complete_on_drop(completion<Value> done, error drop_error)
{
    struct holder
    {
        holder(completion<Value> held, error fallback)
            : done(std::move(held)), drop_error(std::move(fallback))
        {
        }
        holder(const holder&) = delete;
        holder& operator=(const holder&) = delete;
        ~holder() { call(tl::unexpected(std::move(drop_error))); }

        void call(result<Value> outcome)
        {
            if (done)
            {
                std::exchange(done, nullptr)(std::move(outcome));
            }
        }

        completion<Value> done;
        error drop_error;
    };
    auto held =
        std::make_shared<holder>(std::move(done), std::move(drop_error));
    return [held](result<Value> outcome) { held->call(std::move(outcome)); };
}

} // namespace acaciastile::fleet
