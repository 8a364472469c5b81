#pragma once

#include "executor.hpp"
#include "store.hpp"
#include "world.hpp"

#include <string>
#include <vector>

namespace review
{

/// How a script ends.
enum class outcome
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

/// What every scenario has: a store, executors, a few VMs and one queue.
class site
{
public:
    site(world& in, std::string program, std::string folder);

    void add_executors(std::size_t count);
    /// `extra`: settings that differ from those of the others.
    edge_vm& add_vm(std::map<std::string, std::string> extra = {});
    /// Publishes a configuration with one queue of one service.
    void publish();
    void start();
    /// Calls `then` once every VM answers a readiness probe with 200.
    void when_ready(std::function<void()> then);
    /// The VM that last wrote to the store under a condition.
    [[nodiscard]] edge_vm* owner();
    /// Asks for the state of a job once a second until it is final or the time
    /// is over; `then` gets the last state.
    void await_end(
        const std::string& id,
        std::int64_t until_ms,
        std::function<void(std::string)> then);
    void finish(outcome how, const std::string& why);
    [[nodiscard]] executor* find(const std::string& id);

    world& in;
    bool trouble = true;
    store registry;
    executor_group group;
    std::vector<std::unique_ptr<executor>> executors;
    std::vector<std::unique_ptr<edge_vm>> vms;
    client caller;
    std::uint32_t attempts = 3;
    outcome result = outcome::could_not_run;

private:
    std::string program_;
    std::string folder_;
};

using scenario = void (*)(site&);

void scenario_partition(site& at);
void scenario_lasting(site& at);
void scenario_no_spec(site& at);
void scenario_large_gang(site& at);

} // namespace review
