#include "cli/api_client.hpp"

#include <algorithm>
#include <curl/curl.h>

namespace acaciastile
{

using nlohmann::json;

namespace
{

constexpr int first_error_status = 400;

struct handle_closer
{
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct list_closer
{
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using handle_ptr = std::unique_ptr<CURL, handle_closer>;
using list_ptr = std::unique_ptr<curl_slist, list_closer>;

std::size_t
receive(char* bytes, std::size_t size, std::size_t count, void* target)
{
    static_cast<std::string*>(target)->append(bytes, size * count);
    return size * count;
}

bool start_library()
{
    static const CURLcode started = curl_global_init(CURL_GLOBAL_ALL);
    return started == CURLE_OK;
}

/// True where no byte of the request can have left.
bool is_not_sent(CURLcode code)
{
    switch (code)
    {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_SSL_CONNECT_ERROR:
    case CURLE_PEER_FAILED_VERIFICATION:
    case CURLE_SSL_CERTPROBLEM:
    case CURLE_SSL_CACERT_BADFILE:
    case CURLE_URL_MALFORMAT:
        return true;
    default:
        return false;
    }
}

class curl_api_client final : public api_client
{
public:
    curl_api_client(
        client_settings settings, handle_ptr handle, list_ptr headers)
        : settings_(std::move(settings)),
          handle_(std::move(handle)),
          headers_(std::move(headers))
    {
        set(CURLOPT_HTTPHEADER, headers_.get());
        set(CURLOPT_WRITEFUNCTION, &receive);
        set(CURLOPT_NOSIGNAL, 1L);
        set(CURLOPT_TIMEOUT_MS, static_cast<long>(settings_.timeout.count()));
        set_file(CURLOPT_CAINFO, settings_.server_ca);
        set_file(CURLOPT_SSLCERT, settings_.certificate);
        set_file(CURLOPT_SSLKEY, settings_.private_key);
    }

    result<client_answer> send(
        const std::string& method,
        const std::string& path,
        const std::string& body) override
    {
        const std::string scheme = settings_.tls ? "https://" : "http://";
        const std::string url = scheme + settings_.address + path;
        client_answer answer;
        set(CURLOPT_URL, url.c_str());
        set(CURLOPT_CUSTOMREQUEST, method.c_str());
        set(CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        set(CURLOPT_COPYPOSTFIELDS, body.data());
        if (method == "GET" || method == "DELETE")
        {
            set(CURLOPT_HTTPGET, 1L);
        }
        set(CURLOPT_WRITEDATA, &answer.body);
        const CURLcode code = curl_easy_perform(handle_.get());
        if (code != CURLE_OK)
        {
            return refuse(
                refusal_code::unreachable,
                is_not_sent(code) ? verdict::not_run : verdict::may_have_run,
                settings_.address + ": " + curl_easy_strerror(code));
        }
        long status = 0;
        curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &status);
        answer.status = static_cast<int>(status);
        return answer;
    }

private:
    template<class Value>
    void set(CURLoption option, Value value)
    {
        curl_easy_setopt(handle_.get(), option, value);
    }

    void set_file(CURLoption option, const std::string& path)
    {
        if (!path.empty())
        {
            set(option, path.c_str());
        }
    }

    client_settings settings_;
    handle_ptr handle_;
    list_ptr headers_;
};

verdict verdict_from(const std::string& name)
{
    if (name == to_string(verdict::not_run))
    {
        return verdict::not_run;
    }
    return name == to_string(verdict::ran) ? verdict::ran
                                           : verdict::may_have_run;
}

refusal_code code_from(const std::string& name)
{
    auto at = std::find_if(
        refusal_code_names.begin(),
        refusal_code_names.end(),
        [&](const auto& each) { return each.second == name; });
    return at == refusal_code_names.end() ? refusal_code::internal : at->first;
}

} // namespace

result<std::unique_ptr<api_client>> api_client::create(client_settings settings)
{
    handle_ptr handle(start_library() ? curl_easy_init() : nullptr);
    if (!handle)
    {
        return refuse(refusal_code::internal, "cannot start the HTTP client");
    }
    list_ptr headers(curl_slist_append(nullptr, "Expect:"));
    if (!settings.key.empty())
    {
        const std::string line = "Authorization: Bearer " + settings.key;
        curl_slist_append(headers.get(), line.c_str());
    }
    return std::make_unique<curl_api_client>(
        std::move(settings), std::move(handle), std::move(headers));
}

result<json> api_client::call(
    const std::string& method, const std::string& path, const std::string& body)
{
    auto answer = send(method, path, body);
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    if (answer->status >= first_error_status)
    {
        return tl::unexpected(read_error_answer(*answer));
    }
    constexpr bool throwing = false;
    json parsed = json::parse(answer->body, nullptr, throwing);
    if (parsed.is_discarded())
    {
        return refuse(
            refusal_code::malformed,
            verdict::may_have_run,
            "the answer is no JSON");
    }
    return parsed;
}

error read_error_answer(const client_answer& answer)
{
    constexpr bool throwing = false;
    error read;
    read.effect = verdict::may_have_run;
    read.message = "HTTP status " + std::to_string(answer.status);
    const json whole = json::parse(answer.body, nullptr, throwing);
    if (!whole.is_object() || !whole.contains("error"))
    {
        return read;
    }
    const json& inside = whole.at("error");
    read.code = code_from(inside.value("code", ""));
    read.effect = verdict_from(inside.value("verdict", ""));
    read.message = inside.value("message", "");
    if (inside.contains("position") && inside.at("position").is_object())
    {
        read.position.line = inside.at("position").value("line", 0u);
        read.position.column = inside.at("position").value("column", 0u);
    }
    return read;
}

} // namespace acaciastile
