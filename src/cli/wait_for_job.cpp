#include "cli/wait_for_job.hpp"

#include "cli/output.hpp"
#include "codec/url_text.hpp"
#include "entry/error_reply.hpp"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>
#include <unistd.h>

namespace acaciastile
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

namespace
{

constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{2'000};

/// Rewrites one line on a terminal; silent elsewhere.
class progress_line
{
public:
    ~progress_line() { clear(); }

    void show(const std::string& text)
    {
        if (on_terminal_)
        {
            std::fprintf(stderr, "\r\033[K%s", text.c_str());
            std::fflush(stderr);
            shown_ = true;
        }
    }

    void clear()
    {
        if (shown_)
        {
            std::fputs("\r\033[K", stderr);
            shown_ = false;
        }
    }

private:
    bool on_terminal_ = ::isatty(STDERR_FILENO) == 1;
    bool shown_ = false;
};

std::uint64_t count(const json& status, const char* state)
{
    return status.at("tasks").value(state, std::uint64_t{0});
}

std::string
progress_of(const std::string& id, const json& status, steady::duration since)
{
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(since).count();
    return absl::StrFormat(
        "%s: %d queued, %d starting, %d running, %d succeeded (%d s)",
        id,
        count(status, "queued"),
        count(status, "starting"),
        count(status, "running"),
        count(status, "succeeded"),
        seconds);
}

bool is_worth_another_try(const error& wrong)
{
    return wrong.code == refusal_code::unreachable ||
           wrong.code == refusal_code::deadline_exceeded ||
           may_pass_later(wrong.code);
}

} // namespace

std::optional<exit_status> ended_as(const json& status)
{
    if (!status.contains("tasks"))
    {
        return exit_status::unknown;
    }
    if (count(status, "queued") + count(status, "starting") +
            count(status, "running") >
        0)
    {
        return std::nullopt;
    }
    if (count(status, "unknown") > 0)
    {
        return exit_status::unknown;
    }
    const bool well = count(status, "failed") + count(status, "cancelled") == 0;
    return well ? exit_status::done : exit_status::ended_badly;
}

exit_status
wait_for_job(api_client& client, const std::string& id, milliseconds patience)
{
    const auto begun = steady::now();
    const std::string path = "/v1/jobs/" + escape_url(id);
    progress_line progress;
    milliseconds pause = first_pause;
    for (;;)
    {
        const auto status = client.call("GET", path);
        if (!status && !is_worth_another_try(status.error()))
        {
            progress.clear();
            return report(status.error());
        }
        if (status)
        {
            if (const auto ended = ended_as(*status))
            {
                progress.clear();
                print_object(*status);
                return *ended;
            }
            progress.show(progress_of(id, *status, steady::now() - begun));
        }
        if (steady::now() - begun >= patience)
        {
            progress.clear();
            std::fputs("the job has not ended within --patience\n", stderr);
            return exit_status::unknown;
        }
        std::this_thread::sleep_for(pause);
        pause = std::min(pause * 2, longest_pause);
    }
}

} // namespace acaciastile
