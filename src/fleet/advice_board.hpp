#pragma once

#include "fleet/planner.hpp"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace acaciastile::fleet
{

struct advice_board_settings
{
    /// A question that takes longer is a long one.
    milliseconds long_question{150};
    /// VMs that are kept free of long questions, so that short ones find one
    /// free.
    std::size_t kept_for_short = 2;
    /// Beyond the expected time of an answer, until the question is given to
    /// another VM.
    milliseconds patience{900};
    /// A VM that has not come for work for this long is not counted.
    milliseconds absent_after{2'500};
    /// Questions kept ready for each VM, beyond the one it works on: one answer
    /// may come between two rounds of decisions.
    std::size_t ready_per_vm = 1;
    /// Long questions kept ready.
    std::size_t long_ready = 2;
};

/// Hands questions for the policy service to the VMs that ask for work. The
/// service answers one question at a time for each VM, so a VM gets one at a
/// time; short and urgent ones go first and never wait behind long ones.
class advice_board
{
public:
    using question_handler = std::function<void(std::optional<permit_request>)>;

    explicit advice_board(advice_board_settings settings = {})
        : settings_(settings)
    {
    }

    void add(permit_request question);

    /// A VM comes for work; `give` is called once, with nothing where the
    /// board has none until `until`.
    void request_question(
        const instance_id& vm,
        instant now,
        instant until,
        question_handler give);

    /// Hands out what can be handed out; sends waiting VMs away in time.
    /// Gives questions that were not answered in time: they must be asked
    /// again.
    [[nodiscard]] std::vector<permit_request> dispatch(instant now);

    /// The question that the VM was given, if it is this step's; it is done.
    [[nodiscard]] std::optional<permit_request>
    finish(const instance_id& vm, const step_id& step);

    /// Questions that may be added now so that no VM waits for one.
    [[nodiscard]] permit_request_budget room(instant now) const;

    [[nodiscard]] std::size_t waiting_questions() const noexcept
    {
        return waiting_.size();
    }

    /// Sends all waiting VMs away.
    void close();

private:
    struct visitor
    {
        question_handler give;
        instant until{};
    };
    struct given
    {
        permit_request question;
        instant until{};
    };

    [[nodiscard]] bool is_long(const permit_request& question) const
    {
        return question.expected > settings_.long_question;
    }
    [[nodiscard]] std::size_t present(instant now) const;

    advice_board_settings settings_;
    std::list<permit_request> waiting_; ///< By priority, then by arrival.
    std::map<instance_id, visitor> visitors_;
    std::map<instance_id, given> given_;
    std::map<instance_id, instant> seen_;
};

} // namespace acaciastile::fleet
