#include "cli/client_flags.hpp"
#include "cli/commands/operator_commands.hpp"
#include "cli/output.hpp"
#include "cli/random_bytes.hpp"
#include "codec/url_text.hpp"
#include "domain/key_check.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

ABSL_DECLARE_FLAG(std::string, team);
ABSL_DECLARE_FLAG(std::string, right);

namespace acaciastile::commands
{

using nlohmann::json;

namespace
{

/// A first operator's key, made here: its entry goes into the settings of
/// every instance, the key itself stays with the operator.
exit_status make(const std::string& id)
{
    const auto random = draw_random_bytes(key_random_bytes);
    const auto made =
        generate_key(key_id(id), team_name(), key_right::operate, random);
    if (!made)
    {
        return report(made.error());
    }
    print_object(
        {{"key", made->presented},
         {"operators",
          {{"bootstrap",
            {{"id", made->entry.id.str()},
             {"salt", made->entry.salt_hex},
             {"hash", made->entry.hash_hex}}}}}});
    return exit_status::done;
}

exit_status grant()
{
    auto client = client_from_flags();
    if (!client)
    {
        return report(client.error());
    }
    json body{{"right", absl::GetFlag(FLAGS_right)}};
    if (const auto team = absl::GetFlag(FLAGS_team); !team.empty())
    {
        body["team"] = team;
    }
    return print_outcome((*client)->call("POST", "/v1/keys", body.dump()));
}

exit_status withdraw(const std::string& id)
{
    auto client = client_from_flags();
    if (!client)
    {
        return report(client.error());
    }
    return print_outcome(
        (*client)->call("DELETE", "/v1/keys/" + escape_url(id)));
}

} // namespace

exit_status keys(const command_arguments& arguments)
{
    const std::string action = arguments.empty() ? "" : arguments[0];
    if (action == "grant" && arguments.size() == 1)
    {
        return grant();
    }
    if (action == "withdraw" && arguments.size() == 2)
    {
        return withdraw(arguments[1]);
    }
    if (action == "make" && arguments.size() == 2)
    {
        return make(arguments[1]);
    }
    return report_usage(
        "keys needs `grant --team=TEAM`, `withdraw ID` or `make ID`");
}

} // namespace acaciastile::commands
