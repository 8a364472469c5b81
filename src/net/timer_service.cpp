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

timer_service::ticket
timer_service::after(milliseconds delay, std::function<void()> work)
{
    const instant due = now() + delay;
    const ticket made = ++last_;
    pending_.emplace(key{due, made}, std::move(work));
    due_.emplace(made, due);
    if (due < armed_)
    {
        arm();
    }
    return made;
}

void timer_service::cancel(ticket which)
{
    const auto at = due_.find(which);
    if (at == due_.end())
    {
        return;
    }
    pending_.erase({at->second, which});
    due_.erase(at);
}

void timer_service::arm()
{
    if (pending_.empty())
    {
        armed_ = instant::max();
        return;
    }
    armed_ = pending_.begin()->first.first;
    timer_.expires_at(std::chrono::steady_clock::time_point(
        milliseconds(armed_.time_since_epoch())));
    timer_.async_wait(
        [this](const boost::system::error_code& failed)
        {
            if (!failed)
            {
                fire();
            }
        });
}

void timer_service::fire()
{
    const instant present = now();
    while (!pending_.empty() && pending_.begin()->first.first <= present)
    {
        auto node = pending_.extract(pending_.begin());
        due_.erase(node.key().second);
        node.mapped()();
    }
    arm();
}

} // namespace acaciastile::net
