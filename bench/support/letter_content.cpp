#include "support/letter_content.hpp"

#include "support/letter_size.hpp"

#include <utility>

namespace acaciastile::bench
{

worker_entry make_worker(std::size_t number)
{
    const std::size_t centre = number % letter::data_centres;
    const std::size_t place = number / letter::data_centres;
    const std::string in_centre = "dc" + std::to_string(centre);
    worker_entry made;
    made.id = worker_id("worker-" + std::to_string(number));
    made.data_centre = data_centre_name("region-1-" + in_centre);
    made.rack = rack_name(
        in_centre + "-rack-" + std::to_string(place / letter::workers_in_rack));
    made.address = "10.1." + std::to_string(number % 250) + "." +
                   std::to_string(number / 250) + ":7070";
    made.capacity = {32'000, 65'536, number % 4 == 0 ? 8 : 0};
    return made;
}

std::vector<worker_entry> make_workers(std::size_t count)
{
    std::vector<worker_entry> list;
    list.reserve(count);
    for (std::size_t number = 0; number < count; ++number)
    {
        list.push_back(make_worker(number));
    }
    return list;
}

inventory make_inventory(std::size_t count)
{
    return inventory::create(make_workers(count)).value();
}

team_name make_team(std::size_t number)
{
    return team_name("team-" + std::to_string(number));
}

rules make_rules(std::size_t teams)
{
    std::vector<team_rule> list;
    for (std::size_t number = 0; number < teams; ++number)
    {
        list.push_back({make_team(number), 1, {4'000'000, 8'000'000, 1'000}});
    }
    queue_rule queue;
    queue.name = queue_name("nightly");
    return rules::create(std::move(list), {queue}).value();
}

key_entry generate_key(std::size_t number, std::size_t teams)
{
    constexpr std::size_t salt_digits = 32;
    constexpr std::size_t hash_digits = 64;
    return {
        key_id("key-" + std::to_string(number)),
        make_team(number % teams),
        key_right::caller,
        std::string(salt_digits, 'a'),
        std::string(hash_digits, 'b')};
}

shard_id make_shard(std::size_t number)
{
    return shard_id(
        "region-1-dc" + std::to_string(number % letter::data_centres) + "/" +
        std::to_string(number / letter::data_centres));
}

job_spec make_job(std::size_t number, std::uint32_t tasks)
{
    constexpr std::size_t payload_bytes = 100;
    job_spec spec;
    spec.id = job_id("reconcile-2026-12-" + std::to_string(number));
    spec.team = make_team(number % letter::teams);
    spec.queue = queue_name("nightly");
    spec.name = "reconcile";
    spec.tasks = tasks;
    spec.each = {2'000, 4'096, 0};
    spec.run_time = milliseconds{90'000};
    spec.payload = std::string(payload_bytes, 'p');
    return spec;
}

std::string make_record_id(std::uint64_t number)
{
    return "e17-3f2a91c0-" + std::to_string(number);
}

} // namespace acaciastile::bench
