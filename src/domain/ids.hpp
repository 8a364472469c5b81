#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace acaciastile
{

/// A string with a distinct type for each `Tag`, so that the compiler rejects
/// an id of one kind in place of another.
template<class Tag>
class tagged_name
{
public:
    tagged_name() = default;
    explicit tagged_name(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& str() const noexcept { return value_; }
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    [[nodiscard]] bool operator==(const tagged_name&) const = default;
    [[nodiscard]] auto operator<=>(const tagged_name&) const = default;

    template<class H>
    friend H AbslHashValue(H state, const tagged_name& name)
    {
        return H::combine(std::move(state), name.value_);
    }

    friend std::ostream& operator<<(std::ostream& out, const tagged_name& name)
    {
        return out << name.value_;
    }

private:
    std::string value_;
};

using worker_id = tagged_name<struct worker_tag>;
using team_name = tagged_name<struct team_tag>;
using queue_name = tagged_name<struct queue_tag>;
using job_id = tagged_name<struct job_tag>;
using shard_id = tagged_name<struct shard_tag>;
using instance_id = tagged_name<struct instance_tag>;
using key_id = tagged_name<struct key_tag>;
using data_centre_name = tagged_name<struct data_centre_tag>;
using rack_name = tagged_name<struct rack_tag>;

/// Position of a record in one stream of the platform's log.
using log_offset = std::uint64_t;

/// Epoch of a shard's ownership: the log offset of the applied claim. Zero: the
/// shard has never been claimed.
using shard_epoch = std::uint64_t;

/// Revision of the configuration: the log offset of the applied change.
using revision = std::uint64_t;

} // namespace acaciastile
