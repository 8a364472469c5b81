#include "fleet/absent_worker_table.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace acaciastile;
using fleet::absence_record;
using fleet::absent_worker_table;

namespace
{

const worker_id worker("w0");

absence_record with_runs(std::vector<fleet::run_number> runs)
{
    absence_record absence{3, "10.0.0.7:80", {}};
    for (const fleet::run_number run : runs)
    {
        absence.runs.emplace_back(fleet::task_ref{{job_id("a"), 0, 1}, 2}, run);
    }
    return absence;
}

} // namespace

TEST_CASE("an absence is stored once and again if it lists too few runs")
{
    absent_worker_table absences;
    absences.record_absence(worker, with_runs({1, 2}));
    CHECK(absences.take_changes().size() == 1);
    absences.record_absence(worker, with_runs({1, 2}));
    // A record that lists too many runs is kept.
    absences.record_absence(worker, with_runs({2}));
    CHECK(absences.take_changes().empty());
    absences.record_absence(worker, with_runs({2, 5}));
    CHECK(absences.take_changes().size() == 1);
    absences.record_absence(worker, with_runs({}));
    CHECK(absences.take_changes().size() == 1);
}

TEST_CASE("an absence counts until its removal is stored")
{
    absent_worker_table absences;
    CHECK_FALSE(absences.is_recorded(worker));
    absences.record_absence(worker, with_runs({1}));
    CHECK(absences.is_recorded(worker));
    static_cast<void>(absences.take_changes());
    absences.confirm_stored();
    CHECK(absences.is_recorded(worker));
    absences.remove_absence(worker);
    CHECK(absences.is_recorded(worker));
    const auto changes = absences.take_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().value.empty());
    CHECK(absences.is_recorded(worker));
    absences.confirm_stored();
    CHECK_FALSE(absences.is_recorded(worker));
}

TEST_CASE("an absence record survives encoding and decoding")
{
    const absence_record absence = with_runs({1, 7});
    const auto decoded = fleet::decode_absence_record(encode(absence));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == absence);
    CHECK(
        absent_worker_table::worker_of(absent_worker_table::key_of(worker)) ==
        worker);
    CHECK_FALSE(absent_worker_table::worker_of("5c0e7a21d94b36f8").has_value());
}

TEST_CASE("records of absence are read across builds")
{
    absence_record absence = with_runs({1, 7});
    absence.blamed.push_back(
        {{absence.runs[0].first, 1}, fleet::crash_blame::late});
    auto fields = nlohmann::json::from_msgpack(encode(absence));
    CHECK(fields.size() == 4); // As of builds that did not note drains.
    for (const bool drains : {false, true})
    {
        absence.announced_drain = drains;
        const std::string encoded = encode(absence);
        CHECK(fleet::decode_absence_record(encoded).value() == absence);
        // Builds read the fields that they know by position.
        auto later = nlohmann::json::from_msgpack(encoded);
        later.push_back("of a later build");
        std::string text;
        nlohmann::json::to_msgpack(later, text);
        CHECK(fleet::decode_absence_record(text).value() == absence);
    }
    fields.erase(3);
    std::string text;
    nlohmann::json::to_msgpack(fields, text);
    const auto oldest = fleet::decode_absence_record(text);
    REQUIRE(oldest.has_value());
    CHECK(oldest->runs == absence.runs);
    CHECK(oldest->blamed.empty());
    CHECK_FALSE(oldest->announced_drain.has_value());
}

TEST_CASE("an absence is stored again once its worker has announced to drain")
{
    absent_worker_table absences;
    absence_record absence = with_runs({1});
    absence.announced_drain = false;
    CHECK(absences.record_absence(worker, absence));
    CHECK_FALSE(absences.record_absence(worker, absence));
    absence.announced_drain = true;
    CHECK(absences.record_absence(worker, absence));
}
