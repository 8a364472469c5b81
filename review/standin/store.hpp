#pragma once

#include "world.hpp"

#include <map>
#include <set>

namespace review
{

/// The platform's metadata store: keyed and plain topics of one partition each.
/// Each VM reaches it through a port of its own, so that single VMs can be cut
/// off.
class store
{
public:
    explicit store(world& in) : world_(in) {}

    /// Opens a path to the store and returns its port.
    std::uint16_t open_path();
    /// While a path is cut, what arrives there is lost and nothing is answered.
    void cut(std::uint16_t port, bool is_cut);

    /// Writes the newest record of a key, as an operator or an executor does.
    void
    put(const std::string& topic,
        const std::string& key,
        const std::string& value);

    /// The path by which the last append under a condition came.
    [[nodiscard]] std::uint16_t last_conditional_writer() const
    {
        return last_conditional_writer_;
    }

private:
    struct record
    {
        std::string content; ///< As in a request: with its key, if any.
    };
    struct keyed_value
    {
        std::string value;
        std::uint64_t offset = 0;
    };
    struct waiting_read
    {
        std::uint64_t from = 0;
        std::uint16_t port = 0;
        acaciastile::net::http_responder respond;
    };
    struct topic
    {
        std::vector<record> records;
        std::map<std::string, keyed_value> newest;
        std::map<std::string, std::uint64_t> epochs;
        std::map<std::string, std::map<std::uint64_t, std::uint64_t>> appended;
        std::map<std::uint64_t, waiting_read> waiting;
    };

    void handle(
        std::uint16_t port,
        acaciastile::net::http_request request,
        acaciastile::net::http_responder respond);
    void append(
        std::uint16_t port,
        const std::map<std::string, std::string>& query,
        const std::string& body,
        const acaciastile::net::http_responder& respond);
    void read(
        std::uint16_t port,
        const std::map<std::string, std::string>& query,
        const acaciastile::net::http_responder& respond);
    void newest(
        const std::map<std::string, std::string>& query,
        const acaciastile::net::http_responder& respond);
    std::uint64_t add(const std::string& name, const std::string& content);
    void wake(const std::string& name);
    std::string page(const topic& of, std::uint64_t from) const;

    world& world_;
    std::map<std::string, topic> topics_;
    std::map<std::uint16_t, std::unique_ptr<acaciastile::net::http_server>>
        paths_;
    std::set<std::uint16_t> cut_;
    std::uint64_t next_read_ = 0;
    std::uint16_t last_conditional_writer_ = 0;
};

} // namespace review
