// Decodes any bytes as records. What is accepted must survive its encoding.

#include "codec/record_codec.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace acaciastile;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (auto record = decode_cell_record(bytes))
    {
        if (decode_cell_record(encode(*record)) != record)
        {
            std::abort();
        }
    }
    if (auto record = decode_shard_record(bytes))
    {
        if (decode_shard_record(encode(*record)) != record)
        {
            std::abort();
        }
    }
    return 0;
}
