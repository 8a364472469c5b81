#include "cli/setting_field.hpp"

#include "cli/unit_values.hpp"

#include <absl/strings/str_join.h>
#include <cstdint>

namespace acaciastile
{

namespace
{

constexpr std::int64_t second = 1'000;
constexpr std::int64_t minute = 60 * second;
constexpr std::int64_t kibibyte = 1 << 10;
constexpr std::int64_t mebibyte = 1 << 20;

using store_function =
    std::function<void(serve_settings&, const setting_value&)>;

setting_field text(std::string path, std::string about, store_function store)
{
    setting_field made;
    made.path = std::move(path);
    made.text = std::move(about);
    made.store = std::move(store);
    return made;
}

setting_field
required(std::string path, std::string about, store_function store)
{
    setting_field made = text(std::move(path), std::move(about), store);
    made.required = true;
    return made;
}

setting_field ranged(
    setting_type type,
    std::string path,
    std::string about,
    std::string initial,
    std::int64_t least,
    std::int64_t most,
    store_function store)
{
    setting_field made = text(std::move(path), std::move(about), store);
    made.type = type;
    made.initial = std::move(initial);
    made.least = least;
    made.most = most;
    return made;
}

setting_field choice(
    std::string path,
    std::string about,
    std::vector<std::string> words,
    store_function store)
{
    setting_field made = text(std::move(path), std::move(about), store);
    made.type = setting_type::choice;
    made.initial = words.front();
    made.choices = std::move(words);
    return made;
}

setting_field address(
    std::string path,
    std::string about,
    std::string initial,
    store_function store)
{
    setting_field made = text(std::move(path), std::move(about), store);
    made.type = setting_type::address;
    made.required = initial.empty();
    made.initial = std::move(initial);
    return made;
}

/// A store that writes a duration where `member` points.
template<class Pick>
store_function into_duration(Pick pick)
{
    return [pick](serve_settings& to, const setting_value& value)
    { pick(to) = milliseconds(value.number); };
}

template<class Pick>
store_function into_number(Pick pick)
{
    return [pick](serve_settings& to, const setting_value& value)
    { pick(to) = static_cast<std::size_t>(value.number); };
}

template<class Pick>
store_function into_text(Pick pick)
{
    return [pick](serve_settings& to, const setting_value& value)
    { pick(to) = value.text; };
}

template<class Pick>
store_function into_address(Pick pick)
{
    return [pick](serve_settings& to, const setting_value& value)
    { pick(to) = socket_address::parse(value.text).value(); };
}

void add_instance(std::vector<setting_field>& to)
{
    to.push_back(required(
        "instance.name",
        "Name of this instance in the platform's VM list.",
        into_text(
            [](serve_settings & s) -> auto& { return s.instance_name; })));
    to.push_back(required(
        "instance.data_centre",
        "Data centre that this instance runs in.",
        [](serve_settings& s, const setting_value& v)
        { s.data_centre = data_centre_name(v.text); }));
    to.push_back(ranged(
        setting_type::duration,
        "instance.tick",
        "Between two rounds of the control thread.",
        "20ms",
        1,
        second,
        into_duration([](serve_settings & s) -> auto& { return s.tick; })));
}

void add_callers(std::vector<setting_field>& to)
{
    to.push_back(address(
        "callers.address",
        "Where callers and operators connect.",
        "127.0.0.1:7080",
        into_address([](serve_settings & s) -> auto& {
            return s.entry.external.address;
        })));
    to.push_back(ranged(
        setting_type::number,
        "callers.connections",
        "Open connections; more wait to be accepted.",
        "1024",
        1,
        20'000,
        into_number([](serve_settings & s) -> auto& {
            return s.entry.external.connections;
        })));
    to.push_back(ranged(
        setting_type::number,
        "callers.requests_in_hand",
        "Requests handled at once; more are refused as overloaded.",
        "768",
        1,
        20'000,
        into_number([](serve_settings & s) -> auto& {
            return s.entry.external.requests_in_hand;
        })));
    to.push_back(ranged(
        setting_type::size,
        "callers.body_limit",
        "Largest body of a request.",
        "16MiB",
        kibibyte,
        256 * mebibyte,
        into_number([](serve_settings & s) -> auto& {
            return s.entry.external.body_limit;
        })));
    to.push_back(ranged(
        setting_type::size,
        "callers.header_limit",
        "Memory of one connection for its headers.",
        "32KiB",
        4 * kibibyte,
        mebibyte,
        into_number([](serve_settings & s) -> auto& {
            return s.entry.external.header_limit;
        })));
    to.push_back(ranged(
        setting_type::duration,
        "callers.idle_timeout",
        "After which a silent connection is closed; whole seconds count.",
        "30s",
        second,
        10 * minute,
        [](serve_settings& s, const setting_value& v)
        {
            s.entry.external.idle_timeout =
                std::chrono::duration_cast<std::chrono::seconds>(
                    milliseconds(v.number));
        }));
}

void add_tls(std::vector<setting_field>& to)
{
    to.push_back(text(
        "callers.tls.certificate",
        "File with the server's certificate chain in PEM. Empty: plain HTTP.",
        into_text(
            [](serve_settings & s) -> auto& { return s.tls.certificate; })));
    to.push_back(text(
        "callers.tls.key",
        "File with the certificate's key in PEM.",
        into_text([](serve_settings & s) -> auto& { return s.tls.key; })));
    to.push_back(text(
        "callers.tls.client_ca",
        "File with the CA of callers in PEM; callers then need a certificate.",
        into_text(
            [](serve_settings & s) -> auto& { return s.tls.client_ca; })));
}

void add_waits(std::vector<setting_field>& to)
{
    to.push_back(ranged(
        setting_type::duration,
        "waits.call",
        "Longest wait of a call for the control thread's answer.",
        "10s",
        100,
        5 * minute,
        into_duration(
            [](serve_settings & s) -> auto& { return s.entry.bounds.call; })));
    to.push_back(ranged(
        setting_type::duration,
        "waits.request",
        "Deadline of a request that names none.",
        "30s",
        100,
        10 * minute,
        into_duration([](serve_settings & s) -> auto& {
            return s.entry.bounds.request;
        })));
    to.push_back(ranged(
        setting_type::duration,
        "waits.longest_request",
        "Longest deadline that a request may name.",
        "2min",
        second,
        10 * minute,
        into_duration([](serve_settings & s) -> auto& {
            return s.entry.bounds.longest;
        })));
}

void add_peers(std::vector<setting_field>& to)
{
    to.push_back(address(
        "peers.address",
        "Where other instances and workers connect; keep it off public "
        "networks.",
        "127.0.0.1:7081",
        into_address([](serve_settings & s) -> auto& {
            return s.entry.internal.address;
        })));
    to.push_back(ranged(
        setting_type::number,
        "peers.connections",
        "Open connections of other instances and workers.",
        "4096",
        1,
        50'000,
        into_number([](serve_settings & s) -> auto& {
            return s.entry.internal.connections;
        })));
    to.push_back(ranged(
        setting_type::duration,
        "peers.probe_interval",
        "Between two probes of another instance.",
        "1s",
        100,
        minute,
        into_duration([](serve_settings & s) -> auto& {
            return s.tuning.probe_interval;
        })));
    to.push_back(ranged(
        setting_type::duration,
        "peers.suspicion",
        "From suspected to dead.",
        "3s",
        500,
        5 * minute,
        into_duration(
            [](serve_settings & s) -> auto& { return s.tuning.suspicion; })));
}

void add_platform(std::vector<setting_field>& to)
{
    to.push_back(address(
        "platform.address",
        "Where the platform's log and VM list are reached.",
        "",
        into_text(
            [](serve_settings & s) -> auto& { return s.platform_address; })));
    to.push_back(ranged(
        setting_type::duration,
        "platform.timeout",
        "After which a call to the platform counts as lost.",
        "3s",
        100,
        minute,
        into_duration(
            [](serve_settings & s) -> auto& { return s.platform_timeout; })));
    to.push_back(ranged(
        setting_type::duration,
        "platform.vm_poll",
        "Between two reads of the VM list.",
        "2s",
        100,
        minute,
        into_duration(
            [](serve_settings & s) -> auto& { return s.tuning.vm_poll; })));
    to.push_back(ranged(
        setting_type::number,
        "platform.appends_per_second",
        "Appends to the log by all instances of the cell together.",
        "300",
        1,
        100'000,
        into_number([](serve_settings & s) -> auto& {
            return s.tuning.appends_per_second;
        })));
}

void add_cell(std::vector<setting_field>& to)
{
    to.push_back(ranged(
        setting_type::duration,
        "cell.lease",
        "Lease of a running task from each message to its worker on.",
        "30s",
        second,
        60 * minute,
        into_duration(
            [](serve_settings & s) -> auto& { return s.tuning.lease; })));
    to.push_back(ranged(
        setting_type::duration,
        "cell.beat",
        "Between two messages to a worker without another cause.",
        "10s",
        100,
        20 * minute,
        into_duration(
            [](serve_settings & s) -> auto& { return s.tuning.beat; })));
    to.push_back(ranged(
        setting_type::duration,
        "cell.key_staleness",
        "Keyed work is refused where neither the log nor another instance "
        "was heard for this long.",
        "5s",
        500,
        10 * minute,
        into_duration([](serve_settings & s) -> auto& {
            return s.tuning.key_staleness;
        })));
    to.push_back(ranged(
        setting_type::number,
        "cell.shard_workers",
        "Mean number of workers in a shard; must be the same everywhere.",
        "128",
        1,
        4'096,
        into_number([](serve_settings & s) -> auto& {
            return s.tuning.shard_workers;
        })));
}

void add_operators(std::vector<setting_field>& to)
{
    to.push_back(text(
        "operators.bootstrap.id",
        "Id of the key that is taken as an operator's until one is granted.",
        into_text([](serve_settings & s) -> auto& { return s.bootstrap_id; })));
    to.push_back(text(
        "operators.bootstrap.salt",
        "Its salt in hexadecimal digits, as `keys make` prints it.",
        into_text(
            [](serve_settings & s) -> auto& { return s.bootstrap_salt; })));
    to.push_back(text(
        "operators.bootstrap.hash",
        "Its SHA-256 hash in hexadecimal digits, as `keys make` prints it.",
        into_text(
            [](serve_settings & s) -> auto& { return s.bootstrap_hash; })));
}

void add_log_and_shutdown(std::vector<setting_field>& to)
{
    to.push_back(choice(
        "log.format",
        "How events are written to standard error.",
        {"text", "json"},
        [](serve_settings& s, const setting_value& v) {
            s.log.format =
                v.text == "json" ? log_format::json : log_format::text;
        }));
    to.push_back(choice(
        "log.level",
        "Least level of the events that are written.",
        {"info", "warn", "fault"},
        [](serve_settings& s, const setting_value& v)
        {
            s.log.min_level = v.text == "info"   ? event_level::info
                              : v.text == "warn" ? event_level::warn
                                                 : event_level::fault;
        }));
    to.push_back(ranged(
        setting_type::duration,
        "shutdown.readiness_grace",
        "From readiness off to the end of listening; longer than the "
        "balancer's interval of checks.",
        "3s",
        0,
        5 * minute,
        into_duration(
            [](serve_settings & s) -> auto& { return s.readiness_grace; })));
    to.push_back(ranged(
        setting_type::duration,
        "shutdown.bound",
        "Longest wait for the answers in hand.",
        "30s",
        second,
        20 * minute,
        into_duration(
            [](serve_settings & s) -> auto& { return s.shutdown_bound; })));
}

std::vector<setting_field> make_fields()
{
    std::vector<setting_field> made;
    add_instance(made);
    add_callers(made);
    add_tls(made);
    add_waits(made);
    add_peers(made);
    add_platform(made);
    add_cell(made);
    add_operators(made);
    add_log_and_shutdown(made);
    return made;
}

std::string
range(const setting_field& field, std::string (*write)(std::int64_t))
{
    return "from " + write(field.least) + " to " + write(field.most);
}

} // namespace

const std::vector<setting_field>& setting_fields()
{
    static const std::vector<setting_field> fields = make_fields();
    return fields;
}

std::string allowed_by(const setting_field& field)
{
    switch (field.type)
    {
    case setting_type::text:
        return "a text that is not empty";
    case setting_type::address:
        return "an address of the form \"a.b.c.d:port\"";
    case setting_type::duration:
        return "a time with its unit (ms, s, min, h, d) " +
               range(
                   field,
                   [](std::int64_t value)
                   { return write_duration(milliseconds(value)); });
    case setting_type::size:
        return "a size with its unit (B, KiB, MiB, GiB) " +
               range(field, write_size);
    case setting_type::number:
        return "a whole number " + range(
                                       field,
                                       [](std::int64_t value)
                                       { return std::to_string(value); });
    case setting_type::choice:
        return "one of " + absl::StrJoin(field.choices, ", ");
    }
    return "";
}

} // namespace acaciastile
