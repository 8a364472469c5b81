#pragma once

#include "cell/instance.hpp"
#include "cli/serve_settings.hpp"
#include "entry/entry_service.hpp"
#include "observe/event_logger.hpp"
#include "observe/metrics.hpp"
#include "observe/real_clock.hpp"
#include "platform/http/http_client.hpp"
#include "platform/http/http_worker_gateway.hpp"

#include <memory>

namespace acaciastile
{

/// One instance as a process of its own: control thread, HTTP ways to the
/// platform, the cell and the entry.
class serve_process
{
public:
    /// Starts everything. Errors: those of the addresses, the certificates
    /// and the instance.
    [[nodiscard]] static result<std::unique_ptr<serve_process>>
    create(const serve_settings& settings);

    ~serve_process();
    serve_process(const serve_process&) = delete;
    serve_process& operator=(const serve_process&) = delete;

    /// Reads the certificates again.
    void reload();

    /// Readiness off, nothing new, shards handed over, every request in hand
    /// answered. False where the bound passed first.
    [[nodiscard]] bool shut_down();

    [[nodiscard]] const entry_service& entry() const { return *entry_; }

private:
    explicit serve_process(const serve_settings& settings);

    [[nodiscard]] result<void> start();
    [[nodiscard]] result<void> make_gateways(const instance_id& self);
    [[nodiscard]] result<void> make_instance();
    [[nodiscard]] result<void> make_entry();
    [[nodiscard]] bool wait_finished(instant until);
    void tick(instant now);
    void measure_traffic();

    serve_settings settings_;
    instant next_measure_{};
    real_clock clock_;
    std::unique_ptr<event_logger> events_;
    std::unique_ptr<metrics> measured_;
    std::unique_ptr<control_thread> thread_;
    std::unique_ptr<http_client> client_;
    std::unique_ptr<log_service> log_;
    std::unique_ptr<vm_list> vms_;
    std::unique_ptr<http_worker_gateway> workers_;
    std::unique_ptr<peer_gateway> peers_;
    std::unique_ptr<instance> cell_;
    std::unique_ptr<entry_service> entry_;
};

} // namespace acaciastile
