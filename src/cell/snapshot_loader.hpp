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

/// Reads the chunks of one snapshot.
class snapshot_loader
{
public:
    snapshot_loader(
        log_service& log,
        snapshot_notice notice,
        stream_reader_settings settings);

    void tick(instant now);

    /// Empty until all is read; then the encoded snapshot. Errors:
    /// `malformed` where a chunk is missing or damaged; `offset_expired`
    /// where the log no longer keeps the chunks. While the log is down the
    /// loader waits.
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
