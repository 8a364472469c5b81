#pragma once

#include "executor.hpp"
#include "store.hpp"

#include <fstream>
#include <list>
#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review
{

/// What the command line and the environment say of a run of a case.
struct case_options
{
    std::string program; ///< The product's program.
    std::string root;    ///< Folder in which it is started.
    std::string scratch; ///< Temporary folder.
    std::string record;  ///< File that the events are written to.
    bool trouble = true; ///< False leaves the disruption out.
};

/// Results of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// One queue of the configuration.
struct queue
{
    std::string name;
    std::string prefix;
    int attempts = 4;
};

/// A small deployment: a store, executors and VMs, each of which is a process
/// of the product, on loopback addresses.
class site
{
public:
    explicit site(const case_options& options);
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Ends all processes that were started. The site itself is not destroyed:
    /// threads of connections may still use it until this process exits.
    void end();

    executor&
    add_executor(int cpu, int memory_mb, std::vector<std::string> labels);
    /// Stores the configuration; starts executors and VMs; waits until all VMs
    /// are ready. Returns false if they are not in time.
    bool start(int vms, const std::vector<queue>& queues);

    void kill_vm(std::size_t number, int signal);
    /// Stops a VM as the platform does, with SIGTERM and, after the grace
    /// period, SIGKILL; starts it again and waits until it is ready. Returns
    /// false if it is not in time.
    bool restart_vm(std::size_t number);
    /// Memory that a VM's process uses.
    [[nodiscard]] long memory_kb_of(std::size_t number) const;
    [[nodiscard]] std::size_t vm_count() const { return vms_.size(); }

    /// A client's call to a VM, with the key of the one account. `label` is
    /// recorded instead of the body, in one line with the answer.
    reply client(
        std::size_t vm,
        const std::string& method,
        const std::string& path,
        const std::string& body,
        int deadline_ms,
        const std::string& label = {});
    /// Asks each VM in turn for the state of a job until one answers. Returns
    /// the state, or the status as text.
    std::string state_of(const std::string& path);

    void note(const std::string& line);
    [[nodiscard]] double seconds() const;
    void sleep_ms(int span);
    /// Waits until `holds` returns true. Returns false after `span`.
    bool wait_until(int span_ms, const std::function<bool()>& holds);

    [[nodiscard]] std::vector<run_event> events();
    [[nodiscard]] std::vector<run_event> starts_of(const std::string& job);

    store& platform() { return store_; }
    executor_terms& terms() { return terms_; }
    [[nodiscard]] bool trouble() const { return options_.trouble; }

private:
    struct vm
    {
        pid_t process = 0;
        std::string ip;
        std::string name;
    };

    [[nodiscard]] std::string settings_of(const vm& each) const;
    bool launch(vm& started);
    bool is_ready(const vm& each) const;

    case_options options_;
    std::string network_; ///< The first two numbers of all addresses.
    clock::time_point begun_ = clock::now();
    std::mutex record_mutex_;
    std::ofstream record_;
    std::vector<run_event> events_;
    executor_terms terms_;
    store store_;
    std::unique_ptr<http_server> store_server_;
    std::list<executor> executors_;
    std::vector<vm> vms_;
    std::atomic<bool> ended_{false};
    std::thread ticker_;
};

} // namespace review
