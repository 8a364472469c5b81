#pragma once

#include "domain/result.hpp"
#include "platform/completion.hpp"
#include "platform/embedded/timer_queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile
{

struct embedded_network_settings
{
    milliseconds least_delay{1}; ///< One way, drawn evenly up to the most.
    milliseconds most_delay{1};
    milliseconds connect_timeout{1'000}; ///< Until a cut call fails.
    milliseconds answer_timeout{3'000};  ///< Zero: a lost answer stays lost.
    std::uint64_t seed = 1;
};

/// How a cut shows to the caller.
enum class cut_manner
{
    refused, ///< The connection fails: `not_run`.
    silent   ///< The call is sent into nothing: `may_have_run`.
};

/// The way between named endpoints of one process: instances, the log, the VM
/// list and workers. Every call and answer passes it, so that a cut, a delay
/// or a pause of an endpoint is commanded in one place. Single-threaded. The
/// network and all endpoints must outlive the last run of the timer queue.
class embedded_network
{
public:
    explicit embedded_network(
        timer_queue& timers, embedded_network_settings settings = {});

    [[nodiscard]] timer_queue& timers() noexcept { return timers_; }
    [[nodiscard]] instant now() const noexcept { return timers_.now(); }
    [[nodiscard]] const embedded_network_settings& settings() const noexcept
    {
        return settings_;
    }

    /// Makes an endpoint part of a group, which can be cut as a whole.
    void join(const std::string& endpoint, const std::string& group);

    /// Stands for every endpoint in a cut.
    static constexpr const char* everyone = "*";

    /// Cuts two endpoints or groups off from each other, both ways.
    void
    cut(const std::string& left,
        const std::string& right,
        cut_manner manner = cut_manner::refused);
    void heal(const std::string& left, const std::string& right);
    void heal_all();

    /// Adds a delay to every message to and from an endpoint; zero ends it.
    void slow(const std::string& endpoint, milliseconds extra);

    /// Holds back all that is to be delivered to an endpoint until it resumes.
    void pause(const std::string& endpoint);
    void resume(const std::string& endpoint);

    /// The cut between two endpoints; null where there is none.
    [[nodiscard]] const cut_manner*
    cut_between(const std::string& left, const std::string& right) const;

    /// Draws the delay of one message.
    [[nodiscard]] milliseconds
    delay(const std::string& from, const std::string& to);

    /// Runs work as the endpoint, or holds it back while it is paused.
    void deliver(const std::string& endpoint, std::function<void()> work);

private:
    timer_queue& timers_;
    embedded_network_settings settings_;
    std::mt19937_64 random_;
    std::map<std::string, std::string> groups_;
    std::map<std::pair<std::string, std::string>, cut_manner> cuts_;
    std::map<std::string, milliseconds> slow_;
    std::map<std::string, std::vector<std::function<void()>>> paused_;
};

/// Who calls, who is called and how a call that brings no answer fails.
struct embedded_route
{
    std::string from;
    std::string to;
    refusal_code failure = refusal_code::unreachable;
    milliseconds timeout{0};   ///< Zero: that of the network.
    std::weak_ptr<void> alive; ///< The caller; its answers end with it.
};

/// The way back to the caller. Where it is not used, the caller's timeout
/// settles the call.
template<class Value>
class embedded_reply
{
public:
    embedded_reply(completion<Value> answer, std::function<void()> drop)
        : answer_(std::move(answer)), drop_(std::move(drop))
    {
    }

    void answer(result<Value> value) const { answer_(std::move(value)); }
    /// Lets the caller never hear of the call again, not even by a timeout.
    void drop() const { drop_(); }

private:
    completion<Value> answer_;
    std::function<void()> drop_;
};

template<class Value>
using embedded_handler = std::function<void(const embedded_reply<Value>&)>;

namespace impl
{

/// Settles one call once, at the caller.
template<class Value>
class embedded_exchange
    : public std::enable_shared_from_this<embedded_exchange<Value>>
{
public:
    embedded_exchange(
        embedded_network& network, embedded_route route, completion<Value> done)
        : network_(network), route_(std::move(route)), done_(std::move(done))
    {
    }

    void send(embedded_handler<Value> serve)
    {
        const cut_manner* cut = network_.cut_between(route_.from, route_.to);
        if (cut != nullptr)
        {
            fail_cut(*cut);
            return;
        }
        fail_after(answer_timeout());
        auto self = this->shared_from_this();
        network_.timers().after(
            network_.delay(route_.from, route_.to),
            [self, serve = std::move(serve)]() mutable
            { self->arrive(std::move(serve)); });
    }

private:
    void arrive(embedded_handler<Value> serve)
    {
        auto self = this->shared_from_this();
        network_.deliver(
            route_.to,
            [self, serve = std::move(serve)]
            {
                serve(embedded_reply<Value>(
                    [self](result<Value> answer)
                    { self->send_back(std::move(answer)); },
                    [self] { self->done_ = nullptr; }));
            });
    }

    void send_back(result<Value> answer)
    {
        if (network_.cut_between(route_.to, route_.from) != nullptr)
        {
            return; // The timeout settles it.
        }
        auto self = this->shared_from_this();
        network_.timers().after(
            network_.delay(route_.to, route_.from),
            [self, answer = std::move(answer)]() mutable
            { self->settle(std::move(answer)); });
    }

    void settle(result<Value> answer)
    {
        if (!done_)
        {
            return;
        }
        network_.deliver(
            route_.from,
            [alive = route_.alive,
             done = std::exchange(done_, nullptr),
             answer = std::move(answer)]() mutable
            {
                if (!alive.expired())
                {
                    done(std::move(answer));
                }
            });
    }

    void fail_cut(cut_manner manner)
    {
        const bool silent = manner == cut_manner::silent;
        const milliseconds wait =
            silent ? answer_timeout() : network_.settings().connect_timeout;
        if (silent)
        {
            fail_after(wait);
            return;
        }
        auto self = this->shared_from_this();
        network_.timers().after(
            wait,
            [self]
            {
                self->settle(refuse(
                    self->route_.failure,
                    verdict::not_run,
                    "cannot connect to " + self->route_.to));
            });
    }

    void fail_after(milliseconds wait)
    {
        if (wait == milliseconds{0})
        {
            return;
        }
        auto self = this->shared_from_this();
        network_.timers().after(
            wait,
            [self]
            {
                self->settle(refuse(
                    self->route_.failure,
                    verdict::may_have_run,
                    "no answer from " + self->route_.to));
            });
    }

    [[nodiscard]] milliseconds answer_timeout() const
    {
        return route_.timeout != milliseconds{0}
                   ? route_.timeout
                   : network_.settings().answer_timeout;
    }

    embedded_network& network_;
    embedded_route route_;
    completion<Value> done_;
};

} // namespace impl

/// Calls an endpoint: `serve` runs there once the message has arrived and
/// answers through the completion that it is given, or never. `done` gets the
/// answer or, after the timeout, the route's failure, exactly once; it gets
/// nothing where the timeout is zero and the answer is lost.
template<class Value>
void exchange(
    embedded_network& network,
    embedded_route route,
    embedded_handler<Value> serve,
    completion<Value> done)
{
    std::make_shared<impl::embedded_exchange<Value>>(
        network, std::move(route), std::move(done))
        ->send(std::move(serve));
}

} // namespace acaciastile
