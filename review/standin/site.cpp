#include "site.hpp"

#include <csignal>

namespace review
{

namespace
{

constexpr const char* service = "ledger";
constexpr const char* host = "jobs.example";
constexpr const char* prefix = "/queue/";
constexpr const char* api_key = "6x73d3zji9n73hh2b9wu";

} // namespace

site::site(world& world_in, std::string program, std::string folder)
    : in(world_in),
      registry(world_in),
      caller(world_in, host, prefix, api_key),
      program_(std::move(program)),
      folder_(std::move(folder))
{
}

void site::add_executors(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        executor_settings settings;
        settings.id = "i-" + std::to_string(executors.size() + 1);
        settings.service = service;
        settings.rack = "r1-" + std::to_string(executors.size() / 6 + 1);
        executors.push_back(
            std::make_unique<executor>(in, registry, group, settings));
    }
}

edge_vm& site::add_vm(std::map<std::string, std::string> extra)
{
    vms.push_back(std::make_unique<edge_vm>(
        in,
        program_,
        folder_,
        "vm-" + std::to_string(vms.size() + 1),
        "zone-1",
        registry.open_path(),
        std::move(extra)));
    return *vms.back();
}

void site::publish()
{
    const json config{
        {"version", 3},
        {"routes",
         {{{"name", "queue"},
           {"host", host},
           {"pathPrefix", prefix},
           {"routeType", "non_idempotent"},
           {"timeoutMs", 3000},
           {"targetLatencyMs", 3000},
           {"priority", 1},
           {"service", service},
           {"attempts", attempts},
           {"stretch", 4.0},
           {"public", false}}}},
        {"services",
         {{{"name", service},
           {"healthPath", "/health"},
           {"maxConns", 64},
           {"rejectsOverload", false},
           {"standby", false}}}},
        {"tenants",
         {{{"name", "tenant"},
           {"apiKeys", {api_key}},
           {"weight", 25},
           {"cap", {{"cpu", 0}, {"memMb", 0}, {"gpu", 0}}}}}}};
    registry.put("keyed.op", "config", config.dump());
}

void site::start()
{
    publish();
    for (const auto& each : executors)
    {
        each->start();
    }
    for (const auto& each : vms)
    {
        each->start();
    }
}

void site::when_ready(std::function<void()> then)
{
    // A look at a job that nobody sent is answered once there is an owner.
    constexpr std::int64_t start_up_ms = 15'000;
    if (in.now() > start_up_ms)
    {
        finish(outcome::could_not_run, "the system did not start");
        return;
    }
    auto left = std::make_shared<std::size_t>(vms.size());
    auto ready = std::make_shared<bool>(true);
    for (const auto& vm : vms)
    {
        caller.call(
            *vm,
            "GET",
            "00000000000000ff",
            nullptr,
            [this, left, ready, then](unsigned status, const std::string&)
            {
                constexpr unsigned gone = 410;
                *ready = *ready && status == gone;
                if (--*left > 0)
                {
                    return;
                }
                if (*ready)
                {
                    then();
                    return;
                }
                in.after(500, [this, then] { when_ready(then); });
            });
    }
}

edge_vm* site::owner()
{
    for (const auto& vm : vms)
    {
        if (vm->store_port() == registry.last_conditional_writer())
        {
            return vm.get();
        }
    }
    return nullptr;
}

executor* site::find(const std::string& id)
{
    for (const auto& each : executors)
    {
        if (each->id() == id)
        {
            return each.get();
        }
    }
    return nullptr;
}

void site::await_end(
    const std::string& id,
    std::int64_t until_ms,
    std::function<void(std::string)> then)
{
    edge_vm& vm = *vms[static_cast<std::size_t>(in.now() / 1'000) % vms.size()];
    caller.call(
        vm,
        "GET",
        id,
        nullptr,
        [this, id, until_ms, then](unsigned status, const std::string& text)
        {
            const json body = json::parse(text, nullptr, false);
            const std::string state = status == 200 && body.is_object()
                                          ? body.value("state", "")
                                          : "";
            const bool final = state == "completed" || state == "failed" ||
                               state == "canceled";
            if (final || in.now() >= until_ms)
            {
                then(state);
                return;
            }
            in.after(
                1'000,
                [this, id, until_ms, then] { await_end(id, until_ms, then); });
        });
}

void site::finish(outcome how, const std::string& why)
{
    result = how;
    const char* const names[] = {"HELD", "BROKEN", "COULD NOT RUN"};
    in.note(std::string(names[static_cast<int>(how)]) + ": " + why);
    for (const auto& vm : vms)
    {
        vm->stop();
    }
    in.loop.stop();
}

} // namespace review
