#include "codec/record_codec.hpp"

#include "codec/array_reader.hpp"
#include "codec/compact_codec.hpp"
#include "codec/json_text.hpp"

#include <optional>
#include <type_traits>
#include <utility>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

/// Kind numbers of records in the cell's stream.
enum class cell_kind : std::uint8_t
{
    inventory_published = 1,
    rules_published = 2,
    key_granted = 3,
    key_withdrawn = 4,
    workers_drained = 5,
    workers_declared_dead = 6,
    shard_claimed = 7,
    shard_released = 8,
    allowance_set = 9,
    allowance_wanted = 10,
    inventory_changed = 11,
    rules_changed = 12
};

/// Kind numbers of records in a shard's stream.
enum class shard_kind : std::uint8_t
{
    epoch_opened = 1,
    job_accepted = 2,
    job_cancelled = 3,
    attempt_assigned = 4,
    attempt_ended = 5,
    job_moved = 6,
    job_restated = 7
};

template<class Kind>
void append_kind(json& array, Kind kind)
{
    array.push_back(static_cast<unsigned>(kind));
}

template<class Name>
json names_to_array(const std::vector<Name>& list)
{
    json names = json::array();
    for (const Name& name : list)
    {
        names.push_back(name.str());
    }
    return names;
}

template<class Value>
json compact_list(const std::vector<Value>& values)
{
    json list = json::array();
    for (const Value& value : values)
    {
        list.push_back(to_compact(value));
    }
    return list;
}

template<class Name>
result<Name> read_name(const json& value)
{
    Name name;
    if (impl::get(value, name) != nullptr)
    {
        return refuse(refusal_code::malformed, "name: expected a string");
    }
    return name;
}

/// Appends the kind and the fields of a cell change.
struct cell_change_encoder
{
    json& array;

    void operator()(const inventory_published& change) const
    {
        append_kind(array, cell_kind::inventory_published);
        array.push_back(change.base);
        array.push_back(to_compact(change.content));
    }

    void operator()(const rules_published& change) const
    {
        append_kind(array, cell_kind::rules_published);
        array.push_back(change.base);
        array.push_back(to_compact(change.content));
    }

    void operator()(const key_granted& change) const
    {
        append_kind(array, cell_kind::key_granted);
        array.push_back(to_compact(change.key));
    }

    void operator()(const key_withdrawn& change) const
    {
        append_kind(array, cell_kind::key_withdrawn);
        array.push_back(change.id.str());
    }

    void operator()(const workers_drained& change) const
    {
        append_kind(array, cell_kind::workers_drained);
        array.push_back(names_to_array(change.workers));
        array.push_back(change.draining);
    }

    void operator()(const workers_declared_dead& change) const
    {
        append_kind(array, cell_kind::workers_declared_dead);
        array.push_back(names_to_array(change.workers));
    }

    void operator()(const shard_claimed& change) const
    {
        append_kind(array, cell_kind::shard_claimed);
        array.push_back(change.shard.str());
        array.push_back(change.owner.str());
        array.push_back(change.owner_address);
        array.push_back(change.base);
    }

    void operator()(const shard_released& change) const
    {
        append_kind(array, cell_kind::shard_released);
        array.push_back(change.shard.str());
        array.push_back(change.epoch);
        array.push_back(change.successor.str());
    }

    void operator()(const allowance_set& change) const
    {
        append_kind(array, cell_kind::allowance_set);
        append_amount(change);
    }

    void operator()(const allowance_wanted& change) const
    {
        append_kind(array, cell_kind::allowance_wanted);
        append_amount(change);
    }

    void operator()(const inventory_changed& change) const
    {
        append_kind(array, cell_kind::inventory_changed);
        array.push_back(change.base);
        array.push_back(compact_list(change.set));
        array.push_back(names_to_array(change.removed));
    }

    void operator()(const rules_changed& change) const
    {
        append_kind(array, cell_kind::rules_changed);
        array.push_back(change.base);
        array.push_back(compact_list(change.set_teams));
        array.push_back(names_to_array(change.removed_teams));
        array.push_back(compact_list(change.set_queues));
        array.push_back(names_to_array(change.removed_queues));
    }

    template<class Change>
    void append_amount(const Change& change) const
    {
        array.push_back(change.shard.str());
        array.push_back(change.epoch);
        array.push_back(change.team.str());
        array.push_back(to_compact(change.amount));
    }
};

/// Appends the kind and the fields of a shard change.
struct shard_change_encoder
{
    json& array;

    void operator()(const epoch_opened& /*change*/) const
    {
        append_kind(array, shard_kind::epoch_opened);
    }

    void operator()(const job_accepted& change) const
    {
        append_kind(array, shard_kind::job_accepted);
        array.push_back(to_compact(change.spec));
    }

    void operator()(const job_cancelled& change) const
    {
        append_kind(array, shard_kind::job_cancelled);
        array.push_back(change.job.str());
    }

    void operator()(const attempt_assigned& change) const
    {
        append_kind(array, shard_kind::attempt_assigned);
        append_attempt(change.attempt);
        array.push_back(change.worker.str());
    }

    void operator()(const attempt_ended& change) const
    {
        append_kind(array, shard_kind::attempt_ended);
        append_attempt(change.attempt);
        array.push_back(static_cast<int>(change.state));
        array.push_back(change.answer);
        array.push_back(change.reason);
    }

    void operator()(const job_moved& change) const
    {
        append_kind(array, shard_kind::job_moved);
        array.push_back(change.job.str());
        array.push_back(change.to.str());
    }

    void operator()(const job_restated& change) const
    {
        append_kind(array, shard_kind::job_restated);
        array.push_back(change.base);
        array.push_back(to_compact(change.spec));
        array.push_back(change.cancelled);
        array.push_back(change.moved_to.str());
        json tasks = json::array();
        for (const task_progress& task : change.tasks)
        {
            tasks.push_back(json::array(
                {static_cast<int>(task.state),
                 task.attempts,
                 task.worker.str()}));
        }
        array.push_back(std::move(tasks));
        array.push_back(change.answer);
        array.push_back(change.reason);
    }

    void append_attempt(const attempt_id& attempt) const
    {
        array.push_back(attempt.task.job.str());
        array.push_back(attempt.task.index);
        array.push_back(attempt.number);
    }
};

array_reader& read_attempt(array_reader& items, attempt_id& attempt)
{
    return items.next(attempt.task.job)
        .next(attempt.task.index)
        .next(attempt.number);
}

template<class Change>
void read_amount(array_reader& items, Change& change)
{
    items.next(change.shard)
        .next(change.epoch)
        .next(change.team)
        .next(change.amount, resources_from_compact);
}

void read(array_reader& items, inventory_published& change)
{
    items.next(change.base).next(change.content, inventory_from_compact);
}

void read(array_reader& items, rules_published& change)
{
    items.next(change.base).next(change.content, rules_from_compact);
}

void read(array_reader& items, key_granted& change)
{
    items.next(change.key, key_entry_from_compact);
}

void read(array_reader& items, key_withdrawn& change)
{
    items.next(change.id);
}

void read(array_reader& items, workers_drained& change)
{
    items.next_list(change.workers, read_name<worker_id>).next(change.draining);
}

void read(array_reader& items, workers_declared_dead& change)
{
    items.next_list(change.workers, read_name<worker_id>);
}

void read(array_reader& items, shard_claimed& change)
{
    items.next(change.shard)
        .next(change.owner)
        .next(change.owner_address)
        .next(change.base);
}

void read(array_reader& items, shard_released& change)
{
    items.next(change.shard).next(change.epoch).next(change.successor);
}

void read(array_reader& items, allowance_set& change)
{
    read_amount(items, change);
}

void read(array_reader& items, allowance_wanted& change)
{
    read_amount(items, change);
}

void read(array_reader& items, inventory_changed& change)
{
    items.next(change.base)
        .next_list(change.set, worker_entry_from_compact)
        .next_list(change.removed, read_name<worker_id>);
}

void read(array_reader& items, rules_changed& change)
{
    items.next(change.base)
        .next_list(change.set_teams, team_rule_from_compact)
        .next_list(change.removed_teams, read_name<team_name>)
        .next_list(change.set_queues, queue_rule_from_compact)
        .next_list(change.removed_queues, read_name<queue_name>);
}

void read(array_reader& /*items*/, epoch_opened& /*change*/) {}

void read(array_reader& items, job_accepted& change)
{
    items.next(change.spec, job_spec_from_compact);
}

void read(array_reader& items, job_cancelled& change)
{
    items.next(change.job);
}

void read(array_reader& items, attempt_assigned& change)
{
    read_attempt(items, change.attempt).next(change.worker);
}

void read(array_reader& items, attempt_ended& change)
{
    read_attempt(items, change.attempt)
        .next_enum(change.state, task_state_names.size())
        .next(change.answer)
        .next(change.reason);
}

result<task_progress> progress_from_compact(const json& value)
{
    task_progress task;
    array_reader items(value, "task");
    items.next_enum(task.state, task_state_names.size())
        .next(task.attempts)
        .next(task.worker);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return task;
}

void read(array_reader& items, job_moved& change)
{
    items.next(change.job).next(change.to);
}

void read(array_reader& items, job_restated& change)
{
    items.next(change.base)
        .next(change.spec, job_spec_from_compact)
        .next(change.cancelled)
        .next(change.moved_to)
        .next_list(change.tasks, progress_from_compact)
        .next(change.answer)
        .next(change.reason);
}

/// Reads the fields of the alternative with this kind number. Kind numbers
/// start at one and follow the order of the alternatives. Returns false for an
/// unknown kind.
template<class Variant, std::size_t Index = 0>
bool read_alternative(array_reader& items, std::size_t kind, Variant& into)
{
    if constexpr (Index < std::variant_size_v<Variant>)
    {
        if (kind != Index + 1)
        {
            return read_alternative<Variant, Index + 1>(items, kind, into);
        }
        std::variant_alternative_t<Index, Variant> change;
        read(items, change);
        into = std::move(change);
        return true;
    }
    return false;
}

template<class Record, class ReadHeader>
result<Record>
decode(std::string_view encoded, const char* name, ReadHeader read_header)
{
    result<json> parsed = parse_msgpack(encoded);
    if (!parsed)
    {
        return tl::unexpected(std::move(parsed.error()));
    }
    Record record;
    std::size_t kind = 0;
    array_reader items(*parsed, name);
    read_header(items, record);
    items.next(kind);
    bool known = read_alternative(items, kind, record.change);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    if (!known)
    {
        return refuse(
            refusal_code::malformed,
            std::string(name) + ": unknown kind " + std::to_string(kind));
    }
    return record;
}

} // namespace

std::string encode(const cell_record& record)
{
    json array = json::array({record.id});
    std::visit(cell_change_encoder{array}, record.change);
    return to_msgpack_text(array);
}

std::string encode(const shard_record& record)
{
    json array = json::array({record.id, record.epoch});
    std::visit(shard_change_encoder{array}, record.change);
    return to_msgpack_text(array);
}

result<cell_record> decode_cell_record(std::string_view encoded)
{
    return decode<cell_record>(
        encoded,
        "cell record",
        [](array_reader& items, cell_record& record)
        { items.next(record.id); });
}

result<shard_record> decode_shard_record(std::string_view encoded)
{
    return decode<shard_record>(
        encoded,
        "shard record",
        [](array_reader& items, shard_record& record)
        { items.next(record.id).next(record.epoch); });
}

} // namespace acaciastile
