#include "support/policy_workload.hpp"

#include "support/policy_job_shapes.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace acaciastile::bench
{

namespace
{

constexpr std::int64_t gib = 1024;

/// Generates one random workload.
class generator
{
public:
    explicit generator(const workload_settings& settings)
        : settings_(settings), random_(settings.seed)
    {
    }

    workload make()
    {
        made_.name = to_string(settings_.site);
        made_.horizon = settings_.horizon;
        make_fleet();
        make_rules();
        for (const job_shape& shape : shapes_of(settings_.site))
        {
            make_jobs(shape);
        }
        auto by_arrival = [](const planned_job& left, const planned_job& right)
        { return left.request.queued_at < right.request.queued_at; };
        std::stable_sort(made_.jobs.begin(), made_.jobs.end(), by_arrival);
        make_waves();
        make_faults();
        return std::move(made_);
    }

private:
    void make_fleet()
    {
        bool letter = settings_.site == workload_site::letter;
        int count = letter ? 230 : 50;
        int per_rack = letter ? 24 : 6;
        std::int64_t cores =
            settings_.site == workload_site::luz_andina ? 16 : 32;
        for (int at = 0; at < count; ++at)
        {
            worker_entry worker;
            worker.id = worker_id("w" + std::to_string(1000 + at));
            worker.rack = rack_name("r" + std::to_string(at / per_rack));
            worker.data_centre =
                data_centre_name("d" + std::to_string(at * 4 / count));
            worker.capacity = {cores * 1000, 64 * gib, 0};
            if (letter)
            {
                worker.capacity.memory_mib = 128 * gib;
                // One worker in nine has 16 accelerators: about 41,000 per
                // 23,000.
                bool accelerated = at % 9 == 0;
                worker.capacity.accelerators = accelerated ? 16 : 0;
                worker.capacity.milli_processors = accelerated ? 64000 : 32000;
            }
            total_ += worker.capacity;
            made_.workers.push_back(worker);
        }
    }

    void make_rules()
    {
        int teams = settings_.site == workload_site::letter ? 65 : 6;
        std::vector<team_rule> team_rules;
        resources limit = total_;
        limit.milli_processors = total_.milli_processors * 7 / 10;
        limit.memory_mib = total_.memory_mib * 7 / 10;
        for (int at = 0; at < teams; ++at)
        {
            team_rule team;
            team.name = team_name("team" + std::to_string(100 + at));
            team.share = static_cast<std::uint32_t>(
                std::max(1.0, std::round(40.0 / std::pow(at + 1, 0.8))));
            team.upper_limit = limit;
            team_rules.push_back(team);
            shares_.push_back(team.share);
        }
        made_.largest_team = team_rules.front().name;
        std::vector<queue_rule> queues;
        for (const auto& [policy, name] : work_class_names)
        {
            queue_rule queue;
            queue.name = queue_name(std::string(name));
            queue.policy = policy;
            queue.preemptible = policy == work_class::batch;
            queue.oversubscribe = policy == work_class::batch ||
                                  policy == work_class::gang ||
                                  policy == work_class::service;
            queues.push_back(queue);
        }
        made_.in_force = rules::create(team_rules, queues).value();
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    double log_uniform(double low, double high)
    {
        return std::exp(uniform(std::log(low), std::log(high)));
    }

    /// Three peaks, each 1/12 of the horizon, receive about 40% of all
    /// arrivals.
    milliseconds arrival()
    {
        double at = uniform(0.0, 1.0);
        if (uniform(0.0, 1.0) < 0.3)
        {
            double peak = 0.2 + 0.25 * std::floor(uniform(0.0, 3.0));
            at = peak + uniform(0.0, 1.0 / 12.0);
        }
        auto whole = static_cast<double>(settings_.horizon.count());
        return milliseconds(static_cast<std::int64_t>(at * whole));
    }

    milliseconds run_time(const job_shape& shape)
    {
        std::lognormal_distribution<double> drawn(
            std::log(shape.median_run_s), shape.sigma);
        double seconds = std::clamp(drawn(random_), 0.05, shape.longest_s);
        return milliseconds(static_cast<std::int64_t>(seconds * 1000));
    }

    void make_jobs(const job_shape& shape)
    {
        auto seconds = static_cast<double>(settings_.horizon.count()) / 1000.0;
        if (shape.part == 0.0)
        {
            auto count = static_cast<int>(shape.per_minute * seconds / 60.0);
            for (int at = 0; at < count; ++at)
            {
                make_job(shape, arrival());
            }
            return;
        }
        auto milli = static_cast<double>(total_.milli_processors);
        double wanted = settings_.load * shape.part * milli * seconds;
        double work = 0.0;
        bool service = shape.policy == work_class::service;
        while (work < wanted)
        {
            work += make_job(shape, service ? milliseconds(0) : arrival());
        }
    }

    /// Returns the job's true need in thousandths of a core, times seconds.
    double make_job(const job_shape& shape, milliseconds at)
    {
        planned_job job;
        job.policy = shape.policy;
        std::discrete_distribution<int> team(shares_.begin(), shares_.end());
        int team_at = team(random_);
        int variant = static_cast<int>(uniform(0.0, 4.0));
        job_request& request = job.request;
        request.job = job_id("j" + std::to_string(made_.jobs.size()));
        request.team = team_name("team" + std::to_string(100 + team_at));
        request.queue = queue_name(std::string(to_string(shape.policy)));
        request.kind = kind_of(shape.policy);
        request.name = std::string(shape.name) + "-" + std::to_string(variant);
        request.queued_at = instant(at);
        draw_size(shape, job, team_at * 16 + variant);
        auto tasks = static_cast<std::uint32_t>(
            log_uniform(shape.least_tasks, shape.most_tasks + 0.99));
        double work = 0.0;
        for (std::uint32_t index = 0; index < tasks; ++index)
        {
            request.waiting.push_back(index);
            bool service = shape.policy == work_class::service;
            bool same = request.kind == job_kind::gang && index > 0;
            job.true_run.push_back(
                service ? settings_.horizon * 2
                : same  ? job.true_run.front()
                        : run_time(shape));
            auto ran = std::min(settings_.horizon, job.true_run.back());
            work += static_cast<double>(job.true_each.milli_processors) *
                    static_cast<double>(ran.count()) / 1000.0;
        }
        double declared =
            static_cast<double>(job.true_run.front().count()) *
            log_uniform(1 / settings_.run_error, settings_.run_error);
        bool service = shape.policy == work_class::service;
        request.run_time =
            milliseconds(service ? 0 : static_cast<std::int64_t>(declared));
        bool long_enough = shape.policy == work_class::batch;
        job.fails_everywhere = long_enough && uniform(0.0, 1.0) < 0.01;
        made_.jobs.push_back(std::move(job));
        return work;
    }

    static job_kind kind_of(work_class policy)
    {
        switch (policy)
        {
        case work_class::service:
            return job_kind::service;
        case work_class::gang:
            return job_kind::gang;
        case work_class::batch:
            return job_kind::batch;
        default:
            return job_kind::request;
        }
    }

    /// True sizes vary by 10% around that of the team and job name; each team
    /// and name has one fixed error factor of its declared size.
    void draw_size(const job_shape& shape, planned_job& job, int group)
    {
        std::mt19937_64 of_group(
            settings_.seed * 1'000'003 +
            static_cast<std::uint64_t>(group) * 97 +
            static_cast<std::uint64_t>(shape.name[0]) * 7 +
            static_cast<std::uint64_t>(shape.most_milli));
        auto between = [&of_group](double low, double high)
        {
            std::uniform_real_distribution<double> part(
                std::log(low), std::log(high));
            return std::exp(part(of_group));
        };
        double milli = between(
            static_cast<double>(shape.least_milli),
            static_cast<double>(shape.most_milli));
        double mib = milli * static_cast<double>(shape.mib_per_milli_x1000) /
                     1000.0 * between(0.5, 2.0);
        double error =
            settings_.size_error <= 1.0
                ? 1.0
                : between(1.0 / settings_.size_error, settings_.size_error);
        double varied = uniform(0.9, 1.1);
        job.true_each = sized(milli * varied, mib * varied, shape.accelerators);
        bool tiny = shape.policy == work_class::urgent ||
                    shape.policy == work_class::status;
        if (settings_.size_error <= 1.0 || tiny)
        {
            // Accurate callers declare the maximum of what they use.
            job.request.each =
                sized(milli * 1.1, mib * 1.1, shape.accelerators);
            return;
        }
        job.request.each =
            sized(milli * error, mib * error, shape.accelerators);
    }

    resources sized(double milli, double mib, std::int64_t accelerators) const
    {
        const resources& one = made_.workers.back().capacity;
        auto processors = static_cast<std::int64_t>(milli);
        auto memory = static_cast<std::int64_t>(mib);
        std::int64_t most = one.milli_processors * 3 / 4;
        std::int64_t most_memory = one.memory_mib * 3 / 4;
        return {
            std::clamp<std::int64_t>(processors, 50, most),
            std::clamp<std::int64_t>(memory, 32, most_memory),
            accelerators};
    }

    /// Jobs of two teams are cancelled together, half a minute after a peak.
    void make_waves()
    {
        auto whole = settings_.horizon;
        for (planned_job& job : made_.jobs)
        {
            milliseconds arrived = job.request.queued_at.time_since_epoch();
            bool cancellable = job.policy == work_class::batch ||
                               job.policy == work_class::gang;
            if (!cancellable || uniform(0.0, 1.0) >= settings_.waves)
            {
                continue;
            }
            for (int wave = 1; wave <= 3; ++wave)
            {
                milliseconds at = whole * wave * 30 / 100;
                if (arrived < at && at - arrived < whole / 6)
                {
                    job.cancel_after = at - arrived;
                    break;
                }
            }
        }
    }

    void make_faults()
    {
        auto count = static_cast<std::size_t>(std::ceil(
            settings_.bad_part * static_cast<double>(made_.workers.size())));
        std::vector<std::uint32_t> order(made_.workers.size());
        for (std::uint32_t at = 0; at < order.size(); ++at)
        {
            order[at] = at;
        }
        std::shuffle(order.begin(), order.end(), random_);
        order.resize(settings_.bad_part > 0 ? count : 0);
        made_.bad_workers = order;
        made_.bad_from = settings_.horizon / 8;
    }

    workload_settings settings_;
    std::mt19937_64 random_;
    workload made_;
    resources total_;
    std::vector<double> shares_;
};

} // namespace

workload make_workload(const workload_settings& settings)
{
    return generator(settings).make();
}

std::string to_string(workload_site site)
{
    switch (site)
    {
    case workload_site::almaty:
        return "almaty";
    case workload_site::luz_andina:
        return "luz_andina";
    case workload_site::letter:
        return "letter/100";
    }
    return "unknown";
}

} // namespace acaciastile::bench
