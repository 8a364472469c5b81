#include "platform/http/http_vm_list.hpp"

#include "platform/http/reply_reader.hpp"
#include "platform/http/vm_messages.hpp"

namespace acaciastile
{

std::unique_ptr<vm_list>
http_vm_list::create(http_client& client, http_vm_list_settings settings)
{
    return std::unique_ptr<vm_list>(
        new http_vm_list(client, std::move(settings)));
}

http_vm_list::http_vm_list(http_client& client, http_vm_list_settings settings)
    : client_(client),
      settings_(std::move(settings)),
      known_(std::make_shared<known_list>())
{
}

void http_vm_list::fetch(completion<std::vector<vm_entry>> done)
{
    auto keep =
        [known = known_, done = std::move(done)](result<vm_list_reply> reply)
    {
        if (!reply)
        {
            done(tl::unexpected(reply.error()));
            return;
        }
        if (!reply->unchanged)
        {
            *known = {reply->version, std::move(reply->entries)};
        }
        done(known->entries);
    };
    const vm_list_message message{settings_.caller, known_->version};
    client_.post(
        {settings_.address, "/v1/vms", encode(message), settings_.timeout},
        decoding<vm_list_reply>(
            refusal_code::unreachable, decode_vm_list_reply, std::move(keep)));
}

} // namespace acaciastile
