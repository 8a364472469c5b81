#include "common.hpp"

#include <random>

namespace
{

/// Prints as many ports as asked for that nothing listens on. They lie below
/// those that the system gives to outgoing connections.
int print_ports(std::size_t count)
{
    using boost::asio::ip::tcp;
    constexpr int lowest = 10'000;
    constexpr int highest = 32'000;
    std::random_device device;
    std::uniform_int_distribution<int> draw(lowest, highest);
    boost::asio::io_context context;
    std::vector<tcp::acceptor> held;
    while (held.size() < count)
    {
        const tcp::endpoint drawn(
            boost::asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(draw(device)));
        tcp::acceptor acceptor(context);
        boost::system::error_code failed;
        acceptor.open(drawn.protocol(), failed);
        acceptor.bind(drawn, failed);
        if (!failed)
        {
            std::cout << drawn.port() << '\n';
            held.push_back(std::move(acceptor));
        }
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const std::string what = words.empty() ? std::string() : words.front();
    const std::vector<std::string> rest(
        words.begin() + (words.empty() ? 0 : 1), words.end());
    if (what == "ports" && rest.size() == 1)
    {
        return print_ports(std::stoul(rest.front()));
    }
    if (what == "store")
    {
        return standin::run_store(rest);
    }
    if (what == "executor")
    {
        return standin::run_executor(rest);
    }
    if (what == "client")
    {
        return standin::run_client(rest);
    }
    if (what == "burst")
    {
        return standin::run_burst(rest);
    }
    if (what == "proxy")
    {
        return standin::run_proxy(rest);
    }
    if (what == "put")
    {
        return standin::run_put(rest);
    }
    std::cerr << "standin-3 ports|store|executor|client|burst|proxy|put ...\n";
    return 2;
}
