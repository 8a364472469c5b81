#pragma once

#include <curl/curl.h>
#include <memory>

namespace acaciastile::impl
{

struct curl_easy_closer
{
    void operator()(CURL* handle) const noexcept { curl_easy_cleanup(handle); }
};

struct curl_multi_closer
{
    void operator()(CURLM* handle) const noexcept
    {
        curl_multi_cleanup(handle);
    }
};

struct curl_list_closer
{
    void operator()(curl_slist* list) const noexcept
    {
        curl_slist_free_all(list);
    }
};

using curl_easy_ptr = std::unique_ptr<CURL, curl_easy_closer>;
using curl_multi_ptr = std::unique_ptr<CURLM, curl_multi_closer>;
using curl_list_ptr = std::unique_ptr<curl_slist, curl_list_closer>;

} // namespace acaciastile::impl
