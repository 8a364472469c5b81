#include "support/test_client.hpp"

#include <absl/cleanup/cleanup.h>
#include <ulfius.h>

namespace acaciastile
{

test_answer test_client::send(
    const std::string& method,
    const std::string& path,
    const std::string& body,
    const std::string& authorization) const
{
    _u_request request;
    _u_response response;
    ulfius_init_request(&request);
    ulfius_init_response(&response);
    absl::Cleanup freed = [&]
    {
        ulfius_clean_request(&request);
        ulfius_clean_response(&response);
    };
    const std::string url = "http://" + address_ + path;
    ulfius_set_request_properties(
        &request,
        U_OPT_HTTP_VERB,
        method.c_str(),
        U_OPT_HTTP_URL,
        url.c_str(),
        U_OPT_NONE);
    if (!body.empty())
    {
        ulfius_set_binary_body_request(&request, body.data(), body.size());
    }
    if (!authorization.empty())
    {
        u_map_put(request.map_header, "Authorization", authorization.c_str());
    }
    test_answer answer;
    if (ulfius_send_http_request(&request, &response) != U_OK)
    {
        return answer;
    }
    answer.status = response.status;
    answer.body.assign(
        static_cast<const char*>(response.binary_body),
        response.binary_body_length);
    const char* later = u_map_get_case(response.map_header, "Retry-After");
    answer.retry_after = later == nullptr ? "" : later;
    return answer;
}

} // namespace acaciastile
