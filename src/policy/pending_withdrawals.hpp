#pragma once

#include "domain/ids.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace acaciastile::impl
{

/// Cancelled jobs that are not yet removed from the tables. A burst of
/// cancellations is recorded immediately and processed in batches.
class pending_withdrawals
{
public:
    void add(const job_id& job)
    {
        if (bits_.empty())
        {
            bits_.resize(bits / word_bits);
        }
        jobs_.push_back(job);
        std::size_t at = bit_of(job);
        bits_[at / word_bits] |= std::uint64_t{1} << (at % word_bits);
    }

    /// Bitmap filter: false means the job is not pending. May return true for
    /// others, so that the check is O(1); such a job waits for a few calls.
    [[nodiscard]] bool may_contain(const job_id& job) const
    {
        if (jobs_.empty())
        {
            return false;
        }
        std::size_t at = bit_of(job);
        return (bits_[at / word_bits] >> (at % word_bits) & 1U) != 0;
    }

    [[nodiscard]] bool contains(const job_id& job) const
    {
        return may_contain(job) &&
               std::find(jobs_.begin(), jobs_.end(), job) != jobs_.end();
    }

    /// Removes a job from the list.
    void erase(const job_id& job)
    {
        jobs_.erase(std::remove(jobs_.begin(), jobs_.end(), job), jobs_.end());
    }

    /// Removes and returns the next job, if any.
    [[nodiscard]] std::optional<job_id> next()
    {
        if (jobs_.empty())
        {
            return std::nullopt;
        }
        job_id job = std::move(jobs_.back());
        jobs_.pop_back();
        if (jobs_.empty())
        {
            std::fill(bits_.begin(), bits_.end(), 0);
        }
        return job;
    }

private:
    static constexpr std::size_t bits = std::size_t{1} << 20;
    static constexpr std::size_t word_bits = 64;

    [[nodiscard]] static std::size_t bit_of(const job_id& job)
    {
        return XXH3_64bits(job.str().data(), job.str().size()) % bits;
    }

    std::vector<job_id> jobs_;
    std::vector<std::uint64_t> bits_;
};

} // namespace acaciastile::impl
