#include "cell/backoff.hpp"

#include <algorithm>

namespace acaciastile
{

namespace
{

/// Upper bound of the next delay: min(cap, base * 2^failures), without
/// overflow.
milliseconds max_delay(const backoff_settings& settings, std::uint32_t failures)
{
    milliseconds bound = std::min(settings.base, settings.cap);
    for (std::uint32_t n = 0; n < failures && bound < settings.cap; ++n)
    {
        bound = bound > settings.cap / 2 ? settings.cap : bound * 2;
    }
    return bound;
}

} // namespace

backoff backoff::create(backoff_settings settings, std::uint64_t seed)
{
    backoff made;
    made.settings_.base = std::max(settings.base, milliseconds{1});
    made.settings_.cap = std::max(settings.cap, made.settings_.base);
    made.random_.seed(seed);
    return made;
}

milliseconds backoff::next_delay()
{
    const milliseconds bound = max_delay(settings_, failures_);
    ++failures_;
    std::uniform_int_distribution<milliseconds::rep> delay(0, bound.count());
    return milliseconds{delay(random_)};
}

} // namespace acaciastile
