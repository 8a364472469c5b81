#pragma once

#include "platform/http/http_client.hpp"

#include <string>

namespace acaciastile
{

/// Turns the outcome of an HTTP call into the value's bytes or an error:
/// status 200 carries the value, any other an error as the codec writes it.
/// A call that failed on its way, and a reply that is neither, fail with
/// `failure`, the latter with `may_have_run`.
[[nodiscard]] result<std::string>
read_reply(result<http_reply> outcome, refusal_code failure);

/// Makes a completion of bytes out of one of a value and its decoder. Bytes
/// that cannot be read are an error with `may_have_run`.
template<class Value>
[[nodiscard]] completion<http_reply> decoding(
    refusal_code failure,
    result<Value> (*decode)(const std::string&),
    completion<Value> done)
{
    return [failure, decode, done = std::move(done)](result<http_reply> outcome)
    {
        const result<std::string> bytes =
            read_reply(std::move(outcome), failure);
        if (!bytes)
        {
            done(tl::unexpected(bytes.error()));
            return;
        }
        result<Value> value = decode(*bytes);
        if (!value)
        {
            done(refuse(failure, verdict::may_have_run, value.error().message));
            return;
        }
        done(std::move(value));
    };
}

} // namespace acaciastile
