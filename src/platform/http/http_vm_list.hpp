#pragma once

#include "platform/http/http_client.hpp"
#include "platform/vm_list.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace acaciastile
{

struct http_vm_list_settings
{
    std::string address; ///< `a.b.c.d:port` of the platform.
    std::string caller;  ///< Name of this instance.
    milliseconds timeout{5'000};
};

/// The platform's VM list over HTTP. It keeps the last list and names its
/// version, so that an unchanged list costs a few bytes.
class http_vm_list : public vm_list
{
public:
    [[nodiscard]] static std::unique_ptr<vm_list>
    create(http_client& client, http_vm_list_settings settings);

    void fetch(completion<std::vector<vm_entry>> done) override;

private:
    struct known_list
    {
        std::uint64_t version = 0;
        std::vector<vm_entry> entries;
    };

    http_vm_list(http_client& client, http_vm_list_settings settings);

    http_client& client_;
    http_vm_list_settings settings_;
    std::shared_ptr<known_list> known_; ///< Shared with calls in flight.
};

} // namespace acaciastile
