#pragma once

#include <cstddef>
#include <iostream>
#include <map>
#include <string>

namespace acaciastile
{

/// The seeds of one property: `first` to `last`, both included.
struct seed_range
{
    unsigned first;
    unsigned last;
};

/// Adds up what a property looked at and prints the total with its last seed.
inline void report_property(
    const std::string& name, seed_range seeds, unsigned seed, std::size_t count)
{
    static std::map<std::string, std::size_t> totals;
    totals[name] += count;
    if (seed == seeds.last)
    {
        std::cout << "property '" << name << "': seeds " << seeds.first << "-"
                  << seeds.last << ", " << totals[name] << " records\n";
    }
}

} // namespace acaciastile
