#include "cli/dev/mix_runner.hpp"

#include "cli/api_client.hpp"
#include "codec/document_codec.hpp"
#include "codec/url_text.hpp"

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

namespace acaciastile
{

using nlohmann::json;
using namespace nlohmann::literals;

namespace
{

constexpr std::size_t callers = 24;
constexpr milliseconds poll_pause{100};
constexpr const char* never_granted = "nobody.0000000000000000";

/// One caller's connections: one for each instance and key.
class caller
{
public:
    explicit caller(const mix_target& target) : target_(target) {}

    api_client& client(std::size_t instance, const std::string& key)
    {
        const std::string& address =
            target_.addresses[instance % target_.addresses.size()];
        auto& made = clients_[{address, key}];
        if (!made)
        {
            client_settings settings;
            settings.address = address;
            settings.key = key;
            made = api_client::create(settings).value();
        }
        return *made;
    }

    [[nodiscard]] std::string key_for(const mix_item& item) const
    {
        switch (item.key)
        {
        case mix_key::own:
            return key_of(item.spec.team);
        case mix_key::none:
            return "";
        case mix_key::unknown:
            return never_granted;
        case mix_key::other:
            return key_of_other(item.spec.team);
        }
        return "";
    }

private:
    [[nodiscard]] std::string key_of(const team_name& team) const
    {
        auto at = target_.keys.find(team);
        return at == target_.keys.end() ? std::string() : at->second;
    }

    [[nodiscard]] std::string key_of_other(const team_name& team) const
    {
        for (const auto& [name, key] : target_.keys)
        {
            if (name != team)
            {
                return key;
            }
        }
        return "";
    }

    const mix_target& target_;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<api_client>>
        clients_;
};

void set_refused(const error& wrong, mix_result& to)
{
    to.code = wrong.code;
    to.outcome = wrong.effect == verdict::not_run ? mix_outcome::refused
                                                  : mix_outcome::unknown;
}

void send_item(caller& from, std::size_t index, mix_result& to)
{
    const mix_item& item = to.item;
    const bool is_request = item.spec.kind == job_kind::request;
    json body = to_json(item.spec);
    if (item.spec.team.empty())
    {
        body.erase("team");
    }
    api_client& client = from.client(index, from.key_for(item));
    const auto answer = client.call(
        "POST", is_request ? "/v1/requests" : "/v1/jobs", body.dump());
    if (!answer)
    {
        set_refused(answer.error(), to);
    }
    else if (is_request)
    {
        to.outcome = mix_outcome::ran;
    }
    else if (item.cancel)
    {
        const std::string path = "/v1/jobs/" + escape_url(item.spec.id.str());
        static_cast<void>(client.call("DELETE", path));
    }
}

/// Reads an outcome off a job's status.
mix_outcome outcome_of(const json& status, std::size_t& failed)
{
    const json& tasks = status.at("tasks");
    auto count = [&](const char* state)
    { return tasks.value(state, std::size_t{0}); };
    failed = count("failed");
    if (count("unknown") > 0)
    {
        return mix_outcome::unknown;
    }
    if (count("queued") + count("starting") > 0)
    {
        return mix_outcome::waiting;
    }
    if (count("running") > 0)
    {
        return mix_outcome::still_running;
    }
    return status.value("cancelled", false) ? mix_outcome::cancelled
                                            : mix_outcome::ran;
}

/// True where a later status may tell something else.
bool is_open(const mix_result& of)
{
    const bool service = of.item.spec.kind == job_kind::service;
    return of.outcome == mix_outcome::waiting ||
           of.outcome == mix_outcome::unknown ||
           (of.outcome == mix_outcome::still_running && !service);
}

void ask_status(
    caller& from,
    const std::string& operator_key,
    std::size_t index,
    mix_result& to)
{
    // The next instance, not the one that took it.
    api_client& client = from.client(index + 1, operator_key);
    const auto status =
        client.call("GET", "/v1/jobs/" + escape_url(to.item.spec.id.str()));
    if (status)
    {
        to.outcome = outcome_of(*status, to.failed_tasks);
        to.why = status->value("/why/sentence"_json_pointer, "");
    }
    else if (
        status.error().code == refusal_code::unknown_job &&
        to.outcome == mix_outcome::unknown)
    {
        to.outcome = mix_outcome::refused;
    }
}

/// Runs `work` for every result, by several callers at once.
void for_each_result(
    const mix_target& target,
    std::vector<mix_result>& results,
    const std::function<void(caller&, std::size_t, mix_result&)>& work)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    const std::size_t count = std::min(callers, results.size());
    for (std::size_t number = 0; number < count; ++number)
    {
        threads.emplace_back(
            [&]
            {
                caller own(target);
                for (std::size_t at = next++; at < results.size(); at = next++)
                {
                    work(own, at, results[at]);
                }
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
}

} // namespace

std::vector<mix_result> run_mix(
    const mix_target& target,
    const std::vector<mix_item>& items,
    const clock_source& clock)
{
    std::vector<mix_result> results;
    for (const mix_item& item : items)
    {
        results.push_back({item});
    }
    const instant until = clock.now() + target.bound;
    for_each_result(
        target,
        results,
        [&](caller& from, std::size_t index, mix_result& to)
        {
            to.sent = clock.now();
            send_item(from, index, to);
        });
    while (std::any_of(results.begin(), results.end(), is_open) &&
           clock.now() < until)
    {
        std::this_thread::sleep_for(poll_pause);
        for_each_result(
            target,
            results,
            [&](caller& from, std::size_t index, mix_result& to)
            {
                if (is_open(to))
                {
                    ask_status(from, target.operator_key, index, to);
                }
            });
    }
    return results;
}

} // namespace acaciastile
