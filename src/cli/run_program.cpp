#include "cli/run_program.hpp"

#include "cli/command_table.hpp"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>

namespace acaciastile
{

namespace
{

void print(std::FILE* to, const std::string& text)
{
    std::fputs(text.c_str(), to);
}

bool asks_for_help(int argc, char** argv)
{
    for (int at = 1; at < argc; ++at)
    {
        const std::string_view word(argv[at]);
        if (word == "--help" || word == "-h" || word == "-help")
        {
            return true;
        }
    }
    return false;
}

exit_status show_help(const std::string& name)
{
    const command* about = find_command(name);
    print(stdout, about == nullptr ? help_text() : help_text(*about));
    return exit_status::done;
}

exit_status run(int argc, char** argv)
{
    const std::string name = argc > 1 ? argv[1] : "help";
    if (name == "help" || asks_for_help(argc, argv))
    {
        return show_help(name == "help" && argc > 2 ? argv[2] : name);
    }
    const command* found = find_command(name);
    if (found == nullptr)
    {
        print(stderr, "unknown subcommand '" + name + "'\n\n" + help_text());
        return exit_status::wrong_usage;
    }
    absl::SetProgramUsageMessage(help_text(*found));
    const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
    // The program's own name and the subcommand come first.
    constexpr std::ptrdiff_t skipped = 2;
    return found->run({rest.begin() + skipped, rest.end()});
}

} // namespace

int run_program(int argc, char** argv)
{
    try
    {
        return static_cast<int>(run(argc, argv));
    }
    catch (const std::exception& thrown)
    {
        print(
            stderr,
            std::string("fault of the program: ") + thrown.what() + "\n");
        return static_cast<int>(exit_status::unknown);
    }
}

} // namespace acaciastile
