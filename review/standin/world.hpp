#pragma once

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/timer_service.hpp"

#include <boost/asio/io_context.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review
{

using acaciastile::milliseconds;
using nlohmann::json;
namespace net = acaciastile::net;

/// Event loop, clock, free ports and the record of one script.
class world
{
public:
    explicit world(const std::string& record_file);

    boost::asio::io_context loop;
    net::timer_service timers;
    net::http_client http;

    /// Milliseconds since the script began.
    [[nodiscard]] std::int64_t now() const;
    /// Milliseconds since 1970.
    [[nodiscard]] static std::int64_t wall();
    void after(std::int64_t delay_ms, std::function<void()> work);
    /// Writes a line with the time to the record.
    void note(const std::string& line);
    /// Listens on a free port of 127.0.0.1; `port` receives it.
    std::unique_ptr<net::http_server>
    listen(std::uint16_t& port, net::http_handler handler);
    /// A port that is free now.
    static std::uint16_t free_port();

private:
    std::ofstream record_;
    acaciastile::instant began_;
};

net::http_response reply(unsigned status, const json& body);
net::http_response raw_reply(unsigned status, std::string body);

/// One process of the system under test.
class edge_vm
{
public:
    /// Starts `program edge` with settings like those of DEPLOY.md.
    edge_vm(
        world& in,
        std::string program,
        std::string folder,
        std::string name,
        std::string zone,
        std::uint16_t store_port,
        std::map<std::string, std::string> extra = {});
    ~edge_vm();

    void start();
    void send_signal(int number);
    void stop();
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] std::uint16_t front() const { return front_; }
    [[nodiscard]] std::uint16_t peers() const { return peers_; }
    [[nodiscard]] std::uint16_t store_port() const { return store_port_; }
    [[nodiscard]] int pid() const { return pid_; }
    [[nodiscard]] std::string log_file() const;

private:
    world& world_;
    std::string program_;
    std::string folder_;
    std::string name_;
    std::uint16_t front_;
    std::uint16_t ready_;
    std::uint16_t peers_;
    std::uint16_t store_port_;
    std::string settings_file_;
    int pid_ = 0;
};

/// Calls of one client account.
class client
{
public:
    using done = std::function<void(unsigned, std::string)>;

    client(world& in, std::string host, std::string prefix, std::string key)
        : world_(in),
          host_(std::move(host)),
          prefix_(std::move(prefix)),
          key_(std::move(key))
    {
    }

    /// POST with the job, or GET or DELETE. Is sent again, twice at the most,
    /// if there is no answer. `then` gets the status, zero if there was none,
    /// and the body.
    void call(
        const edge_vm& vm,
        const std::string& method,
        const std::string& id,
        const json& body,
        done then,
        int tries_left = 2);

private:
    world& world_;
    std::string host_;
    std::string prefix_;
    std::string key_;
};

} // namespace review
