#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cstddef>
#include <vector>

namespace acaciastile
{

/// Count, sum, maximum and quantiles of samples. Quantiles are exact for up to
/// `max_exact_samples` samples; beyond that they are estimated in constant
/// space by the P-square algorithm (Jain and Chlamtac, 1985).
class distribution
{
public:
    static constexpr std::size_t max_exact_samples = 64;
    static constexpr double p50_probability = 0.5;
    static constexpr double p99_probability = 0.99;

    distribution();

    void add(double value);

    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] double sum() const;
    /// Zero if there are no samples.
    [[nodiscard]] double max() const;
    /// Quantiles; zero if there are no samples.
    [[nodiscard]] double p50() const;
    [[nodiscard]] double p99() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count,
            boost::accumulators::tag::sum,
            boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square>>;

    [[nodiscard]] double quantile(std::size_t index, double probability) const;

    accumulator samples_;
    std::vector<double> exact_values_;
};

} // namespace acaciastile
