#include "entry/operator_api.hpp"

#include "codec/document_codec.hpp"
#include "entry/request_reader.hpp"

namespace acaciastile
{

namespace
{

/// Runs a publishing call and waits for its outcome.
template<class Work>
api_reply publish(const api_context& context, Work work)
{
    return make_reply(
        context.thread->call<published>(work, context.bounds.call));
}

api_reply put_inventory(const api_context& context, const api_request& call)
{
    const auto base = read_base(call);
    if (!base)
    {
        return make_error_reply(base.error());
    }
    auto content = parse_inventory(call.body);
    if (!content)
    {
        return make_error_reply(content.error());
    }
    return publish(
        context,
        [&cell = *context.cell,
         key = call.key,
         base = *base,
         content = *std::move(content)](instant now, completion<published> done)
        { cell.publish_inventory(now, key, base, content, std::move(done)); });
}

api_reply put_rules(const api_context& context, const api_request& call)
{
    const auto base = read_base(call);
    if (!base)
    {
        return make_error_reply(base.error());
    }
    auto content = parse_rules(call.body);
    if (!content)
    {
        return make_error_reply(content.error());
    }
    return publish(
        context,
        [&cell = *context.cell,
         key = call.key,
         base = *base,
         content = *std::move(content)](instant now, completion<published> done)
        { cell.publish_rules(now, key, base, content, std::move(done)); });
}

api_reply grant_key(const api_context& context, const api_request& call)
{
    auto wish = read_key_wish(call.body);
    if (!wish)
    {
        return make_error_reply(wish.error());
    }
    auto work = [&cell = *context.cell, key = call.key, wish = *wish](
                    instant now, completion<granted_key> done)
    { cell.grant_key(now, key, wish.team, wish.right, std::move(done)); };
    return make_reply(
        context.thread->call<granted_key>(work, context.bounds.call));
}

api_reply withdraw_key(const api_context& context, const api_request& call)
{
    return publish(
        context,
        [&cell = *context.cell,
         key = call.key,
         id = key_id(call.variable("id"))](
            instant now, completion<published> done)
        { cell.withdraw_key(now, key, id, std::move(done)); });
}

api_reply drain(const api_context& context, const api_request& call)
{
    auto choice = read_workers(call.body);
    if (!choice)
    {
        return make_error_reply(choice.error());
    }
    return publish(
        context,
        [&cell = *context.cell, key = call.key, choice = *choice](
            instant now, completion<published> done) {
            cell.drain(
                now, key, choice.workers, choice.draining, std::move(done));
        });
}

api_reply declare_dead(const api_context& context, const api_request& call)
{
    auto choice = read_workers(call.body);
    if (!choice)
    {
        return make_error_reply(choice.error());
    }
    return publish(
        context,
        [&cell = *context.cell, key = call.key, choice = *choice](
            instant now, completion<published> done)
        { cell.declare_dead(now, key, choice.workers, std::move(done)); });
}

api_reply configuration(const api_context& context, const api_request& call)
{
    using list = std::vector<configuration_in_force>;
    auto work = [&cell = *context.cell,
                 key = call.key](instant now, completion<list> done)
    { cell.configuration(now, key, std::move(done)); };
    return make_list_reply(
        "instances", context.thread->call<list>(work, context.bounds.call));
}

/// Answers with what `write` makes of the documents in force.
api_reply read_documents(
    const api_context& context,
    const api_request& call,
    nlohmann::json (*write)(const documents_in_force&))
{
    auto work = [&cell = *context.cell, key = call.key](
                    instant now, completion<documents_in_force> done)
    { cell.documents(now, key, std::move(done)); };
    const auto found =
        context.thread->call<documents_in_force>(work, context.bounds.call);
    if (!found)
    {
        return make_error_reply(found.error());
    }
    api_reply reply;
    reply.body = write_json(write(*found));
    return reply;
}

api_reply get_inventory(const api_context& context, const api_request& call)
{
    return read_documents(
        context,
        call,
        [](const documents_in_force& found) -> nlohmann::json
        {
            return {
                {"revision", found.inventory_revision},
                {"inventory", to_json(found.workers)}};
        });
}

api_reply get_rules(const api_context& context, const api_request& call)
{
    return read_documents(
        context,
        call,
        [](const documents_in_force& found) -> nlohmann::json
        {
            return {
                {"revision", found.rules_revision},
                {"rules", to_json(found.teams_and_queues)}};
        });
}

api_reply teams(const api_context& context, const api_request& call)
{
    using list = std::vector<team_status>;
    auto work = [&cell = *context.cell,
                 key = call.key](instant now, completion<list> done)
    { cell.teams(now, key, std::move(done)); };
    return make_list_reply(
        "teams", context.thread->call<list>(work, context.bounds.call));
}

api_reply workers(const api_context& context, const api_request& call)
{
    using list = std::vector<worker_status>;
    auto work = [&cell = *context.cell,
                 key = call.key](instant now, completion<list> done)
    { cell.workers(now, key, std::move(done)); };
    return make_list_reply(
        "workers", context.thread->call<list>(work, context.bounds.call));
}

api_reply dump(const api_context& context, const api_request& call)
{
    auto work = [&cell = *context.cell,
                 key = call.key](instant now, completion<std::string> done)
    { cell.dump(now, key, std::move(done)); };
    auto text = context.thread->call<std::string>(work, context.bounds.call);
    if (!text)
    {
        return make_error_reply(text.error());
    }
    api_reply reply;
    reply.body = *std::move(text);
    return reply;
}

} // namespace

std::vector<api_route> operator_routes(const api_context& context)
{
    auto bind = [&context](auto handler) -> api_handler
    {
        return [context, handler](const api_request& call)
        { return handler(context, call); };
    };
    return {
        {"GET", "/v1/inventory", "get_inventory", bind(get_inventory)},
        {"GET", "/v1/rules", "get_rules", bind(get_rules)},
        {"PUT", "/v1/inventory", "put_inventory", bind(put_inventory)},
        {"PUT", "/v1/rules", "put_rules", bind(put_rules)},
        {"POST", "/v1/keys", "grant_key", bind(grant_key)},
        {"DELETE", "/v1/keys/:id", "withdraw_key", bind(withdraw_key)},
        {"POST", "/v1/workers/drain", "drain", bind(drain)},
        {"POST", "/v1/workers/dead", "declare_dead", bind(declare_dead)},
        {"GET", "/v1/configuration", "configuration", bind(configuration)},
        {"GET", "/v1/teams", "teams", bind(teams)},
        {"GET", "/v1/workers", "workers", bind(workers)},
        {"GET", "/v1/dump", "dump", bind(dump)},
    };
}

} // namespace acaciastile
