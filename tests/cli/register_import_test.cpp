#include "cli/register_import.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using Catch::Matchers::Contains;

namespace
{

const std::string head =
    "id,data_centre,rack,address,processors,memory_gib,accelerators\n";

} // namespace

TEST_CASE("a register becomes an inventory", "[register]")
{
    const auto read = import_register(
        head + "w2, dc1, r1, 10.0.0.2:7000, 16, 64, 2\r\n\n"
               "w1,dc1,r1,10.0.0.1:7000,0.5,1.5,\n",
        "r.csv");
    REQUIRE(read.has_value());
    REQUIRE(read->workers().size() == 2);
    const worker_entry* first = read->find(worker_id("w1"));
    REQUIRE(first != nullptr);
    CHECK(first->capacity == resources{500, 1536, 0});
    const worker_entry* second = read->find(worker_id("w2"));
    REQUIRE(second != nullptr);
    CHECK(second->capacity == resources{16'000, 65'536, 2});
}

TEST_CASE("a wrong field of a register is told with its place", "[register]")
{
    const auto read =
        import_register(head + "w1,dc1,r1,a,many,64,0\n", "r.csv");
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().position == source_position{"r.csv", 2, 5});
    CHECK_THAT(read.error().message, Contains("processors: found 'many'"));
}

TEST_CASE("a register without a needed column is refused", "[register]")
{
    const auto read = import_register("id,rack\nw1,r1\n", "r.csv");
    REQUIRE_FALSE(read.has_value());
    CHECK_THAT(read.error().message, Contains("'data_centre'"));
    CHECK_FALSE(import_register("", "r.csv").has_value());
}

TEST_CASE("a register that lists a worker twice is refused", "[register]")
{
    const std::string line = "w1,dc1,r1,10.0.0.1:7000,16,64,0\n";
    CHECK_FALSE(import_register(head + line + line, "r.csv").has_value());
}
