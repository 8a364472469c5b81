#pragma once

#include "fleet/ports.hpp"

#include <memory>
#include <utility>

namespace acaciastile::fleet
{

/// Wraps a completion so that it is called even where every copy of it is
/// dropped uncalled; it then gets the error given here. Later calls than the
/// first do nothing.
template<class Value>
[[nodiscard]] completion<Value>
complete_on_drop(completion<Value> done, error otherwise)
{
    struct holder
    {
        holder(completion<Value> held, error fallback)
            : done(std::move(held)), otherwise(std::move(fallback))
        {
        }
        holder(const holder&) = delete;
        holder& operator=(const holder&) = delete;
        ~holder() { call(tl::unexpected(std::move(otherwise))); }

        void call(result<Value> outcome)
        {
            if (done)
            {
                std::exchange(done, nullptr)(std::move(outcome));
            }
        }

        completion<Value> done;
        error otherwise;
    };
    auto held = std::make_shared<holder>(std::move(done), std::move(otherwise));
    return [held](result<Value> outcome) { held->call(std::move(outcome)); };
}

} // namespace acaciastile::fleet
