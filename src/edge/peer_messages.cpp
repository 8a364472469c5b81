#include "edge/peer_messages.hpp"

#include "codec/msgpack_fields.hpp"
#include "fleet/records.hpp"

#include <nlohmann/json.hpp>

namespace acaciastile::edge
{

namespace
{

using nlohmann::json;

json to_json(const fleet::step_id& step)
{
    return json::array({step.job.str(), step.occurrence, step.step});
}

fleet::step_id step_from_json(const json& value)
{
    return {
        job_id(value.at(0).get<std::string>()),
        value.at(1).get<std::uint32_t>(),
        value.at(2).get<std::uint32_t>()};
}

/// Reads the number of a question, which earlier builds do not send.
std::uint64_t question_number_from_json(const json& fields, std::size_t at)
{
    return fields.size() > at ? fields.at(at).get<std::uint64_t>() : 0;
}

json to_json(const work_request::answer& answer)
{
    json allowed = nullptr;
    milliseconds valid{0};
    if (answer.granted)
    {
        allowed = json::array();
        valid = answer.granted->valid;
        for (const auto& permit : answer.granted->allowed)
        {
            allowed.push_back(
                json::array({permit.worker.str(), permit.ticket}));
        }
    }
    return json::array(
        {to_json(answer.step),
         answer.age.count(),
         valid.count(),
         std::move(allowed),
         answer.question});
}

work_request::answer answer_from_json(const json& value)
{
    work_request::answer answer;
    answer.step = step_from_json(value.at(0));
    answer.age = milliseconds(value.at(1).get<milliseconds::rep>());
    if (!value.at(3).is_null())
    {
        auto& granted = answer.granted.emplace();
        granted.valid = milliseconds(value.at(2).get<milliseconds::rep>());
        for (const json& row : value.at(3))
        {
            granted.allowed.push_back(
                {worker_id(row.at(0).get<std::string>()),
                 row.at(1).get<std::string>()});
        }
    }
    answer.question = question_number_from_json(value, 4);
    return answer;
}

} // namespace

std::string encode(const work_request& request)
{
    json last_answer = nullptr;
    if (request.last_answer)
    {
        last_answer = to_json(*request.last_answer);
    }
    return to_msgpack_text(json::array(
        {request.vm.str(),
         request.wait.count(),
         request.config_version,
         std::move(last_answer)}));
}

result<work_request> decode_work_request(std::string_view text)
{
    return decode_msgpack<work_request>(
        text,
        [](const json& value)
        {
            work_request request;
            request.vm = instance_id(value.at(0).get<std::string>());
            request.wait = milliseconds(value.at(1).get<milliseconds::rep>());
            request.config_version = value.at(2).get<std::uint64_t>();
            if (!value.at(3).is_null())
            {
                request.last_answer = answer_from_json(value.at(3));
            }
            return request;
        });
}

std::string encode(const work_reply& reply)
{
    json question = nullptr;
    if (reply.question)
    {
        json workers = json::array();
        for (const worker_id& worker : reply.question->workers)
        {
            workers.push_back(worker.str());
        }
        question = json::array(
            {to_json(reply.question->step),
             reply.question->priority,
             reply.question->expected.count(),
             std::move(workers),
             reply.question->number});
    }
    return to_msgpack_text(json::array(
        {std::move(question),
         reply.config_version,
         reply.config_age.count(),
         reply.config,
         reply.failing_token,
         reply.held.value_or(milliseconds{0}).count()}));
}

result<work_reply> decode_work_reply(std::string_view text)
{
    return decode_msgpack<work_reply>(
        text,
        [](const json& value)
        {
            work_reply reply;
            const json& asked = value.at(0);
            if (!asked.is_null())
            {
                auto& question = reply.question.emplace();
                question.step = step_from_json(asked.at(0));
                question.priority = asked.at(1).get<std::uint32_t>();
                question.expected =
                    milliseconds(asked.at(2).get<milliseconds::rep>());
                for (const json& worker : asked.at(3))
                {
                    question.workers.emplace_back(worker.get<std::string>());
                }
                question.number = question_number_from_json(asked, 4);
            }
            reply.config_version = value.at(1).get<std::uint64_t>();
            reply.config_age =
                milliseconds(value.at(2).get<milliseconds::rep>());
            reply.config = value.at(3).get<std::string>();
            reply.failing_token = value.at(4).get<std::uint64_t>();
            reply.held = value.size() > 5
                             ? std::optional<milliseconds>(
                                   value.at(5).get<milliseconds::rep>())
                             : std::nullopt;
            return reply;
        });
}

std::string encode(const accept_request& request)
{
    return to_msgpack_text(json::array(
        {request.job.id.str(),
         fleet::encode(request.job),
         request.deadline.count()}));
}

result<accept_request> decode_accept_request(std::string_view text)
{
    auto parts =
        decode_msgpack<std::pair<result<fleet::accepted_job>, milliseconds>>(
            text,
            [](const json& value)
            {
                return std::make_pair(
                    fleet::decode_accepted_job(
                        value.at(0).get<std::string>(),
                        value.at(1).get<std::string>()),
                    milliseconds(value.at(2).get<milliseconds::rep>()));
            });
    if (!parts)
    {
        return tl::unexpected(parts.error());
    }
    if (!parts->first)
    {
        return tl::unexpected(parts->first.error());
    }
    return accept_request{*std::move(parts->first), parts->second};
}

std::string encode(const fleet::waiting_count& count)
{
    return to_msgpack_text(
        json::array({count.waiting, count.age.count(), count.held.count()}));
}

result<fleet::waiting_count> decode_waiting_count(std::string_view text)
{
    return decode_msgpack<fleet::waiting_count>(
        text,
        [](const json& value)
        {
            return fleet::waiting_count{
                value.at(0).get<std::size_t>(),
                milliseconds(value.at(1).get<milliseconds::rep>()),
                milliseconds(value.at(2).get<milliseconds::rep>())};
        });
}

std::string encode(const fleet::job_view& view)
{
    return to_msgpack_text(
        json::array({view.known, static_cast<int>(view.state)}));
}

result<fleet::job_view> decode_job_view(std::string_view text)
{
    return decode_msgpack<fleet::job_view>(
        text,
        [](const json& value)
        {
            return fleet::job_view{
                value.at(0).get<bool>(),
                static_cast<fleet::job_state>(value.at(1).get<int>())};
        });
}

} // namespace acaciastile::edge
