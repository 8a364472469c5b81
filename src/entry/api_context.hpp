#pragma once

#include "cell/control.hpp"
#include "entry/api_codec.hpp"
#include "entry/api_request.hpp"
#include "entry/control_thread.hpp"
#include "entry/error_reply.hpp"

#include <functional>
#include <utility>

namespace acaciastile
{

/// How long calls wait for the control code.
struct call_bounds
{
    milliseconds call{10'000};        ///< All calls but requests.
    milliseconds request{30'000};     ///< Requests without a deadline.
    milliseconds longest{120'000};    ///< Bound of a request's deadline.
    milliseconds answer_slack{1'500}; ///< Past the deadline of a request.
};

/// What the handlers of calls share.
struct api_context
{
    control* cell = nullptr;
    control_thread* thread = nullptr;
    call_bounds bounds;
};

/// Turns a result into an answer by its readable form.
template<class Value>
[[nodiscard]] api_reply make_reply(const result<Value>& outcome)
{
    if (!outcome)
    {
        return make_error_reply(outcome.error());
    }
    api_reply reply;
    reply.body = write_json(to_api_json(*outcome));
    return reply;
}

/// Answers `{"NAME":[...]}`.
template<class Value>
[[nodiscard]] api_reply
make_list_reply(const char* name, const result<std::vector<Value>>& outcome)
{
    if (!outcome)
    {
        return make_error_reply(outcome.error());
    }
    nlohmann::json list = nlohmann::json::array();
    for (const Value& each : *outcome)
    {
        list.push_back(to_api_json(each));
    }
    api_reply reply;
    reply.body = write_json({{name, std::move(list)}});
    return reply;
}

} // namespace acaciastile
