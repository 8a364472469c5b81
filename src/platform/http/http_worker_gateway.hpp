#pragma once

#include "platform/http/http_client.hpp"
#include "platform/worker_gateway.hpp"

#include <memory>
#include <string>

namespace acaciastile
{

struct http_worker_settings
{
    std::string caller; ///< Name of this instance.
    milliseconds timeout{3'000};
};

/// The workers over HTTP: `POST /v1/worker/ID/call` at the worker's address.
/// A worker's notice is a `POST /v1/notice` at the instance's address, whose
/// server hands the body to `take_notice` on the control thread.
class http_worker_gateway : public worker_gateway
{
public:
    [[nodiscard]] static std::unique_ptr<http_worker_gateway>
    create(http_client& client, http_worker_settings settings);

    void call(worker_call message, completion<worker_report> done) override;
    void on_notice(std::function<void(const worker_notice&)> handler) override;

    /// Decodes a notice and tells the handler. Errors: `malformed`.
    result<void> take_notice(const std::string& body);

private:
    http_worker_gateway(http_client& client, http_worker_settings settings);

    http_client& client_;
    http_worker_settings settings_;
    std::function<void(const worker_notice&)> handler_;
};

} // namespace acaciastile
