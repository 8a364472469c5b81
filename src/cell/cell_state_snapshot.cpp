#include "cell/cell_state.hpp"
#include "codec/array_reader.hpp"
#include "codec/compact_codec.hpp"
#include "codec/json_text.hpp"

#include <utility>
#include <vector>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

/// Version of the snapshot format; incremented when the format changes.
constexpr unsigned snapshot_format_version = 1;

struct named_claim
{
    shard_id shard;
    shard_claim claim;
};

json encode_claims(const std::map<shard_id, shard_claim>& claims)
{
    json list = json::array();
    for (const auto& [shard, claim] : claims)
    {
        list.push_back(json::array(
            {shard.str(),
             claim.owner.str(),
             claim.owner_address,
             claim.epoch,
             claim.released,
             claim.successor.str()}));
    }
    return list;
}

result<named_claim> decode_claim(const json& value)
{
    named_claim made;
    array_reader items(value, "claim");
    items.next(made.shard)
        .next(made.claim.owner)
        .next(made.claim.owner_address)
        .next(made.claim.epoch)
        .next(made.claim.released)
        .next(made.claim.successor);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return made;
}

} // namespace

std::string cell_state::to_snapshot() const
{
    return to_msgpack_text(json::array(
        {snapshot_format_version,
         applied_through_,
         inventory_revision_,
         to_compact(inventory_),
         rules_revision_,
         to_compact(rules_),
         keys_.to_compact(),
         marks_.to_compact(),
         encode_claims(claims_),
         allowances_.to_compact(),
         ids_.encode()}));
}

result<cell_state> cell_state::from_snapshot(std::string_view encoded)
{
    result<json> parsed = parse_msgpack(encoded);
    if (!parsed)
    {
        return tl::unexpected(std::move(parsed.error()));
    }
    cell_state made;
    unsigned form = 0;
    std::vector<named_claim> claims;
    std::string ids;
    array_reader items(*parsed, "snapshot");
    items.next(form)
        .next(made.applied_through_)
        .next(made.inventory_revision_)
        .next(made.inventory_, inventory_from_compact)
        .next(made.rules_revision_)
        .next(made.rules_, rules_from_compact)
        .next(made.keys_, key_ring::from_compact)
        .next(made.marks_, worker_marks::from_compact)
        .next_list(claims, decode_claim)
        .next(made.allowances_, allowance_book::from_compact)
        .next(ids);
    auto checked = items.finish();
    auto window = record_id_window::decode(ids);
    if (!checked || !window || form != snapshot_format_version)
    {
        return refuse(
            refusal_code::malformed,
            "invalid cell snapshot or unsupported format version");
    }
    for (named_claim& read : claims)
    {
        made.claims_.emplace(std::move(read.shard), std::move(read.claim));
    }
    made.ids_ = std::move(*window);
    return made;
}

} // namespace acaciastile
