#include "cli/commands/process_commands.hpp"
#include "cli/output.hpp"
#include "cli/sample_site.hpp"
#include "cli/signal_waiter.hpp"
#include "cli/text_file.hpp"
#include "codec/document_codec.hpp"
#include "entry/socket_address.hpp"
#include "platform/http/platform_server.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <cstdio>

ABSL_DECLARE_FLAG(std::string, site);

ABSL_FLAG(std::string, listen, "127.0.0.1:7070", "address of the stand-ins");
ABSL_FLAG(std::string, inventory, "", "file with the workers to stand in for");
ABSL_FLAG(
    std::vector<std::string>,
    entries,
    {},
    "instances in the VM list: NAME@DATA_CENTRE@A.B.C.D:PORT");

namespace acaciastile::commands
{

namespace
{

constexpr std::size_t entry_parts = 3;

result<inventory> read_inventory(const std::string& address)
{
    const std::string file = absl::GetFlag(FLAGS_inventory);
    if (!file.empty())
    {
        auto text = read_text_file(file);
        if (!text)
        {
            return tl::unexpected(text.error());
        }
        return parse_inventory(*text);
    }
    const auto site = parse_sample_site(absl::GetFlag(FLAGS_site));
    if (!site)
    {
        return tl::unexpected(site.error());
    }
    return make_sample_inventory(*site, address);
}

result<vm_entry> read_entry(const std::string& text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '@');
    if (parts.size() != entry_parts || !socket_address::parse(parts[2]))
    {
        return refuse(
            refusal_code::invalid_value,
            "--entries: '" + text + "' is not NAME@DATA_CENTRE@A.B.C.D:PORT");
    }
    return vm_entry{
        parts[0], vm_role::entry, data_centre_name(parts[1]), parts[2]};
}

result<platform_server_settings> settings_from_flags()
{
    platform_server_settings made;
    made.address = absl::GetFlag(FLAGS_listen);
    const auto address = socket_address::parse(made.address);
    if (!address || !address->is_loopback())
    {
        return refuse(
            refusal_code::invalid_value,
            "--listen must be a loopback address: the stand-ins check no key");
    }
    const auto fleet = read_inventory(made.address);
    if (!fleet)
    {
        return tl::unexpected(fleet.error());
    }
    for (const worker_entry& each : fleet->workers())
    {
        made.workers.push_back({each.id, each.capacity});
        made.vms.push_back(
            {each.id.str(), vm_role::worker, each.data_centre, each.address});
    }
    for (const std::string& text : absl::GetFlag(FLAGS_entries))
    {
        auto entry = read_entry(text);
        if (!entry)
        {
            return tl::unexpected(entry.error());
        }
        made.vms.push_back(*std::move(entry));
    }
    return made;
}

} // namespace

exit_status platform(const command_arguments& /*arguments*/)
{
    auto settings = settings_from_flags();
    if (!settings)
    {
        return report_usage(settings.error().message);
    }
    signal_waiter signals;
    auto server = platform_server::create(*std::move(settings));
    if (!server)
    {
        return report(server.error());
    }
    std::fprintf(
        stderr, "platform stand-ins on %s\n", (*server)->address().c_str());
    while (signals.wait() == process_signal::reload)
    {
    }
    (*server)->stop();
    return exit_status::done;
}

} // namespace acaciastile::commands
