#include "fleet/noted_run_table.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using fleet::noted_run;
using fleet::noted_run_table;

namespace
{

noted_run with_run(fleet::run_number run)
{
    return {
        {worker_id("w0"), "10.0.0.7:80", 3},
        {{{{job_id("a"), 0, 1}, 2}, run}, fleet::crash_blame::sole}};
}

} // namespace

TEST_CASE("a noted run is stored, read back and deleted")
{
    noted_run_table notes;
    notes.note(with_run(7));
    const auto stored = notes.take_changes();
    REQUIRE(stored.size() == 1);
    CHECK(noted_run_table::is_key(stored.front().key));
    const auto read = fleet::decode_noted_run(stored.front().value);
    REQUIRE(read);
    CHECK(read->worker.id == worker_id("w0"));
    CHECK(read->worker.address == "10.0.0.7:80");
    CHECK(read->worker.incarnation == 3);
    CHECK(read->blamed == with_run(7).blamed);
    // An owner of an earlier build reports it as unreadable.
    CHECK_FALSE(fleet::decode_job_progress(stored.front().value));
    notes.remove(with_run(8).blamed.run);
    CHECK_FALSE(notes.has_changes());
    notes.remove(with_run(7).blamed.run);
    const auto deleted = notes.take_changes();
    REQUIRE(deleted.size() == 1);
    CHECK(deleted.front().key == stored.front().key);
    CHECK(deleted.front().value.empty());
}

TEST_CASE("a restored note is taken once, by its worker or its address")
{
    noted_run_table notes;
    notes.restore(with_run(7));
    CHECK(notes.take_restored({worker_id("w1"), "10.0.0.8:80", 3}).empty());
    CHECK(notes.take_restored({worker_id("w1"), "10.0.0.7:80", 9}).size() == 1);
    CHECK(notes.take_restored({worker_id("w0"), "10.0.0.7:80", 4}).empty());
    CHECK_FALSE(notes.has_changes());
    notes.restore(with_run(8));
    notes.remove_restored();
    CHECK(notes.take_changes().size() == 1);
    CHECK(notes.take_restored({worker_id("w0"), "10.0.0.7:80", 4}).empty());
}
