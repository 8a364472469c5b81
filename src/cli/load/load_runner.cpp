#include "cli/load/load_runner.hpp"

#include "cli/text_file.hpp"

#include <absl/strings/strip.h>
#include <atomic>
#include <random>
#include <thread>

namespace acaciastile
{

using nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::microseconds;

namespace
{

constexpr double microseconds_in_second = 1e6;
constexpr microseconds head_start{100'000};
constexpr int first_error_status = 400;

/// One sender with its connections: one for each address and call.
class sender
{
public:
    sender(
        const load_scenario& scenario,
        const std::vector<client_settings>& targets,
        const std::string& run_name)
        : scenario_(scenario), targets_(targets), run_name_(run_name)
    {
    }

    void send(std::size_t number, steady::time_point start, load_sample& to)
    {
        const load_call& call = scenario_.calls[to.arrival.call];
        api_client& client = client_for(number, to.arrival.call);
        json body = call.body;
        if (call.method == "POST")
        {
            body["id"] =
                call.name + "-" + run_name_ + "-" + std::to_string(number);
        }
        const steady::time_point intended = start + to.arrival.at;
        std::this_thread::sleep_until(intended);
        const auto answer = client.send(
            call.method,
            call.path,
            call.method == "POST" ? body.dump() : std::string());
        to.latency =
            std::chrono::duration_cast<microseconds>(steady::now() - intended);
        note(answer, to);
    }

private:
    static void note(const result<client_answer>& answer, load_sample& to)
    {
        if (!answer)
        {
            to.code = to_string(answer.error().code);
            to.effect = answer.error().effect;
            return;
        }
        to.status = answer->status;
        if (answer->status >= first_error_status)
        {
            const error refused = read_error_answer(*answer);
            to.code = to_string(refused.code);
            to.effect = refused.effect;
        }
    }

    api_client& client_for(std::size_t number, std::size_t call)
    {
        const std::size_t target = number % targets_.size();
        auto& made = clients_[{target, call}];
        if (!made)
        {
            client_settings settings = targets_[target];
            const std::string& file = scenario_.calls[call].key_file;
            if (!file.empty())
            {
                const std::string text = read_text_file(file).value_or("");
                settings.key = std::string(absl::StripAsciiWhitespace(text));
            }
            made = api_client::create(settings).value();
        }
        return *made;
    }

    const load_scenario& scenario_;
    const std::vector<client_settings>& targets_;
    const std::string& run_name_;
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<api_client>>
        clients_;
};

std::vector<double> weights_of(const load_scenario& scenario)
{
    std::vector<double> weights;
    for (const load_call& each : scenario.calls)
    {
        weights.push_back(each.weight);
    }
    return weights;
}

} // namespace

std::vector<load_arrival>
plan_arrivals(const load_scenario& scenario, double rate)
{
    std::mt19937_64 random(scenario.seed);
    std::exponential_distribution<double> gap(rate / microseconds_in_second);
    const std::vector<double> weights = weights_of(scenario);
    std::discrete_distribution<std::size_t> pick(
        weights.begin(), weights.end());
    std::vector<load_arrival> planned;
    double at = gap(random);
    while (at < double(microseconds(scenario.duration).count()) &&
           planned.size() < most_load_calls)
    {
        planned.push_back(
            {microseconds(static_cast<std::int64_t>(at)), pick(random)});
        at += gap(random);
    }
    return planned;
}

load_run run_load(
    const load_scenario& scenario,
    double rate,
    const std::vector<client_settings>& targets,
    const std::string& run_name)
{
    load_run run;
    run.rate = rate;
    for (const load_arrival& each : plan_arrivals(scenario, rate))
    {
        run.samples.emplace_back().arrival = each;
    }
    const steady::time_point start = steady::now() + head_start;
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::size_t count = 0; count < scenario.callers; ++count)
    {
        threads.emplace_back(
            [&]
            {
                sender own(scenario, targets, run_name);
                for (std::size_t at = next++; at < run.samples.size();
                     at = next++)
                {
                    own.send(at, start, run.samples[at]);
                }
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    return run;
}

} // namespace acaciastile
