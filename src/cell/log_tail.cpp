#include "cell/log_tail.hpp"

#include <algorithm>

namespace acaciastile
{

void log_tail::add(const log_page& page, instant as_of)
{
    for (const log_entry& entry : page.entries)
    {
        take(entry);
    }
    if (page.next > next_)
    {
        entries_.clear();
        bytes_ = 0;
        next_ = page.next;
    }
    // A head below `next_` comes from an answer that was overtaken by a newer
    // one.
    if (next_ == page.head)
    {
        contact_ = std::max(contact_, as_of);
    }
}

void log_tail::take(const log_entry& entry)
{
    if (entry.offset < next_)
    {
        return;
    }
    if (entry.offset > next_)
    {
        entries_.clear(); // Keeps the offsets consecutive.
        bytes_ = 0;
    }
    entries_.push_back(entry);
    bytes_ += entry.body.size();
    next_ = entry.offset + 1;
    while (bytes_ > most_bytes_ && entries_.size() > 1)
    {
        bytes_ -= entries_.front().body.size();
        entries_.pop_front();
    }
}

result<log_page> log_tail::read(log_offset from, std::size_t limit_bytes) const
{
    const log_offset first = entries_.empty() ? next_ : entries_.front().offset;
    if (from < first)
    {
        return refuse(
            refusal_code::offset_expired,
            "the first kept offset is " + std::to_string(first));
    }
    log_page page;
    page.first_kept = first;
    page.head = next_;
    page.next = from;
    std::size_t bytes = 0;
    while (page.next < next_ && (page.entries.empty() || bytes < limit_bytes))
    {
        const log_entry& entry = entries_[page.next - first];
        bytes += entry.body.size();
        page.entries.push_back(entry);
        ++page.next;
    }
    return page;
}

} // namespace acaciastile
