#include "cli/text_file.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace acaciastile
{

result<std::string> read_text_file(const std::string& path)
{
    std::ostringstream text;
    if (path == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream in(path, std::ios::binary);
    if (!in)
    {
        return refuse(
            refusal_code::invalid_value, "cannot read '" + path + "'");
    }
    text << in.rdbuf();
    return text.str();
}

result<void> write_text_file(const std::string& path, const std::string& text)
{
    if (path == "-")
    {
        std::cout << text << std::flush;
        return {};
    }
    std::ofstream out(path, std::ios::binary);
    out << text << std::flush;
    if (!out)
    {
        return refuse(
            refusal_code::invalid_value, "cannot write '" + path + "'");
    }
    return {};
}

} // namespace acaciastile
