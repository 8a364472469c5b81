#include "cell/shard_fold.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <vector>

using namespace acaciastile;

namespace
{

job_spec make_spec(const std::string& id, std::uint32_t tasks = 1)
{
    job_spec spec;
    spec.id = job_id(id);
    spec.team = team_name("planning");
    spec.queue = queue_name("plans");
    spec.tasks = tasks;
    return spec;
}

attempt_id attempt_of(const std::string& job, std::uint32_t number)
{
    return {{job_id(job), 0}, number};
}

/// Appends records at consecutive offsets and folds them.
class stream
{
public:
    fold_outcome put(shard_epoch epoch, shard_change change)
    {
        ++offset_;
        records_.push_back(
            {"r" + std::to_string(offset_), epoch, std::move(change)});
        return fold_.apply(offset_, records_.back());
    }

    [[nodiscard]] const shard_fold& fold() const { return fold_; }
    [[nodiscard]] const std::vector<shard_record>& records() const
    {
        return records_;
    }

    /// Returns the fold of a reader that starts at offset `first`.
    [[nodiscard]] shard_fold from(log_offset first) const
    {
        shard_fold late;
        for (std::size_t at = first - 1; at < records_.size(); ++at)
        {
            late.apply(at + 1, records_[at]);
        }
        return late;
    }

private:
    shard_fold fold_;
    log_offset offset_ = 0;
    std::vector<shard_record> records_;
};

} // namespace

TEST_CASE("records of a former owner fold to nothing", "[shard_fold]")
{
    stream log;
    CHECK(log.put(5, epoch_opened{}).accepted());
    CHECK(log.put(5, job_accepted{make_spec("a")}).accepted());
    CHECK(log.put(9, epoch_opened{}).accepted());
    const auto late =
        log.put(5, attempt_assigned{attempt_of("a", 1), worker_id("w1")});
    REQUIRE(late.refusal.has_value());
    CHECK(late.refusal->code == refusal_code::stale_epoch);
    CHECK(late.refusal->effect == verdict::not_run);
    CHECK(log.fold().find(job_id("a"))->tasks[0].state == task_state::queued);
}

TEST_CASE("an id used for other content is refused", "[shard_fold]")
{
    stream log;
    log.put(5, epoch_opened{});
    CHECK(log.put(5, job_accepted{make_spec("a")}).accepted());
    CHECK(log.put(5, job_accepted{make_spec("a")}).duplicate);
    const auto other = log.put(5, job_accepted{make_spec("a", 2)});
    REQUIRE(other.refusal.has_value());
    CHECK(other.refusal->code == refusal_code::conflicting_id);
}

TEST_CASE("a task has one attempt at a time", "[shard_fold]")
{
    stream log;
    log.put(5, epoch_opened{});
    log.put(5, job_accepted{make_spec("a")});
    const attempt_id first = attempt_of("a", 1);
    const attempt_id second = attempt_of("a", 2);
    CHECK(log.put(5, attempt_assigned{first, worker_id("w1")}).accepted());
    CHECK_FALSE(
        log.put(5, attempt_assigned{second, worker_id("w2")}).accepted());
    CHECK(log.put(5, attempt_ended{first, task_state::queued}).accepted());
    CHECK_FALSE(
        log.put(5, attempt_ended{first, task_state::succeeded}).accepted());
    CHECK(log.put(5, attempt_assigned{second, worker_id("w2")}).accepted());
    CHECK(log.put(5, attempt_ended{second, task_state::succeeded}).accepted());
    CHECK(log.fold().find(job_id("a"))->is_final());
}

TEST_CASE("a cancelled job starts nothing more", "[shard_fold]")
{
    stream log;
    log.put(5, epoch_opened{});
    log.put(5, job_accepted{make_spec("a")});
    const attempt_id first = attempt_of("a", 1);
    log.put(5, attempt_assigned{first, worker_id("w1")});
    CHECK(log.put(5, job_cancelled{job_id("a")}).accepted());
    // The end would queue the task again, but the job is cancelled.
    CHECK(log.put(5, attempt_ended{first, task_state::queued}).accepted());
    CHECK(
        log.fold().find(job_id("a"))->tasks[0].state == task_state::cancelled);
    CHECK_FALSE(
        log.put(5, attempt_assigned{attempt_of("a", 2), worker_id("w1")})
            .accepted());
}

TEST_CASE("a moved job runs nowhere here", "[shard_fold]")
{
    stream log;
    log.put(5, epoch_opened{});
    log.put(5, job_accepted{make_spec("a")});
    CHECK(log.put(5, job_moved{job_id("a"), shard_id("dc2/0")}).accepted());
    CHECK_FALSE(
        log.put(5, attempt_assigned{attempt_of("a", 1), worker_id("w1")})
            .accepted());
    CHECK_FALSE(
        log.put(5, job_moved{job_id("a"), shard_id("dc3/0")}).accepted());
}

TEST_CASE("a restated job outlives the records before it", "[shard_fold]")
{
    stream log;
    log.put(5, epoch_opened{});
    log.put(5, job_accepted{make_spec("a")});
    log.put(5, attempt_assigned{attempt_of("a", 1), worker_id("w1")});
    const auto restated = shard_fold::restate(*log.fold().find(job_id("a")));
    CHECK(log.put(5, restated).accepted());
    log.put(
        5, attempt_ended{attempt_of("a", 1), task_state::succeeded, "done"});

    const shard_fold late = log.from(4);
    REQUIRE(late.find(job_id("a")) != nullptr);
    CHECK(late.epoch() == 5);
    CHECK(late.find(job_id("a"))->answer == "done");
    CHECK(late.find(job_id("a"))->is_final());
}

TEST_CASE("a restatement that is out of date is refused", "[shard_fold]")
{
    stream log;
    log.put(5, epoch_opened{});
    log.put(5, job_accepted{make_spec("a")});
    const auto old = shard_fold::restate(*log.fold().find(job_id("a")));
    log.put(5, attempt_assigned{attempt_of("a", 1), worker_id("w1")});
    CHECK_FALSE(log.put(5, old).accepted());
    CHECK(log.fold().find(job_id("a"))->tasks[0].state == task_state::starting);
}

TEST_CASE(
    "any order of records leaves one attempt and one final state",
    "[shard_fold][property]")
{
    constexpr int sessions = 500;
    constexpr int records_in_session = 60;
    std::size_t assigned_twice = 0;
    for (int seed = 1; seed <= sessions; ++seed)
    {
        std::mt19937 random(static_cast<unsigned>(seed));
        auto below = [&random](unsigned bound) { return random() % bound; };
        stream log;
        shard_epoch newest = 0;
        std::set<std::uint32_t> open_attempts;
        for (int step = 0; step < records_in_session; ++step)
        {
            const shard_epoch epoch = 1 + below(4);
            const attempt_id attempt = attempt_of("a", 1 + below(4));
            fold_outcome outcome;
            switch (below(5))
            {
            case 0:
                outcome = log.put(epoch, epoch_opened{});
                break;
            case 1:
                outcome = log.put(epoch, job_accepted{make_spec("a")});
                break;
            case 2:
                outcome =
                    log.put(epoch, attempt_assigned{attempt, worker_id("w1")});
                if (outcome.accepted())
                {
                    assigned_twice += open_attempts.empty() ? 0 : 1;
                    open_attempts.insert(attempt.number);
                }
                break;
            case 3:
                outcome = log.put(
                    epoch,
                    attempt_ended{
                        attempt,
                        below(3) == 0 ? task_state::succeeded
                                      : task_state::queued});
                if (outcome.accepted())
                {
                    CHECK(open_attempts.erase(attempt.number) == 1);
                }
                break;
            default:
                outcome = log.put(epoch, job_cancelled{job_id("a")});
                break;
            }
            CHECK((!outcome.accepted() || epoch >= newest));
            newest = std::max(newest, log.fold().epoch());
        }
        // A second fold over the same records has the same result.
        const shard_fold again = log.from(1);
        const job_progress* left = log.fold().find(job_id("a"));
        const job_progress* right = again.find(job_id("a"));
        REQUIRE((left == nullptr) == (right == nullptr));
        if (left != nullptr)
        {
            CHECK(left->tasks == right->tasks);
        }
    }
    CHECK(assigned_twice == 0);
    WARN(
        "shard fold: " << sessions << " sessions of " << records_in_session
                       << " records, seeds 1 to " << sessions);
}
