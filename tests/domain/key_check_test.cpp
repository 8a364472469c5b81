#include "domain/key_check.hpp"

#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

using namespace acaciastile;

namespace
{

std::vector<std::uint8_t> consecutive_bytes()
{
    std::vector<std::uint8_t> bytes(key_random_bytes);
    std::iota(bytes.begin(), bytes.end(), std::uint8_t{0});
    return bytes;
}

generated_key sample_key()
{
    return generate_key(
               key_id("k1"),
               team_name("planning"),
               key_right::caller,
               consecutive_bytes())
        .value();
}

} // namespace

TEST_CASE("a generated key passes verification", "[key]")
{
    generated_key generated = sample_key();
    CHECK(generated.presented.substr(0, 7) == "k1.1011");
    CHECK(generated.entry.salt_hex == "000102030405060708090a0b0c0d0e0f");
    CHECK(verify_key(generated.presented, generated.entry));
}

TEST_CASE("the hash is SHA-256 of salt bytes and secret text", "[key]")
{
    // Computed with Python's hashlib over the same bytes.
    CHECK(
        sample_key().entry.hash_hex ==
        "dc61583a851731cb0aa7909d761f01776a44e83bfc277916eeb835251c48a7e9");
}

TEST_CASE("any change to a key makes verification fail", "[key]")
{
    generated_key generated = sample_key();
    for (std::size_t index = 0; index < generated.presented.size(); ++index)
    {
        std::string wrong = generated.presented;
        wrong[index] = wrong[index] == 'a' ? 'b' : 'a';
        CHECK_FALSE(verify_key(wrong, generated.entry));
    }
    CHECK_FALSE(verify_key(generated.presented + "0", generated.entry));
    CHECK_FALSE(verify_key("", generated.entry));
    CHECK_FALSE(verify_key("k1", generated.entry));
    CHECK_FALSE(verify_key("k1.", generated.entry));
}

TEST_CASE("verification compares every digit of the hash", "[key]")
{
    generated_key generated = sample_key();
    for (std::size_t index = 0; index < generated.entry.hash_hex.size();
         ++index)
    {
        key_entry entry = generated.entry;
        entry.hash_hex[index] = entry.hash_hex[index] == 'a' ? 'b' : 'a';
        CHECK_FALSE(verify_key(generated.presented, entry));
    }
}

TEST_CASE("an entry with an incomplete hash or salt never verifies", "[key]")
{
    generated_key generated = sample_key();
    key_entry entry = generated.entry;
    entry.hash_hex = "";
    CHECK_FALSE(verify_key(generated.presented, entry));
    entry.hash_hex = generated.entry.hash_hex.substr(0, 62);
    CHECK_FALSE(verify_key(generated.presented, entry));
    entry = generated.entry;
    entry.salt_hex = "zz";
    CHECK_FALSE(verify_key(generated.presented, entry));
}

TEST_CASE("error messages about a key contain no part of it", "[key]")
{
    auto parts = split_key("n0t-a-key");
    REQUIRE_FALSE(parts.has_value());
    CHECK(parts.error().code == refusal_code::unauthenticated);
    CHECK(parts.error().message.find("n0t") == std::string::npos);
    CHECK(split_key("a.b.c")->secret == "b.c");
}

TEST_CASE("invalid ids and too few random bytes are rejected", "[key]")
{
    auto bytes = consecutive_bytes();
    CHECK_FALSE(generate_key(key_id("a.b"), {}, key_right::operate, bytes));
    CHECK_FALSE(generate_key(key_id(), {}, key_right::operate, bytes));
    bytes.pop_back();
    CHECK_FALSE(generate_key(key_id("a"), {}, key_right::operate, bytes));
}
