#pragma once

#include "cell/snapshot_format.hpp"
#include "cell/stream_reader.hpp"
#include "domain/instant.hpp"
#include "platform/log_service.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile
{

/// Reads the chunks of one snapshot and joins them.
class snapshot_loader
{
public:
    snapshot_loader(
        log_service& log,
        snapshot_notice notice,
        stream_reader_settings settings);

    void tick(instant now);

    /// The encoded snapshot; empty until the load has finished. Errors:
    /// `malformed` if a chunk is missing or corrupt; `offset_expired` if the
    /// log no longer retains the chunks. Failed reads are retried without limit
    /// while the log is unavailable.
    [[nodiscard]] const std::optional<result<std::string>>&
    outcome() const noexcept
    {
        return outcome_;
    }

private:
    void take(const log_entry& entry);

    snapshot_notice notice_;
    std::vector<std::string> parts_;
    std::vector<bool> found_;
    std::size_t missing_;
    bool expired_ = false;
    std::optional<result<std::string>> outcome_;
    std::unique_ptr<stream_reader> reader_;
};

} // namespace acaciastile
