#pragma once

#include "platform/vm_list.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciastile
{

/// `POST /v1/vms` as sent. The platform leaves the entries out where the list
/// is still the one of that version.
struct vm_list_message
{
    std::string caller;
    std::uint64_t known_version = 0; ///< Zero: none.
};

/// The list, or only its version where the caller knows that.
struct vm_list_reply
{
    std::uint64_t version = 0; ///< Hash of the entries; never zero.
    bool unchanged = false;
    std::vector<vm_entry> entries;
};

/// The VM list's messages as MessagePack arrays. Errors of every reader:
/// `malformed`.
[[nodiscard]] std::string encode(const vm_list_message& message);
[[nodiscard]] std::string encode(const vm_list_reply& reply);
[[nodiscard]] result<vm_list_message>
decode_vm_list_message(const std::string& bytes);
[[nodiscard]] result<vm_list_reply>
decode_vm_list_reply(const std::string& bytes);

/// The version of a list: a hash over all of it.
[[nodiscard]] std::uint64_t version_of(const std::vector<vm_entry>& entries);

} // namespace acaciastile
