#include "platform/embedded/embedded_log.hpp"

#include <algorithm>

namespace acaciastile
{

embedded_log::embedded_log(
    embedded_network& network, embedded_log_settings settings)
    : network_(network),
      settings_(settings),
      random_(settings.seed),
      alive_(std::make_shared<int>())
{
}

void embedded_log::append(
    const stream_name& stream,
    std::vector<std::string> bodies,
    completion<append_receipt> done)
{
    append_as(
        route_of("operator", alive_),
        stream,
        std::move(bodies),
        std::move(done));
}

void embedded_log::read(
    const stream_name& stream,
    log_offset from,
    std::size_t limit_bytes,
    completion<log_page> done)
{
    read_as(
        route_of("operator", alive_),
        stream,
        from,
        limit_bytes,
        std::move(done));
}

void embedded_log::lose_append_answers(std::size_t count, lost_answer manner)
{
    lose_ = count;
    lose_manner_ = manner;
}

void embedded_log::lose_append_answers_at_random(
    double probability, lost_answer manner)
{
    lose_probability_ = probability;
    lose_manner_ = manner;
}

void embedded_log::set_retention(
    std::size_t keep_entries, milliseconds keep_for)
{
    settings_.keep_entries = keep_entries;
    settings_.keep_for = keep_for;
    for (auto& [name, kept] : streams_)
    {
        expire(kept);
    }
}

std::vector<log_entry> embedded_log::kept(const stream_name& stream)
{
    auto& of = streams_[stream];
    expire(of);
    std::vector<log_entry> copies;
    copies.reserve(of.entries.size());
    for (const kept_entry& each : of.entries)
    {
        copies.push_back(each.entry);
    }
    return copies;
}

embedded_route embedded_log::route_of(
    const std::string& caller, std::weak_ptr<void> alive) const
{
    return {
        caller,
        endpoint,
        refusal_code::log_unavailable,
        settings_.answer_timeout,
        std::move(alive)};
}

void embedded_log::append_as(
    embedded_route route,
    const stream_name& stream,
    std::vector<std::string> bodies,
    completion<append_receipt> done)
{
    auto serve = [this, stream, bodies = std::move(bodies)](
                     const embedded_reply<append_receipt>& reply)
    { queue_append(stream, bodies, reply); };
    exchange<append_receipt>(
        network_, std::move(route), std::move(serve), std::move(done));
}

void embedded_log::read_as(
    embedded_route route,
    const stream_name& stream,
    log_offset from,
    std::size_t limit_bytes,
    completion<log_page> done)
{
    auto serve =
        [this, stream, from, limit_bytes](const embedded_reply<log_page>& reply)
    { reply.answer(serve_read(stream, from, limit_bytes)); };
    exchange<log_page>(
        network_, std::move(route), std::move(serve), std::move(done));
}

void embedded_log::queue_append(
    const stream_name& name,
    std::vector<std::string> bodies,
    const embedded_reply<append_receipt>& reply)
{
    if (append_time_ == milliseconds{0})
    {
        serve_append(name, std::move(bodies), reply);
        return;
    }
    const instant now = network_.now();
    free_at_ = std::max(free_at_, now) + append_time_;
    network_.timers().after(
        free_at_ - now,
        [this, name, bodies = std::move(bodies), reply]() mutable
        { serve_append(name, std::move(bodies), reply); });
}

void embedded_log::serve_append(
    const stream_name& name,
    std::vector<std::string> bodies,
    const embedded_reply<append_receipt>& reply)
{
    if (down_)
    {
        reply.answer(refuse(refusal_code::log_unavailable, "the log is down"));
        return;
    }
    if (refuse_ > 0)
    {
        --refuse_;
        reply.answer(
            refuse(refusal_code::log_unavailable, "the append was refused"));
        return;
    }
    const append_receipt receipt = apply(streams_[name], std::move(bodies));
    if (!loses_this_answer())
    {
        reply.answer(receipt);
    }
    else if (lose_manner_ == lost_answer::never)
    {
        reply.drop();
    }
}

result<log_page> embedded_log::serve_read(
    const stream_name& name, log_offset from, std::size_t limit)
{
    if (down_ || reads_fail_)
    {
        return refuse(refusal_code::log_unavailable, "the log cannot be read");
    }
    stream& of = streams_[name];
    expire(of);
    ++counts_.reads;
    log_page page;
    page.head = of.head;
    page.first_kept = of.head - of.entries.size();
    page.next = std::max<log_offset>(from, 1);
    if (page.next < page.first_kept)
    {
        return refuse(
            refusal_code::offset_expired,
            "the first kept offset is " + std::to_string(page.first_kept));
    }
    std::size_t bytes = 0;
    while (page.next < page.head && (page.entries.empty() || bytes < limit))
    {
        const auto& kept = of.entries[page.next - page.first_kept];
        bytes += kept.entry.body.size();
        page.entries.push_back(kept.entry);
        ++page.next;
    }
    return page;
}

append_receipt
embedded_log::apply(stream& into, std::vector<std::string> bodies)
{
    const append_receipt receipt{into.head, bodies.size()};
    ++counts_.appends;
    counts_.entries += bodies.size();
    for (std::string& body : bodies)
    {
        counts_.bytes += body.size();
        into.entries.push_back({{into.head, std::move(body)}, network_.now()});
        ++into.head;
    }
    expire(into);
    return receipt;
}

bool embedded_log::loses_this_answer()
{
    if (lose_ > 0)
    {
        --lose_;
        return true;
    }
    if (lose_probability_ <= 0.0)
    {
        return false;
    }
    return std::bernoulli_distribution(lose_probability_)(random_);
}

void embedded_log::expire(stream& of) const
{
    auto expired = [&](const kept_entry& oldest)
    {
        if (of.entries.size() > settings_.keep_entries)
        {
            return true;
        }
        return settings_.keep_for != milliseconds{0} &&
               oldest.appended + settings_.keep_for < network_.now();
    };
    while (!of.entries.empty() && expired(of.entries.front()))
    {
        of.entries.pop_front();
    }
}

embedded_log_view::embedded_log_view(embedded_log& log, std::string caller)
    : log_(log), caller_(std::move(caller)), alive_(std::make_shared<int>())
{
}

void embedded_log_view::append(
    const stream_name& stream,
    std::vector<std::string> bodies,
    completion<append_receipt> done)
{
    log_.append_as(
        log_.route_of(caller_, alive_),
        stream,
        std::move(bodies),
        std::move(done));
}

void embedded_log_view::read(
    const stream_name& stream,
    log_offset from,
    std::size_t limit_bytes,
    completion<log_page> done)
{
    log_.read_as(
        log_.route_of(caller_, alive_),
        stream,
        from,
        limit_bytes,
        std::move(done));
}

} // namespace acaciastile
