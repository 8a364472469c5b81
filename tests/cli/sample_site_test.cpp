#include "cli/sample_site.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace acaciastile;

namespace
{

std::size_t count_data_centres(const inventory& of)
{
    std::set<data_centre_name> found;
    for (const worker_entry& each : of.workers())
    {
        found.insert(each.data_centre);
    }
    return found.size();
}

std::size_t largest_rack(const inventory& of)
{
    std::map<rack_name, std::size_t> racks;
    std::size_t largest = 0;
    for (const worker_entry& each : of.workers())
    {
        largest = std::max(largest, ++racks[each.rack]);
    }
    return largest;
}

resources total(const inventory& of)
{
    resources sum;
    for (const worker_entry& each : of.workers())
    {
        sum += each.capacity;
    }
    return sum;
}

} // namespace

TEST_CASE("the samples have the sizes of the sites", "[sample]")
{
    const auto almaty = make_sample_inventory(sample_site::almaty, "a");
    CHECK(almaty.workers().size() == 50);
    CHECK(count_data_centres(almaty) == 4);
    CHECK(largest_rack(almaty) == 6);
    CHECK(total(almaty).milli_processors == 50 * 32'000);
    const auto both = make_sample_inventory(sample_site::both, "a");
    CHECK(both.workers().size() == 100);
    CHECK(count_data_centres(both) == 8);
}

TEST_CASE("the sample of the letter has its size", "[sample]")
{
    const auto letter = make_sample_inventory(sample_site::letter, "a");
    CHECK(letter.workers().size() == 23'000);
    CHECK(total(letter).accelerators == 41'000);
    CHECK(count_data_centres(letter) == 24);
    CHECK(make_sample_rules(sample_site::letter).teams().size() == 650);
}

TEST_CASE("an unknown site is refused", "[sample]")
{
    CHECK_FALSE(parse_sample_site("london").has_value());
    CHECK(parse_sample_site("letter").value() == sample_site::letter);
}
