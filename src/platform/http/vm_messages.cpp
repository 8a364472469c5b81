#include "platform/http/vm_messages.hpp"

#include "platform/http/packed_message.hpp"

#include <algorithm>
#include <xxhash.h>

namespace acaciastile
{

using impl::enum_at;
using impl::list_at;
using impl::list_of;
using impl::name_at;
using impl::pack;
using impl::packed;
using impl::unpack;

namespace
{

packed to_packed(const vm_entry& entry)
{
    return {
        entry.name,
        static_cast<std::uint64_t>(entry.role),
        entry.data_centre.str(),
        entry.address,
        entry.leaving};
}

vm_entry entry_from(const packed& read)
{
    return {
        read.at(0).get<std::string>(),
        enum_at(read, 1, vm_role::worker),
        name_at<data_centre_name>(read, 2),
        read.at(3).get<std::string>(),
        read.at(4).get<bool>()};
}

} // namespace

std::string encode(const vm_list_message& message)
{
    return pack({message.caller, message.known_version});
}

std::string encode(const vm_list_reply& reply)
{
    return pack(
        {reply.version, reply.unchanged, list_of(reply.entries, to_packed)});
}

result<vm_list_message> decode_vm_list_message(const std::string& bytes)
{
    return unpack<vm_list_message>(
        bytes,
        [](const packed& read)
        {
            return vm_list_message{
                read.at(0).get<std::string>(), read.at(1).get<std::uint64_t>()};
        });
}

result<vm_list_reply> decode_vm_list_reply(const std::string& bytes)
{
    return unpack<vm_list_reply>(
        bytes,
        [](const packed& read)
        {
            return vm_list_reply{
                read.at(0).get<std::uint64_t>(),
                read.at(1).get<bool>(),
                list_at<vm_entry>(read, 2, entry_from)};
        });
}

std::uint64_t version_of(const std::vector<vm_entry>& entries)
{
    const std::string bytes = pack(list_of(entries, to_packed));
    const std::uint64_t hash = XXH3_64bits(bytes.data(), bytes.size());
    return std::max<std::uint64_t>(hash, 1);
}

} // namespace acaciastile
