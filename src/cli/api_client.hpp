#pragma once

#include "domain/instant.hpp"
#include "domain/result.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace acaciastile
{

/// Where the control interface is and how to reach it.
struct client_settings
{
    std::string address; ///< `a.b.c.d:port`.
    std::string key;     ///< `id.secret`; empty: none.
    bool tls = false;
    std::string server_ca;   ///< File in PEM; empty: the system's.
    std::string certificate; ///< Of the caller, file in PEM.
    std::string private_key; ///< File in PEM.
    milliseconds timeout{40'000};
};

/// A whole HTTP answer.
struct client_answer
{
    int status = 0;
    std::string body;
};

/// Calls the control interface over one kept connection. For one thread.
class api_client
{
public:
    /// Errors: `internal` where the HTTP library fails to start.
    [[nodiscard]] static result<std::unique_ptr<api_client>>
    create(client_settings settings);

    virtual ~api_client() = default;

    /// Any status is an answer. Errors: `unreachable`, with `not_run` where
    /// no connection came about, else with `may_have_run`.
    [[nodiscard]] virtual result<client_answer> send(
        const std::string& method,
        const std::string& path,
        const std::string& body) = 0;

    /// As `send`, with the answer's JSON, or the error that it carries.
    [[nodiscard]] result<nlohmann::json> call(
        const std::string& method,
        const std::string& path,
        const std::string& body = "");
};

/// The error in the body of an answer whose status is 400 or more.
[[nodiscard]] error read_error_answer(const client_answer& answer);

} // namespace acaciastile
