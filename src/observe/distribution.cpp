#include "observe/distribution.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace acaciastile
{

namespace acc = boost::accumulators;

namespace
{

constexpr std::array<double, 2> probabilities{
    distribution::p50_probability, distribution::p99_probability};
constexpr std::size_t p50_index = 0;
constexpr std::size_t p99_index = 1;

/// The nearest-rank quantile.
double exact_quantile(std::vector<double> values, double probability)
{
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(
        std::ceil(probability * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

} // namespace

distribution::distribution()
    : samples_(acc::tag::extended_p_square::probabilities = probabilities)
{
}

void distribution::add(double value)
{
    samples_(value);
    if (exact_values_.size() < max_exact_samples)
    {
        exact_values_.push_back(value);
    }
}

std::size_t distribution::count() const
{
    return acc::count(samples_);
}

double distribution::sum() const
{
    return acc::sum(samples_);
}

double distribution::max() const
{
    return count() == 0 ? 0.0 : acc::max(samples_);
}

double distribution::p50() const
{
    return quantile(p50_index, p50_probability);
}

double distribution::p99() const
{
    return quantile(p99_index, p99_probability);
}

double distribution::quantile(std::size_t index, double probability) const
{
    if (count() == 0)
    {
        return 0.0;
    }
    if (count() <= max_exact_samples)
    {
        return exact_quantile(exact_values_, probability);
    }
    return acc::extended_p_square(samples_)[index];
}

} // namespace acaciastile
