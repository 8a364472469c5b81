#include "cell/snapshot_loader.hpp"

#include "cell/stream_names.hpp"

#include <utility>

namespace acaciastile
{

snapshot_loader::snapshot_loader(
    log_service& log, snapshot_notice notice, stream_reader_settings settings)
    : notice_(std::move(notice)),
      parts_(notice_.count),
      found_(notice_.count, false),
      missing_(notice_.count),
      reader_(stream_reader::create(
          log,
          snapshot_stream(),
          notice_.first_chunk,
          settings,
          [this](const log_entry& entry) { take(entry); },
          [this](log_offset /*first_kept*/) { expired_ = true; }))
{
}

void snapshot_loader::tick(instant now)
{
    if (missing_ == 0)
    {
        outcome_ = join_snapshot(notice_, parts_);
    }
    else if (expired_)
    {
        outcome_ = refuse(
            refusal_code::offset_expired,
            "the chunks of the snapshot have expired");
    }
    else if (reader_->at_head())
    {
        outcome_ = refuse(
            refusal_code::malformed, "a chunk of the snapshot is missing");
    }
    else
    {
        reader_->tick(now);
    }
}

void snapshot_loader::take(const log_entry& entry)
{
    auto chunk = decode_snapshot_chunk(entry.body);
    if (!chunk || chunk->id != notice_.id || chunk->count != notice_.count)
    {
        return;
    }
    if (chunk->index < found_.size() && !found_[chunk->index])
    {
        found_[chunk->index] = true;
        parts_[chunk->index] = std::move(chunk->bytes);
        --missing_;
    }
}

} // namespace acaciastile
