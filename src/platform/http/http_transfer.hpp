#pragma once

#include "platform/http/curl_handles.hpp"
#include "platform/http/http_client.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace acaciastile::impl
{

using transfer_clock = std::chrono::steady_clock;

/// What every transfer of one client shares.
struct transfer_options
{
    http_client_settings settings;
    curl_slist* headers = nullptr;
};

/// One call on its way. The easy handle is configured once the call gets a
/// connection.
class http_transfer
{
public:
    http_transfer(http_request call, completion<http_reply> done);
    http_transfer(const http_transfer&) = delete;
    http_transfer& operator=(const http_transfer&) = delete;

    [[nodiscard]] const std::string& host() const noexcept
    {
        return call_.host;
    }
    [[nodiscard]] CURL* handle() const noexcept { return handle_.get(); }
    [[nodiscard]] bool overdue(transfer_clock::time_point now) const noexcept
    {
        return now >= deadline_;
    }

    /// Takes an easy handle, fresh or reset, and prepares it.
    void prepare(
        curl_easy_ptr handle,
        const transfer_options& options,
        transfer_clock::time_point now);
    /// Gives the handle back for the next transfer.
    [[nodiscard]] curl_easy_ptr release() noexcept
    {
        return std::move(handle_);
    }

    /// What became of it; `code` is the library's.
    [[nodiscard]] result<http_reply> outcome(CURLcode code);
    /// What it is to be told where it was given up.
    [[nodiscard]] result<http_reply> given_up(const char* why) const;
    /// Adds its traffic.
    void count(http_client_counts& counts) const;

    [[nodiscard]] completion<http_reply> take_completion()
    {
        return std::move(done_);
    }

private:
    static std::size_t
    receive(char* bytes, std::size_t size, std::size_t count, void* transfer);
    [[nodiscard]] verdict effect() const;
    [[nodiscard]] long bytes_sent() const;

    http_request call_;
    completion<http_reply> done_;
    transfer_clock::time_point deadline_;
    curl_easy_ptr handle_;
    std::string url_;
    http_reply reply_;
    std::size_t reply_limit_ = 0;
};

} // namespace acaciastile::impl
