#include "codec/url_text.hpp"

#include <curl/curl.h>
#include <memory>
#include <new>

namespace acaciastile
{

std::string escape_url(std::string_view text)
{
    if (text.empty())
    {
        return {}; // The library takes a length of zero for that of a C string.
    }
    const std::unique_ptr<char, decltype(&curl_free)> escaped(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
        &curl_free);
    if (!escaped)
    {
        throw std::bad_alloc();
    }
    return escaped.get();
}

} // namespace acaciastile
