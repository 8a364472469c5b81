#include "site.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t front_port = 8'183;
constexpr std::uint16_t ready_port = 8'184;
constexpr std::uint16_t store_port = 8'182;
constexpr const char* host = "jobs.example";
constexpr const char* key = "6x73d3zji9n73hh2b9wu";

} // namespace

site::site(const case_options& options)
    : options_(options),
      record_(options.record),
      store_([this](const std::string& line) { note(line); })
{
    // Whoever has bound the store's address has all addresses of that network.
    std::random_device random;
    constexpr int most_tries = 50;
    for (int tries = 0; tries < most_tries && !store_server_; ++tries)
    {
        network_ = "127." + std::to_string(20 + random() % 200);
        store_server_ = std::make_unique<http_server>(
            network_ + ".1.1",
            store_port,
            [this](const request& asked) { return store_.handle(asked); });
        if (!store_server_->start())
        {
            store_server_.reset();
        }
    }
    terms_.work_of = [](const std::string&) { return work{}; };
    terms_.gang_size = [](const std::string&) { return std::size_t{0}; };
    terms_.note = [this](const std::string& line) { note(line); };
    terms_.seen = [this](const run_event& event)
    {
        constexpr const char* names[] = {
            "starts", "refuses", "lists the end of"};
        note(
            event.executor + ' ' + names[static_cast<int>(event.what)] + ' ' +
            event.task + " run " + std::to_string(event.run) + " fence " +
            std::to_string(event.fence) +
            (event.how.empty() ? "" : ": " + event.how) +
            (event.checkpoint.empty()
                 ? ""
                 : ", from checkpoint " + event.checkpoint));
        const std::lock_guard lock(record_mutex_);
        events_.push_back(event);
    };
}

void site::end()
{
    for (vm& each : vms_)
    {
        if (each.process > 0)
        {
            ::kill(each.process, SIGCONT);
            ::kill(each.process, SIGKILL);
            ::waitpid(each.process, nullptr, 0);
            each.process = 0;
        }
    }
    ended_ = true;
    if (ticker_.joinable())
    {
        ticker_.join();
    }
}

double site::seconds() const
{
    return std::chrono::duration<double>(clock::now() - begun_).count();
}

void site::note(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", seconds());
    const std::lock_guard lock(record_mutex_);
    record_ << time << line << '\n' << std::flush;
}

void site::sleep_ms(int span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

bool site::wait_until(int span_ms, const std::function<bool()>& holds)
{
    const auto until = clock::now() + std::chrono::milliseconds(span_ms);
    while (!holds())
    {
        if (clock::now() >= until)
        {
            return false;
        }
        sleep_ms(10);
    }
    return true;
}

executor&
site::add_executor(int cpu, int memory_mb, std::vector<std::string> labels)
{
    const auto number = std::to_string(executors_.size() + 1);
    return executors_.emplace_back(
        terms_,
        store_,
        "i-" + std::string(8 - number.size(), '0') + number,
        network_ + '.' + std::to_string(2 + executors_.size() / 200) + '.' +
            std::to_string(1 + executors_.size() % 200),
        cpu,
        memory_mb,
        std::move(labels));
}

std::string site::settings_of(const vm& each) const
{
    const std::string front = each.ip + ':' + std::to_string(front_port);
    return "node=" + each.name +
           "\nrole=entry\nmachineClass=edge\nserves=edge\nip=" + each.ip +
           "\nzone=zone-a\nregion=region\nzones.zone-a=region"
           "\nlistenAddrs.front=" +
           front + "\nlistenAddrs.ready=" + each.ip + ':' +
           std::to_string(ready_port) +
           "\ninternalPorts=7420,7435\nbootstrap=true\nlossCounts=false"
           "\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260"
           "\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0"
           "\ndiscovery=platform\nentry=vip\nheartbeatMs=1500"
           "\ncontracts=base,drain,config,cost,recover,sched,tenants,quota,"
           "platform\nbounds.contactMs=3000\nbounds.ackMs=4000"
           "\nbounds.drainMs=2000\nbounds.graceS=6\nbounds.lossSlackMs=200"
           "\nbounds.configApplyMs=2000\nbounds.maxHoldMs=" +
           std::to_string(terms_.longest_hold_ms) +
           "\nbounds.stopTimeoutMs=" + std::to_string(terms_.stop_ms) +
           "\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=3000"
           "\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14"
           "\nbounds.status_s=120\nbounds.checkpointS=1\nbounds.fencing=true"
           "\norders=invoke\nplatform.address=" +
           network_ + ".1.1:" + std::to_string(store_port) +
           "\nplatform.form=log\nplatform.writesPerS=800"
           "\nplatform.readsPerS=2000\nplatform.parts=16"
           "\nplatform.appendMs=3.0\nplatform.recordBytes=262144"
           "\nplatform.requestBytes=2097152\nplatform.keep_s=300"
           "\nplatform.minTtlMs=1000\n";
}

bool site::launch(vm& started)
{
    const std::string settings =
        options_.scratch + '/' + started.name + ".conf";
    std::ofstream(settings) << settings_of(started);
    const std::string log = options_.scratch + '/' + started.name + ".log";
    const pid_t child = ::fork();
    if (child == 0)
    {
        // No VM outlives this process.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::setenv("ACACIASTILE_SETTINGS", settings.c_str(), 1);
        if (::chdir(options_.root.c_str()) == 0)
        {
            ::execl(
                options_.program.c_str(),
                options_.program.c_str(),
                "edge",
                static_cast<char*>(nullptr));
        }
        ::_exit(127);
    }
    started.process = child;
    note("VM " + started.name + " is started at " + started.ip);
    return child > 0;
}

bool site::start(int vms, const std::vector<queue>& queues)
{
    json routes = json::array();
    for (const queue& each : queues)
    {
        routes.push_back(
            {{"name", each.name},
             {"host", host},
             {"pathPrefix", each.prefix},
             {"routeType", "non_idempotent"},
             {"timeoutMs", 3'000},
             {"targetLatencyMs", 1'000},
             {"priority", 1},
             {"service", terms_.service},
             {"attempts", each.attempts},
             {"stretch", 2.2},
             {"public", false}});
    }
    store_.put(
        "keyed.op",
        "config",
        json{
            {"version", 7},
            {"routes", routes},
            {"services",
             {{{"name", terms_.service},
               {"healthPath", "/health"},
               {"maxConns", 64},
               {"protocol", "h1"},
               {"tls", false},
               {"rejectsOverload", false},
               {"standby", false}}}},
            {"limits", {{"maxBodyBytes", 262'144}}},
            {"tenants",
             {{{"name", "account"},
               {"apiKeys", {key}},
               {"weight", 100},
               {"cap", {{"cpu", 0}, {"memMb", 0}, {"gpu", 0}}}}}}}
            .dump());
    if (!store_server_)
    {
        return false;
    }
    note(
        std::to_string(executors_.size()) +
        " executors are started, the first at " + network_ + ".2.1:8080");
    for (executor& each : executors_)
    {
        if (!each.start())
        {
            return false;
        }
    }
    ticker_ = std::thread(
        [this]
        {
            while (!ended_)
            {
                for (executor& each : executors_)
                {
                    each.tick();
                }
                std::this_thread::sleep_for(2ms);
            }
        });
    for (int number = 1; number <= vms; ++number)
    {
        vm& made = vms_.emplace_back();
        made.name = "edge-" + std::to_string(number);
        made.ip = network_ + ".1." + std::to_string(10 + number);
        if (!launch(made))
        {
            return false;
        }
    }
    return wait_until(
        15'000,
        [&]
        {
            for (const vm& each : vms_)
            {
                if (!is_ready(each))
                {
                    return false;
                }
            }
            return true;
        });
}

void site::kill_vm(std::size_t number, int signal)
{
    note("signal " + std::to_string(signal) + " to VM " + vms_[number].name);
    ::kill(vms_[number].process, signal);
    if (signal == SIGKILL)
    {
        ::waitpid(vms_[number].process, nullptr, 0);
        vms_[number].process = 0;
    }
}

bool site::is_ready(const vm& each) const
{
    return call(each.ip, ready_port, "GET", "/-/readiness", {}, "", 500)
               .status == 200;
}

bool site::restart_vm(std::size_t number)
{
    vm& each = vms_[number];
    kill_vm(number, SIGTERM);
    constexpr int grace_ms = 6'000;
    if (!wait_until(
            grace_ms,
            [&] { return ::waitpid(each.process, nullptr, WNOHANG) > 0; }))
    {
        note("VM " + each.name + " has not ended in its grace period");
        kill_vm(number, SIGKILL);
    }
    each.process = 0;
    sleep_ms(300);
    return launch(each) && wait_until(10'000, [&] { return is_ready(each); });
}

long site::memory_kb_of(std::size_t number) const
{
    std::ifstream status(
        "/proc/" + std::to_string(vms_[number].process) + "/status");
    std::string word;
    while (status >> word)
    {
        if (word == "VmRSS:")
        {
            long kb = 0;
            status >> kb;
            return kb;
        }
    }
    return 0;
}

reply site::client(
    std::size_t vm,
    const std::string& method,
    const std::string& path,
    const std::string& body,
    int deadline_ms,
    const std::string& label)
{
    const std::string sent = method + ' ' + path + " to " + vms_[vm].name;
    if (label.empty())
    {
        note("client sends " + sent + (body.empty() ? "" : ": " + body));
    }
    const reply got = call(
        vms_[vm].ip,
        front_port,
        method,
        path,
        {{"Host", host},
         {"Authorization", std::string("Token ") + key},
         {"Content-Type", "application/json"},
         {"Acaciastile-Deadline-Ms", std::to_string(deadline_ms)}},
        body,
        deadline_ms);
    const std::string answer =
        got.status == 0 ? "no answer" : std::to_string(got.status);
    note(
        label.empty()
            ? "client gets " + answer + " for " + method + ' ' + path +
                  (got.body.empty() ? "" : ": " + got.body)
            : "client sent " + sent + " (" + label + "), got " + answer);
    return got;
}

std::string site::state_of(const std::string& path)
{
    std::string last = "none";
    for (std::size_t vm = 0; vm < vms_.size(); ++vm)
    {
        if (vms_[vm].process == 0)
        {
            continue;
        }
        const reply got = client(vm, "GET", path, "", 2'000);
        if (got.status == 200)
        {
            return json::parse(got.body).value("state", "");
        }
        last = std::to_string(got.status);
        if (got.status == 410)
        {
            return last;
        }
    }
    return last;
}

std::vector<run_event> site::events()
{
    const std::lock_guard lock(record_mutex_);
    return events_;
}

std::vector<run_event> site::starts_of(const std::string& job)
{
    std::vector<run_event> found;
    for (const run_event& each : events())
    {
        if (each.what == run_event::kind::started && each.task.starts_with(job))
        {
            found.push_back(each);
        }
    }
    return found;
}

} // namespace review
