#pragma once

#include "domain/instant.hpp"
#include "domain/resources.hpp"
#include "domain/verdict.hpp"
#include "platform/embedded/run_journal.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciastile::golden
{

/// One answer that a caller got.
struct answer_noted
{
    instant at{};
    bool accepted = false;
    verdict effect = verdict::not_run;
    std::string code; ///< Of a refusal.
    std::string text;
};

/// What a caller asked for and every answer that it got.
struct call_noted
{
    std::string id;
    std::string via;  ///< Name of the instance asked.
    std::string kind; ///< `submit`, `request`, `cancel` or `status`.
    std::string team; ///< Named in the call; empty where none.
    std::string key;  ///< Id of the key that came with it.
    bool repeatable = true;
    instant at{};
    std::string expected; ///< The answer that its payload leads to.
    std::vector<answer_noted> answers;
};

/// A team's upper limit from an instant on.
struct limit_noted
{
    instant at{};
    std::string team;
    resources limit;
};

/// What one instance had in force at one instant.
struct revision_noted
{
    instant at{};
    std::string instance;
    std::uint64_t inventory = 0;
    std::uint64_t rules = 0;
    bool connected = true; ///< Neither paused nor cut off from the log.
};

/// One change that was accepted.
struct change_noted
{
    instant at{};
    std::string kind; ///< `inventory` or `rules`.
    std::uint64_t revision = 0;
};

/// All that happened in a session: the lines of the golden file, and the same
/// in a form that the promise functions read.
struct transcript
{
    std::vector<std::string> lines;
    std::vector<call_noted> calls;
    std::vector<run_entry> runs; ///< The truth, as the workers know it.
    std::map<std::string, std::string> team_of_job;
    std::set<std::string> repeatable_requests; ///< They are in no log.
    std::vector<limit_noted> limits;
    std::map<std::string, instant> keys_withdrawn; ///< By key id.
    std::map<std::string, std::string> team_of_key;
    std::map<std::string, instant> workers_leaving;
    std::map<std::string, instant> shutdowns; ///< Graceful, by instance.
    std::map<std::string, instant> ended;     ///< Instances that ended.
    std::set<std::string> crashed;            ///< Killed or paused ones.
    std::vector<revision_noted> seen;
    std::vector<change_noted> changes;
    instant end{};
};

} // namespace acaciastile::golden
