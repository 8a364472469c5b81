#include "platform/http/curl_http_client.hpp"

#include <utility>

namespace acaciastile
{

namespace
{

constexpr milliseconds poll_bound{100};
constexpr std::size_t spare_handles = 256;

impl::curl_list_ptr make_headers()
{
    impl::curl_list_ptr list;
    // An empty value keeps the library from sending that header.
    for (const char* line :
         {"Content-Type: application/msgpack", "Expect:", "Accept:"})
    {
        curl_slist* longer = curl_slist_append(list.get(), line);
        if (longer == nullptr)
        {
            return nullptr;
        }
        (void)list.release();
        list.reset(longer);
    }
    return list;
}

bool start_library()
{
    static const bool started = curl_global_init(CURL_GLOBAL_ALL) == CURLE_OK;
    return started;
}

} // namespace

result<std::unique_ptr<http_client>>
http_client::create(http_client_settings settings, executor& control)
{
    if (!start_library())
    {
        return refuse(refusal_code::internal, "libcurl does not start");
    }
    impl::curl_multi_ptr multi(curl_multi_init());
    impl::curl_list_ptr headers = make_headers();
    if (!multi || !headers)
    {
        return refuse(refusal_code::internal, "libcurl is out of memory");
    }
    const long kept = static_cast<long>(settings.kept_connections);
    curl_multi_setopt(multi.get(), CURLMOPT_MAXCONNECTS, kept);
    return std::make_unique<impl::curl_http_client>(
        settings, control, std::move(multi), std::move(headers));
}

namespace impl
{

curl_http_client::curl_http_client(
    http_client_settings settings,
    executor& control,
    curl_multi_ptr multi,
    curl_list_ptr headers)
    : options_{settings, headers.get()},
      control_(control),
      multi_(std::move(multi)),
      headers_(std::move(headers)),
      thread_([this] { run(); })
{
}

curl_http_client::~curl_http_client()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    curl_multi_wakeup(multi_.get());
    thread_.join();
}

void curl_http_client::post(http_request call, completion<http_reply> done)
{
    if (call.body.size() > options_.settings.request_bytes)
    {
        refuse_at_once(
            std::move(done), refusal_code::body_too_large, "request too large");
        return;
    }
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        if (!stopping_ && pending_ < options_.settings.pending_calls)
        {
            ++pending_;
            first = incoming_.empty();
            incoming_.push_back(std::make_unique<http_transfer>(
                std::move(call), std::exchange(done, nullptr)));
        }
    }
    if (done)
    {
        refuse_at_once(
            std::move(done), refusal_code::overloaded, "too many calls");
        return;
    }
    if (first)
    {
        curl_multi_wakeup(multi_.get());
    }
}

http_client_counts curl_http_client::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

void curl_http_client::run()
{
    const int bound = static_cast<int>(poll_bound.count());
    while (take_incoming())
    {
        int running = 0;
        curl_multi_perform(multi_.get(), &running);
        collect();
        drop_overdue();
        curl_multi_poll(multi_.get(), nullptr, 0, bound, nullptr);
    }
    give_all_up();
}

bool curl_http_client::take_incoming()
{
    std::vector<transfer_ptr> taken;
    bool going = true;
    {
        const std::lock_guard lock(mutex_);
        taken.swap(incoming_);
        going = !stopping_;
    }
    for (transfer_ptr& transfer : taken)
    {
        host_queue& host = hosts_[transfer->host()];
        host.waiting.push_back(std::move(transfer));
        start_waiting(host);
    }
    return going;
}

void curl_http_client::start_waiting(host_queue& host)
{
    while (!host.waiting.empty() &&
           host.active < options_.settings.connections_per_host)
    {
        transfer_ptr transfer = std::move(host.waiting.front());
        host.waiting.pop_front();
        start(host, std::move(transfer));
    }
}

void curl_http_client::start(host_queue& host, transfer_ptr transfer)
{
    const auto now = transfer_clock::now();
    if (transfer->overdue(now))
    {
        settle(*transfer, transfer->given_up("no connection was free in time"));
        return;
    }
    curl_easy_ptr handle = new_handle();
    if (!handle)
    {
        settle(*transfer, transfer->given_up("out of memory"));
        return;
    }
    transfer->prepare(std::move(handle), options_, now);
    CURL* easy = transfer->handle();
    if (curl_multi_add_handle(multi_.get(), easy) != CURLM_OK)
    {
        settle(*transfer, transfer->given_up("libcurl does not take the call"));
        return;
    }
    ++host.active;
    active_.emplace(easy, std::move(transfer));
}

void curl_http_client::drop_overdue()
{
    const auto now = transfer_clock::now();
    for (auto at = hosts_.begin(); at != hosts_.end();)
    {
        auto& waiting = at->second.waiting;
        while (!waiting.empty() && waiting.front()->overdue(now))
        {
            const transfer_ptr late = std::move(waiting.front());
            waiting.pop_front();
            settle(*late, late->given_up("no connection was free in time"));
        }
        const bool idle = waiting.empty() && at->second.active == 0;
        at = idle ? hosts_.erase(at) : std::next(at);
    }
}

void curl_http_client::collect()
{
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_.get(), &left))
    {
        if (message->msg == CURLMSG_DONE)
        {
            finish(message->easy_handle, message->data.result);
        }
    }
}

void curl_http_client::finish(CURL* handle, CURLcode code)
{
    auto node = active_.extract(handle);
    curl_multi_remove_handle(multi_.get(), handle);
    if (node.empty())
    {
        return;
    }
    http_transfer& transfer = *node.mapped();
    host_queue& host = hosts_[transfer.host()];
    --host.active;
    settle(transfer, transfer.outcome(code));
    curl_easy_ptr spare = transfer.release();
    if (spare_.size() < spare_handles)
    {
        spare_.push_back(std::move(spare));
    }
    start_waiting(host);
}

void curl_http_client::give_all_up()
{
    constexpr const char* why = "the client was stopped";
    for (auto& [handle, transfer] : active_)
    {
        settle(*transfer, transfer->given_up(why));
        curl_multi_remove_handle(multi_.get(), handle);
    }
    active_.clear();
    for (auto& [name, host] : hosts_)
    {
        for (const transfer_ptr& transfer : host.waiting)
        {
            settle(*transfer, transfer->given_up(why));
        }
    }
    hosts_.clear();
    spare_.clear();
}

curl_easy_ptr curl_http_client::new_handle()
{
    if (spare_.empty())
    {
        return curl_easy_ptr(curl_easy_init());
    }
    curl_easy_ptr handle = std::move(spare_.back());
    spare_.pop_back();
    curl_easy_reset(handle.get());
    return handle;
}

void curl_http_client::settle(
    http_transfer& transfer, result<http_reply> outcome)
{
    {
        const std::lock_guard lock(mutex_);
        --pending_;
        transfer.count(counts_);
    }
    control_.post([done = transfer.take_completion(),
                   outcome = std::move(outcome)]() mutable
                  { done(std::move(outcome)); });
}

void curl_http_client::refuse_at_once(
    completion<http_reply> done, refusal_code code, const char* why)
{
    control_.post([done = std::move(done), code, why]
                  { done(refuse(code, why)); });
}

} // namespace impl

} // namespace acaciastile
