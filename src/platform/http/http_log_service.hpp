#pragma once

#include "platform/http/http_client.hpp"
#include "platform/log_service.hpp"

#include <memory>
#include <string>

namespace acaciastile
{

struct http_log_settings
{
    std::string address; ///< `a.b.c.d:port` of the platform.
    std::string caller;  ///< Name of this instance.
    milliseconds append_timeout{3'000};
    milliseconds read_timeout{5'000};
};

/// The platform's log over HTTP.
class http_log_service : public log_service
{
public:
    [[nodiscard]] static std::unique_ptr<log_service>
    create(http_client& client, http_log_settings settings);

    void append(
        const stream_name& stream,
        std::vector<std::string> bodies,
        completion<append_receipt> done) override;

    void read(
        const stream_name& stream,
        log_offset from,
        std::size_t limit_bytes,
        completion<log_page> done) override;

private:
    http_log_service(http_client& client, http_log_settings settings);

    http_client& client_;
    http_log_settings settings_;
};

} // namespace acaciastile
