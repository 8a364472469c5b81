#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace acaciastile
{

/// A whole HTTP answer; status zero where none came.
struct test_answer
{
    long status = 0;
    std::string body;
    std::string retry_after;

    [[nodiscard]] nlohmann::json json() const
    {
        return nlohmann::json::parse(body);
    }
    /// The error that the body holds.
    [[nodiscard]] nlohmann::json error() const { return json().at("error"); }
};

/// Sends HTTP requests through ulfius' client.
class test_client
{
public:
    explicit test_client(std::string address) : address_(std::move(address)) {}

    [[nodiscard]] test_answer send(
        const std::string& method,
        const std::string& path,
        const std::string& body = "",
        const std::string& authorization = "") const;

private:
    std::string address_;
};

} // namespace acaciastile
