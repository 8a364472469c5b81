#include "platform/http/http_server.hpp"

#include "codec/document_codec.hpp"
#include "platform/http/listen_socket.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <thread>
#include <ulfius.h>
#include <unistd.h>

namespace acaciastile
{

namespace
{

constexpr std::size_t thread_stack_bytes = 256 * 1024;
constexpr milliseconds drain_bound{5'000};
constexpr milliseconds drain_poll{5};

/// Where a traffic thread waits for its answer.
class answer_slot
{
public:
    void put(http_reply reply)
    {
        const std::lock_guard lock(mutex_);
        if (!came_)
        {
            reply_ = std::move(reply);
            came_ = true;
            arrived_.notify_one();
        }
    }

    [[nodiscard]] http_reply wait(milliseconds bound)
    {
        std::unique_lock lock(mutex_);
        if (!arrived_.wait_for(lock, bound, [this] { return came_; }))
        {
            return {504, {}};
        }
        return std::move(reply_);
    }

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    bool came_ = false;
    http_reply reply_;
};

http_call call_of(const _u_request& request)
{
    http_call call;
    if (request.binary_body_length != 0)
    {
        call.body.assign(
            static_cast<const char*>(request.binary_body),
            request.binary_body_length);
    }
    const char** names = u_map_enum_keys(request.map_url);
    for (; names != nullptr && *names != nullptr; ++names)
    {
        const char* value = u_map_get(request.map_url, *names);
        call.variables.emplace(*names, value == nullptr ? "" : value);
    }
    return call;
}

class ulfius_server : public http_server
{
public:
    ulfius_server(http_server_settings settings, std::vector<http_route> routes)
        : settings_(std::move(settings))
    {
        for (http_route& route : routes)
        {
            endpoints_.push_back(
                std::make_unique<endpoint>(*this, std::move(route)));
        }
    }

    ulfius_server(const ulfius_server&) = delete;
    ulfius_server& operator=(const ulfius_server&) = delete;
    ~ulfius_server() override { stop(); }

    [[nodiscard]] result<void> start();

    [[nodiscard]] const std::string& address() const noexcept override
    {
        return settings_.address;
    }

    void stop() override;

private:
    struct endpoint
    {
        endpoint(ulfius_server& of, http_route served)
            : server(of), route(std::move(served))
        {
        }
        ulfius_server& server;
        http_route route;
    };

    /// These two count the calls from their first line to the last byte of
    /// the reply.
    static void* on_first_line(void* server, const char* uri);
    static void on_completed(
        void* server,
        MHD_Connection* connection,
        void** state,
        MHD_RequestTerminationCode how);
    static int
    on_call(const _u_request* request, _u_response* response, void* data);
    [[nodiscard]] http_reply
    handle(const http_route& route, const _u_request& request);
    [[nodiscard]] bool too_large(const _u_request& request) const;
    [[nodiscard]] result<void> add_endpoints();
    [[nodiscard]] int start_daemon(int descriptor);

    http_server_settings settings_;
    std::vector<std::unique_ptr<endpoint>> endpoints_;
    _u_instance instance_{};
    std::atomic<int> in_hand_{0};
    std::atomic<bool> stopping_{false};
    bool prepared_ = false;
    bool started_ = false;
};

void* ulfius_server::on_first_line(void* server, const char* uri)
{
    ++static_cast<ulfius_server*>(server)->in_hand_;
    return ulfius_uri_logger(nullptr, uri);
}

void ulfius_server::on_completed(
    void* server,
    MHD_Connection* connection,
    void** state,
    MHD_RequestTerminationCode how)
{
    mhd_request_completed(nullptr, connection, state, how);
    --static_cast<ulfius_server*>(server)->in_hand_;
}

int ulfius_server::on_call(
    const _u_request* request, _u_response* response, void* data)
{
    auto& served = *static_cast<endpoint*>(data);
    ulfius_server& server = served.server;
    const http_reply reply = server.handle(served.route, *request);
    u_map_put(response->map_header, "Content-Type", served.route.content_type);
    if (server.stopping_)
    {
        u_map_put(response->map_header, "Connection", "close");
    }
    ulfius_set_binary_body_response(
        response,
        static_cast<unsigned>(reply.status),
        reply.body.data(),
        reply.body.size());
    return U_CALLBACK_COMPLETE;
}

http_reply
ulfius_server::handle(const http_route& route, const _u_request& request)
{
    if (too_large(request))
    {
        return error_reply(
            error{refusal_code::body_too_large, verdict::not_run, {}, {}});
    }
    const auto slot = std::make_shared<answer_slot>();
    route.handle(
        call_of(request),
        [slot](http_reply reply) { slot->put(std::move(reply)); });
    return slot->wait(settings_.answer_bound);
}

bool ulfius_server::too_large(const _u_request& request) const
{
    const char* told = u_map_get_case(request.map_header, "Content-Length");
    return told != nullptr &&
           std::strtoull(told, nullptr, 10) > settings_.request_bytes;
}

result<void> ulfius_server::start()
{
    auto socket = impl::listen_socket::create(settings_.address);
    if (!socket)
    {
        return tl::unexpected(socket.error());
    }
    settings_.address = socket->address();
    if (ulfius_init_instance(&instance_, socket->port(), nullptr, nullptr) !=
        U_OK)
    {
        return refuse(refusal_code::internal, "ulfius does not start");
    }
    prepared_ = true;
    instance_.max_post_body_size = settings_.request_bytes;
    if (auto added = add_endpoints(); !added)
    {
        return added;
    }
    if (start_daemon(socket->descriptor()) != U_OK)
    {
        return refuse(refusal_code::internal, "ulfius does not listen");
    }
    started_ = true;
    (void)socket->release(); // The daemon closes it.
    return {};
}

result<void> ulfius_server::add_endpoints()
{
    for (const auto& each : endpoints_)
    {
        const int added = ulfius_add_endpoint_by_val(
            &instance_,
            each->route.verb.c_str(),
            nullptr,
            each->route.path.c_str(),
            0,
            &ulfius_server::on_call,
            each.get());
        if (added != U_OK)
        {
            return refuse(
                refusal_code::internal, "ulfius refuses " + each->route.path);
        }
    }
    return {};
}

int ulfius_server::start_daemon(int descriptor)
{
    auto item = [](MHD_OPTION option, auto value, void* pointer) {
        return MHD_OptionItem{option, (intptr_t)value, pointer};
    };
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(
        settings_.idle_timeout);
    std::vector<MHD_OptionItem> options{
        item(MHD_OPTION_NOTIFY_COMPLETED, &ulfius_server::on_completed, this),
        item(MHD_OPTION_URI_LOG_CALLBACK, &ulfius_server::on_first_line, this),
        item(MHD_OPTION_LISTEN_SOCKET, descriptor, nullptr),
        item(MHD_OPTION_CONNECTION_LIMIT, settings_.connections, nullptr),
        item(MHD_OPTION_CONNECTION_TIMEOUT, idle.count(), nullptr),
        item(MHD_OPTION_THREAD_STACK_SIZE, thread_stack_bytes, nullptr),
        item(MHD_OPTION_END, 0, nullptr)};
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                           MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                           MHD_USE_ITC;
    return ulfius_start_framework_with_mhd_options(
        &instance_, flags, options.data());
}

void ulfius_server::stop()
{
    stopping_ = true;
    if (started_)
    {
        const MHD_socket listening = MHD_quiesce_daemon(instance_.mhd_daemon);
        const auto until = std::chrono::steady_clock::now() + drain_bound;
        while (in_hand_ != 0 && std::chrono::steady_clock::now() < until)
        {
            std::this_thread::sleep_for(drain_poll);
        }
        ulfius_stop_framework(&instance_);
        close(listening);
        started_ = false;
    }
    if (prepared_)
    {
        ulfius_clean_instance(&instance_);
        prepared_ = false;
    }
}

} // namespace

result<std::unique_ptr<http_server>> http_server::create(
    http_server_settings settings, std::vector<http_route> routes)
{
    auto made =
        std::make_unique<ulfius_server>(std::move(settings), std::move(routes));
    if (auto started = made->start(); !started)
    {
        return tl::unexpected(started.error());
    }
    return made;
}

http_reply error_reply(const error& refused)
{
    constexpr long status_refused = 422;
    return {status_refused, to_json_text(refused)};
}

} // namespace acaciastile
