#pragma once

#include "domain/instant.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace acaciastile
{

/// Work to be done at given instants, in order of instant, then of entry.
/// The stand-ins deliver every answer through it, so that the whole platform
/// follows one clock: a manual one in tests, the real one in a process.
class timer_queue
{
public:
    [[nodiscard]] instant now() const noexcept { return now_; }
    [[nodiscard]] bool empty() const noexcept { return work_.empty(); }

    /// The instant of the first work; `instant::max()` where there is none.
    [[nodiscard]] instant next() const noexcept
    {
        return work_.empty() ? instant::max() : work_.begin()->first.first;
    }

    void after(milliseconds delay, std::function<void()> work)
    {
        work_.emplace(std::pair(now_ + delay, sequence_++), std::move(work));
    }

    /// Does all work due up to and including that instant.
    void run_until(instant until)
    {
        while (!work_.empty() && work_.begin()->first.first <= until)
        {
            auto node = work_.extract(work_.begin());
            now_ = std::max(now_, node.key().first);
            node.mapped()();
        }
        now_ = std::max(now_, until);
    }

private:
    instant now_{};
    std::uint64_t sequence_ = 0;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> work_;
};

} // namespace acaciastile
