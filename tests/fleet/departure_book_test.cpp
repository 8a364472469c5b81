#include "fleet/departure_book.hpp"
#include "fleet/records.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using fleet::departure_book;

TEST_CASE("a departure covers drops up to its own", "[departures]")
{
    departure_book book;
    const worker_id worker("w0");
    CHECK_FALSE(book.covers(worker, 7));
    book.note(worker, 7);
    CHECK(book.covers(worker, 7));
    CHECK(book.covers(worker, 5));
    // It was listed again and dropped once more.
    CHECK_FALSE(book.covers(worker, 9));
}

TEST_CASE("a departure is stored once and forgotten with its history")
{
    departure_book book;
    const worker_id worker("w0");
    book.note(worker, 7);
    book.note(worker, 7);
    const auto stored = book.take_news();
    REQUIRE(stored.size() == 1);
    CHECK(departure_book::worker_of(stored.front().key) == worker);
    CHECK_FALSE(departure_book::worker_of("5c0e7a21d94b36f8").has_value());
    const auto read = fleet::decode_departure_record(stored.front().value);
    REQUIRE(read.has_value());
    CHECK(read->dropped_at == 7);
    CHECK_FALSE(book.has_news());
    CHECK(book.forget_before(7).empty());
    const auto dropped = book.forget_before(8);
    REQUIRE(dropped.size() == 1);
    CHECK(dropped.front().value.empty());
    CHECK_FALSE(book.covers(worker, 7));
}
