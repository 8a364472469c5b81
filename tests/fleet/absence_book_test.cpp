#include "fleet/absence_book.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using fleet::absence_book;
using fleet::absence_record;

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

TEST_CASE("a note is stored once and renewed where it says too little")
{
    absence_book book;
    book.record_absence(worker, with_runs({1, 2}));
    CHECK(book.take_changes().size() == 1);
    book.record_absence(worker, with_runs({1, 2}));
    book.record_absence(
        worker, with_runs({2})); // Says too much, which is safe.
    CHECK(book.take_changes().empty());
    book.record_absence(worker, with_runs({2, 5}));
    CHECK(book.take_changes().size() == 1);
    book.record_absence(worker, with_runs({}));
    CHECK(book.take_changes().size() == 1);
}

TEST_CASE("a worker stays noted until the store has taken that back")
{
    absence_book book;
    CHECK_FALSE(book.is_recorded(worker));
    book.record_absence(worker, with_runs({1}));
    CHECK(book.is_recorded(worker));
    static_cast<void>(book.take_changes());
    book.confirm_stored();
    CHECK(book.is_recorded(worker));
    book.remove_absence(worker);
    CHECK(book.is_recorded(worker));
    const auto news = book.take_changes();
    REQUIRE(news.size() == 1);
    CHECK(news.front().value.empty());
    CHECK(book.is_recorded(worker));
    book.confirm_stored();
    CHECK_FALSE(book.is_recorded(worker));
}

TEST_CASE("a note is read as it was written")
{
    const absence_record absence = with_runs({1, 7});
    const auto read = fleet::decode_absence_record(encode(absence));
    REQUIRE(read.has_value());
    CHECK(*read == absence);
    CHECK(absence_book::worker_of(absence_book::key_of(worker)) == worker);
    CHECK_FALSE(absence_book::worker_of("5c0e7a21d94b36f8").has_value());
}
