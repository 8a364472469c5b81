#pragma once

#include "domain/metric_sink.hpp"
#include "entry/api_route.hpp"
#include "entry/listener_settings.hpp"
#include "entry/traffic_counter.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

struct _u_instance;

namespace acaciastile
{

/// What the traffic threads of one listener share.
struct listener_shared
{
    listener_settings settings;
    std::vector<api_route> routes;
    metric_sink* measurements = nullptr;
    std::atomic<std::size_t> handling{0};
};

/// One ulfius server on a listening socket that others may share.
class http_daemon
{
public:
    /// Takes the descriptor over. Errors: `internal`, `invalid_value`.
    [[nodiscard]] static result<std::unique_ptr<http_daemon>>
    create(listener_shared& shared, int descriptor);

    /// Cuts off what is still open: call `finish` first.
    ~http_daemon();
    http_daemon(const http_daemon&) = delete;
    http_daemon& operator=(const http_daemon&) = delete;

    /// From now on every answer closes its connection.
    void begin_closing() { closing_.store(true); }

    /// Accepts no further connection, waits for the answers in hand at most
    /// `bound`, then for silent connections to close at most `linger` and for
    /// what they still brought at most `bound`. False where a request was
    /// without its answer when a bound passed.
    [[nodiscard]] bool finish(milliseconds bound, milliseconds linger);

    [[nodiscard]] std::size_t in_hand() const { return traffic_.in_hand(); }

private:
    struct endpoint;

    explicit http_daemon(listener_shared& shared);

    [[nodiscard]] result<void> add_endpoints();
    [[nodiscard]] result<void> start(int descriptor);
    void stop_accepting();

    listener_shared& shared_;
    tls_material material_;
    traffic_counter traffic_;
    std::atomic<bool> closing_{false};
    std::vector<std::unique_ptr<endpoint>> endpoints_;
    std::unique_ptr<_u_instance> server_;
    bool started_ = false;
    bool accepting_ = false;
};

} // namespace acaciastile
