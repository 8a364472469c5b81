#include "entry/http_daemon.hpp"

#include "entry/handle_request.hpp"

#include <absl/cleanup/cleanup.h>
#include <gnutls/gnutls.h>
#include <ulfius.h>
#include <unistd.h>

namespace acaciastile
{

namespace
{

constexpr std::size_t thread_stack_bytes = 256 * 1024;

/// Whether the request in hand came from a caller whose certificate is
/// accepted. A connection has a thread of its own, which handles one request
/// after the other.
thread_local bool caller_is_trusted = true;

/// True where the other side showed a certificate of the CA of callers.
bool has_trusted_certificate(MHD_Connection* connection)
{
    const MHD_ConnectionInfo* found =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_GNUTLS_SESSION);
    if (found == nullptr)
    {
        return false;
    }
    auto* session = static_cast<gnutls_session_t>(found->tls_session);
    unsigned int faults = 0;
    return gnutls_certificate_verify_peers2(session, &faults) == 0 &&
           faults == 0;
}

std::map<std::string, std::string> read_variables(const _u_map* map)
{
    std::map<std::string, std::string> read;
    const char** keys = u_map_enum_keys(map);
    for (std::size_t at = 0; keys != nullptr && keys[at] != nullptr; ++at)
    {
        const char* value = u_map_get(map, keys[at]);
        read.emplace(keys[at], value == nullptr ? "" : value);
    }
    return read;
}

raw_request read_request(const _u_request& from)
{
    raw_request read;
    read.request.method = from.http_verb;
    read.request.variables = read_variables(from.map_url);
    const char* header = u_map_get_case(from.map_header, "Authorization");
    read.authorization = header == nullptr ? "" : header;
    if (from.binary_body != nullptr)
    {
        read.request.body.assign(
            static_cast<const char*>(from.binary_body),
            from.binary_body_length);
    }
    return read;
}

void write_reply(const api_reply& reply, bool close, _u_response& to)
{
    ulfius_set_binary_body_response(
        &to,
        static_cast<unsigned int>(reply.status),
        reply.body.data(),
        reply.body.size());
    ulfius_add_header_to_response(
        &to, "Content-Type", reply.content_type.c_str());
    if (reply.retry_after)
    {
        const auto seconds = std::to_string(reply.retry_after->count());
        ulfius_add_header_to_response(&to, "Retry-After", seconds.c_str());
    }
    if (close)
    {
        ulfius_add_header_to_response(&to, "Connection", "close");
    }
}

} // namespace

/// What ulfius hands back with each request.
struct http_daemon::endpoint
{
    http_daemon* owner = nullptr;
    const api_route* route = nullptr; ///< Null: no route matched.

    static int
    on_request(const _u_request* from, _u_response* to, void* user_data)
    {
        auto& self = *static_cast<endpoint*>(user_data);
        raw_request read = read_request(*from);
        read.trusted = caller_is_trusted;
        const api_reply reply =
            handle_request(self.owner->shared_, self.route, std::move(read));
        write_reply(reply, self.owner->closing_.load(), *to);
        return U_CALLBACK_COMPLETE;
    }

    static void on_connection(
        void* user_data,
        MHD_Connection* /*connection*/,
        void** /*socket_state*/,
        MHD_ConnectionNotificationCode what)
    {
        auto& traffic = *static_cast<traffic_counter*>(user_data);
        if (what == MHD_CONNECTION_NOTIFY_STARTED)
        {
            traffic.open();
        }
        else
        {
            traffic.close();
        }
    }

    static void*
    on_first_line(void* user_data, const char* uri, MHD_Connection* connection)
    {
        auto& owner = *static_cast<http_daemon*>(user_data);
        owner.traffic_.begin();
        caller_is_trusted = owner.material_.client_ca.empty() ||
                            has_trusted_certificate(connection);
        return ulfius_uri_logger(nullptr, uri);
    }

    static void on_completed(
        void* user_data,
        MHD_Connection* connection,
        void** request_state,
        MHD_RequestTerminationCode how)
    {
        mhd_request_completed(nullptr, connection, request_state, how);
        static_cast<traffic_counter*>(user_data)->end();
    }
};

result<std::unique_ptr<http_daemon>>
http_daemon::create(listener_shared& shared, int descriptor)
{
    absl::Cleanup closed = [&] { ::close(descriptor); };
    std::unique_ptr<http_daemon> made(new http_daemon(shared));
    if (shared.settings.tls)
    {
        auto material = load_tls(*shared.settings.tls);
        if (!material)
        {
            return tl::unexpected(material.error());
        }
        made->material_ = *std::move(material);
    }
    if (auto added = made->add_endpoints(); !added)
    {
        return tl::unexpected(added.error());
    }
    if (auto started = made->start(descriptor); !started)
    {
        return tl::unexpected(started.error());
    }
    std::move(closed).Cancel();
    return made;
}

http_daemon::http_daemon(listener_shared& shared)
    : shared_(shared), server_(std::make_unique<_u_instance>())
{
    sockaddr_in address = shared.settings.address.native();
    // The port is that of the socket handed in; ulfius wants one above zero.
    constexpr unsigned int any_port = 1;
    ulfius_init_instance(server_.get(), any_port, &address, nullptr);
    server_->max_post_body_size = shared.settings.body_limit + 1;
    server_->allowed_post_processor = U_POST_PROCESS_NONE;
}

http_daemon::~http_daemon()
{
    if (started_)
    {
        stop_accepting();
        ulfius_stop_framework(server_.get());
    }
    ulfius_clean_instance(server_.get());
}

result<void> http_daemon::add_endpoints()
{
    for (const api_route& route : shared_.routes)
    {
        endpoints_.push_back(
            std::make_unique<endpoint>(endpoint{this, &route}));
        const int added = ulfius_add_endpoint_by_val(
            server_.get(),
            route.method.c_str(),
            nullptr,
            route.path.c_str(),
            0,
            &endpoint::on_request,
            endpoints_.back().get());
        if (added != U_OK)
        {
            return refuse(
                refusal_code::internal, "cannot add route " + route.path);
        }
    }
    endpoints_.push_back(std::make_unique<endpoint>(endpoint{this, nullptr}));
    ulfius_set_default_endpoint(
        server_.get(), &endpoint::on_request, endpoints_.back().get());
    return {};
}

result<void> http_daemon::start(int descriptor)
{
    auto item = [](MHD_OPTION option, auto value, void* pointer) {
        return MHD_OptionItem{option, (intptr_t)value, pointer};
    };
    const listener_settings& bounds = shared_.settings;
    std::vector<MHD_OptionItem> options{
        item(MHD_OPTION_URI_LOG_CALLBACK, &endpoint::on_first_line, this),
        item(MHD_OPTION_NOTIFY_COMPLETED, &endpoint::on_completed, &traffic_),
        item(MHD_OPTION_NOTIFY_CONNECTION, &endpoint::on_connection, &traffic_),
        item(MHD_OPTION_LISTEN_SOCKET, descriptor, nullptr),
        item(MHD_OPTION_CONNECTION_LIMIT, bounds.connections, nullptr),
        item(MHD_OPTION_CONNECTION_MEMORY_LIMIT, bounds.header_limit, nullptr),
        item(
            MHD_OPTION_CONNECTION_TIMEOUT,
            bounds.idle_timeout.count(),
            nullptr),
        item(MHD_OPTION_THREAD_STACK_SIZE, thread_stack_bytes, nullptr)};
    unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
                         MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                         MHD_USE_ITC;
    if (bounds.tls)
    {
        flags |= MHD_USE_TLS;
        options.push_back(
            item(MHD_OPTION_HTTPS_MEM_KEY, 0, material_.key.data()));
        options.push_back(
            item(MHD_OPTION_HTTPS_MEM_CERT, 0, material_.certificate.data()));
    }
    if (bounds.tls && !material_.client_ca.empty())
    {
        options.push_back(
            item(MHD_OPTION_HTTPS_MEM_TRUST, 0, material_.client_ca.data()));
    }
    options.push_back(item(MHD_OPTION_END, 0, nullptr));
    const int begun = ulfius_start_framework_with_mhd_options(
        server_.get(), flags, options.data());
    if (begun != U_OK)
    {
        return refuse(
            refusal_code::internal,
            "cannot start the HTTP server on " + bounds.address.str());
    }
    started_ = true;
    accepting_ = true;
    return {};
}

void http_daemon::stop_accepting()
{
    if (!accepting_)
    {
        return;
    }
    accepting_ = false;
    const MHD_socket released = MHD_quiesce_daemon(server_->mhd_daemon);
    if (released != MHD_INVALID_SOCKET)
    {
        ::close(released);
    }
}

bool http_daemon::finish(milliseconds bound, milliseconds linger)
{
    begin_closing();
    stop_accepting();
    if (!traffic_.wait_answered(bound))
    {
        return false;
    }
    // An open connection may still bring a request: it is answered as well.
    static_cast<void>(traffic_.wait_closed(linger));
    return traffic_.wait_answered(bound);
}

} // namespace acaciastile
