#pragma once

#include "domain/instant.hpp"

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace acaciastile
{

/// Counts open connections, and requests from their first line to the last
/// byte of their answer.
class traffic_counter
{
public:
    void open()
    {
        const std::lock_guard lock(guard_);
        ++connections_;
    }

    void close()
    {
        const std::lock_guard lock(guard_);
        --connections_;
        changed_.notify_all();
    }

    void begin()
    {
        const std::lock_guard lock(guard_);
        ++in_hand_;
    }

    void end()
    {
        const std::lock_guard lock(guard_);
        --in_hand_;
        changed_.notify_all();
    }

    [[nodiscard]] std::size_t in_hand() const
    {
        const std::lock_guard lock(guard_);
        return in_hand_;
    }

    /// Waits until no request is in hand. False where the bound passed first.
    [[nodiscard]] bool wait_answered(milliseconds bound)
    {
        std::unique_lock lock(guard_);
        return changed_.wait_for(lock, bound, [this] { return in_hand_ == 0; });
    }

    /// Waits until no connection is open. False where the bound passed first.
    [[nodiscard]] bool wait_closed(milliseconds bound)
    {
        std::unique_lock lock(guard_);
        return changed_.wait_for(
            lock, bound, [this] { return connections_ == 0; });
    }

private:
    mutable std::mutex guard_;
    std::condition_variable changed_;
    std::size_t connections_ = 0;
    std::size_t in_hand_ = 0;
};

} // namespace acaciastile
