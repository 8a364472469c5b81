#pragma once

#include "platform/completion.hpp"

#include <memory>
#include <optional>
#include <utility>

namespace acaciastile
{

/// Keeps the outcome of one call and how often it came. Copies share it.
template<class Value>
class kept_answer
{
public:
    [[nodiscard]] completion<Value> keep()
    {
        return [kept = kept_](result<Value> answer)
        {
            kept->outcome = std::move(answer);
            ++kept->times;
        };
    }

    [[nodiscard]] int times() const { return kept_->times; }
    [[nodiscard]] const result<Value>& outcome() const
    {
        return kept_->outcome.value();
    }
    [[nodiscard]] const Value& value() const { return outcome().value(); }
    [[nodiscard]] bool succeeded() const
    {
        return times() == 1 && outcome().has_value();
    }
    [[nodiscard]] bool failed(refusal_code code, verdict effect) const
    {
        return times() == 1 && !outcome().has_value() &&
               outcome().error().code == code &&
               outcome().error().effect == effect;
    }

private:
    struct kept
    {
        std::optional<result<Value>> outcome;
        int times = 0;
    };
    std::shared_ptr<kept> kept_ = std::make_shared<kept>();
};

} // namespace acaciastile
