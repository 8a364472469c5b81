#include "cell/snapshot_format.hpp"

#include "codec/array_reader.hpp"
#include "codec/json_text.hpp"

#include <utility>
#include <xxhash.h>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

template<class Value, class Read>
result<Value> decode(std::string_view encoded, const char* name, Read read)
{
    result<json> parsed = parse_msgpack(encoded);
    if (!parsed)
    {
        return tl::unexpected(std::move(parsed.error()));
    }
    Value made;
    array_reader items(*parsed, name);
    read(items, made);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return made;
}

} // namespace

std::uint64_t checksum_of(std::string_view bytes) noexcept
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::vector<snapshot_chunk> split_snapshot(
    const std::string& id, std::string_view encoded, std::size_t chunk_bytes)
{
    std::vector<snapshot_chunk> chunks;
    do
    {
        snapshot_chunk chunk;
        chunk.id = id;
        chunk.index = static_cast<std::uint32_t>(chunks.size());
        chunk.bytes = std::string(encoded.substr(0, chunk_bytes));
        encoded.remove_prefix(chunk.bytes.size());
        chunks.push_back(std::move(chunk));
    } while (!encoded.empty());
    for (snapshot_chunk& chunk : chunks)
    {
        chunk.count = static_cast<std::uint32_t>(chunks.size());
    }
    return chunks;
}

std::string encode(const snapshot_chunk& chunk)
{
    return to_msgpack_text(json::array(
        {chunk.id,
         chunk.index,
         chunk.count,
         checksum_of(chunk.bytes),
         chunk.bytes}));
}

std::string encode(const snapshot_notice& notice)
{
    return to_msgpack_text(json::array(
        {notice.id,
         notice.covered,
         notice.first_chunk,
         notice.count,
         notice.bytes,
         notice.checksum}));
}

result<snapshot_chunk> decode_snapshot_chunk(std::string_view encoded)
{
    std::uint64_t checksum = 0;
    auto chunk = decode<snapshot_chunk>(
        encoded,
        "snapshot chunk",
        [&checksum](array_reader& items, snapshot_chunk& made)
        {
            items.next(made.id)
                .next(made.index)
                .next(made.count)
                .next(checksum)
                .next(made.bytes);
        });
    if (chunk && checksum_of(chunk->bytes) != checksum)
    {
        return refuse(
            refusal_code::malformed, "snapshot chunk: checksum mismatch");
    }
    return chunk;
}

result<snapshot_notice> decode_snapshot_notice(std::string_view encoded)
{
    return decode<snapshot_notice>(
        encoded,
        "snapshot notice",
        [](array_reader& items, snapshot_notice& made)
        {
            items.next(made.id)
                .next(made.covered)
                .next(made.first_chunk)
                .next(made.count)
                .next(made.bytes)
                .next(made.checksum);
        });
}

result<std::string> join_snapshot(
    const snapshot_notice& notice, const std::vector<std::string>& parts)
{
    std::string joined;
    for (const std::string& part : parts)
    {
        joined += part;
    }
    if (joined.size() != notice.bytes || checksum_of(joined) != notice.checksum)
    {
        return refuse(
            refusal_code::malformed, "snapshot: length or checksum mismatch");
    }
    return joined;
}

} // namespace acaciastile
