#pragma once

#include "domain/ids.hpp"
#include "domain/job_spec.hpp"
#include "domain/key_entry.hpp"
#include "domain/result.hpp"
#include "entry/api_request.hpp"

#include <string>
#include <vector>

namespace acaciastile
{

/// Who is granted a key and what it lets its holder do.
struct key_wish
{
    team_name team;
    key_right right = key_right::caller;
};

/// Workers that a call is about.
struct worker_choice
{
    std::vector<worker_id> workers;
    bool draining = true;
};

/// Readers of what calls carry. Errors: `malformed` with the position of the
/// fault, `invalid_value` naming the field; always `not_run`.
[[nodiscard]] result<job_spec> read_job(const std::string& body);
/// The kind may be left out.
[[nodiscard]] result<job_spec> read_request_spec(const std::string& body);
[[nodiscard]] result<key_wish> read_key_wish(const std::string& body);
[[nodiscard]] result<worker_choice> read_workers(const std::string& body);
[[nodiscard]] result<revision> read_base(const api_request& call);
[[nodiscard]] result<job_filter> read_filter(const api_request& call);
/// True for `1` and `true`. Errors: any other text but `0` and `false`.
[[nodiscard]] result<bool>
read_flag(const api_request& call, const std::string& name);

} // namespace acaciastile
