#pragma once

#include "platform/log_service.hpp"

#include <string>
#include <utility>
#include <vector>

namespace acaciastile
{

/// A log whose answers the test gives by hand.
class held_log : public log_service
{
public:
    struct held_append
    {
        std::vector<std::string> bodies;
        completion<append_receipt> done;
    };

    void append(
        const stream_name& /*stream*/,
        std::vector<std::string> bodies,
        completion<append_receipt> done) override
    {
        appends.push_back({std::move(bodies), std::move(done)});
    }

    void read(
        const stream_name& /*stream*/,
        log_offset /*from*/,
        std::size_t /*limit_bytes*/,
        completion<log_page> done) override
    {
        reads.push_back(std::move(done));
    }

    std::vector<held_append> appends;
    std::vector<completion<log_page>> reads;
};

} // namespace acaciastile
