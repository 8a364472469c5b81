#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cstddef>
#include <vector>

namespace acaciastile
{

/// Count, sum, maximum and quantiles of samples. The quantiles are exact up to
/// `exact_samples`, then estimated by the P-square algorithm (Jain and
/// Chlamtac, 1985) in constant space.
class distribution
{
public:
    static constexpr std::size_t exact_samples = 64;
    static constexpr double median = 0.5;
    static constexpr double tail = 0.99;

    distribution();

    void add(double value);

    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] double sum() const;
    [[nodiscard]] double max() const;
    /// Zero where there is no sample yet.
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
    std::vector<double> first_;
};

} // namespace acaciastile
