#include "platform/embedded/fault_command.hpp"
#include "platform/embedded/stand_in_platform.hpp"

#include <limits>

namespace acaciastile
{

namespace
{

void apply(stand_in_platform& to, const fault::log_down& command)
{
    to.log.set_down(command.on);
}

void apply(stand_in_platform& to, const fault::log_reads_fail& command)
{
    to.log.fail_reads(command.on);
}

void apply(stand_in_platform& to, const fault::log_append_time& command)
{
    to.log.set_append_time(command.each);
}

void apply(stand_in_platform& to, const fault::log_refuse_appends& command)
{
    to.log.refuse_appends(command.count);
}

void apply(stand_in_platform& to, const fault::log_lose_answers& command)
{
    to.log.lose_append_answers(command.count, command.manner);
    to.log.lose_append_answers_at_random(command.probability, command.manner);
}

void apply(stand_in_platform& to, const fault::log_retention& command)
{
    constexpr auto all = std::numeric_limits<std::size_t>::max();
    to.log.set_retention(
        command.entries == 0 ? all : command.entries, command.age);
}

void apply(stand_in_platform& to, const fault::cut& command)
{
    to.network.cut(command.left, command.right, command.manner);
}

void apply(stand_in_platform& to, const fault::heal& command)
{
    if (command.left.empty() && command.right.empty())
    {
        to.network.heal_all();
        return;
    }
    to.network.heal(command.left, command.right);
}

void apply(stand_in_platform& to, const fault::group& command)
{
    to.network.join(command.endpoint, command.name);
}

void apply(stand_in_platform& to, const fault::slow& command)
{
    to.network.slow(command.endpoint, command.extra);
}

void apply(stand_in_platform& to, const fault::pause& command)
{
    if (command.on)
    {
        to.network.pause(command.endpoint);
    }
    else
    {
        to.network.resume(command.endpoint);
    }
}

void apply(stand_in_platform& to, const fault::vm_list_lag& command)
{
    to.vms.set_lag(command.lag);
}

void apply(stand_in_platform& to, const fault::vm_list_down& command)
{
    to.vms.set_down(command.on);
}

void apply(stand_in_platform& to, const fault::vm_set& command)
{
    to.vms.set(command.entry);
}

void apply(stand_in_platform& to, const fault::vm_remove& command)
{
    to.vms.remove(command.name);
}

void apply(stand_in_platform& to, const fault::vm_leaving& command)
{
    to.vms.set_leaving(command.name, command.on);
}

void apply(stand_in_platform& to, const fault::worker_add& command)
{
    to.workers.add(command.settings);
}

result<void> known(const stand_in_platform& platform, const worker_id& worker)
{
    if (platform.workers.find(worker) == nullptr)
    {
        return refuse(
            refusal_code::unknown_worker, "no worker '" + worker.str() + "'");
    }
    return {};
}

void apply(stand_in_platform& to, const fault::worker_remove& command)
{
    to.workers.remove(command.worker);
}

void apply(stand_in_platform& to, const fault::worker_kill& command)
{
    to.workers.kill(command.worker);
}

void apply(stand_in_platform& to, const fault::worker_lose_answers& command)
{
    to.workers.lose_answers(command.worker, command.count);
}

void apply(stand_in_platform& to, const fault::worker_fails_everything& command)
{
    to.workers.fail_everything(command.worker, command.on);
}

void apply(stand_in_platform& to, const fault::worker_leaving& command)
{
    to.workers.set_leaving(command.worker, command.on);
}

void apply(stand_in_platform& to, const fault::worker_drift& command)
{
    to.workers.set_drift(command.worker, command.parts_per_million);
}

void apply(stand_in_platform& to, const fault::worker_clock_pause& command)
{
    to.workers.pause_clock(command.worker, command.on);
}

template<class Fault>
concept names_a_worker = requires(const Fault& command)
{
    command.worker;
};

} // namespace

result<void>
apply_fault(stand_in_platform& platform, const fault_command& command)
{
    return std::visit(
        [&platform]<class Fault>(const Fault& each) -> result<void>
        {
            if constexpr (names_a_worker<Fault>)
            {
                if (auto found = known(platform, each.worker); !found)
                {
                    return found;
                }
            }
            apply(platform, each);
            return {};
        },
        command);
}

} // namespace acaciastile
