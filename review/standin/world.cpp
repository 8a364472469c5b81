#include "world.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <iomanip>
#include <iostream>
#include <netinet/in.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace http = boost::beast::http;

world::world(const std::string& record_file)
    : timers(loop),
      http(loop, timers),
      record_(record_file),
      began_(timers.now())
{
}

std::int64_t world::now() const
{
    return (timers.now() - began_).count();
}

std::int64_t world::wall()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void world::after(std::int64_t delay_ms, std::function<void()> work)
{
    timers.after(milliseconds(delay_ms), std::move(work));
}

void world::note(const std::string& line)
{
    record_ << std::fixed << std::setprecision(3) << std::setw(8)
            << static_cast<double>(now()) / 1000.0 << "  " << line << '\n'
            << std::flush;
}

std::uint16_t world::free_port()
{
    // Stays bound, without listening, so that nothing else takes the port.
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) !=
            0)
    {
        throw std::runtime_error("no free port");
    }
    return ntohs(address.sin_port);
}

std::unique_ptr<net::http_server>
world::listen(std::uint16_t& port, net::http_handler handler)
{
    port = free_port();
    net::http_server_settings settings;
    settings.body_limit = 8U << 20U;
    auto made = net::http_server::create(
        loop, {"127.0.0.1", port}, settings, std::move(handler));
    if (!made)
    {
        throw std::runtime_error(made.error().message);
    }
    return *std::move(made);
}

net::http_response raw_reply(unsigned status, std::string body)
{
    net::http_response response;
    response.result(status);
    response.body() = std::move(body);
    return response;
}

net::http_response reply(unsigned status, const json& body)
{
    net::http_response response = raw_reply(status, body.dump());
    response.set(http::field::content_type, "application/json");
    return response;
}

edge_vm::edge_vm(
    world& in,
    std::string program,
    std::string folder,
    std::string name,
    std::string zone,
    std::uint16_t store_port,
    std::map<std::string, std::string> extra)
    : world_(in),
      program_(std::move(program)),
      folder_(std::move(folder)),
      name_(std::move(name)),
      front_(world::free_port()),
      ready_(world::free_port()),
      peers_(world::free_port()),
      store_port_(store_port),
      settings_file_(folder_ + "/" + name_ + ".conf")
{
    const auto address = [](std::uint16_t port)
    { return "127.0.0.1:" + std::to_string(port); };
    std::map<std::string, std::string> fields{
        {"node", name_},
        {"role", "entry"},
        {"machineClass", "edge"},
        {"serves", "edge"},
        {"ip", "127.0.0.1"},
        {"zone", zone},
        {"region", "region"},
        {"zones." + zone, "region"},
        {"listenAddrs.front", address(front_)},
        {"listenAddrs.ready", address(ready_)},
        {"internalPorts",
         std::to_string(peers_) + "," + std::to_string(peers_)},
        {"seeds", ""},
        {"bootstrap", "true"},
        {"limits.cpuShare", "0.25"},
        {"limits.cores", "1"},
        {"limits.memoryMb", "260"},
        {"limits.maxFds", "4100"},
        {"limits.linkMbps", "1000.0"},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"heartbeatMs", "1500"},
        {"contracts",
         "base,drain,config,cost,recover,sched,tenants,quota,platform"},
        {"bounds.contactMs", "3000"},
        {"bounds.ackMs", "4000"},
        {"bounds.drainMs", "2000"},
        {"bounds.graceS", "6"},
        {"bounds.configApplyMs", "2000"},
        {"bounds.maxHoldMs", "6000"},
        {"bounds.stopTimeoutMs", "900"},
        {"bounds.gangTimeoutMs", "3000"},
        {"bounds.status_s", "120"},
        {"bounds.checkpointS", "0.5"},
        {"bounds.restoreMs", "600"},
        {"orders", "invoke"},
        {"platform.address", address(store_port_)},
        {"platform.form", "log"},
        {"platform.recordBytes", "262144"},
        {"platform.requestBytes", "2097152"},
    };
    for (const auto& [key, value] : extra)
    {
        fields[key] = value;
    }
    std::ofstream file(settings_file_);
    for (const auto& [key, value] : fields)
    {
        file << key << '=' << value << '\n';
    }
}

edge_vm::~edge_vm()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

std::string edge_vm::log_file() const
{
    return folder_ + "/" + name_ + ".log";
}

void edge_vm::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, 2, log_file().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 2, 1);
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    std::string mode = "edge";
    std::string settings = "ACACIASTILE_SETTINGS=" + settings_file_;
    std::string path = "PATH=/usr/bin:/bin";
    char* arguments[] = {program_.data(), mode.data(), nullptr};
    char* environment[] = {settings.data(), path.data(), nullptr};
    const int failed = ::posix_spawn(
        &pid_, program_.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        throw std::runtime_error("cannot start " + program_);
    }
    world_.note("process " + name_ + " starts");
}

void edge_vm::send_signal(int number)
{
    world_.note("process " + name_ + " gets signal " + std::to_string(number));
    ::kill(pid_, number);
}

void edge_vm::stop()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
}

void client::call(
    const edge_vm& vm,
    const std::string& method,
    const std::string& id,
    const json& body,
    done then,
    int tries_left)
{
    constexpr std::int64_t deadline_ms = 3'000;
    constexpr std::int64_t retry_ms = 200;
    net::http_request request;
    request.method_string(method);
    request.target(prefix_ + id);
    request.set(http::field::host, host_);
    request.set(http::field::authorization, "Token " + key_);
    request.set("Acaciastile-Deadline-Ms", std::to_string(deadline_ms));
    if (!body.is_null())
    {
        request.set(http::field::content_type, "application/json");
        request.body() = body.dump();
    }
    const std::string what = method + " " + id + " at " + vm.name();
    world_.note("client sends " + what);
    constexpr bool repeatable = false;
    world_.http.call(
        {"127.0.0.1", vm.front()},
        std::move(request),
        milliseconds(deadline_ms),
        repeatable,
        [this, &vm, method, id, body, what, tries_left, then = std::move(then)](
            net::http_outcome outcome)
        {
            const std::string text =
                outcome.answered() ? outcome.response.body() : outcome.failure;
            world_.note(
                "client gets " + std::to_string(outcome.status()) + " " + text +
                " for " + what);
            if (outcome.answered() || tries_left == 0)
            {
                then(outcome.status(), text);
                return;
            }
            world_.after(
                retry_ms,
                [this, &vm, method, id, body, then, tries_left]
                { call(vm, method, id, body, then, tries_left - 1); });
        });
}

} // namespace review
