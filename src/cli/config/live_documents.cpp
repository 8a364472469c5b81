#include "cli/config/live_documents.hpp"

#include "codec/json_text.hpp"

namespace acaciastile
{

namespace
{

result<void> read_document(
    api_client& client,
    const std::string& kind,
    std::uint64_t& revision,
    std::string& text)
{
    const auto answer = client.call("GET", "/v1/" + kind);
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    const auto number = answer->find("revision");
    const auto document = answer->find(kind);
    if (number == answer->end() || !number->is_number_unsigned() ||
        document == answer->end())
    {
        return refuse(refusal_code::malformed, "the answer holds no " + kind);
    }
    revision = number->get<std::uint64_t>();
    text = to_json_text(*document);
    return {};
}

} // namespace

result<live_documents> read_live_documents(api_client& client)
{
    live_documents found;
    if (auto read = read_document(
            client, "inventory", found.inventory_revision, found.inventory);
        !read)
    {
        return tl::unexpected(read.error());
    }
    if (auto read =
            read_document(client, "rules", found.rules_revision, found.rules);
        !read)
    {
        return tl::unexpected(read.error());
    }
    return found;
}

} // namespace acaciastile
