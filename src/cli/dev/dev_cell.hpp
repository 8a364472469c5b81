#pragma once

#include "cell/instance.hpp"
#include "domain/key_check.hpp"
#include "entry/entry_service.hpp"
#include "observe/event_logger.hpp"
#include "observe/metrics.hpp"
#include "observe/real_clock.hpp"
#include "platform/embedded/embedded_log.hpp"
#include "platform/embedded/embedded_network.hpp"
#include "platform/embedded/embedded_peers.hpp"
#include "platform/embedded/embedded_vm_list.hpp"
#include "platform/embedded/embedded_workers.hpp"
#include "platform/embedded/timer_queue.hpp"

#include <memory>
#include <string>
#include <vector>

namespace acaciastile
{

struct dev_settings
{
    std::size_t instances = 3;
    std::uint64_t seed = 1;
    log_settings log;
    inventory workers; ///< The stand-in workers that exist.
};

/// Several instances and the platform's stand-ins in one process, all on one
/// control thread, each instance with a control interface on loopback.
class dev_cell
{
public:
    /// Starts everything. Errors: those of the addresses and instances.
    [[nodiscard]] static result<std::unique_ptr<dev_cell>>
    create(const dev_settings& settings);

    ~dev_cell();
    dev_cell(const dev_cell&) = delete;
    dev_cell& operator=(const dev_cell&) = delete;

    /// Control interfaces, `a.b.c.d:port`.
    [[nodiscard]] std::vector<std::string> addresses() const;
    [[nodiscard]] const std::string& operator_key() const
    {
        return first_key_.presented;
    }
    [[nodiscard]] const clock_source& clock() const { return clock_; }

    /// What truly happened on the workers so far.
    [[nodiscard]] std::vector<run_entry> journal();

    /// Ends the interfaces and all instances in order. False where requests
    /// were cut off or an instance did not finish in time.
    [[nodiscard]] bool shut_down(milliseconds bound);

private:
    struct member_process;

    explicit dev_cell(const dev_settings& settings);

    [[nodiscard]] result<void> start(const dev_settings& settings);
    [[nodiscard]] result<void> add_instance(std::size_t number);
    void add_workers(const inventory& workers);
    void tick(instant now);

    real_clock clock_;
    std::uint64_t seed_ = 0;
    generated_key first_key_;
    std::unique_ptr<event_logger> events_;
    std::unique_ptr<metrics> measured_;
    std::unique_ptr<control_thread> thread_;
    timer_queue timers_;
    embedded_network network_;
    embedded_log log_;
    embedded_vm_list vms_;
    embedded_workers workers_;
    embedded_peers peers_;
    std::vector<std::unique_ptr<member_process>> members_;
};

} // namespace acaciastile
