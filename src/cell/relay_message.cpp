#include "cell/relay_message.hpp"

#include "codec/array_reader.hpp"
#include "codec/json_text.hpp"

#include <utility>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

result<log_entry> entry_from_compact(const json& value)
{
    log_entry made;
    array_reader items(value, "log entry");
    items.next(made.offset).next(made.body);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return made;
}

} // namespace

std::string encode(const relay_request& message)
{
    return to_msgpack_text(json::array({message.from, message.limit_bytes}));
}

std::string encode(const relay_reply& message)
{
    json entries = json::array();
    for (const log_entry& entry : message.page.entries)
    {
        entries.push_back(json::array({entry.offset, entry.body}));
    }
    return to_msgpack_text(json::array(
        {std::move(entries),
         message.page.next,
         message.page.head,
         message.page.first_kept,
         message.age.count()}));
}

result<relay_request> decode_relay_request(std::string_view encoded)
{
    result<json> parsed = parse_msgpack(encoded);
    if (!parsed)
    {
        return tl::unexpected(std::move(parsed.error()));
    }
    relay_request made;
    array_reader items(*parsed, "relay request");
    items.next(made.from).next(made.limit_bytes);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return made;
}

result<relay_reply> decode_relay_reply(std::string_view encoded)
{
    result<json> parsed = parse_msgpack(encoded);
    if (!parsed)
    {
        return tl::unexpected(std::move(parsed.error()));
    }
    relay_reply made;
    array_reader items(*parsed, "relay reply");
    items.next_list(made.page.entries, entry_from_compact)
        .next(made.page.next)
        .next(made.page.head)
        .next(made.page.first_kept)
        .next(made.age);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return made;
}

} // namespace acaciastile
