#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review
{

/// A request as a server has read it.
struct request
{
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// A response. A status of zero sends nothing: the connection stays open and
/// returns nothing further.
struct response
{
    int status = 200;
    std::string body;
    std::string type = "application/json";
};

/// HTTP/1.1 server with a thread for each connection.
class http_server
{
public:
    using handler = std::function<response(const request&)>;

    http_server(std::string ip, std::uint16_t port, handler answer);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens. Returns false if the address is in use.
    bool start();
    /// Closes the listener and resets all connections, as the end of a process
    /// does.
    void stop();

private:
    struct state;

    std::string ip_;
    std::uint16_t port_;
    handler answer_;
    std::shared_ptr<state> state_;
    std::thread acceptor_;
};

/// What a client got: a status of zero means no complete answer.
struct reply
{
    int status = 0;
    std::string body;
};

/// Makes one call on a connection of its own.
reply call(
    const std::string& ip,
    std::uint16_t port,
    const std::string& method,
    const std::string& target,
    const std::map<std::string, std::string>& headers,
    const std::string& body,
    int timeout_ms);

} // namespace review
