#pragma once

#include "cell/control.hpp"

#include <map>
#include <string>

namespace acaciastile
{

/// One whole call as it came over HTTP.
struct api_request
{
    std::string method;
    std::string route; ///< The name of the route that it matched.
    std::map<std::string, std::string> variables; ///< Of path and query.
    presented_key key;
    std::string body;

    /// Empty where the call does not carry it.
    [[nodiscard]] std::string variable(const std::string& name) const
    {
        auto at = variables.find(name);
        return at == variables.end() ? std::string() : at->second;
    }
};

} // namespace acaciastile
