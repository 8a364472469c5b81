#include "platform/http/platform_server.hpp"

#include "platform/embedded/fault_command.hpp"
#include "platform/embedded/stand_in_platform.hpp"
#include "platform/http/http_client.hpp"
#include "platform/http/http_server.hpp"
#include "platform/http/journal_text.hpp"
#include "platform/http/log_messages.hpp"
#include "platform/http/loop_thread.hpp"
#include "platform/http/vm_messages.hpp"
#include "platform/http/worker_messages.hpp"

#include <charconv>

namespace acaciastile
{

namespace
{

constexpr std::size_t journal_page = 10'000;
constexpr milliseconds notice_timeout{2'000};
constexpr const char* json_type = "application/json";

http_reply ok(std::string body)
{
    return {200, std::move(body)};
}

/// Answers with the encoded value or the error.
template<class Value>
completion<Value> answering(http_answer answer)
{
    return [answer = std::move(answer)](const result<Value>& value)
    { answer(value ? ok(encode(*value)) : error_reply(value.error())); };
}

embedded_network_settings network_of(const platform_server_settings& settings)
{
    embedded_network_settings network;
    network.least_delay = settings.least_delay;
    network.most_delay = settings.most_delay;
    network.answer_timeout = settings.answer_timeout;
    network.seed = settings.seed;
    return network;
}

std::size_t number_in(const http_call& call, const std::string& name)
{
    std::size_t number = 0;
    auto at = call.variables.find(name);
    if (at != call.variables.end())
    {
        const std::string& text = at->second;
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

/// The loop thread alone touches the stand-ins; traffic threads decode a
/// call, post it there and wait.
class embedded_platform_server : public platform_server
{
public:
    explicit embedded_platform_server(const platform_server_settings& settings)
        : platform_(loop_.timers(), network_of(settings), settings.log),
          alive_(std::make_shared<int>())
    {
        for (const embedded_worker_settings& worker : settings.workers)
        {
            platform_.workers.add(worker);
        }
        for (const vm_entry& vm : settings.vms)
        {
            platform_.vms.set(vm);
        }
    }

    embedded_platform_server(const embedded_platform_server&) = delete;
    embedded_platform_server&
    operator=(const embedded_platform_server&) = delete;
    ~embedded_platform_server() override { stop(); }

    [[nodiscard]] result<void> start(const platform_server_settings& settings);

    [[nodiscard]] const std::string& address() const noexcept override
    {
        return server_->address();
    }

    void stop() override;

private:
    using method = void (embedded_platform_server::*)(
        const http_call&, const http_answer&);

    [[nodiscard]] std::vector<http_route> routes();
    [[nodiscard]] http_handler bind(method serve);

    void append(const http_call& call, const http_answer& answer);
    void read(const http_call& call, const http_answer& answer);
    void list(const http_call& call, const http_answer& answer);
    void call_worker(const http_call& call, const http_answer& answer);
    void command(const http_call& call, const http_answer& answer);
    void journal(const http_call& call, const http_answer& answer);
    void counts(const http_call& call, const http_answer& answer);
    void notify(const worker_caller& caller, const worker_notice& notice);

    loop_thread loop_;
    stand_in_platform platform_;
    std::shared_ptr<void> alive_;
    std::unique_ptr<http_client> client_;
    std::unique_ptr<http_server> server_;
};

result<void>
embedded_platform_server::start(const platform_server_settings& settings)
{
    auto client = http_client::create({}, loop_);
    if (!client)
    {
        return tl::unexpected(client.error());
    }
    client_ = std::move(*client);
    platform_.workers.hear_other_notices(
        [this](const worker_caller& caller, const worker_notice& notice)
        { notify(caller, notice); });
    http_server_settings serving;
    serving.address = settings.address;
    serving.connections = settings.connections;
    loop_.start();
    auto server = http_server::create(std::move(serving), routes());
    if (!server)
    {
        return tl::unexpected(server.error());
    }
    server_ = std::move(*server);
    return {};
}

void embedded_platform_server::stop()
{
    if (server_)
    {
        server_->stop();
    }
    loop_.stop();
    client_.reset();
}

std::vector<http_route> embedded_platform_server::routes()
{
    using self = embedded_platform_server;
    constexpr const char* packed_type = "application/msgpack";
    return {
        {"POST", "/v1/log/append", packed_type, bind(&self::append)},
        {"POST", "/v1/log/read", packed_type, bind(&self::read)},
        {"POST", "/v1/vms", packed_type, bind(&self::list)},
        {"POST", "/v1/worker/:id/call", packed_type, bind(&self::call_worker)},
        {"POST", "/v1/fault", json_type, bind(&self::command)},
        {"GET", "/v1/journal", json_type, bind(&self::journal)},
        {"GET", "/v1/counts", json_type, bind(&self::counts)}};
}

http_handler embedded_platform_server::bind(method serve)
{
    return [this, serve](const http_call& call, const http_answer& answer)
    { (this->*serve)(call, answer); };
}

void embedded_platform_server::append(
    const http_call& call, const http_answer& answer)
{
    auto message = decode_log_append(call.body);
    if (!message)
    {
        answer(error_reply(message.error()));
        return;
    }
    loop_.post(
        [this, message = std::move(*message), answer]() mutable
        {
            platform_.log.append_as(
                platform_.log.route_of(message.caller, alive_),
                message.stream,
                std::move(message.bodies),
                answering<append_receipt>(answer));
        });
}

void embedded_platform_server::read(
    const http_call& call, const http_answer& answer)
{
    auto message = decode_log_read(call.body);
    if (!message)
    {
        answer(error_reply(message.error()));
        return;
    }
    loop_.post(
        [this, message = std::move(*message), answer]
        {
            platform_.log.read_as(
                platform_.log.route_of(message.caller, alive_),
                message.stream,
                message.from,
                message.limit_bytes,
                answering<log_page>(answer));
        });
}

void embedded_platform_server::list(
    const http_call& call, const http_answer& answer)
{
    auto message = decode_vm_list_message(call.body);
    if (!message)
    {
        answer(error_reply(message.error()));
        return;
    }
    auto reply = [known = message->known_version,
                  answer](result<std::vector<vm_entry>> entries)
    {
        if (!entries)
        {
            answer(error_reply(entries.error()));
            return;
        }
        vm_list_reply told{version_of(*entries)};
        told.unchanged = told.version == known;
        if (!told.unchanged)
        {
            told.entries = std::move(*entries);
        }
        answer(ok(encode(told)));
    };
    loop_.post([this, caller = message->caller, reply = std::move(reply)]
               { platform_.vms.fetch_as(caller, reply, alive_); });
}

void embedded_platform_server::call_worker(
    const http_call& call, const http_answer& answer)
{
    auto message = decode_worker_call(call.body);
    if (!message)
    {
        answer(error_reply(message.error()));
        return;
    }
    loop_.post(
        [this, message = std::move(*message), answer]() mutable
        {
            platform_.workers.call_as(
                message.caller,
                std::move(message.call),
                answering<worker_report>(answer),
                alive_);
        });
}

void embedded_platform_server::command(
    const http_call& call, const http_answer& answer)
{
    auto wanted = parse_fault(call.body);
    if (!wanted)
    {
        answer(error_reply(wanted.error()));
        return;
    }
    loop_.post(
        [this, wanted = std::move(*wanted), answer]
        {
            const auto done = apply_fault(platform_, wanted);
            answer(done ? ok("{}") : error_reply(done.error()));
        });
}

void embedded_platform_server::journal(
    const http_call& call, const http_answer& answer)
{
    const std::size_t from = number_in(call, "from");
    loop_.post(
        [this, from, answer]
        {
            const run_journal& all = platform_.workers.journal();
            answer(ok(journal_text(all, from, journal_page)));
        });
}

void embedded_platform_server::counts(
    const http_call& /*call*/, const http_answer& answer)
{
    loop_.post([this, answer]
               { answer(ok(counts_text(platform_.log.counts()))); });
}

void embedded_platform_server::notify(
    const worker_caller& caller, const worker_notice& notice)
{
    if (caller.notify_address.empty())
    {
        return;
    }
    client_->post(
        {caller.notify_address, "/v1/notice", encode(notice), notice_timeout},
        [](const result<http_reply>&) {});
}

} // namespace

result<std::unique_ptr<platform_server>>
platform_server::create(platform_server_settings settings)
{
    auto made = std::make_unique<embedded_platform_server>(settings);
    if (auto started = made->start(settings); !started)
    {
        return tl::unexpected(started.error());
    }
    return made;
}

} // namespace acaciastile
