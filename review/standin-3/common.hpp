#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace standin
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using nlohmann::json;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Unix time in milliseconds.
inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Writes one line to standard output: the record of this process.
inline void note(const std::string& who, json fields)
{
    static std::mutex guard;
    const std::lock_guard held(guard);
    std::cout << unix_ms() << ' ' << who << ' ' << fields.dump() << '\n'
              << std::flush;
}

inline response reply(unsigned status, std::string body)
{
    response made;
    made.result(status);
    made.set(http::field::content_type, "application/json");
    made.body() = std::move(body);
    return made;
}

inline response reply(unsigned status, const json& body)
{
    return reply(status, body.dump());
}

/// The fields of a target's query.
inline std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> fields;
    const std::size_t mark = target.find('?');
    std::string rest =
        mark == std::string::npos ? std::string() : target.substr(mark + 1);
    const auto decoded = [](const std::string& text)
    {
        std::string plain;
        for (std::size_t at = 0; at < text.size(); ++at)
        {
            if (text[at] == '%' && at + 2 < text.size())
            {
                plain.push_back(static_cast<char>(
                    std::stoi(text.substr(at + 1, 2), nullptr, 16)));
                at += 2;
                continue;
            }
            plain.push_back(text[at]);
        }
        return plain;
    };
    while (!rest.empty())
    {
        const std::size_t end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
        {
            fields[pair.substr(0, equals)] = decoded(pair.substr(equals + 1));
        }
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    }
    return fields;
}

inline std::string path_of(const request& of)
{
    const std::string target(of.target().data(), of.target().size());
    return target.substr(0, target.find('?'));
}

/// Serves each connection on a thread of its own. Does not return.
inline void
serve(std::uint16_t port, const std::function<response(const request&)>& answer)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(
        context, {boost::asio::ip::make_address("127.0.0.1"), port});
    for (;;)
    {
        tcp::socket accepted(context);
        acceptor.accept(accepted);
        accepted.set_option(tcp::no_delay(true));
        std::thread(
            [socket = std::move(accepted), &answer]() mutable
            {
                boost::beast::flat_buffer buffer;
                boost::system::error_code failed;
                for (;;)
                {
                    http::request_parser<http::string_body> parser;
                    parser.body_limit(8U << 20U);
                    http::read(socket, buffer, parser, failed);
                    if (failed)
                    {
                        return;
                    }
                    const request asked = parser.release();
                    response answered = answer(asked);
                    if (answered.result_int() == 0)
                    {
                        return; // No answer: the connection is closed.
                    }
                    answered.version(11);
                    answered.keep_alive(asked.keep_alive());
                    answered.prepare_payload();
                    http::write(socket, answered, failed);
                    if (failed || !answered.keep_alive())
                    {
                        return;
                    }
                }
            })
            .detach();
    }
}

/// Sends one request on a connection of its own. Status zero: no answer within
/// the time.
inline response call(
    std::uint16_t port,
    http::verb verb,
    const std::string& target,
    std::string body,
    milliseconds timeout,
    const std::map<std::string, std::string>& headers = {})
{
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    response answered;
    answered.result(0U);
    bool done = false;
    boost::beast::flat_buffer buffer;
    request sent{verb, target, 11};
    sent.set(http::field::host, "127.0.0.1");
    for (const auto& [name, value] : headers)
    {
        sent.set(name, value);
    }
    sent.body() = std::move(body);
    sent.prepare_payload();
    response read;
    stream.expires_after(timeout);
    stream.async_connect(
        tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), port},
        [&](boost::system::error_code failed)
        {
            if (failed)
            {
                return;
            }
            http::async_write(
                stream,
                sent,
                [&](boost::system::error_code unsent, std::size_t)
                {
                    if (unsent)
                    {
                        return;
                    }
                    http::async_read(
                        stream,
                        buffer,
                        read,
                        [&](boost::system::error_code unread, std::size_t)
                        { done = !unread; });
                });
        });
    context.run();
    return done ? read : answered;
}

/// A record of a keyed topic as it is appended.
inline std::string
keyed_record(const std::string& key, const std::string& value)
{
    const std::size_t length = 1 + key.size() + value.size();
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        out.push_back(static_cast<char>(length >> shift));
    }
    out.push_back(static_cast<char>(key.size()));
    return out + key + value;
}

int run_store(const std::vector<std::string>& arguments);
int run_executor(const std::vector<std::string>& arguments);
int run_client(const std::vector<std::string>& arguments);
int run_burst(const std::vector<std::string>& arguments);
int run_proxy(const std::vector<std::string>& arguments);
int run_put(const std::vector<std::string>& arguments);

} // namespace standin
