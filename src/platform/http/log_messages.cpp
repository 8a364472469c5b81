#include "platform/http/log_messages.hpp"

#include "platform/http/packed_message.hpp"

namespace acaciastile
{

using impl::list_at;
using impl::list_of;
using impl::name_at;
using impl::pack;
using impl::packed;
using impl::unpack;

std::string encode(const log_append_message& message)
{
    return pack({message.caller, message.stream.str(), message.bodies});
}

std::string encode(const log_read_message& message)
{
    return pack(
        {message.caller,
         message.stream.str(),
         message.from,
         message.limit_bytes});
}

std::string encode(const append_receipt& receipt)
{
    return pack({receipt.first, receipt.count});
}

std::string encode(const log_page& page)
{
    const log_offset first = page.next - page.entries.size();
    packed bodies = list_of(
        page.entries, [](const log_entry& each) { return packed(each.body); });
    return pack({first, std::move(bodies), page.head, page.first_kept});
}

result<log_append_message> decode_log_append(const std::string& bytes)
{
    return unpack<log_append_message>(
        bytes,
        [](const packed& read)
        {
            return log_append_message{
                read.at(0).get<std::string>(),
                name_at<stream_name>(read, 1),
                read.at(2).get<std::vector<std::string>>()};
        });
}

result<log_read_message> decode_log_read(const std::string& bytes)
{
    return unpack<log_read_message>(
        bytes,
        [](const packed& read)
        {
            return log_read_message{
                read.at(0).get<std::string>(),
                name_at<stream_name>(read, 1),
                read.at(2).get<log_offset>(),
                read.at(3).get<std::size_t>()};
        });
}

result<append_receipt> decode_append_receipt(const std::string& bytes)
{
    return unpack<append_receipt>(
        bytes,
        [](const packed& read)
        {
            return append_receipt{
                read.at(0).get<log_offset>(), read.at(1).get<std::size_t>()};
        });
}

result<log_page> decode_log_page(const std::string& bytes)
{
    return unpack<log_page>(
        bytes,
        [](const packed& read)
        {
            log_page page;
            page.next = read.at(0).get<log_offset>();
            page.entries = list_at<log_entry>(
                read,
                1,
                [&page](const packed& body) {
                    return log_entry{page.next++, body.get<std::string>()};
                });
            page.head = read.at(2).get<log_offset>();
            page.first_kept = read.at(3).get<log_offset>();
            return page;
        });
}

} // namespace acaciastile
