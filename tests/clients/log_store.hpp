#pragma once

#include "net/http_server.hpp"
#include "net/timer_service.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace acaciastile::test
{

/// A stand-in for the platform's metadata store, with a thread and an HTTP
/// server of its own on loopback: appends, reads with a wait, and the newest
/// record of each key. It keeps all records and checks `at` and no producer.
class log_store
{
public:
    log_store();
    ~log_store();
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;

    [[nodiscard]] const net::endpoint& address() const noexcept
    {
        return address_;
    }

    /// Writes a record as operators do. Must be called before the first
    /// request.
    void
    put(const std::string& topic,
        const std::string& key,
        const std::string& value);

private:
    struct record
    {
        std::string key;
        std::string value;
    };
    struct topic_log
    {
        std::vector<record> records;
        std::vector<std::function<void()>> long_polls;
    };
    using query = std::map<std::string, std::string>;

    void handle(
        const net::http_request& request, const net::http_responder& respond);
    void append(
        const query& asked,
        std::string_view body,
        const net::http_responder& respond);
    void
    read(const query& asked, bool may_wait, const net::http_responder& respond);
    void newest(const query& asked, const net::http_responder& respond);

    boost::asio::io_context loop_;
    net::timer_service timers_{loop_};
    net::endpoint address_;
    std::map<std::string, topic_log> topics_;
    std::unique_ptr<net::http_server> server_;
    std::thread thread_;
};

/// A port on loopback that was free a moment ago.
[[nodiscard]] std::uint16_t free_port();

} // namespace acaciastile::test
