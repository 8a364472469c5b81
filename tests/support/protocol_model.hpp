#pragma once

#include "cell/cell_state.hpp"
#include "cell/shard_fold.hpp"
#include "platform/embedded/embedded_worker.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::protocol
{

/// Rules of the protocol. Tests disable one at a time to check that the search
/// detects the violation.
enum class disabled_rule
{
    none,
    worker_checks_epoch,
    worker_checks_incarnation,
    worker_checks_lease,
    owner_reads_assignment,
    owner_waits_for_lapse,
    owner_confirms_seal
};

/// Limits of the search. Within them it explores all interleavings of steps.
struct bounds
{
    std::size_t workers = 1;
    std::size_t steps = 20;
    std::size_t messages = 2; ///< In flight at a time, with answers.
    int ticks = 4;
    int claims = 2; ///< After the first owner's claim.
    int restarts = 1;
    int timeouts = 1;      ///< Calls that time out at the owner.
    int give_ups = 1;      ///< Appends that time out at the writer.
    bool notices = false;  ///< The first owner also calls when not due.
    bool assigned = false; ///< Starts with an assignment to worker 0.
    std::uint32_t attempts = 2;
    bool repeatable = true;
    disabled_rule broken = disabled_rule::none;
};

constexpr std::size_t owner_count = 2;
constexpr std::size_t max_workers = 2;
constexpr std::size_t attempt_slots = 4; ///< Attempts are numbered from 1.
constexpr milliseconds tick{1'000};
constexpr milliseconds lease{1'000};
constexpr milliseconds silence_limit{1'000};
constexpr milliseconds margin{100};
constexpr std::int64_t drift_per_mille = 10;
constexpr std::int64_t worker_drift_ppm = -10'000;

/// A position in a stream, with the production fold of all records up to it.
/// All states share the positions: appending the same record at the same
/// position gives the same object.
template<class Fold, class Record>
struct stream_position
{
    const stream_position* before = nullptr;
    std::size_t depth = 0;
    std::size_t number = 0; ///< Identifies the position in keys.
    Record record;
    fold_outcome outcome;
    Fold fold;
    std::map<std::string, std::unique_ptr<stream_position>> after;

    /// Returns the position after one more record, which `name` identifies.
    const stream_position* append(const std::string& name, Record next) const
    {
        auto& kept = const_cast<stream_position*>(this)->after[name];
        if (!kept)
        {
            static std::size_t numbers = 0;
            kept = std::make_unique<stream_position>();
            kept->before = this;
            kept->depth = depth + 1;
            kept->number = ++numbers;
            kept->record = std::move(next);
            kept->fold = fold;
            kept->outcome = kept->fold.apply(kept->depth, kept->record);
        }
        return kept.get();
    }
};

using cell_position = stream_position<cell_state, cell_record>;
using shard_position = stream_position<shard_fold, shard_record>;

enum class phase : std::uint8_t
{
    none,
    unsent,
    sent,
    adopted,
    running
};

/// An owner's view of one worker; models cell/worker_link.hpp.
struct link_model
{
    bool sealed = false;
    bool confirmed = false; ///< The log was read after the seal's answer.
    bool reachable = true;
    bool in_flight = false;
    bool sealing = false;
    bool has_unknown_attempts = false;
    std::uint64_t incarnation = 0;
    std::optional<worker_instant> reading;
    instant read_at{};
    instant sent_at{};
    instant lapse_at{};
    std::array<phase, attempt_slots> held{};
    std::array<bool, attempt_slots> starts{};
    std::array<bool, attempt_slots> stops{};
    std::array<bool, attempt_slots> forgets{};
    std::array<bool, attempt_slots> sent_forgets{};

    [[nodiscard]] bool holds_any() const;
    /// Returns whether a message is to be sent now.
    [[nodiscard]] bool is_due(instant now) const;
};

/// A record whose append to the shard's stream is pending.
struct pending_record
{
    std::string name;
    shard_record record;
};

/// One owner; models cell/shard_owner.hpp. Epoch zero if it does not own the
/// shard.
struct owner_model
{
    const cell_position* cell = nullptr;
    const shard_position* shard = nullptr;
    instant contact{};
    shard_epoch epoch = 0;
    shard_epoch lost_epoch = 0; ///< A worker refused this epoch's seal.
    bool open = false;
    bool assigning = false; ///< An assignment is not yet read back.
    std::shared_ptr<const pending_record> pending;
    std::shared_ptr<const pending_record> given_up; ///< May still be appended.
    std::optional<std::uint32_t> ending; ///< Attempt whose end is pending.
    std::array<link_model, max_workers> links;
};

/// A message to a worker, or its answer. An answer that the owner no longer
/// awaits counts as dropped.
struct message
{
    std::size_t owner = 0;
    std::size_t worker = 0;
    bool awaited = true;
    std::shared_ptr<const worker_call> call;
    std::shared_ptr<const result<worker_report>> answer; ///< Null if none.
    std::shared_ptr<const std::string> text;             ///< Content, for keys.
};

/// The production worker, with state that its interface does not expose.
struct worker_model
{
    embedded_worker real;
    worker_instant latest_lease{};
    std::map<std::uint32_t, worker_instant> forgotten;
    std::string key;
};

struct state
{
    int now = 0; ///< Time in ticks.
    int claims = 0;
    int restarts = 0;
    int timeouts = 0;
    int give_ups = 0;
    int starts = 0; ///< Starts of the single task on all workers.
    const cell_position* cell = nullptr;
    const shard_position* shard = nullptr;
    std::array<owner_model, owner_count> owners;
    std::vector<std::shared_ptr<const worker_model>> workers;
    std::vector<message> flight;

    [[nodiscard]] std::string key() const;
};

/// Generates the possible steps of the protocol in a state.
class model
{
public:
    using visit = std::function<void(const std::string& step, state next)>;

    explicit model(bounds limits);

    [[nodiscard]] const state& first() const noexcept { return first_; }
    /// Calls `found` for each state reachable in one step.
    void steps(const state& from, const visit& found);
    /// Returns the violated invariant; empty if there is none.
    [[nodiscard]] std::string broken(const state& at) const;

private:
    void owner_steps(const state& from, std::size_t owner, const visit& found);
    void log_steps(const state& from, std::size_t owner, const visit& found);
    void link_steps(
        const state& from,
        std::size_t owner,
        std::size_t worker,
        const visit& found);
    void flight_steps(const state& from, std::size_t at, const visit& found);
    void count_starts();
    void initialize_first_owner();
    void environment_steps(const state& from, const visit& found);

    void read_cell(state& at, std::size_t owner) const;
    void read_shard(state& at, std::size_t owner) const;
    void gain(state& at, owner_model& owner, shard_epoch epoch) const;
    void open(owner_model& owner) const;
    void lose(state& at, std::size_t owner) const;
    void follow(owner_model& owner, const shard_position& place) const;
    void end(owner_model& owner, std::uint32_t attempt, bool ran) const;
    void write(owner_model& owner, shard_change change, std::string name) const;
    void send(state& at, std::size_t owner, std::size_t worker) const;
    void timed_out(state& at, std::size_t owner, std::size_t worker) const;
    void lapse(owner_model& owner, link_model& link) const;
    void deliver(state& at, std::size_t message);
    void answered(state& at, std::size_t message) const;
    void on_report(
        owner_model& owner,
        link_model& link,
        const worker_report& report,
        instant now) const;
    std::shared_ptr<const worker_model> changed(
        state& at, std::size_t worker, std::function<void(worker_model&)> by);

    bounds limits_;
    run_journal journal_;
    int started_ = 0;
    std::unique_ptr<cell_position> cell_root_;
    std::unique_ptr<shard_position> shard_root_;
    state first_;
};

} // namespace acaciastile::protocol
