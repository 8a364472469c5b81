#include "common.hpp"

#include <atomic>

namespace standin
{

// PORT BACKEND_PORT LATE_MS COUNT: forwards calls to an executor. The first
// COUNT start orders get no answer and are carried out LATE_MS later, by the
// process that listens then.
int run_proxy(const std::vector<std::string>& arguments)
{
    const auto port = static_cast<std::uint16_t>(std::stoul(arguments.at(0)));
    const auto backend =
        static_cast<std::uint16_t>(std::stoul(arguments.at(1)));
    const milliseconds late(std::stol(arguments.at(2)));
    const long count = std::stol(arguments.at(3));
    std::atomic<long> seen{0};
    constexpr milliseconds longest_call{4'000};
    const auto forward = [backend](const request& asked)
    {
        std::map<std::string, std::string> headers;
        for (const char* name : {"Content-Type", "Acaciastile-Expect-Instance"})
        {
            if (const auto at = asked.find(name); at != asked.end())
            {
                headers[name] = std::string(at->value());
            }
        }
        return call(
            backend,
            asked.method(),
            std::string(asked.target()),
            asked.body(),
            longest_call,
            headers);
    };
    serve(
        port,
        [&](const request& asked)
        {
            if (path_of(asked) != "/-/run-start" || seen++ >= count)
            {
                return forward(asked);
            }
            note("proxy", {{"held", asked.body()}});
            std::thread(
                [&, asked]
                {
                    std::this_thread::sleep_for(late);
                    const response answered = forward(asked);
                    note(
                        "proxy",
                        {{"carried out late", asked.body()},
                         {"status", answered.result_int()}});
                })
                .detach();
            // No answer: the caller gives up before.
            std::this_thread::sleep_for(std::chrono::seconds(60));
            return reply(0, std::string());
        });
    return 0;
}

} // namespace standin
