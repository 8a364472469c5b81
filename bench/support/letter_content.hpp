#pragma once

#include "domain/cell_record.hpp"
#include "domain/inventory.hpp"
#include "domain/job_spec.hpp"
#include "domain/key_entry.hpp"
#include "domain/rules.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciastile::bench
{

/// Names, entries and records as long as those of a large site.
[[nodiscard]] worker_entry make_worker(std::size_t number);
[[nodiscard]] std::vector<worker_entry> make_workers(std::size_t count);
[[nodiscard]] inventory make_inventory(std::size_t count);

[[nodiscard]] team_name make_team(std::size_t number);
[[nodiscard]] rules make_rules(std::size_t teams);
[[nodiscard]] key_entry generate_key(std::size_t number, std::size_t teams);
[[nodiscard]] shard_id make_shard(std::size_t number);
[[nodiscard]] job_spec make_job(std::size_t number, std::uint32_t tasks);
[[nodiscard]] std::string make_record_id(std::uint64_t number);

} // namespace acaciastile::bench
