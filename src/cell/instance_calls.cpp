// Calls of callers and operators to an instance.

#include "cell/instance.hpp"

#include "cell/configuration_change.hpp"
#include "cell/peer_codec.hpp"
#include "cell/shard_capacity.hpp"
#include "codec/document_codec.hpp"
#include "codec/json_text.hpp"
#include "domain/hex.hpp"
#include "domain/key_check.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

/// Wait after a request's deadline for the answer of the shard's owner, which
/// knows whether the request may have run.
constexpr milliseconds answer_grace{500};
constexpr milliseconds status_timeout{5'000};
constexpr milliseconds status_try_timeout{2'000};
constexpr std::size_t key_name_bytes = 6;

/// Decodes a JSON answer into a typed one.
template<class Value, class Decode>
completion<json> decoded(completion<Value> done, Decode decode)
{
    return [done = std::move(done), decode](result<json> answer)
    {
        if (!answer)
        {
            done(tl::unexpected(std::move(answer.error())));
            return;
        }
        done(decode(*answer, ""));
    };
}

/// A job that was moved is in its first shard's log and will run. An error of
/// the second shard's owner therefore does not prove that it never runs.
void set_may_have_run(error& why)
{
    if (why.effect == verdict::not_run && why.code != refusal_code::cancelled)
    {
        why.effect = verdict::may_have_run;
    }
}

} // namespace

void instance::submit(
    instant /*now*/,
    presented_key key,
    job_spec spec,
    completion<job_status> done)
{
    if (auto admitted = admit(key, spec); !admitted)
    {
        done(tl::unexpected(admitted.error()));
        return;
    }
    const shard_info* home = shards_.home_of(spec.id.str());
    if (home == nullptr)
    {
        done(refuse(
            refusal_code::can_never_run, "the inventory has no workers"));
        return;
    }
    call_following_moves(
        home->id,
        "cell.submit",
        {{"spec", to_json(spec)}},
        now() + settings_.submit_timeout,
        settings_.submit_timeout,
        decoded<job_status>(std::move(done), job_status_from_json),
        0);
}

void instance::request(
    instant /*now*/,
    presented_key key,
    job_spec spec,
    completion<request_answer> done)
{
    spec.kind = job_kind::request;
    spec.tasks = 1;
    if (auto admitted = admit(key, spec); !admitted)
    {
        done(tl::unexpected(admitted.error()));
        return;
    }
    const shard_info* home = shards_.home_of(spec.id.str());
    if (home == nullptr)
    {
        done(refuse(
            refusal_code::can_never_run, "the inventory has no workers"));
        return;
    }
    shard_id first = home->id;
    if (spec.repeatable && !could_hold(*home, spec))
    {
        // A repeatable request is in no log. All copies of it go to the first
        // shard that can hold it, which detects duplicates.
        auto other = best_shard_for(shards_, spec, first);
        if (!other)
        {
            done(refuse(
                refusal_code::can_never_run,
                "no worker of the inventory could hold it"));
            return;
        }
        first = *other;
    }
    milliseconds deadline = spec.deadline;
    if (deadline == milliseconds{0})
    {
        deadline = settings_.shard.default_deadline;
    }
    deadline = std::min(deadline, settings_.longest_deadline);
    call_following_moves(
        first,
        "cell.request",
        {{"spec", to_json(spec)}},
        now() + deadline + answer_grace,
        milliseconds{0},
        decoded<request_answer>(std::move(done), request_answer_from_json),
        0);
}

void instance::status(
    instant /*now*/,
    presented_key key,
    job_id job,
    bool why,
    completion<job_status> done)
{
    auto team = visible_team(key);
    if (!team)
    {
        done(tl::unexpected(team.error()));
        return;
    }
    const shard_info* home = shards_.home_of(job.str());
    if (home == nullptr)
    {
        done(refuse(refusal_code::unknown_job, "no job has that id"));
        return;
    }
    auto checked =
        [team = *team, done = std::move(done)](result<job_status> found)
    {
        if (found && !team.empty() && found->team != team)
        {
            found = refuse(refusal_code::unknown_job, "no job has that id");
        }
        done(std::move(found));
    };
    call_following_moves(
        home->id,
        "cell.status",
        {{"job", job.str()}, {"why", why}},
        now() + status_timeout,
        status_try_timeout,
        decoded<job_status>(std::move(checked), job_status_from_json),
        0);
}

void instance::cancel(
    instant /*now*/, presented_key key, job_id job, completion<job_status> done)
{
    auto team = visible_team(key);
    if (!team)
    {
        done(tl::unexpected(team.error()));
        return;
    }
    const shard_info* home = shards_.home_of(job.str());
    if (home == nullptr)
    {
        done(refuse(refusal_code::unknown_job, "no job has that id"));
        return;
    }
    call_following_moves(
        home->id,
        "cell.cancel",
        {{"job", job.str()}, {"team", team->str()}},
        now() + settings_.submit_timeout,
        settings_.submit_timeout,
        decoded<job_status>(std::move(done), job_status_from_json),
        0);
}

void instance::call_shard(
    const shard_id& shard,
    std::string method,
    json body,
    instant give_up,
    milliseconds try_timeout,
    completion<json> done)
{
    body["shard"] = shard.str();
    ++calls_in_hand_;
    std::weak_ptr<bool> alive = alive_;
    router_->call(
        {shard,
         std::move(method),
         [body = std::move(body)](milliseconds left) mutable
         {
             body["left_ms"] = (left - answer_grace).count();
             return to_msgpack_text(body);
         },
         give_up,
         try_timeout,
         [this, alive, done = std::move(done)](result<std::string> answer)
         {
             if (!alive.expired())
             {
                 --calls_in_hand_;
             }
             if (!answer)
             {
                 done(tl::unexpected(std::move(answer.error())));
                 return;
             }
             done(parse_msgpack(*answer));
         }});
}

void instance::call_following_moves(
    const shard_id& shard,
    std::string method,
    json body,
    instant give_up,
    milliseconds try_timeout,
    completion<json> done,
    int hops)
{
    constexpr int max_hops = 3;
    std::weak_ptr<bool> alive = alive_;
    auto answered = [this,
                     alive,
                     method,
                     body,
                     give_up,
                     try_timeout,
                     done = std::move(done),
                     hops](result<json> answer)
    {
        const bool moved = answer && answer->is_object() &&
                           answer->contains("moved_to") && !alive.expired();
        if (!moved || hops >= max_hops)
        {
            if (!answer && hops > 0)
            {
                set_may_have_run(answer.error());
            }
            done(std::move(answer));
            return;
        }
        call_following_moves(
            shard_id((*answer)["moved_to"].get<std::string>()),
            method,
            body,
            give_up,
            try_timeout,
            done,
            hops + 1);
    };
    call_shard(
        shard,
        std::move(method),
        std::move(body),
        give_up,
        try_timeout,
        std::move(answered));
}

void instance::hand_over_job(
    const shard_id& to, const job_spec& spec, completion<bool> done)
{
    call_shard(
        to,
        "cell.adopt",
        {{"spec", to_json(spec)}},
        now() + settings_.submit_timeout,
        settings_.submit_timeout,
        [done = std::move(done)](result<json> answer)
        {
            if (!answer)
            {
                done(tl::unexpected(std::move(answer.error())));
                return;
            }
            done(true);
        });
}

void instance::publish(
    const presented_key& key, cell_change change, completion<published> done)
{
    if (auto checked = check_operator(key); !checked)
    {
        done(tl::unexpected(checked.error()));
        return;
    }
    ++calls_in_hand_;
    std::weak_ptr<bool> alive = alive_;
    write_cell(
        std::move(change),
        [this, alive, done = std::move(done)](result<fold_outcome> outcome)
        {
            if (!alive.expired())
            {
                --calls_in_hand_;
            }
            if (!outcome)
            {
                done(tl::unexpected(std::move(outcome.error())));
                return;
            }
            if (outcome->refusal)
            {
                done(tl::unexpected(*outcome->refusal));
                return;
            }
            done(published{outcome->in_force});
        });
}

void instance::publish_inventory(
    instant /*now*/,
    presented_key key,
    revision base,
    inventory content,
    completion<published> done)
{
    publish(
        key, inventory_published{base, std::move(content)}, std::move(done));
}

void instance::publish_rules(
    instant /*now*/,
    presented_key key,
    revision base,
    rules content,
    completion<published> done)
{
    publish(
        key,
        make_publication(cell(), base, std::move(content)),
        std::move(done));
}

void instance::grant_key(
    instant /*now*/,
    presented_key key,
    team_name team,
    key_right right,
    completion<granted_key> done)
{
    const std::string name = ports_.random_bytes(key_name_bytes);
    const std::string random = ports_.random_bytes(key_random_bytes);
    const std::vector<std::uint8_t> bytes(random.begin(), random.end());
    auto made = generate_key(key_id(to_hex(name)), team, right, bytes);
    if (!made)
    {
        done(tl::unexpected(made.error()));
        return;
    }
    granted_key granted{made->entry, made->presented};
    publish(
        key,
        key_granted{granted.entry},
        [granted, done = std::move(done)](result<published> outcome)
        {
            if (!outcome)
            {
                done(tl::unexpected(std::move(outcome.error())));
                return;
            }
            done(granted);
        });
}

void instance::withdraw_key(
    instant /*now*/, presented_key key, key_id id, completion<published> done)
{
    publish(key, key_withdrawn{std::move(id)}, std::move(done));
}

void instance::drain(
    instant /*now*/,
    presented_key key,
    std::vector<worker_id> workers,
    bool draining,
    completion<published> done)
{
    publish(
        key, workers_drained{std::move(workers), draining}, std::move(done));
}

void instance::declare_dead(
    instant /*now*/,
    presented_key key,
    std::vector<worker_id> workers,
    completion<published> done)
{
    publish(key, workers_declared_dead{std::move(workers)}, std::move(done));
}

} // namespace acaciastile
