#include "cases.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

// Usage: review-2 CASE PROGRAM ROOT SCRATCH RECORD
// The environment variable TROUBLE=0 leaves the disruption out.
int main(int count, char** words)
{
    if (count != 6 || !review::all_cases().contains(words[1]))
    {
        std::cerr << "usage: review-2 CASE PROGRAM ROOT SCRATCH RECORD\n";
        return review::could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    review::case_options options;
    options.program = words[2];
    options.root = words[3];
    options.scratch = words[4];
    options.record = words[5];
    options.trouble = trouble == nullptr || std::string(trouble) != "0";
    auto* site = new review::site(options); // See `site::end`.
    int result = review::could_not_run;
    try
    {
        result = review::all_cases().at(words[1])(*site);
    }
    catch (const std::exception& failed)
    {
        site->note(std::string("the case failed: ") + failed.what());
    }
    constexpr const char* texts[] = {
        "the rule held", "the rule was broken", "the case could not run"};
    site->note(texts[result]);
    site->end();
    std::cout << texts[result] << '\n' << std::flush;
    std::_Exit(result);
}
