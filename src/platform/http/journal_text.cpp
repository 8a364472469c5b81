#include "platform/http/journal_text.hpp"

#include "codec/document_codec.hpp"
#include "codec/json_text.hpp"

#include <algorithm>

namespace acaciastile
{

namespace
{

nlohmann::json to_document(const run_entry& entry)
{
    return {
        {"at_ms", entry.at.time_since_epoch().count()},
        {"worker", entry.worker.str()},
        {"incarnation", entry.incarnation},
        {"epoch", entry.epoch},
        {"job", entry.attempt.task.job.str()},
        {"task", entry.attempt.task.index},
        {"attempt", entry.attempt.number},
        {"what", to_string(entry.what)},
        {"needs", to_json(entry.needs)},
        {"capacity", to_json(entry.capacity)}};
}

} // namespace

std::string
journal_text(const run_journal& journal, std::size_t from, std::size_t limit)
{
    const auto& all = journal.entries();
    const std::size_t first = std::min(from, all.size());
    const std::size_t next = first + std::min(limit, all.size() - first);
    nlohmann::json entries = nlohmann::json::array();
    for (std::size_t index = first; index < next; ++index)
    {
        entries.push_back(to_document(all[index]));
    }
    return to_json_text(
        nlohmann::json{{"next", next}, {"entries", std::move(entries)}});
}

std::string counts_text(const embedded_log_counts& counts)
{
    return to_json_text(nlohmann::json{
        {"log_appends", counts.appends},
        {"log_entries", counts.entries},
        {"log_bytes", counts.bytes},
        {"log_reads", counts.reads}});
}

} // namespace acaciastile
