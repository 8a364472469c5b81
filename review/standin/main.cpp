#include "site.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace
{

struct named_scenario
{
    const char* name;
    review::scenario run;
};

constexpr named_scenario scenarios[] = {
    {"partition", review::scenario_partition},
    {"lasting", review::scenario_lasting},
    {"no_spec", review::scenario_no_spec},
    {"large_gang", review::scenario_large_gang},
};

/// No script may run for longer.
constexpr std::int64_t longest_ms = 115'000;

} // namespace

/// Usage: review_standin SCENARIO PROGRAM FOLDER RECORD
int main(int count, char** words)
{
    constexpr int could_not_run = 2;
    if (count != 5)
    {
        std::cerr << "usage: review_standin SCENARIO PROGRAM FOLDER RECORD\n";
        return could_not_run;
    }
    try
    {
        review::world in(words[4]);
        review::site at(in, words[2], words[3]);
        const char* trouble = std::getenv("TROUBLE");
        at.trouble = trouble == nullptr || std::string(trouble) != "0";
        in.note(
            std::string("scenario ") + words[1] +
            (at.trouble ? "" : ", without the disruption"));
        // The processes that were started end with this one.
        boost::asio::signal_set signals(in.loop, SIGTERM, SIGINT, SIGHUP);
        signals.async_wait(
            [&at](const boost::system::error_code& failed, int)
            {
                if (!failed)
                {
                    at.finish(review::outcome::could_not_run, "interrupted");
                }
            });
        for (const named_scenario& each : scenarios)
        {
            if (std::string(words[1]) == each.name)
            {
                each.run(at);
                in.after(
                    longest_ms,
                    [&at] {
                        at.finish(
                            review::outcome::could_not_run, "the time is over");
                    });
                in.loop.run();
                return static_cast<int>(at.result);
            }
        }
        std::cerr << "no such scenario\n";
    }
    catch (const std::exception& failed)
    {
        std::cerr << failed.what() << '\n';
    }
    return could_not_run;
}
