#include "common.hpp"

namespace
{

/// Prints as many ports as asked for that nothing listens on.
int print_ports(std::size_t count)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    std::vector<tcp::acceptor> held;
    for (std::size_t n = 0; n < count; ++n)
    {
        held.emplace_back(
            context,
            tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        std::cout << held.back().local_endpoint().port() << '\n';
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
    if (what == "put")
    {
        return standin::run_put(rest);
    }
    std::cerr << "standin-3 ports|store|executor|client|burst|put ...\n";
    return 2;
}
