// Calls between instances.

#include "cell/instance.hpp"

#include "cell/peer_codec.hpp"
#include "cell/relay_message.hpp"
#include "codec/document_codec.hpp"
#include "codec/field_reader.hpp"
#include "codec/json_text.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

/// The string in a field; empty if it is missing or not a string.
std::string text_of(const json& body, const char* field)
{
    auto at = body.find(field);
    return at != body.end() && at->is_string() ? at->get<std::string>()
                                               : std::string();
}

template<class Value>
completion<Value> encoded(completion<std::string> done)
{
    return [done = std::move(done)](result<Value> answer)
    {
        if (!answer)
        {
            done(tl::unexpected(std::move(answer.error())));
            return;
        }
        done(to_msgpack_text(to_json(*answer)));
    };
}

std::string moved_answer(const shard_id& to)
{
    return to_msgpack_text({{"moved_to", to.str()}});
}

} // namespace

void instance::on_peer(
    instant at,
    const std::string& method,
    const std::string& body,
    completion<std::string> done)
{
    if (method.starts_with("member."))
    {
        members_->on_peer(at, method, body, std::move(done));
        return;
    }
    if (method == relay_read_method)
    {
        done(relay_->serve(at, body));
        return;
    }
    handle_local(method, body, std::move(done));
}

void instance::handle_local(
    const std::string& method,
    const std::string& text,
    completion<std::string> done)
{
    auto parsed = parse_msgpack(text);
    if (!parsed || !parsed->is_object())
    {
        done(refuse(refusal_code::malformed, "the call is malformed"));
        return;
    }
    const json& body = *parsed;
    if (method == "cell.configuration")
    {
        done(to_msgpack_text(own_configuration()));
        return;
    }
    if (method == "cell.loads")
    {
        done(to_msgpack_text(own_loads()));
        return;
    }
    if (method == "cell.workers")
    {
        done(to_msgpack_text(own_workers()));
        return;
    }
    if (method == "cell.list")
    {
        done(to_msgpack_text(own_jobs(body)));
        return;
    }
    auto at = owners_.find(shard_id(text_of(body, "shard")));
    if (at == owners_.end())
    {
        done(refuse(
            refusal_code::not_owner, "this instance does not own the shard"));
        return;
    }
    shard_owner& owner = *at->second;
    if (!owner.is_open() || owner.is_lost())
    {
        done(refuse(
            refusal_code::no_owner,
            "the shard's owner has not finished taking over"));
        return;
    }
    if (method == "cell.submit" || method == "cell.adopt")
    {
        handle_submit(owner, body, std::move(done));
        return;
    }
    if (method == "cell.request")
    {
        handle_request(owner, body, std::move(done));
        return;
    }
    const job_id job(text_of(body, "job"));
    if (const shard_id to = owner.moved_to(job); !to.empty())
    {
        done(moved_answer(to));
        return;
    }
    auto status = owner.status(job, body.value("why", false));
    if (method == "cell.status")
    {
        encoded<job_status>(std::move(done))(std::move(status));
        return;
    }
    if (method == "cell.cancel")
    {
        const std::string team = text_of(body, "team");
        if (status && !team.empty() && status->team.str() != team)
        {
            done(refuse(refusal_code::unknown_job, "no job has that id"));
            return;
        }
        owner.cancel(job, encoded<job_status>(std::move(done)));
        return;
    }
    done(refuse(refusal_code::malformed, "unknown method"));
}

void instance::handle_submit(
    shard_owner& owner, const json& body, completion<std::string> done)
{
    auto spec = job_spec_from_json(body.value("spec", json::object()), "spec");
    if (!spec)
    {
        done(tl::unexpected(spec.error()));
        return;
    }
    owner.submit(std::move(*spec), encoded<job_status>(std::move(done)));
}

void instance::handle_request(
    shard_owner& owner, const json& body, completion<std::string> done)
{
    auto spec = job_spec_from_json(body.value("spec", json::object()), "spec");
    if (!spec)
    {
        done(tl::unexpected(spec.error()));
        return;
    }
    if (const shard_id to = owner.moved_to(spec->id); !to.empty())
    {
        done(moved_answer(to));
        return;
    }
    const milliseconds left{body.value("left_ms", std::int64_t{0})};
    owner.request(
        std::move(*spec),
        now() + left,
        encoded<request_answer>(std::move(done)));
}

json instance::own_configuration() const
{
    configuration_in_force own;
    own.instance = settings_.self.id;
    own.folded = cell().applied_through();
    own.inventory_revision = cell().inventory_revision();
    own.rules_revision = cell().rules_revision();
    own.log_age = age_of(follower_->last_contact(), now());
    return to_json(own);
}

json instance::own_loads() const
{
    json all = json::array();
    for (const auto& [id, owner] : owners_)
    {
        for (const auto& [team, load] : owner->loads())
        {
            all.push_back(to_json(shard_team_load{id, team, load}));
        }
    }
    json shards = json::array();
    for (const shard_id& id : owned_shards())
    {
        shards.push_back(id.str());
    }
    return {{"loads", std::move(all)}, {"shards", std::move(shards)}};
}

json instance::own_workers() const
{
    json all = json::array();
    for (const auto& [id, owner] : owners_)
    {
        for (const worker_status& worker : owner->workers())
        {
            all.push_back(to_json(worker));
        }
    }
    return all;
}

json instance::own_jobs(const json& body) const
{
    job_filter filter;
    filter.team = team_name(text_of(body, "team"));
    filter.limit = body.value("limit", filter.limit);
    json all = json::array();
    for (const auto& [id, owner] : owners_)
    {
        for (const job_status& job : owner->list(filter))
        {
            all.push_back(to_json(job));
        }
    }
    return all;
}

void instance::call_all_members(
    const std::string& method,
    const json& body,
    std::function<void(member_answers)> done)
{
    struct round
    {
        member_answers answers;
        std::size_t missing = 0;
        std::function<void(member_answers)> done;
    };
    const std::vector<member> asked = members_->alive();
    auto state = std::make_shared<round>();
    state->missing = asked.size();
    state->done = std::move(done);
    const std::string text = to_msgpack_text(body);
    for (const member& one : asked)
    {
        auto answered = [state, id = one.id](result<std::string> answer)
        {
            if (answer)
            {
                state->answers.emplace_back(id, parse_msgpack(*answer));
            }
            else
            {
                state->answers.emplace_back(
                    id, tl::unexpected(std::move(answer.error())));
            }
            if (--state->missing == 0)
            {
                std::sort(
                    state->answers.begin(),
                    state->answers.end(),
                    [](const auto& left, const auto& right)
                    { return left.first < right.first; });
                state->done(std::move(state->answers));
            }
        };
        if (one.id == settings_.self.id)
        {
            handle_local(method, text, std::move(answered));
            continue;
        }
        ports_.peers->call(
            {one.address, method, text, settings_.peer_timeout},
            std::move(answered));
    }
}

} // namespace acaciastile
