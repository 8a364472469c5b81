#pragma once

#include "cli/api_client.hpp"

#include <absl/flags/declare.h>
#include <absl/time/time.h>
#include <memory>
#include <string>

ABSL_DECLARE_FLAG(std::string, address);
ABSL_DECLARE_FLAG(std::string, key_file);
ABSL_DECLARE_FLAG(absl::Duration, timeout);

namespace acaciastile
{

/// The lines of help for the flags that every calling subcommand reads.
extern const char* const client_flags_help;

/// The settings that the flags and the environment give. The key comes from
/// the file of `--key_file` or from ACACIASTILE_KEY, never from the command
/// line, where other users of the machine could read it. Errors:
/// `invalid_value`.
[[nodiscard]] result<client_settings> client_settings_from_flags();

/// A client after the flags. Errors: as above and those of the client.
[[nodiscard]] result<std::unique_ptr<api_client>> client_from_flags();

} // namespace acaciastile
