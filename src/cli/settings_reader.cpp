#include "cli/settings_reader.hpp"

#include "cli/setting_field.hpp"
#include "cli/settings_document.hpp"
#include "cli/unit_values.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace acaciastile
{

using nlohmann::json;

namespace
{

constexpr std::size_t longest_shown = 60;

error make_error(const std::string& message, const source_position& position)
{
    error wrong;
    wrong.code = refusal_code::invalid_value;
    wrong.message = message;
    wrong.position = position;
    return wrong;
}

const setting_field* find_field(const std::string& path)
{
    const auto& fields = setting_fields();
    auto at = std::find_if(
        fields.begin(),
        fields.end(),
        [&](const setting_field& field) { return field.path == path; });
    return at == fields.end() ? nullptr : &*at;
}

std::string show(const json& value)
{
    std::string text =
        value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > longest_shown)
    {
        text = text.substr(0, longest_shown) + "...";
    }
    return text;
}

bool is_in_range(const setting_field& field, std::int64_t value)
{
    return value >= field.least && value <= field.most;
}

std::optional<setting_value>
ranged_value(const setting_field& field, std::optional<std::int64_t> number)
{
    if (!number || !is_in_range(field, *number))
    {
        return std::nullopt;
    }
    return setting_value{{}, *number};
}

std::optional<setting_value>
read_number(const setting_field& field, const json& value)
{
    if (!value.is_number_integer() ||
        (value.is_number_unsigned() &&
         value.get<std::uint64_t>() > std::uint64_t(field.most)))
    {
        return std::nullopt;
    }
    return ranged_value(field, value.get<std::int64_t>());
}

/// Empty where the field does not allow the value.
std::optional<setting_value>
read_value(const setting_field& field, const json& value)
{
    if (field.type == setting_type::number)
    {
        return read_number(field, value);
    }
    if (!value.is_string())
    {
        return std::nullopt;
    }
    const std::string text = value.get<std::string>();
    switch (field.type)
    {
    case setting_type::duration:
    {
        const auto parsed = parse_duration(text);
        return parsed ? ranged_value(field, parsed->count()) : std::nullopt;
    }
    case setting_type::size:
        return ranged_value(field, parse_size(text));
    case setting_type::address:
        return socket_address::parse(text) ? std::optional(setting_value{text})
                                           : std::nullopt;
    case setting_type::choice:
        return std::find(field.choices.begin(), field.choices.end(), text) !=
                       field.choices.end()
                   ? std::optional(setting_value{text})
                   : std::nullopt;
    default:
        return text.empty() ? std::nullopt : std::optional(setting_value{text});
    }
}

/// The text is a secret's hash or a key's path: shown as any other value, for
/// no setting holds a secret itself.
void store_leaf(const settings_leaf& leaf, settings_outcome& outcome)
{
    const setting_field* field = find_field(leaf.path);
    if (field == nullptr)
    {
        outcome.errors.push_back(make_error(
            leaf.path + ": unknown setting; docs/operators/settings.md lists "
                        "them all",
            leaf.position));
        return;
    }
    const auto value = read_value(*field, leaf.value);
    if (!value)
    {
        outcome.errors.push_back(make_error(
            leaf.path + ": found " + show(leaf.value) + ", allowed is " +
                allowed_by(*field),
            leaf.position));
        return;
    }
    field->store(outcome.settings, *value);
}

void store_initial(serve_settings& to)
{
    for (const setting_field& field : setting_fields())
    {
        if (field.initial.empty())
        {
            continue;
        }
        const json written = field.type == setting_type::number
                                 ? json::parse(field.initial)
                                 : json(field.initial);
        field.store(to, read_value(field, written).value());
    }
}

/// Where the leaves of a document stand.
class leaf_index
{
public:
    explicit leaf_index(const settings_document& document)
    {
        for (const settings_leaf& leaf : document.leaves)
        {
            positions_.emplace(leaf.path, leaf.position);
        }
    }

    [[nodiscard]] bool has(const std::string& path) const
    {
        return positions_.count(path) > 0;
    }

    /// Of the first of these that is written; else only the file.
    [[nodiscard]] source_position
    first_of(const std::vector<std::string>& paths, std::string file) const
    {
        for (const std::string& path : paths)
        {
            if (has(path))
            {
                return positions_.at(path);
            }
        }
        return {std::move(file), 0, 0};
    }

private:
    std::map<std::string, source_position> positions_;
};

void check_required(
    const leaf_index& found, const std::string& file, settings_outcome& outcome)
{
    for (const setting_field& field : setting_fields())
    {
        if (field.required && !found.has(field.path))
        {
            outcome.errors.push_back(make_error(
                field.path + ": missing; needed is " + allowed_by(field),
                {file, 0, 0}));
        }
    }
}

/// A rule about several settings and what breaks it.
struct conflict
{
    std::vector<std::string> paths;
    bool broken = false;
    std::string message;
};

std::vector<conflict>
find_conflicts(const serve_settings& in, const leaf_index& found)
{
    const std::string certificate = "callers.tls.certificate";
    const std::string key = "callers.tls.key";
    const std::string client_ca = "callers.tls.client_ca";
    const listener_settings& callers = in.entry.external;
    const std::size_t bootstraps = found.has("operators.bootstrap.id") +
                                   found.has("operators.bootstrap.salt") +
                                   found.has("operators.bootstrap.hash");
    return {
        {{certificate, key},
         found.has(certificate) != found.has(key),
         "certificate and key are set both or not at all"},
        {{client_ca},
         found.has(client_ca) && !found.has(certificate),
         "needs callers.tls.certificate"},
        {{"callers.requests_in_hand", "callers.connections"},
         callers.requests_in_hand > callers.connections,
         "must not be more than callers.connections, or a refusal would have "
         "to wait"},
        {{"peers.address", "callers.address"},
         callers.address.str() == in.entry.internal.address.str(),
         "must differ from callers.address"},
        {{"waits.request", "waits.longest_request"},
         in.entry.bounds.request > in.entry.bounds.longest,
         "must not be longer than waits.longest_request"},
        {{"cell.beat", "cell.lease"},
         in.tuning.beat * 2 > in.tuning.lease,
         "must not be longer than half of cell.lease, or one lost message "
         "would end tasks"},
        {{"operators.bootstrap.id",
          "operators.bootstrap.salt",
          "operators.bootstrap.hash"},
         bootstraps != 0 && bootstraps != 3,
         "id, salt and hash are set together or not at all"},
    };
}

void check_conflicts(
    const leaf_index& found, const std::string& file, settings_outcome& outcome)
{
    for (const conflict& each : find_conflicts(outcome.settings, found))
    {
        if (each.broken)
        {
            outcome.errors.push_back(make_error(
                each.paths.front() + ": conflict: " + each.message,
                found.first_of(each.paths, file)));
        }
    }
}

void apply_tls(serve_settings& to)
{
    if (!to.tls.certificate.empty())
    {
        to.entry.external.tls = to.tls;
    }
}

} // namespace

std::optional<key_entry> serve_settings::bootstrap_key() const
{
    if (bootstrap_id.empty())
    {
        return std::nullopt;
    }
    key_entry made;
    made.id = key_id(bootstrap_id);
    made.right = key_right::operate;
    made.salt_hex = bootstrap_salt;
    made.hash_hex = bootstrap_hash;
    return made;
}

settings_outcome read_settings(const std::string& text, const std::string& file)
{
    settings_outcome outcome;
    store_initial(outcome.settings);
    const settings_document document = settings_document::parse(text, file);
    outcome.errors = document.errors;
    for (const settings_leaf& leaf : document.leaves)
    {
        store_leaf(leaf, outcome);
    }
    if (document.complete)
    {
        const leaf_index found(document);
        check_required(found, file, outcome);
        check_conflicts(found, file, outcome);
        apply_tls(outcome.settings);
    }
    return outcome;
}

settings_outcome read_settings_file(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
    {
        settings_outcome outcome;
        outcome.errors.push_back(
            make_error("cannot read the file", {file, 0, 0}));
        return outcome;
    }
    return read_settings(text.str(), file);
}

std::string describe(const error& wrong)
{
    std::string text = wrong.position.file;
    if (wrong.position.line > 0)
    {
        text += ":" + std::to_string(wrong.position.line) + ":" +
                std::to_string(wrong.position.column);
    }
    return text.empty() ? wrong.message : text + ": " + wrong.message;
}

} // namespace acaciastile
