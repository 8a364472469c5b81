#include "net/http_types.hpp"

#include <catch2/catch.hpp>

using acaciastile::net::endpoint;

TEST_CASE("an endpoint is parsed as it is written", "[net]")
{
    const endpoint written{"10.1.0.17", 8183};
    CHECK(endpoint::parse(written.str()) == written);
}

TEST_CASE("a text without a valid port is not an endpoint", "[net]")
{
    for (const char* text :
         {"",
          "10.1.0.17",
          "10.1.0.17:",
          "10.1.0.17:x",
          "10.1.0.17:65536",
          "10.1.0.17:80:1"})
    {
        CHECK_FALSE(endpoint::parse(text).has_value());
    }
}
