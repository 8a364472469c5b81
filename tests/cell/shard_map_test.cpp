#include "cell/shard_map.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace acaciastile;

namespace
{

constexpr std::size_t rack_size = 6;

std::string numbered(const std::string& prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

std::vector<worker_entry> make_workers(std::size_t centres, std::size_t each)
{
    std::vector<worker_entry> workers;
    for (std::size_t dc = 0; dc < centres; ++dc)
    {
        const std::string centre = numbered("dc", dc);
        for (std::size_t n = 0; n < each; ++n)
        {
            worker_entry entry;
            entry.id = worker_id(numbered(centre + "-w", n));
            entry.data_centre = data_centre_name(centre);
            entry.rack = rack_name(numbered(centre + "-r", n / rack_size));
            entry.capacity = {32'000, 65'536, 0};
            workers.push_back(entry);
        }
    }
    return workers;
}

inventory make_inventory(std::size_t centres, std::size_t each)
{
    return inventory::create(make_workers(centres, each)).value();
}

std::vector<member> make_members(std::size_t centres, std::size_t each)
{
    std::vector<member> members;
    for (std::size_t dc = 0; dc < centres; ++dc)
    {
        const std::string centre = numbered("dc", dc);
        for (std::size_t n = 0; n < each; ++n)
        {
            member one;
            one.id = instance_id(numbered(centre + "-i", n));
            one.data_centre = data_centre_name(centre);
            members.push_back(one);
        }
    }
    return members;
}

std::map<shard_id, instance_id>
owners(const shard_map& map, const std::vector<member>& alive)
{
    std::map<shard_id, instance_id> ids;
    for (const auto& [shard, owner] : preferred_owners(map, alive))
    {
        ids[shard] = owner.id;
    }
    return ids;
}

std::size_t moved(
    const std::map<shard_id, instance_id>& before,
    const std::map<shard_id, instance_id>& after)
{
    std::size_t count = 0;
    for (const auto& [shard, owner] : before)
    {
        count += after.at(shard) == owner ? 0 : 1;
    }
    return count;
}

} // namespace

TEST_CASE("every worker is in one shard of its data centre", "[shard_map]")
{
    const inventory workers = make_inventory(24, 959);
    const shard_map map = shard_map::create(workers, 128);
    CHECK(map.shards().size() == 24 * 8);
    std::size_t total = 0;
    std::size_t largest = 0;
    std::size_t smallest = 1'000;
    for (const shard_info& shard : map.shards())
    {
        total += shard.workers.size();
        largest = std::max(largest, shard.workers.size());
        smallest = std::min(smallest, shard.workers.size());
        for (const worker_entry& entry : shard.workers)
        {
            REQUIRE(entry.data_centre == shard.data_centre);
            REQUIRE(map.shard_of(entry.id) == &shard);
        }
        REQUIRE(map.find(shard.id) == &shard);
    }
    CHECK(total == workers.workers().size());
    CHECK(largest <= 160);
    CHECK(smallest >= 1);
    WARN("largest " << largest << " smallest " << smallest);
    CHECK(map.find(shard_id("dc0/99")) == nullptr);
    CHECK(map.shard_of(worker_id("nobody")) == nullptr);
}

TEST_CASE("a rack is never split, also where it is large", "[shard_map]")
{
    std::mt19937_64 random(11);
    for (int round = 0; round < 50; ++round)
    {
        std::vector<worker_entry> workers = make_workers(2, 300);
        for (worker_entry& entry : workers)
        {
            const std::size_t rack = random() % 9 * (random() % 5);
            entry.rack = rack_name(numbered("r", rack));
        }
        const auto listed = inventory::create(workers).value();
        const shard_map map = shard_map::create(listed, 32);
        std::map<std::pair<data_centre_name, rack_name>, std::set<shard_id>>
            seen;
        for (const shard_info& shard : map.shards())
        {
            for (const worker_entry& entry : shard.workers)
            {
                seen[{entry.data_centre, entry.rack}].insert(shard.id);
            }
        }
        for (const auto& [rack, shards] : seen)
        {
            REQUIRE(shards.size() == 1);
        }
    }
}

TEST_CASE("the map depends on the inventory alone", "[shard_map]")
{
    std::vector<worker_entry> workers = make_workers(3, 400);
    const auto first =
        shard_map::create(inventory::create(workers).value(), 64);
    std::mt19937_64 random(5);
    std::shuffle(workers.begin(), workers.end(), random);
    const auto second =
        shard_map::create(inventory::create(workers).value(), 64);
    REQUIRE(first.shards().size() == second.shards().size());
    for (std::size_t at = 0; at < first.shards().size(); ++at)
    {
        CHECK(first.shards()[at].workers == second.shards()[at].workers);
    }
}

TEST_CASE("a new rack moves few of the others", "[shard_map]")
{
    const shard_map before = shard_map::create(make_inventory(1, 954), 128);
    const inventory grown = make_inventory(1, 960);
    const shard_map after = shard_map::create(grown, 128);
    std::size_t changed = 0;
    for (const worker_entry& entry : grown.workers())
    {
        const shard_info* old = before.shard_of(entry.id);
        if (old != nullptr && old->id != after.shard_of(entry.id)->id)
        {
            ++changed;
        }
    }
    WARN(changed << " workers moved");
    CHECK(changed <= 2 * rack_size);
}

TEST_CASE("the hash is pinned: ids keep their home", "[shard_map]")
{
    // If these values change, an upgrade of a running cell looks for existing
    // jobs in the wrong shards.
    const shard_map map = shard_map::create(make_inventory(2, 400), 128);
    REQUIRE(map.shards().size() == 8);
    CHECK(map.home_of("order-1")->id.str() == "dc1/2");
    CHECK(map.home_of("order-2")->id.str() == "dc0/1");
    CHECK(map.home_of("")->id.str() == "dc1/1");
    CHECK(shard_map{}.home_of("order-1") == nullptr);
}

TEST_CASE("homes are spread evenly and stay when a centre goes", "[shard_map]")
{
    const shard_map all = shard_map::create(make_inventory(4, 500), 128);
    const shard_map three = shard_map::create(make_inventory(3, 500), 128);
    std::map<shard_id, int> count;
    for (int n = 0; n < 16'000; ++n)
    {
        const std::string id = numbered("job-", static_cast<std::size_t>(n));
        const shard_id home = all.home_of(id)->id;
        ++count[home];
        if (three.find(home) != nullptr)
        {
            REQUIRE(three.home_of(id)->id == home);
        }
    }
    REQUIRE(count.size() == 16);
    for (const auto& [shard, jobs] : count)
    {
        CHECK(jobs > 850);
        CHECK(jobs < 1'150);
    }
}

TEST_CASE("an owner is of the shard's own data centre if any", "[shard_map]")
{
    const shard_map map = shard_map::create(make_inventory(3, 300), 64);
    std::vector<member> alive = make_members(2, 3);
    for (const shard_info& shard : map.shards())
    {
        const member* owner = preferred_owner(shard, alive);
        REQUIRE(owner != nullptr);
        if (shard.data_centre.str() != "dc2")
        {
            CHECK(owner->data_centre == shard.data_centre);
        }
    }
    CHECK(owners(map, alive).size() == map.shards().size());
    CHECK(preferred_owner(map.shards().front(), {}) == nullptr);
    CHECK(preferred_owners(map, {}).empty());
}

TEST_CASE("owners are spread within the bound", "[shard_map]")
{
    const shard_map map = shard_map::create(make_inventory(24, 959), 128);
    const std::vector<member> alive = make_members(24, 9);
    std::map<instance_id, int> plain;
    std::map<instance_id, int> bounded;
    for (const shard_info& shard : map.shards())
    {
        ++plain[preferred_owner(shard, alive)->id];
    }
    for (const auto& [shard, owner] : owners(map, alive))
    {
        ++bounded[owner];
    }
    int worst_plain = 0;
    for (const auto& [owner, count] : plain)
    {
        worst_plain = std::max(worst_plain, count);
    }
    WARN(
        "plain: most " << worst_plain << ", members without "
                       << alive.size() - plain.size());
    CHECK(worst_plain > 1);
    for (const auto& [owner, count] : bounded)
    {
        CHECK(count == 1);
    }
}

TEST_CASE("the loss of a member moves few shards", "[shard_map]")
{
    const shard_map map = shard_map::create(make_inventory(24, 959), 128);
    const std::vector<member> alive = make_members(24, 9);
    const auto before = owners(map, alive);
    std::size_t total = 0;
    std::size_t worst = 0;
    for (std::size_t lost = 0; lost < alive.size(); ++lost)
    {
        std::vector<member> left = alive;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(lost));
        const std::size_t count = moved(before, owners(map, left));
        total += count;
        worst = std::max(worst, count);
    }
    const double mean =
        static_cast<double>(total) / static_cast<double>(alive.size());
    WARN("shards moved on a loss: mean " << mean << ", most " << worst);
    CHECK(mean < 3.0);
    CHECK(worst <= 8);
}
