#include "cli/settings_page.hpp"

#include "cli/setting_field.hpp"

namespace acaciastile
{

namespace
{

constexpr const char* head = R"(# Settings

What you see: `serve` ends at once with status 5 and one line for each error,
`FILE:LINE:COLUMN: PATH: found VALUE, allowed is RANGE`. What to type:

    acaciastile check-settings /etc/acaciastile.json

The file is JSON with comments (`//` and `/* */`). Times and sizes carry their
unit ("10s", "250ms", "1MiB"). Names of the paths below are nested objects:
`callers.address` is `{"callers": {"address": ...}}`. An unknown name, a wrong
type or unit, a value out of range, a name that stands twice and settings that
contradict each other are errors; all are told in one pass. This page is made
by `acaciastile settings-page`; a test holds it against the program.

| Path | Allowed | Default | What it sets |
| --- | --- | --- | --- |
)";

constexpr const char* tail = R"(
Settings that contradict each other:

- `callers.tls.certificate` and `callers.tls.key` are set both or not at all;
  `callers.tls.client_ca` needs them.
- `callers.requests_in_hand` is not more than `callers.connections`.
- `peers.address` differs from `callers.address`.
- `waits.request` is not longer than `waits.longest_request`.
- `cell.beat` is not longer than half of `cell.lease`.
- `operators.bootstrap.id`, `.salt` and `.hash` are set together.

The certificate files are read again on SIGHUP; all other settings take a
restart.
)";

std::string initial_of(const setting_field& field)
{
    if (field.required)
    {
        return "needed";
    }
    if (field.initial.empty())
    {
        return "none";
    }
    return "`" + field.initial + "`";
}

} // namespace

std::string write_settings_page()
{
    std::string page = head;
    for (const setting_field& field : setting_fields())
    {
        page += "| `" + field.path + "` | " + allowed_by(field) + " | " +
                initial_of(field) + " | " + field.text + " |\n";
    }
    return page + tail;
}

} // namespace acaciastile
