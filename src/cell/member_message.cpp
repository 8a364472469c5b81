#include "cell/member_message.hpp"

#include "codec/json_text.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciastile::impl
{

namespace
{

using json = nlohmann::json;

std::string packed(const json& value)
{
    std::string body;
    json::to_msgpack(value, body);
    return body;
}

json to_json(const member_update& update)
{
    json list = json::array(
        {static_cast<std::uint8_t>(update.status),
         update.info.id.str(),
         update.info.incarnation});
    if (update.status == member_status::alive)
    {
        list.push_back(update.info.data_centre.str());
        list.push_back(update.info.address);
    }
    return list;
}

json to_json(const std::vector<member_update>& updates)
{
    json list = json::array();
    for (const member_update& update : updates)
    {
        list.push_back(to_json(update));
    }
    return list;
}

json to_json(const ping_message& message)
{
    return json::array(
        {message.from.str(),
         message.incarnation,
         message.offset,
         to_json(message.updates)});
}

json to_json(const member& self)
{
    return to_json(member_update{member_status::alive, self});
}

/// Reads the elements of an array in order and records whether any of them
/// was missing or had the wrong type.
class array_reader
{
public:
    explicit array_reader(const json& list) : list_(list)
    {
        good_ = list.is_array();
    }

    std::string text()
    {
        const json* next = take();
        const bool fits =
            next != nullptr && next->is_string() &&
            next->get_ref<const std::string&>().size() <= max_name_bytes;
        good_ = good_ && fits;
        return fits ? next->get<std::string>() : std::string();
    }

    std::uint64_t number()
    {
        const json* next = take();
        const bool fits = next != nullptr && next->is_number_unsigned();
        good_ = good_ && fits;
        return fits ? next->get<std::uint64_t>() : 0;
    }

    const json& value()
    {
        static const json nothing;
        const json* next = take();
        good_ = good_ && next != nullptr;
        return next == nullptr ? nothing : *next;
    }

    void fail() noexcept { good_ = false; }
    [[nodiscard]] bool good() const noexcept { return good_; }

private:
    const json* take()
    {
        if (!list_.is_array() || at_ >= list_.size())
        {
            return nullptr;
        }
        return &list_[at_++];
    }

    const json& list_;
    std::size_t at_ = 0;
    bool good_ = true;
};

member_update read_update(const json& list, array_reader& outer)
{
    array_reader in(list);
    member_update update;
    const std::uint64_t status = in.number();
    if (status > static_cast<std::uint64_t>(member_status::refuted))
    {
        in.fail();
    }
    update.status = static_cast<member_status>(status);
    update.info.id = instance_id(in.text());
    update.info.incarnation = in.number();
    if (update.status == member_status::alive)
    {
        update.info.data_centre = data_centre_name(in.text());
        update.info.address = in.text();
    }
    if (!in.good() || update.info.id.empty())
    {
        outer.fail();
    }
    return update;
}

member read_self(array_reader& outer)
{
    const member_update update = read_update(outer.value(), outer);
    if (update.status != member_status::alive)
    {
        outer.fail();
    }
    return update.info;
}

std::vector<member_update> read_updates(array_reader& outer)
{
    std::vector<member_update> updates;
    const json& list = outer.value();
    if (!list.is_array() || list.size() > max_updates)
    {
        outer.fail();
        return updates;
    }
    for (const json& one : list)
    {
        updates.push_back(read_update(one, outer));
    }
    return updates;
}

ping_message read_ping(array_reader& in)
{
    ping_message message;
    message.from = instance_id(in.text());
    message.incarnation = in.number();
    message.offset = in.number();
    message.updates = read_updates(in);
    if (message.from.empty())
    {
        in.fail();
    }
    return message;
}

/// Parses a MessagePack body and reads it with `read`.
template<class Read>
auto decode(const std::string& body, Read read)
    -> result<decltype(read(std::declval<array_reader&>()))>
{
    const auto value = parse_msgpack(body);
    if (!value)
    {
        return tl::unexpected(value.error());
    }
    array_reader in(*value);
    auto message = read(in);
    if (!in.good())
    {
        return refuse(
            refusal_code::malformed, "membership message is malformed");
    }
    return message;
}

} // namespace

std::string encode(const ping_message& message)
{
    return packed(to_json(message));
}

std::string encode(const probe_request& message)
{
    return packed(json::array(
        {to_json(message.ping), message.target.str(), message.target_address}));
}

std::string encode(const sync_request& message)
{
    return packed(json::array(
        {to_json(message.self),
         message.offset,
         message.digest,
         message.cursor.str(),
         message.entries,
         to_json(message.updates)}));
}

std::string encode(const sync_reply& message)
{
    return packed(json::array(
        {to_json(message.self),
         message.offset,
         to_json(message.updates),
         message.cursor.str()}));
}

result<ping_message> decode_ping(const std::string& body)
{
    return decode(body, read_ping);
}

result<probe_request> decode_probe(const std::string& body)
{
    return decode(
        body,
        [](array_reader& in)
        {
            probe_request message;
            array_reader ping(in.value());
            message.ping = read_ping(ping);
            message.target = instance_id(in.text());
            message.target_address = in.text();
            if (!ping.good() || message.target.empty())
            {
                in.fail();
            }
            return message;
        });
}

result<sync_request> decode_sync_request(const std::string& body)
{
    return decode(
        body,
        [](array_reader& in)
        {
            sync_request message;
            message.self = read_self(in);
            message.offset = in.number();
            message.digest = in.number();
            message.cursor = instance_id(in.text());
            message.entries = static_cast<std::uint32_t>(
                std::min<std::uint64_t>(in.number(), max_updates));
            message.updates = read_updates(in);
            return message;
        });
}

result<sync_reply> decode_sync_reply(const std::string& body)
{
    return decode(
        body,
        [](array_reader& in)
        {
            sync_reply message;
            message.self = read_self(in);
            message.offset = in.number();
            message.updates = read_updates(in);
            message.cursor = instance_id(in.text());
            return message;
        });
}

} // namespace acaciastile::impl
