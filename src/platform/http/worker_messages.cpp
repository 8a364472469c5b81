#include "platform/http/worker_messages.hpp"

#include "platform/http/packed_message.hpp"

namespace acaciastile
{

using impl::enum_at;
using impl::list_at;
using impl::list_of;
using impl::name_at;
using impl::pack;
using impl::packed;
using impl::unpack;

namespace
{

packed attempt_to(const attempt_id& attempt)
{
    return {attempt.task.job.str(), attempt.task.index, attempt.number};
}

attempt_id attempt_from(const packed& read)
{
    return {
        {name_at<job_id>(read, 0), read.at(1).get<std::uint32_t>()},
        read.at(2).get<std::uint32_t>()};
}

packed amount_to(const resources& amount)
{
    return {amount.milli_processors, amount.memory_mib, amount.accelerators};
}

resources amount_from(const packed& read)
{
    return {
        read.at(0).get<std::int64_t>(),
        read.at(1).get<std::int64_t>(),
        read.at(2).get<std::int64_t>()};
}

packed clock_to(worker_instant reading)
{
    return reading.time_since_epoch().count();
}

worker_instant clock_from(const packed& read)
{
    return worker_instant{} + milliseconds{read.get<std::int64_t>()};
}

packed stop_to(const stop_command& command)
{
    return {
        attempt_to(command.attempt),
        static_cast<std::uint64_t>(command.manner)};
}

stop_command stop_from(const packed& read)
{
    return {
        attempt_from(read.at(0)), enum_at(read, 1, stop_manner::checkpoint)};
}

packed start_to(const start_command& command)
{
    return {
        attempt_to(command.attempt),
        amount_to(command.needs),
        command.run_time.count(),
        command.name,
        command.payload};
}

start_command start_from(const packed& read)
{
    return {
        attempt_from(read.at(0)),
        amount_from(read.at(1)),
        milliseconds{read.at(2).get<std::int64_t>()},
        read.at(3).get<std::string>(),
        read.at(4).get<std::string>()};
}

packed running_to(const running_attempt& running)
{
    return {
        attempt_to(running.attempt),
        amount_to(running.needs),
        amount_to(running.usage),
        clock_to(running.lease_until)};
}

running_attempt running_from(const packed& read)
{
    return {
        attempt_from(read.at(0)),
        amount_from(read.at(1)),
        amount_from(read.at(2)),
        clock_from(read.at(3))};
}

packed ended_to(const ended_attempt& ended)
{
    return {
        attempt_to(ended.attempt),
        static_cast<std::uint64_t>(ended.outcome),
        ended.answer,
        ended.reason,
        ended.ran.count(),
        amount_to(ended.peak_usage)};
}

ended_attempt ended_from(const packed& read)
{
    return {
        attempt_from(read.at(0)),
        enum_at(read, 1, attempt_outcome::lapsed),
        read.at(2).get<std::string>(),
        read.at(3).get<std::string>(),
        milliseconds{read.at(4).get<std::int64_t>()},
        amount_from(read.at(5))};
}

packed refused_to(const refused_start& refused)
{
    return {
        attempt_to(refused.attempt), static_cast<std::uint64_t>(refused.code)};
}

refused_start refused_from(const packed& read)
{
    return {attempt_from(read.at(0)), enum_at(read, 1, refusal_code::internal)};
}

worker_call call_from(const packed& read)
{
    worker_call call;
    call.worker = name_at<worker_id>(read, 1);
    call.shard = name_at<shard_id>(read, 2);
    call.epoch = read.at(3).get<shard_epoch>();
    call.incarnation = read.at(4).get<std::uint64_t>();
    call.seal = read.at(5).get<bool>();
    call.lease_until = clock_from(read.at(6));
    call.forget = list_at<attempt_id>(read, 7, attempt_from);
    call.stop = list_at<stop_command>(read, 8, stop_from);
    call.renew = list_at<attempt_id>(read, 9, attempt_from);
    call.start = list_at<start_command>(read, 10, start_from);
    call.notify_address = read.at(11).get<std::string>();
    return call;
}

worker_report report_from(const packed& read)
{
    worker_report report;
    report.worker = name_at<worker_id>(read, 0);
    report.clock = clock_from(read.at(1));
    report.incarnation = read.at(2).get<std::uint64_t>();
    report.sealed = read.at(3).get<shard_epoch>();
    report.leaving = read.at(4).get<bool>();
    report.capacity = amount_from(read.at(5));
    report.running = list_at<running_attempt>(read, 6, running_from);
    report.ended = list_at<ended_attempt>(read, 7, ended_from);
    report.refused = list_at<refused_start>(read, 8, refused_from);
    return report;
}

} // namespace

std::string encode(const worker_call_message& message)
{
    const worker_call& call = message.call;
    return pack(
        {message.caller,
         call.worker.str(),
         call.shard.str(),
         call.epoch,
         call.incarnation,
         call.seal,
         clock_to(call.lease_until),
         list_of(call.forget, attempt_to),
         list_of(call.stop, stop_to),
         list_of(call.renew, attempt_to),
         list_of(call.start, start_to),
         call.notify_address});
}

std::string encode(const worker_report& report)
{
    return pack(
        {report.worker.str(),
         clock_to(report.clock),
         report.incarnation,
         report.sealed,
         report.leaving,
         amount_to(report.capacity),
         list_of(report.running, running_to),
         list_of(report.ended, ended_to),
         list_of(report.refused, refused_to)});
}

std::string encode(const worker_notice& notice)
{
    return pack(packed::array({notice.worker.str()}));
}

result<worker_call_message> decode_worker_call(const std::string& bytes)
{
    return unpack<worker_call_message>(
        bytes,
        [](const packed& read)
        {
            return worker_call_message{
                read.at(0).get<std::string>(), call_from(read)};
        });
}

result<worker_report> decode_worker_report(const std::string& bytes)
{
    return unpack<worker_report>(bytes, report_from);
}

result<worker_notice> decode_worker_notice(const std::string& bytes)
{
    return unpack<worker_notice>(
        bytes,
        [](const packed& read)
        { return worker_notice{name_at<worker_id>(read, 0)}; });
}

} // namespace acaciastile
