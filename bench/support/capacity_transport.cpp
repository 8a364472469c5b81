#include "platform/http/http_worker_gateway.hpp"
#include "platform/http/loop_thread.hpp"
#include "platform/http/platform_server.hpp"
#include "support/capacity_measures.hpp"
#include "support/letter_content.hpp"
#include "support/letter_size.hpp"
#include "support/resource_use.hpp"

#include <condition_variable>
#include <mutex>
#include <utility>

namespace acaciastile::bench
{

namespace
{

constexpr std::uint32_t running_tasks = 6;

embedded_worker_settings make_stand_in()
{
    embedded_worker_settings worker;
    worker.id = make_worker(12'345).id;
    worker.capacity = {32'000, 65'536, 0};
    return worker;
}

/// Sends calls to one worker one after the other and waits for each answer.
class serial_calls
{
public:
    serial_calls(worker_gateway& workers, loop_thread& loop)
        : workers_(workers), loop_(loop)
    {
    }

    result<worker_report> call(const worker_call& message)
    {
        std::unique_lock lock(mutex_);
        answered_ = false;
        loop_.post(
            [this, &message]
            {
                workers_.call(
                    message,
                    [this](result<worker_report> report)
                    {
                        const std::lock_guard guard(mutex_);
                        last_ = std::move(report);
                        answered_ = true;
                        changed_.notify_one();
                    });
            });
        changed_.wait(lock, [this] { return answered_; });
        return last_;
    }

private:
    worker_gateway& workers_;
    loop_thread& loop_;
    std::mutex mutex_;
    std::condition_variable changed_;
    result<worker_report> last_;
    bool answered_ = false;
};

worker_call make_beat(const worker_report& sealed, const std::string& address)
{
    worker_call call;
    call.worker = make_stand_in().id;
    call.address = address;
    call.shard = make_shard(7);
    call.epoch = 5;
    call.incarnation = sealed.incarnation;
    call.lease_until = sealed.clock + std::chrono::hours{1};
    call.notify_address = "127.0.0.1:7001";
    return call;
}

void add_tasks(worker_call& call, bool starting)
{
    for (std::uint32_t n = 0; n < running_tasks; ++n)
    {
        const attempt_id attempt{{make_job(n, 1).id, n}, 1};
        if (starting)
        {
            call.start.push_back(
                {attempt, {4'000, 8'192, 0}, milliseconds{0}, "plan", ""});
        }
        else
        {
            call.renew.push_back(attempt);
        }
    }
}

} // namespace

std::vector<capacity_series> measure_transport()
{
    auto make = [](std::string cost, std::string unit)
    {
        return capacity_series{
            "transport",
            std::move(cost),
            std::move(unit),
            "beats",
            letter::workers_an_instance / 10,
            {}};
    };
    auto cpu = make("processor, both ends", "us");
    auto sent = make("bytes sent with headers", "bytes");
    auto received = make("bytes received with headers", "bytes");
    platform_server_settings settings;
    settings.address = "127.0.0.1:0";
    settings.workers.push_back(make_stand_in());
    const auto server = platform_server::create(settings).value();
    loop_thread loop;
    loop.start();
    auto client = http_client::create({}, loop).value();
    const auto workers =
        http_worker_gateway::create(*client, {"entry-vm-0001"});
    serial_calls calls(*workers, loop);
    worker_call seal = make_beat({}, server->address());
    seal.seal = true;
    seal.incarnation = 0;
    const worker_report sealed = calls.call(seal).value();
    worker_call start = make_beat(sealed, server->address());
    add_tasks(start, true);
    (void)calls.call(start).value();
    worker_call beat = make_beat(sealed, server->address());
    add_tasks(beat, false);
    for (std::size_t count : {1'000, 2'000, 4'000})
    {
        const http_client_counts before = client->counts();
        const double seconds = cpu_seconds(
            [&]
            {
                for (std::size_t n = 0; n < count; ++n)
                {
                    (void)calls.call(beat).value();
                }
            },
            1);
        const http_client_counts after = client->counts();
        const auto size = static_cast<double>(count);
        cpu.points.push_back({size, seconds * 1e6});
        sent.points.push_back(
            {size, static_cast<double>(after.bytes_sent - before.bytes_sent)});
        received.points.push_back(
            {size,
             static_cast<double>(
                 after.bytes_received - before.bytes_received)});
    }
    client.reset();
    loop.stop();
    return {cpu, sent, received};
}

} // namespace acaciastile::bench
