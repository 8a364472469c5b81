#include "cell/allowance_book.hpp"

#include "codec/array_reader.hpp"
#include "codec/compact_codec.hpp"

#include <utility>
#include <vector>

namespace acaciastile
{

namespace
{

result<void> check_amount(const resources& amount)
{
    constexpr std::int64_t max = allowance_book::max_amount;
    if (amount.has_negative() || !amount.fits_in({max, max, max}))
    {
        return refuse(
            refusal_code::invalid_value, "the amount is out of range");
    }
    return {};
}

tl::unexpected<error> unknown(const team_name& team)
{
    return refuse(
        refusal_code::unknown_team,
        "no rule in force for team '" + team.str() + "'");
}

/// True if a kind of resource is not raised, or its new sum stays within the
/// limit.
bool is_within_limit(
    std::int64_t amount,
    std::int64_t held,
    std::int64_t sum,
    std::int64_t limit)
{
    std::int64_t of_others = sum - held;
    return amount <= held || amount <= limit - of_others;
}

bool is_within_limit(
    const resources& amount,
    const resources& held,
    const resources& sum,
    const resources& limit)
{
    return is_within_limit(
               amount.milli_processors,
               held.milli_processors,
               sum.milli_processors,
               limit.milli_processors) &&
           is_within_limit(
               amount.memory_mib,
               held.memory_mib,
               sum.memory_mib,
               limit.memory_mib) &&
           is_within_limit(
               amount.accelerators,
               held.accelerators,
               sum.accelerators,
               limit.accelerators);
}

struct shard_amount
{
    team_name team;
    shard_id shard;
    resources amount;
};

result<shard_amount> amount_from_compact(const nlohmann::json& value)
{
    shard_amount parsed;
    array_reader items(value, "allowance");
    items.next(parsed.team)
        .next(parsed.shard)
        .next(parsed.amount, resources_from_compact);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return parsed;
}

} // namespace

result<void> allowance_book::set(
    const shard_id& shard,
    const team_name& team,
    const resources& amount,
    const rules& in_force)
{
    if (auto checked = check_amount(amount); !checked)
    {
        return checked;
    }
    const resources before = held(shard, team);
    const team_rule* rule = in_force.find(team);
    if (rule == nullptr && !amount.fits_in(before))
    {
        return unknown(team);
    }
    const resources limit = rule == nullptr ? resources{} : rule->upper_limit;
    if (!is_within_limit(amount, before, held_sum(team), limit))
    {
        return refuse(
            refusal_code::limit_exceeded,
            "the sum of the allowances of team '" + team.str() +
                "' would exceed its upper limit");
    }
    put(held_, shard, team, amount);
    return {};
}

result<void> allowance_book::want(
    const shard_id& shard,
    const team_name& team,
    const resources& amount,
    const rules& in_force)
{
    if (auto checked = check_amount(amount); !checked)
    {
        return checked;
    }
    if (!amount.is_zero() && in_force.find(team) == nullptr)
    {
        return unknown(team);
    }
    put(wanted_, shard, team, amount);
    return {};
}

void allowance_book::clear_wanted(const shard_id& shard)
{
    std::vector<team_name> teams;
    for (const auto& [team, entry] : wanted_)
    {
        if (entry.by_shard.contains(shard))
        {
            teams.push_back(team);
        }
    }
    for (const team_name& team : teams)
    {
        put(wanted_, shard, team, {});
    }
}

resources allowance_book::held(
    const shard_id& shard, const team_name& team) const noexcept
{
    return amount_in(held_, shard, team);
}

resources allowance_book::wanted(
    const shard_id& shard, const team_name& team) const noexcept
{
    return amount_in(wanted_, shard, team);
}

resources allowance_book::held_sum(const team_name& team) const noexcept
{
    return sum_in(held_, team);
}

resources allowance_book::wanted_sum(const team_name& team) const noexcept
{
    return sum_in(wanted_, team);
}

nlohmann::json allowance_book::to_compact() const
{
    return nlohmann::json::array({encode(held_), encode(wanted_)});
}

result<allowance_book> allowance_book::from_compact(const nlohmann::json& value)
{
    allowance_book parsed;
    array_reader items(value, "allowances");
    items.next(parsed.held_, decode).next(parsed.wanted_, decode);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return parsed;
}

void allowance_book::put(
    amounts_by_team& book,
    const shard_id& shard,
    const team_name& team,
    const resources& amount)
{
    amounts& entry = book[team];
    resources& slot = entry.by_shard[shard];
    entry.sum += amount - slot;
    slot = amount;
    if (amount.is_zero())
    {
        entry.by_shard.erase(shard);
    }
    if (entry.by_shard.empty())
    {
        book.erase(team);
    }
}

resources allowance_book::amount_in(
    const amounts_by_team& book,
    const shard_id& shard,
    const team_name& team) noexcept
{
    auto entry = book.find(team);
    if (entry == book.end())
    {
        return {};
    }
    auto at = entry->second.by_shard.find(shard);
    return at == entry->second.by_shard.end() ? resources{} : at->second;
}

resources allowance_book::sum_in(
    const amounts_by_team& book, const team_name& team) noexcept
{
    auto entry = book.find(team);
    return entry == book.end() ? resources{} : entry->second.sum;
}

nlohmann::json allowance_book::encode(const amounts_by_team& book)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [team, entry] : book)
    {
        for (const auto& [shard, amount] : entry.by_shard)
        {
            list.push_back(nlohmann::json::array(
                {team.str(), shard.str(), acaciastile::to_compact(amount)}));
        }
    }
    return list;
}

result<allowance_book::amounts_by_team>
allowance_book::decode(const nlohmann::json& value)
{
    const nlohmann::json wrapped = nlohmann::json::array({value});
    std::vector<shard_amount> list;
    array_reader items(wrapped, "allowances");
    items.next_list(list, amount_from_compact);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    amounts_by_team book;
    for (const shard_amount& read : list)
    {
        if (!check_amount(read.amount))
        {
            return refuse(
                refusal_code::malformed, "the allowance is out of range");
        }
        put(book, read.shard, read.team, read.amount);
    }
    return book;
}

} // namespace acaciastile
