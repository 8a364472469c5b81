#include "cli/dev/cell_setup.hpp"

#include "cli/api_client.hpp"
#include "codec/document_codec.hpp"

#include <chrono>
#include <thread>

namespace acaciastile
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

namespace
{

constexpr milliseconds poll_pause{50};

/// One operator at one instance, with patience for what passes by itself.
class patient_operator
{
public:
    patient_operator(std::unique_ptr<api_client> client, milliseconds bound)
        : client_(std::move(client)), until_(steady::now() + bound)
    {
    }

    result<json> call(
        const std::string& method,
        const std::string& path,
        const std::string& body = "")
    {
        for (;;)
        {
            auto answer = client_->call(method, path, body);
            if (answer || answer.error().effect != verdict::not_run ||
                !passes(answer.error().code) || over())
            {
                return answer;
            }
            std::this_thread::sleep_for(poll_pause);
        }
    }

    [[nodiscard]] bool over() const { return steady::now() >= until_; }

private:
    static bool passes(refusal_code code)
    {
        return code == refusal_code::log_unavailable ||
               code == refusal_code::no_owner ||
               code == refusal_code::overloaded ||
               code == refusal_code::shutting_down ||
               code == refusal_code::stale_configuration;
    }

    std::unique_ptr<api_client> client_;
    steady::time_point until_;
};

result<patient_operator>
connect(const mix_target& target, const std::string& address)
{
    client_settings settings;
    settings.address = address;
    settings.key = target.operator_key;
    auto client = api_client::create(settings);
    if (!client)
    {
        return tl::unexpected(client.error());
    }
    return patient_operator(*std::move(client), target.bound);
}

result<void> wait_ready(const mix_target& target)
{
    for (const std::string& address : target.addresses)
    {
        auto at = connect(target, address);
        if (!at)
        {
            return tl::unexpected(at.error());
        }
        if (auto ready = at->call("GET", "/ready"); !ready)
        {
            return tl::unexpected(ready.error());
        }
    }
    return {};
}

result<std::uint64_t>
put(patient_operator& at, const std::string& path, const std::string& document)
{
    auto answer = at.call("PUT", path + "?base=0", document);
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    return answer->value("in_force", std::uint64_t{0});
}

/// Grants a key to every team. A call whose outcome is unknown is not
/// repeated: the keys would then be two.
result<void>
grant_keys(patient_operator& at, const rules& sample, mix_target& to)
{
    for (const team_rule& team : sample.teams())
    {
        const json body{{"team", team.name.str()}};
        auto granted = at.call("POST", "/v1/keys", body.dump());
        if (!granted)
        {
            return tl::unexpected(granted.error());
        }
        to.keys[team.name] = granted->value("key", "");
    }
    return {};
}

/// True where every instance has these revisions and this offset.
bool is_in_force(
    const json& instances,
    std::uint64_t inventory_revision,
    std::uint64_t rules_revision,
    std::uint64_t newest)
{
    for (const json& each : instances)
    {
        if (each.value("inventory_revision", std::uint64_t{0}) <
                inventory_revision ||
            each.value("rules_revision", std::uint64_t{0}) < rules_revision ||
            each.value("folded", std::uint64_t{0}) < newest)
        {
            return false;
        }
    }
    return true;
}

std::uint64_t newest_folded(const json& instances)
{
    std::uint64_t newest = 0;
    for (const json& each : instances)
    {
        newest = std::max(newest, each.value("folded", std::uint64_t{0}));
    }
    return newest;
}

result<void> wait_in_force(
    patient_operator& at,
    std::size_t instances,
    std::uint64_t inventory_revision,
    std::uint64_t rules_revision)
{
    std::uint64_t newest = 0;
    while (!at.over())
    {
        auto answer = at.call("GET", "/v1/configuration");
        if (!answer)
        {
            return tl::unexpected(answer.error());
        }
        const json list = answer->value("instances", json::array());
        if (newest == 0)
        {
            newest = newest_folded(list);
        }
        if (list.size() == instances &&
            is_in_force(list, inventory_revision, rules_revision, newest))
        {
            return {};
        }
        std::this_thread::sleep_for(poll_pause);
    }
    return refuse(
        refusal_code::deadline_exceeded,
        "the configuration is not in force at every instance");
}

} // namespace

result<mix_target>
set_cell_up(mix_target target, const inventory& workers, const rules& sample)
{
    auto at = connect(target, target.addresses.front());
    if (!at)
    {
        return tl::unexpected(at.error());
    }
    auto inventory_revision = put(*at, "/v1/inventory", to_json_text(workers));
    if (!inventory_revision)
    {
        return tl::unexpected(inventory_revision.error());
    }
    auto rules_revision = put(*at, "/v1/rules", to_json_text(sample));
    if (!rules_revision)
    {
        return tl::unexpected(rules_revision.error());
    }
    if (auto granted = grant_keys(*at, sample, target); !granted)
    {
        return tl::unexpected(granted.error());
    }
    auto in_force = wait_in_force(
        *at, target.addresses.size(), *inventory_revision, *rules_revision);
    if (!in_force)
    {
        return tl::unexpected(in_force.error());
    }
    if (auto ready = wait_ready(target); !ready)
    {
        return tl::unexpected(ready.error());
    }
    return target;
}

} // namespace acaciastile
