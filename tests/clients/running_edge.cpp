#include "clients/running_edge.hpp"

#include "support/raw_client.hpp"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace acaciastile::test
{

namespace
{

constexpr const char* configuration =
    R"({"version":1,"routes":[{"name":"q","host":"h.example",
    "pathPrefix":"/a/","service":"s","priority":1,"attempts":2,
    "stretch":4.0,"targetLatencyMs":3000,"public":true}],
    "services":[{"name":"s","rejectsOverload":false}],"tenants":[]})";

/// The value of a line of /proc/PID/status, in KiB.
std::size_t status_kib(pid_t process, const std::string& field)
{
    std::ifstream in(absl::StrCat("/proc/", process, "/status"));
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with(field + ":"))
        {
            return std::stoul(line.substr(field.size() + 1));
        }
    }
    return 0;
}

} // namespace

running_edge::running_edge()
{
    store_.put("keyed.op", "config", configuration);
    listeners_ = {
        {"front", free_port(), "/a/"},
        {"readiness", free_port(), "/-/readiness"},
        {"peers", free_port(), "/metrics"}};
    const std::string settings = folder_.file("edge.conf");
    std::ofstream(settings) << absl::StrCat(
        "node=edge-1\nzone=z\nip=127.0.0.1\nlistenAddrs.front=127.0.0.1:",
        listeners_[0].port,
        "\nlistenAddrs.ready=127.0.0.1:",
        listeners_[1].port,
        "\ninternalPorts=",
        listeners_[2].port,
        ",",
        listeners_[2].port,
        "\nplatform.address=",
        store_.address().str(),
        "\nlimits.cpuShare=0.5\nlimits.memoryMb=",
        memory_mib,
        "\nlimits.maxFds=",
        descriptors,
        "\nlimits.linkMbps=100\n");
    const std::string log = folder_.file("edge.log");
    process_ = ::fork();
    if (process_ == 0)
    {
        const rlimit limit{descriptors, descriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0); // Those of the test.
        ::execl(
            ACACIASTILE_PROGRAM,
            ACACIASTILE_PROGRAM,
            "edge",
            settings.c_str(),
            nullptr);
        ::_exit(127);
    }
}

running_edge::~running_edge()
{
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

bool running_edge::lives() const
{
    siginfo_t ended{};
    return ::waitid(
               P_PID,
               static_cast<id_t>(process_),
               &ended,
               WEXITED | WNOHANG | WNOWAIT) == 0 &&
           ended.si_pid == 0;
}

std::size_t running_edge::peak_memory_kib() const
{
    return status_kib(process_, "VmHWM");
}

std::size_t running_edge::open_descriptors() const
{
    std::error_code failed;
    const std::filesystem::directory_iterator all(
        absl::StrCat("/proc/", process_, "/fd"), failed);
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

bool is_answered(const running_edge::listener& by)
{
    constexpr int tries = 10;
    constexpr milliseconds patience{2'000};
    constexpr milliseconds pause{200};
    const std::string request =
        absl::StrCat("GET ", by.path, " HTTP/1.1\r\nHost: h.example\r\n\r\n");
    for (int n = 0; n < tries; ++n)
    {
        if (raw_client client(by.port);
            client.send_all(request, patience) &&
            client.receive_line(patience).starts_with("HTTP/1.1 200"))
        {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

} // namespace acaciastile::test
