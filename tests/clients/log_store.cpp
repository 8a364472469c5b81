#include "clients/log_store.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace acaciastile::test
{

namespace
{

using boost::asio::ip::tcp;
using nlohmann::json;

constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;

std::uint64_t get_number(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char each : bytes)
    {
        value = value << 8U | static_cast<unsigned char>(each);
    }
    return value;
}

void put_number(std::string& out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t at = bytes; at-- > 0;)
    {
        out.push_back(static_cast<char>(value >> (8 * at)));
    }
}

net::http_response reply(unsigned status, std::string body)
{
    net::http_response response;
    response.result(status);
    response.body() = std::move(body);
    return response;
}

std::uint64_t
number_in(const std::map<std::string, std::string>& query, const char* name)
{
    const auto at = query.find(name);
    std::uint64_t value = 0;
    return at != query.end() && absl::SimpleAtoi(at->second, &value) ? value
                                                                     : 0;
}

} // namespace

std::uint16_t free_port()
{
    boost::asio::io_context loop;
    const tcp::acceptor bound(
        loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return bound.local_endpoint().port();
}

log_store::log_store() : address_{"127.0.0.1", free_port()}
{
    auto made = net::http_server::create(
        loop_,
        address_,
        {},
        [this](const net::http_request& request, net::http_responder respond)
        { handle(request, respond); });
    if (!made)
    {
        throw std::runtime_error(made.error().message);
    }
    server_ = *std::move(made);
    thread_ = std::thread([this] { loop_.run(); });
}

log_store::~log_store()
{
    loop_.stop();
    thread_.join();
}

void log_store::put(
    const std::string& topic, const std::string& key, const std::string& value)
{
    topics_[topic].records.push_back({key, value});
}

void log_store::handle(
    const net::http_request& request, const net::http_responder& respond)
{
    const std::string target(request.target());
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(target, absl::MaxSplits('?', 1));
    query asked;
    for (const absl::string_view each : absl::StrSplit(parts.second, '&'))
    {
        const std::pair<std::string, std::string> field =
            absl::StrSplit(each, absl::MaxSplits('=', 1));
        asked.insert(field);
    }
    if (parts.first == "/-/log-append")
    {
        append(asked, request.body(), respond);
    }
    else if (parts.first == "/-/log-read")
    {
        read(asked, true, respond);
    }
    else if (parts.first == "/-/log-newest")
    {
        newest(asked, respond);
    }
    else
    {
        respond(reply(404, "{}"));
    }
}

void log_store::append(
    const query& asked,
    std::string_view body,
    const net::http_responder& respond)
{
    topic_log& topic = topics_[asked.at("topic")];
    const std::size_t first = topic.records.size();
    if (asked.contains("at") && number_in(asked, "at") != first)
    {
        respond(reply(412, json{{"endOffset", first}}.dump()));
        return;
    }
    const bool keyed = asked.at("topic").starts_with("keyed.");
    while (body.size() >= length_bytes)
    {
        const auto length =
            static_cast<std::size_t>(get_number(body.substr(0, length_bytes)));
        std::string_view content = body.substr(length_bytes, length);
        body.remove_prefix(length_bytes + content.size());
        record added;
        if (keyed && !content.empty())
        {
            const auto key = static_cast<unsigned char>(content.front());
            added.key = content.substr(1, key);
            content.remove_prefix(1 + added.key.size());
        }
        added.value = content;
        topic.records.push_back(std::move(added));
    }
    respond(reply(
        200,
        json{{"offset", first}, {"endOffset", topic.records.size()}}.dump()));
    std::vector<std::function<void()>> waiting;
    waiting.swap(topic.long_polls);
    for (const auto& each : waiting)
    {
        each();
    }
}

void log_store::read(
    const query& asked, bool may_wait, const net::http_responder& respond)
{
    topic_log& topic = topics_[asked.at("topic")];
    const auto from = static_cast<std::size_t>(number_in(asked, "from"));
    const milliseconds wait(
        static_cast<milliseconds::rep>(number_in(asked, "waitMs")));
    if (may_wait && wait.count() > 0 && from >= topic.records.size())
    {
        auto once = std::make_shared<bool>(false);
        auto answer = [this, asked, respond, once]
        {
            if (!std::exchange(*once, true))
            {
                read(asked, false, respond);
            }
        };
        topic.long_polls.emplace_back(answer);
        timers_.after(wait, answer);
        return;
    }
    const bool keyed = asked.at("topic").starts_with("keyed.");
    std::string body;
    put_number(body, topic.records.size(), offset_bytes);
    put_number(body, 0, offset_bytes);
    for (std::size_t at = from; at < topic.records.size(); ++at)
    {
        const record& each = topic.records[at];
        const std::size_t key_bytes = keyed ? 1 + each.key.size() : 0;
        put_number(body, key_bytes + each.value.size(), length_bytes);
        if (keyed)
        {
            put_number(body, each.key.size(), 1);
            body += each.key;
        }
        body += each.value;
    }
    respond(reply(200, std::move(body)));
}

void log_store::newest(const query& asked, const net::http_responder& respond)
{
    const topic_log& topic = topics_[asked.at("topic")];
    std::map<std::string, std::size_t> last;
    for (std::size_t at = 0; at < topic.records.size(); ++at)
    {
        last[topic.records[at].key] = at;
    }
    json items = json::array();
    for (const auto& [key, at] : last)
    {
        if (!topic.records[at].value.empty())
        {
            items.push_back(
                {{"key", key},
                 {"offset", at},
                 {"value", absl::Base64Escape(topic.records[at].value)}});
        }
    }
    respond(reply(
        200,
        json{
            {"items", std::move(items)},
            {"hasMore", false},
            {"endOffset", topic.records.size()}}
            .dump()));
}

} // namespace acaciastile::test
