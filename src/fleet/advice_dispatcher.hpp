#pragma once

#include "fleet/planner.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace acaciastile::fleet
{

struct advice_dispatcher_settings
{
    /// A question whose expected answer time exceeds this is a long one.
    milliseconds long_question_threshold{150};
    /// Number of VMs that are kept free of long questions, so that short ones
    /// need not wait for them. One long question is always allowed.
    std::size_t vms_reserved_for_short = 2;
    /// Number of VMs that are kept free of questions of accounts that have had
    /// another one unanswered, so that a backlog leaves room for others. Two
    /// VMs are always left to such questions.
    std::size_t vms_reserved_for_first = 1;
    /// A question is overdue this long after twice its expected answer time.
    milliseconds answer_grace{900};
    /// A VM that has not asked for a question for this long, and should not be
    /// working on one, does not count as active.
    milliseconds vm_inactive_after{2'500};
    /// Short questions kept waiting for each VM, in addition to the one that it
    /// works on, as it may answer between two scheduling rounds.
    std::size_t short_ready_per_vm = 1;
    /// Long questions kept waiting for all VMs together.
    std::size_t max_long_ready = 2;
};

/// Distributes questions for the policy service among the VMs that ask for
/// them. A question asks which of the named workers may run a step. The service
/// answers one question at a time for each VM, so a VM gets one at a time.
/// Questions go out by priority, then by turn; the number of long ones in
/// progress is limited, so that short ones do not wait for them.
class advice_dispatcher
{
public:
    using question_handler = std::function<void(std::optional<permit_request>)>;

    /// `owner_token` increases with every change of owner.
    explicit advice_dispatcher(
        advice_dispatcher_settings settings = {}, std::uint64_t owner_token = 0)
        : settings_(settings), last_number_(owner_token * numbers_per_owner)
    {
    }

    /// Queues a question by its priority.
    void add(permit_request question);

    /// Registers a VM that is free for a question. `deliver` is called once,
    /// with a question or, if there is none by the deadline, with nothing. A
    /// question that this VM was given before and has not answered is queued
    /// again, and its earlier request ends with nothing. Each delivery of a
    /// question has another number (`permit_request::number`).
    void request_question(
        const instance_id& vm,
        instant now,
        instant deadline,
        question_handler deliver);

    /// Delivers questions to idle VMs and ends requests whose deadline has
    /// passed. Returns the questions that were not answered in time; the caller
    /// has to ask them again.
    [[nodiscard]] std::vector<permit_request> dispatch(instant now);

    /// Ends a VM's current question and returns it, if it is about this step
    /// and has this number; otherwise returns nothing. The step alone does not
    /// tell: an answer may arrive twice, and the VM's next question may be
    /// about the same step. Zero, from a VM of a build that returns no numbers,
    /// stands for any number.
    [[nodiscard]] std::optional<permit_request>
    finish(const instance_id& vm, const step_id& step, std::uint64_t number);

    /// Number of short and long questions to add so that no VM is idle for lack
    /// of one.
    [[nodiscard]] permit_request_budget budget(instant now) const;

    [[nodiscard]] std::size_t waiting_questions() const noexcept
    {
        return waiting_.size();
    }

    /// Ends the requests of all idle VMs with nothing.
    void close();

private:
    /// Bound of the deliveries by one owner, so that their numbers differ from
    /// those of every other owner.
    static constexpr std::uint64_t numbers_per_owner = std::uint64_t{1} << 32U;

    struct idle_vm
    {
        question_handler deliver;
        instant deadline{};
    };
    struct assignment
    {
        permit_request question;
        instant deadline{};
    };

    [[nodiscard]] bool is_long(const permit_request& question) const
    {
        return question.expected > settings_.long_question_threshold;
    }
    /// Counts a question that is no longer assigned.
    void release(const permit_request& question)
    {
        long_assigned_ -= is_long(question) ? 1 : 0;
        further_assigned_ -= question.turn > 0 ? 1 : 0;
    }
    [[nodiscard]] std::size_t count_active_vms(instant now) const;
    /// Ends what is overdue by now: returns the unanswered questions, and ends
    /// the requests of idle VMs with nothing.
    [[nodiscard]] std::vector<permit_request> expire(instant now);

    advice_dispatcher_settings settings_;
    std::uint64_t last_number_;         ///< Of the latest delivery.
    std::list<permit_request> waiting_; ///< By priority, turn and arrival.
    std::map<instance_id, idle_vm> idle_vms_;
    std::map<instance_id, assignment> assignments_;
    std::map<instance_id, instant> last_seen_;
    /// Of the questions in `assignments_`: the long ones, and those that are
    /// not the first of their account.
    std::size_t long_assigned_ = 0;
    std::size_t further_assigned_ = 0;
    /// No deadline of an assignment or an idle VM is earlier.
    instant next_deadline_ = instant::max();
    /// The last result of `count_active_vms`, and until when it is used.
    mutable std::size_t active_vms_ = 0;
    mutable instant active_vms_until_{};
};

} // namespace acaciastile::fleet
