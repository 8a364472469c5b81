#include "cell/shard_fold.hpp"
#include "codec/record_codec.hpp"
#include "platform/http/worker_messages.hpp"
#include "policy/fair_scheduler.hpp"
#include "support/capacity_measures.hpp"
#include "support/letter_content.hpp"
#include "support/letter_size.hpp"
#include "support/resource_use.hpp"

#include <memory>
#include <utility>

namespace acaciastile::bench
{

namespace
{

constexpr std::size_t shard_workers = 120;

attempt_id make_attempt(std::size_t number)
{
    return {
        {make_job(number, 1).id, static_cast<std::uint32_t>(number % 40)}, 1};
}

running_attempt make_running(std::size_t number)
{
    running_attempt made;
    made.attempt = make_attempt(number);
    made.needs = {2'000, 4'096, 0};
    made.usage = {1'730, 3'311, 0};
    made.lease_until = worker_instant(milliseconds{86'400'000});
    return made;
}

worker_call make_call(std::size_t tasks)
{
    worker_call call;
    call.worker = make_worker(12'345).id;
    call.shard = make_shard(7);
    call.epoch = 1'234'567;
    call.lease_until = worker_instant(milliseconds{86'400'000});
    for (std::size_t n = 0; n < tasks; ++n)
    {
        call.renew.push_back(make_attempt(n));
    }
    return call;
}

worker_report make_report(std::size_t tasks)
{
    worker_report report;
    report.worker = make_worker(12'345).id;
    report.clock = worker_instant(milliseconds{86'400'000});
    report.sealed = 1'234'567;
    report.capacity = {32'000, 65'536, 0};
    for (std::size_t n = 0; n < tasks; ++n)
    {
        report.running.push_back(make_running(n));
    }
    return report;
}

capacity_series
owner_series(std::string cost, std::string unit, std::string per, double size)
{
    return {
        "owner", std::move(cost), std::move(unit), std::move(per), size, {}};
}

void add_beats(std::vector<capacity_series>& all)
{
    auto sent = owner_series(
        "beat: body sent",
        "bytes",
        "tasks of a worker",
        letter::tasks_a_worker);
    auto received = owner_series(
        "beat: body received",
        "bytes",
        "tasks of a worker",
        letter::tasks_a_worker);
    auto time = owner_series(
        "beat: encode and decode",
        "us",
        "tasks of a worker",
        letter::tasks_a_worker);
    for (std::size_t tasks : {0, 3, 6, 12, 24})
    {
        const worker_call_message call{"entry-vm-0001", make_call(tasks)};
        const std::string report = encode(make_report(tasks));
        const auto size = static_cast<double>(tasks);
        sent.points.push_back({size, static_cast<double>(encode(call).size())});
        received.points.push_back({size, static_cast<double>(report.size())});
        constexpr int beats = 2'000;
        const double seconds = cpu_seconds(
            [&]
            {
                for (int n = 0; n < beats; ++n)
                {
                    (void)encode(call);
                    (void)decode_worker_report(report).has_value();
                }
            });
        time.points.push_back({size, seconds * 1e6 / beats});
    }
    for (auto* one : {&sent, &received, &time})
    {
        all.push_back(std::move(*one));
    }
}

/// Bytes of all records of one job that ends well.
capacity_series job_records()
{
    auto made =
        owner_series("records of one job", "bytes", "tasks of a job", 8);
    for (std::uint32_t tasks : {1, 8, 40, 200})
    {
        const shard_epoch epoch = 1'234'567;
        const job_spec spec = make_job(42, tasks);
        auto bytes = [epoch](shard_change change)
        {
            return encode(
                       shard_record{
                           make_record_id(123'456), epoch, std::move(change)})
                .size();
        };
        std::size_t sum = bytes(job_accepted{spec});
        for (std::uint32_t n = 0; n < tasks; ++n)
        {
            const attempt_id attempt{{spec.id, n}, 1};
            sum += bytes(attempt_assigned{attempt, make_worker(12'345).id});
            sum += bytes(attempt_ended{attempt, task_state::succeeded, {}, {}});
        }
        made.points.push_back(
            {static_cast<double>(tasks), static_cast<double>(sum)});
    }
    return made;
}

/// A fold of jobs whose tasks all run.
struct filled_fold
{
    shard_fold fold;
    log_offset at = 0;

    void apply(shard_change change)
    {
        ++at;
        fold.apply(at, {make_record_id(at), 1, std::move(change)});
    }

    void run_job(std::size_t number, std::uint32_t tasks)
    {
        const job_spec spec = make_job(number, tasks);
        apply(job_accepted{spec});
        for (std::uint32_t n = 0; n < tasks; ++n)
        {
            apply(attempt_assigned{
                {{spec.id, n}, 1}, make_worker(n % shard_workers).id});
        }
    }
};

capacity_series fold_state(std::string per, bool many_jobs, double size)
{
    auto made = owner_series("fold: state", "bytes", std::move(per), size);
    for (std::size_t count : {1'000, 2'000, 4'000})
    {
        const double before = heap_in_use();
        auto filled = std::make_unique<filled_fold>();
        filled->apply(epoch_opened{});
        if (many_jobs)
        {
            for (std::size_t n = 0; n < count; ++n)
            {
                filled->run_job(n, 1);
            }
        }
        else
        {
            filled->run_job(1, static_cast<std::uint32_t>(count));
        }
        made.points.push_back(
            {static_cast<double>(count), heap_in_use() - before});
    }
    return made;
}

capacity_series fold_records_time()
{
    auto made = owner_series("decode, fold: assigned", "us", "records", 1'000);
    for (std::uint32_t count : {1'000, 2'000, 4'000})
    {
        filled_fold base;
        base.apply(epoch_opened{});
        const job_spec spec = make_job(1, count);
        base.apply(job_accepted{spec});
        std::vector<std::string> encoded;
        for (std::uint32_t n = 0; n < count; ++n)
        {
            encoded.push_back(encode(shard_record{
                make_record_id(n),
                1,
                attempt_assigned{{{spec.id, n}, 1}, make_worker(n).id}}));
        }
        const double seconds = cpu_seconds(
            [&]
            {
                shard_fold fold = base.fold;
                log_offset at = base.at;
                for (const std::string& body : encoded)
                {
                    fold.apply(++at, decode_shard_record(body).value());
                }
            });
        made.points.push_back({static_cast<double>(count), seconds * 1e6});
    }
    return made;
}

job_request make_request(std::size_t number)
{
    const job_spec spec = make_job(number, 1);
    job_request request;
    request.job = spec.id;
    request.team = spec.team;
    request.queue = spec.queue;
    request.kind = spec.kind;
    request.name = spec.name;
    request.each = {500, 512, 0};
    request.run_time = spec.run_time;
    request.waiting = {0};
    return request;
}

std::unique_ptr<scheduler> make_shard_scheduler()
{
    auto made = fair_scheduler::create({});
    made->set_rules(make_rules(letter::teams));
    for (std::size_t n = 0; n < shard_workers; ++n)
    {
        made->set_worker(make_worker(n));
        made->set_worker_state(make_worker(n).id, worker_state::open);
    }
    for (std::size_t n = 0; n < letter::teams; ++n)
    {
        made->set_allowance(make_team(n), {4'000'000, 8'000'000, 100});
    }
    return made;
}

void add_scheduler(std::vector<capacity_series>& all)
{
    auto state =
        owner_series("scheduler: state", "bytes", "waiting tasks", 10'000);
    auto time = owner_series(
        "scheduler: place, end", "us", "tasks", letter::tasks_an_instance);
    for (std::size_t count : {1'000, 2'000, 4'000})
    {
        const double before = heap_in_use();
        auto made = make_shard_scheduler();
        const double empty = heap_in_use();
        for (std::size_t n = 0; n < count; ++n)
        {
            made->enqueue(make_request(n));
        }
        const double full = heap_in_use();
        state.points.push_back({static_cast<double>(count), full - before});
        const auto begin = cpu_time();
        decisions placed;
        std::size_t ended = 0;
        do
        {
            placed = made->decide(instant{}, 100);
            for (const placement& one : placed.placements)
            {
                made->end(one.task, {});
                ++ended;
            }
        } while (!placed.placements.empty());
        const std::chrono::duration<double> used = cpu_time() - begin;
        time.points.push_back({static_cast<double>(ended), used.count() * 1e6});
        (void)empty;
    }
    all.push_back(std::move(state));
    all.push_back(std::move(time));
}

} // namespace

std::vector<capacity_series> measure_messages()
{
    std::vector<capacity_series> all;
    add_beats(all);
    all.push_back(job_records());
    return all;
}

std::vector<capacity_series> measure_shard_state()
{
    std::vector<capacity_series> all;
    all.push_back(fold_state("jobs of one task", true, 1'000));
    all.push_back(
        fold_state("tasks of one job", false, letter::tasks_an_instance));
    all.push_back(fold_records_time());
    add_scheduler(all);
    return all;
}

} // namespace acaciastile::bench
