#pragma once

#include "platform/http/http_transfer.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace acaciastile::impl
{

/// The client over libcurl's multi interface. The traffic thread alone touches
/// the library; calls reach it through a queue. Calls to one host beyond its
/// connections wait here rather than in the library, so that a host that does
/// not answer holds up no other.
class curl_http_client : public http_client
{
public:
    curl_http_client(
        http_client_settings settings,
        executor& control,
        curl_multi_ptr multi,
        curl_list_ptr headers);
    ~curl_http_client() override;
    curl_http_client(const curl_http_client&) = delete;
    curl_http_client& operator=(const curl_http_client&) = delete;

    void post(http_request call, completion<http_reply> done) override;
    [[nodiscard]] http_client_counts counts() const override;

private:
    using transfer_ptr = std::unique_ptr<http_transfer>;
    struct host_queue
    {
        std::deque<transfer_ptr> waiting;
        std::size_t active = 0;
    };

    void run();
    [[nodiscard]] bool take_incoming();
    void start_waiting(host_queue& host);
    void start(host_queue& host, transfer_ptr transfer);
    void drop_overdue();
    void collect();
    void finish(CURL* handle, CURLcode code);
    void give_all_up();
    [[nodiscard]] curl_easy_ptr new_handle();
    void settle(http_transfer& transfer, result<http_reply> outcome);
    void refuse_at_once(
        completion<http_reply> done, refusal_code code, const char* why);

    transfer_options options_;
    executor& control_;
    curl_multi_ptr multi_;
    curl_list_ptr headers_;

    mutable std::mutex mutex_; ///< Guards the next four.
    std::vector<transfer_ptr> incoming_;
    std::size_t pending_ = 0;
    bool stopping_ = false;
    http_client_counts counts_;

    // Of the traffic thread alone.
    std::map<std::string, host_queue> hosts_;
    std::map<CURL*, transfer_ptr> active_;
    std::vector<curl_easy_ptr> spare_;
    std::thread thread_;
};

} // namespace acaciastile::impl
