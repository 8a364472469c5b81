#include "common.hpp"

#include <atomic>

namespace standin
{

// PORT METHOD PATH HOST KEY DEADLINE_MS [BODY]: sends one call, notes what was
// sent and answered, and prints the status and the body.
int run_client(const std::vector<std::string>& arguments)
{
    const auto port = static_cast<std::uint16_t>(std::stoul(arguments.at(0)));
    const std::string& method = arguments.at(1);
    const std::string body = arguments.size() > 6 ? arguments.at(6) : "";
    const milliseconds deadline(std::stol(arguments.at(5)));
    std::map<std::string, std::string> headers{
        {"Host", arguments.at(3)},
        {"Authorization", "Token " + arguments.at(4)},
        {"Content-Type", "application/json"},
        {"Acaciastile-Deadline-Ms", std::to_string(deadline.count())}};
    const response answered = call(
        port,
        http::string_to_verb(method),
        arguments.at(2),
        body,
        deadline,
        headers);
    std::cout << answered.result_int() << ' ' << answered.body() << '\n';
    return 0;
}

// PORT PORT2 PREFIX HOST KEY JOBS SHORTEST_MS LONGEST_MS: submits jobs of one
// task to the first daemon, 16 at a time, each with its own length of work, and
// 1 s after its acceptance sends each request again, to the second daemon.
// Returns 0 if all were accepted.
int run_burst(const std::vector<std::string>& arguments)
{
    const auto first = static_cast<std::uint16_t>(std::stoul(arguments.at(0)));
    const auto second = static_cast<std::uint16_t>(std::stoul(arguments.at(1)));
    const std::string& prefix = arguments.at(2);
    const std::size_t jobs = std::stoul(arguments.at(5));
    const std::size_t shortest = std::stoul(arguments.at(6));
    const std::size_t longest = std::stoul(arguments.at(7));
    const std::map<std::string, std::string> headers{
        {"Host", arguments.at(3)},
        {"Authorization", "Token " + arguments.at(4)},
        {"Content-Type", "application/json"},
        {"Acaciastile-Deadline-Ms", "3000"}};
    std::atomic<std::size_t> next{0};
    std::atomic<std::size_t> accepted{0};
    const auto send = [&](std::uint16_t port, std::size_t number)
    {
        std::string id = std::to_string(number);
        id = std::string("5c0e7a21d94b36f0").substr(0, 16 - id.size()) + id;
        const std::size_t work =
            shortest + (longest - shortest) * number / jobs;
        const json step{
            {"count", 1}, {"cpu", 500}, {"memMb", 256}, {"estRuntimeMs", work}};
        const json body{
            {"taskSpec", std::to_string(work)}, {"steps", json::array({step})}};
        const response answered = call(
            port,
            http::verb::post,
            prefix + id,
            body.dump(),
            milliseconds(3'000),
            headers);
        note(
            "client",
            {{"sent", prefix + id},
             {"port", port},
             {"status", answered.result_int()}});
        return answered.result_int();
    };
    constexpr std::size_t clients = 16;
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < clients; ++n)
    {
        threads.emplace_back(
            [&]
            {
                std::vector<std::pair<steady::time_point, std::size_t>> again;
                for (std::size_t number = next++; number < jobs;
                     number = next++)
                {
                    if (send(first, number) == 200)
                    {
                        ++accepted;
                        again.emplace_back(
                            steady::now() + milliseconds(1'000), number);
                    }
                }
                for (const auto& [at, number] : again)
                {
                    std::this_thread::sleep_until(at);
                    send(second, number);
                }
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    return accepted == jobs ? 0 : 1;
}

// STORE_PORT TOPIC KEY VALUE: writes as the operator does.
int run_put(const std::vector<std::string>& arguments)
{
    const response answered = call(
        static_cast<std::uint16_t>(std::stoul(arguments.at(0))),
        http::verb::post,
        "/-/log-append?topic=" + arguments.at(1) + "&part=0",
        keyed_record(arguments.at(2), arguments.at(3)),
        milliseconds(3'000));
    return answered.result_int() == 200 ? 0 : 1;
}

} // namespace standin
