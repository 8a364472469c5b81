#include "codec/json_text.hpp"
#include "platform/http/http_worker_gateway.hpp"
#include "platform/http/loop_thread.hpp"
#include "platform/http/platform_server.hpp"
#include "platform/http/worker_messages.hpp"

#include <benchmark/benchmark.h>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <mutex>

// Round trips a second and bytes a call between an instance and the stand-in
// platform on loopback, with kept connections and with a new one for each
// call. Arguments: calls in flight, connections kept (1) or not (0).

namespace
{

using namespace acaciastile;

constexpr std::int64_t running_tasks = 6;

[[noreturn]] void stop_on(const error& failed)
{
    std::fprintf(stderr, "%s\n", failed.message.c_str());
    std::exit(1);
}

template<class Value>
Value must(result<Value> made)
{
    if (!made)
    {
        stop_on(made.error());
    }
    return std::move(*made);
}

embedded_worker_settings one_worker()
{
    embedded_worker_settings worker;
    worker.id = worker_id("almaty-1-w01");
    worker.capacity = {32'000, 65'536, 0};
    return worker;
}

attempt_id attempt_of(std::int64_t number)
{
    return {
        {job_id("plan-2026-12-0" + std::to_string(number)),
         static_cast<std::uint32_t>(number)},
        1};
}

/// Keeps a number of calls in flight and counts those settled.
class call_stream
{
public:
    call_stream(worker_gateway& workers, loop_thread& loop, worker_call call)
        : workers_(workers), loop_(loop), call_(std::move(call))
    {
    }

    void run(std::int64_t calls, std::int64_t in_flight)
    {
        left_ = calls;
        open_ = in_flight;
        loop_.post(
            [this, in_flight]
            {
                for (std::int64_t count = 0; count < in_flight; ++count)
                {
                    next();
                }
            });
        std::unique_lock lock(mutex_);
        ended_.wait(lock, [this] { return open_ == 0; });
    }

    [[nodiscard]] std::int64_t failures() const { return failures_; }
    [[nodiscard]] const worker_report& last() const { return last_; }

private:
    void next()
    {
        if (left_ == 0)
        {
            const std::lock_guard lock(mutex_);
            --open_;
            ended_.notify_one();
            return;
        }
        --left_;
        workers_.call(
            call_,
            [this](result<worker_report> report)
            {
                failures_ += report ? 0 : 1;
                if (report)
                {
                    last_ = std::move(*report);
                }
                next();
            });
    }

    worker_gateway& workers_;
    loop_thread& loop_;
    worker_call call_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::int64_t open_ = 0;
    // Of the loop thread until `open_` is zero.
    std::int64_t left_ = 0;
    std::int64_t failures_ = 0;
    worker_report last_;
};

worker_call beat(const std::string& address, const worker_report& sealed)
{
    worker_call call;
    call.worker = worker_id("almaty-1-w01");
    call.address = address;
    call.shard = shard_id("almaty-1/0");
    call.epoch = 5;
    call.incarnation = sealed.incarnation;
    call.lease_until = sealed.clock + milliseconds{3'600'000};
    call.notify_address = "127.0.0.1:7001";
    for (std::int64_t number = 0; number < running_tasks; ++number)
    {
        call.renew.push_back(attempt_of(number));
    }
    return call;
}

void start_tasks(worker_call& call)
{
    for (std::int64_t number = 0; number < running_tasks; ++number)
    {
        call.start.push_back(
            {attempt_of(number),
             {4'000, 8'192, 0},
             milliseconds{0},
             "plan",
             ""});
    }
}

void worker_beats(benchmark::State& state)
{
    platform_server_settings settings;
    settings.address = "127.0.0.1:0";
    settings.workers.push_back(one_worker());
    const auto server = must(platform_server::create(settings));
    loop_thread loop;
    loop.start();
    http_client_settings client_settings;
    client_settings.connections_per_host = 36;
    client_settings.keep_connections = state.range(1) != 0;
    auto client = must(http_client::create(client_settings, loop));
    const auto workers = http_worker_gateway::create(*client, {"entry-1"});

    worker_call seal = beat(server->address(), {});
    seal.seal = true;
    seal.incarnation = 0;
    seal.renew.clear();
    call_stream sealing(*workers, loop, seal);
    sealing.run(1, 1);
    worker_call first = beat(server->address(), sealing.last());
    start_tasks(first);
    call_stream starting(*workers, loop, first);
    starting.run(1, 1);

    const worker_call call = beat(server->address(), sealing.last());
    call_stream stream(*workers, loop, call);
    const auto before = client->counts();
    std::int64_t calls = 0;
    for (auto _ : state)
    {
        constexpr std::int64_t batch = 500;
        stream.run(batch, state.range(0));
        calls += batch;
    }
    const auto after = client->counts();
    const auto each = static_cast<double>(calls);
    state.SetItemsProcessed(calls);
    state.counters["failed"] = static_cast<double>(stream.failures());
    state.counters["opened"] =
        static_cast<double>(after.connections - before.connections);
    state.counters["sent_each"] =
        static_cast<double>(after.bytes_sent - before.bytes_sent) / each;
    state.counters["received_each"] =
        static_cast<double>(after.bytes_received - before.bytes_received) /
        each;
    state.counters["call_body"] = static_cast<double>(
        encode(worker_call_message{"entry-1", call}).size());
    state.counters["report_body"] =
        static_cast<double>(encode(stream.last()).size());
    state.counters["report_as_json"] = static_cast<double>(
        must(parse_msgpack(encode(stream.last()))).dump().size());
    client.reset();
    loop.stop();
}

BENCHMARK(worker_beats)
    ->ArgNames({"in_flight", "kept"})
    ->Args({1, 1})
    ->Args({1, 0})
    ->Args({36, 1})
    ->Args({36, 0})
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond)
    ->MinTime(1.0);

} // namespace

BENCHMARK_MAIN();
