#pragma once

#include "platform/embedded/embedded_log.hpp"
#include "platform/embedded/embedded_worker.hpp"
#include "platform/vm_list.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace acaciastile
{

struct platform_server_settings
{
    std::string address = "127.0.0.1:7070"; ///< Port 0 takes a free one.
    std::vector<embedded_worker_settings> workers;
    std::vector<vm_entry> vms;
    embedded_log_settings log;
    milliseconds least_delay{0}; ///< Of each message, beside the real one.
    milliseconds most_delay{0};
    milliseconds answer_timeout{3'000}; ///< Of answers that are lost.
    std::uint64_t seed = 1;
    std::size_t connections = 1'000;
};

/// The stand-ins served over HTTP on one address, for tests of real
/// processes: log, VM list, workers, `POST /v1/fault`, `GET /v1/journal?from=N`
/// and `GET /v1/counts`. The workers share the address; the path names them.
/// Not for production: it keeps everything in memory and checks no key.
class platform_server
{
public:
    /// Listens and serves from its return on. Errors: `invalid_value`,
    /// `internal`.
    [[nodiscard]] static result<std::unique_ptr<platform_server>>
    create(platform_server_settings settings);

    virtual ~platform_server() = default;

    /// The address with the port that it really has.
    [[nodiscard]] virtual const std::string& address() const noexcept = 0;

    /// Accepts nothing more, answers what is in hand and ends all threads.
    virtual void stop() = 0;
};

} // namespace acaciastile
