#include "net/timer_service.hpp"

#include <utility>

namespace acaciastile::net
{

timer_service::timer_service(boost::asio::io_context& loop) : timer_(loop) {}

instant timer_service::now() const
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<milliseconds>(since_boot));
}

timer_service::timer_id
timer_service::after(milliseconds delay, std::function<void()> work)
{
    const instant due = now() + delay;
    const timer_id made = ++last_id_;
    pending_.emplace(key{due, made}, std::move(work));
    due_times_.emplace(made, due);
    if (due < system_timer_due_)
    {
        set_system_timer();
    }
    return made;
}

void timer_service::cancel(timer_id which)
{
    const auto at = due_times_.find(which);
    if (at == due_times_.end())
    {
        return;
    }
    pending_.erase({at->second, which});
    due_times_.erase(at);
}

void timer_service::set_system_timer()
{
    if (pending_.empty())
    {
        system_timer_due_ = instant::max();
        return;
    }
    system_timer_due_ = pending_.begin()->first.first;
    timer_.expires_at(std::chrono::steady_clock::time_point(
        milliseconds(system_timer_due_.time_since_epoch())));
    timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
            {
                run_due_timers();
            }
        });
}

void timer_service::run_due_timers()
{
    const instant present = now();
    while (!pending_.empty() && pending_.begin()->first.first <= present)
    {
        auto node = pending_.extract(pending_.begin());
        due_times_.erase(node.key().second);
        node.mapped()();
    }
    set_system_timer();
}

} // namespace acaciastile::net
