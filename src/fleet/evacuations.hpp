#pragma once

#include "domain/ids.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace acaciastile::fleet
{

/// The data centres that operators have evacuated: nothing is started there
/// until the evacuation is withdrawn. Built from the records of the operators'
/// topic, which may be read twice or, after a reload, out of order. Does no
/// I/O.
class evacuation_table
{
public:
    /// One record of the topic.
    struct entry
    {
        data_centre_name data_centre;
        log_offset offset = 0;
        bool evacuated = false; ///< False in the record that withdraws it.
    };

    /// Applies a record, unless a later one of the data centre is known.
    /// Returns true if this changes whether the data centre is evacuated.
    bool apply(const entry& record);

    /// Replaces what is known by the newest records of all keys, read when the
    /// topic ended at `end`. Keeps what records from `end` on have told.
    /// Returns true if a data centre changes.
    bool load(const std::vector<entry>& newest, log_offset end);

    [[nodiscard]] bool contains(const data_centre_name& name) const
    {
        return evacuated_.contains(name);
    }
    [[nodiscard]] const std::set<data_centre_name>& all() const noexcept
    {
        return evacuated_;
    }

private:
    std::map<data_centre_name, entry> latest_;
    std::set<data_centre_name> evacuated_;
    /// Records before this offset are in `latest_` or were replaced.
    log_offset complete_to_ = 0;
};

/// What operators ask of the scheduler, as stored on the platform.
class operator_requests
{
public:
    virtual ~operator_requests() = default;

    [[nodiscard]] virtual const evacuation_table& evacuations() const = 0;

    /// Reads what is stored by now. Calls `done` once it is known; retries
    /// while the store does not answer.
    virtual void refresh(std::function<void()> done) = 0;
};

} // namespace acaciastile::fleet
