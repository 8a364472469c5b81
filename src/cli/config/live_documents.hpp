#pragma once

#include "cli/api_client.hpp"
#include "domain/inventory.hpp"
#include "domain/rules.hpp"

#include <cstdint>

namespace acaciastile
{

/// The inventory and rules in force at the instance that was asked, as text of
/// the documents.
struct live_documents
{
    std::uint64_t inventory_revision = 0;
    std::string inventory;
    std::uint64_t rules_revision = 0;
    std::string rules;
};

/// Asks an instance. Errors: those of `api_client::call`; `malformed` if the
/// answer lacks a document.
[[nodiscard]] result<live_documents> read_live_documents(api_client& client);

} // namespace acaciastile
