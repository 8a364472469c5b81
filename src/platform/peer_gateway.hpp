#pragma once

#include "domain/instant.hpp"
#include "platform/completion.hpp"

#include <string>

namespace acaciastile
{

/// One call between instances: a method name and its encoded parameters.
struct peer_call
{
    std::string address; ///< `a.b.c.d:port` of the called instance.
    std::string method;
    std::string body; ///< MessagePack.
    milliseconds timeout{0};
};

/// The way to the other instances.
class peer_gateway
{
public:
    virtual ~peer_gateway() = default;

    /// The value is the encoded reply. Errors: those of the called instance
    /// as it made them; `unreachable` with `not_run` where nothing was sent,
    /// else with `may_have_run`.
    virtual void call(peer_call message, completion<std::string> done) = 0;
};

} // namespace acaciastile
