#pragma once

#include "domain/metric_sink.hpp"

#include <memory>
#include <string>

namespace acaciastile
{

/// Collects measurements and writes them in the text format of Prometheus.
/// Thread-safe.
class metrics final : public metric_sink
{
public:
    [[nodiscard]] static std::unique_ptr<metrics> create();

    ~metrics() override;
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void count(
        std::string_view name, std::string_view label, double amount) override;
    void sample(
        std::string_view name, std::string_view label, double value) override;
    void
    gauge(std::string_view name, std::string_view label, double value) override;

    /// All measurements in the text exposition format of Prometheus: counters
    /// as `_total`, distributions as summaries with p50 and p99.
    [[nodiscard]] std::string expose() const;

    /// Sum of a counter over all of its labels; zero if nothing was counted.
    [[nodiscard]] double total(std::string_view name) const;

private:
    struct series_store;

    explicit metrics(std::unique_ptr<series_store> series);

    std::unique_ptr<series_store> series_;
};

} // namespace acaciastile
