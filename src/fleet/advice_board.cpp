#include "fleet/advice_board.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

void advice_board::add(permit_request question)
{
    auto at = std::find_if(
        waiting_.begin(),
        waiting_.end(),
        [&](const permit_request& each)
        { return each.priority > question.priority; });
    waiting_.insert(at, std::move(question));
}

void advice_board::request_question(
    const instance_id& vm, instant now, instant until, question_handler give)
{
    seen_[vm] = now;
    if (auto lost = given_.extract(vm))
    {
        add(std::move(lost.mapped().question)); // The VM knows of none.
    }
    if (const auto at = visitors_.find(vm); at != visitors_.end())
    {
        at->second.give(std::nullopt); // The VM gave that call up.
        visitors_.erase(at);
    }
    visitors_.emplace(vm, visitor{std::move(give), until});
}

std::size_t advice_board::present(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        seen_.begin(),
        seen_.end(),
        [&](const auto& each)
        { return each.second + settings_.absent_after > now; }));
}

permit_request_budget advice_board::room(instant now) const
{
    const auto lengthy = static_cast<std::size_t>(std::count_if(
        waiting_.begin(),
        waiting_.end(),
        [&](const permit_request& each) { return is_long(each); }));
    const std::size_t brief = waiting_.size() - lengthy;
    const std::size_t brief_ready =
        std::max<std::size_t>(1, present(now)) * settings_.ready_per_vm;
    return {
        brief_ready - std::min(brief_ready, brief),
        settings_.long_ready - std::min(settings_.long_ready, lengthy),
        settings_.long_question};
}

std::vector<permit_request> advice_board::dispatch(instant now)
{
    std::vector<permit_request> overdue;
    std::erase_if(
        given_,
        [&](auto& each)
        {
            if (each.second.until > now)
            {
                return false;
            }
            overdue.push_back(std::move(each.second.question));
            return true;
        });
    const std::size_t vms = present(now);
    const std::size_t long_allowed =
        vms > settings_.kept_for_short ? vms - settings_.kept_for_short : 1;
    auto long_given = static_cast<std::size_t>(std::count_if(
        given_.begin(),
        given_.end(),
        [&](const auto& each) { return is_long(each.second.question); }));
    for (auto question = waiting_.begin();
         question != waiting_.end() && !visitors_.empty();)
    {
        if (is_long(*question) && long_given >= long_allowed)
        {
            ++question;
            continue;
        }
        long_given += is_long(*question) ? 1 : 0;
        auto visitor = visitors_.extract(visitors_.begin());
        const instance_id vm = visitor.key();
        given_[vm] = {
            *question, now + question->expected * 2 + settings_.patience};
        seen_[vm] = now + question->expected * 2;
        permit_request taken = std::move(*question);
        question = waiting_.erase(question);
        visitor.mapped().give(std::move(taken));
    }
    for (auto at = visitors_.begin(); at != visitors_.end();)
    {
        if (at->second.until > now)
        {
            ++at;
            continue;
        }
        question_handler give = std::move(at->second.give);
        at = visitors_.erase(at);
        give(std::nullopt);
    }
    return overdue;
}

std::optional<permit_request>
advice_board::finish(const instance_id& vm, const step_id& step)
{
    const auto at = given_.find(vm);
    if (at == given_.end() || at->second.question.step != step)
    {
        return std::nullopt;
    }
    std::optional<permit_request> done = std::move(at->second.question);
    given_.erase(at);
    return done;
}

void advice_board::close()
{
    auto visitors = std::move(visitors_);
    visitors_.clear();
    for (auto& [vm, each] : visitors)
    {
        each.give(std::nullopt);
    }
}

} // namespace acaciastile::fleet
