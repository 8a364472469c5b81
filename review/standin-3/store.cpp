#include "common.hpp"

#include <condition_variable>
#include <optional>

namespace standin
{

namespace
{

struct record
{
    std::string key;
    std::string content; ///< As it was appended, without its length.
    std::string value;
};

struct producer_state
{
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> last;
    std::map<std::uint64_t, json> answers; ///< Of the last five appends.
};

struct topic
{
    std::vector<record> records;
    std::map<std::string, std::uint64_t> newest; ///< Offset of each key.
    std::map<std::string, producer_state> producers;
    bool busy = false; ///< An append is being processed.
};

void put(std::string& out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t at = bytes; at-- > 0;)
    {
        out.push_back(static_cast<char>(value >> (8 * at)));
    }
}

std::uint64_t get(const std::string& from, std::size_t at, std::size_t bytes)
{
    std::uint64_t value = 0;
    for (std::size_t n = 0; n < bytes; ++n)
    {
        value = value << 8U | static_cast<unsigned char>(from[at + n]);
    }
    return value;
}

std::string base64(const std::string& text)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        const std::size_t left = std::min<std::size_t>(3, text.size() - at);
        std::uint32_t group = 0;
        for (std::size_t n = 0; n < 3; ++n)
        {
            group = group << 8U |
                    (n < left ? static_cast<unsigned char>(text[at + n]) : 0U);
        }
        for (std::size_t n = 0; n < 4; ++n)
        {
            out.push_back(
                n <= left ? digits[group >> (18 - 6 * n) & 63U] : '=');
        }
    }
    return out;
}

/// The platform's log, kept in memory. Nothing expires.
class log_store
{
public:
    response answer(const request& asked)
    {
        const std::string path = path_of(asked);
        const auto query = query_of(std::string(asked.target()));
        const auto field = [&](const char* name)
        {
            const auto at = query.find(name);
            return at == query.end() ? std::string() : at->second;
        };
        const std::string name = field("topic") + "/" + field("part");
        if (path == "/-/log-append")
        {
            return append(name, asked.body(), query);
        }
        if (path == "/-/log-read")
        {
            const std::string wait = field("waitMs");
            return read(
                name,
                std::stoull(field("from")),
                milliseconds(wait.empty() ? 0 : std::stol(wait)));
        }
        if (path == "/-/log-newest")
        {
            return newest(name, field("after"));
        }
        return reply(404, json::object());
    }

private:
    response append(
        const std::string& name,
        const std::string& body,
        const std::map<std::string, std::string>& query)
    {
        // A partition processes its appends one at a time.
        constexpr milliseconds append_time{3};
        std::unique_lock held(guard_);
        topic& into = topics_[name];
        changed_.wait(held, [&] { return !into.busy; });
        into.busy = true;
        held.unlock();
        std::this_thread::sleep_for(append_time);
        held.lock();
        into.busy = false;
        changed_.notify_all();
        const std::uint64_t end = into.records.size();
        if (const auto at = query.find("at");
            at != query.end() && std::stoull(at->second) != end)
        {
            return reply(412, json{{"endOffset", end}});
        }
        producer_state* writer = nullptr;
        std::uint64_t sequence = 0;
        if (const auto named = query.find("producer"); named != query.end())
        {
            writer = &into.producers[named->second];
            const std::uint64_t epoch = std::stoull(query.at("epoch"));
            sequence = std::stoull(query.at("seqNo"));
            if (epoch < writer->epoch)
            {
                return reply(409, json{{"reason", "fenced"}});
            }
            if (epoch > writer->epoch)
            {
                *writer = {epoch, {}, {}};
            }
            else if (writer->answers.contains(sequence))
            {
                return reply(200, writer->answers[sequence]);
            }
            else if (writer->last && sequence != *writer->last + 1)
            {
                return reply(
                    409,
                    json{{"reason", "seq"}, {"expected", *writer->last + 1}});
            }
        }
        for (std::size_t at = 0; at + 4 <= body.size();)
        {
            const std::uint64_t length = get(body, at, 4);
            record added;
            added.content = body.substr(at + 4, length);
            at += 4 + length;
            if (name.rfind("keyed.", 0) == 0)
            {
                const std::uint64_t key = get(added.content, 0, 1);
                added.key = added.content.substr(1, key);
                added.value = added.content.substr(1 + key);
                into.newest[added.key] = into.records.size();
                if (added.value.empty())
                {
                    into.newest.erase(added.key);
                }
            }
            into.records.push_back(std::move(added));
        }
        const json told{{"offset", end}, {"endOffset", into.records.size()}};
        if (writer != nullptr)
        {
            writer->last = sequence;
            writer->answers[sequence] = told;
            while (writer->answers.size() > 5)
            {
                writer->answers.erase(writer->answers.begin());
            }
        }
        changed_.notify_all();
        return reply(200, told);
    }

    response
    read(const std::string& name, std::uint64_t from, milliseconds wait)
    {
        std::unique_lock held(guard_);
        changed_.wait_for(
            held, wait, [&] { return topics_[name].records.size() > from; });
        const topic& of = topics_[name];
        std::string body;
        put(body, of.records.size(), 8);
        put(body, 0, 8);
        constexpr std::size_t most_bytes = 256U << 10U;
        for (std::uint64_t at = from;
             at < of.records.size() && body.size() < most_bytes;
             ++at)
        {
            put(body, of.records[at].content.size(), 4);
            body += of.records[at].content;
        }
        return reply(200, std::move(body));
    }

    response newest(const std::string& name, const std::string& after)
    {
        const std::lock_guard held(guard_);
        const topic& of = topics_[name];
        json items = json::array();
        constexpr std::size_t most_items = 500;
        bool more = false;
        for (auto at = of.newest.upper_bound(after); at != of.newest.end();
             ++at)
        {
            if (items.size() == most_items)
            {
                more = true;
                break;
            }
            items.push_back(
                {{"key", at->first},
                 {"value", base64(of.records[at->second].value)},
                 {"offset", at->second}});
        }
        return reply(
            200,
            json{
                {"items", std::move(items)},
                {"hasMore", more},
                {"endOffset", of.records.size()}});
    }

    std::mutex guard_;
    std::condition_variable changed_;
    std::map<std::string, topic> topics_;
};

} // namespace

int run_store(const std::vector<std::string>& arguments)
{
    log_store store;
    serve(
        static_cast<std::uint16_t>(std::stoul(arguments.at(0))),
        [&store](const request& asked) { return store.answer(asked); });
    return 0;
}

} // namespace standin
