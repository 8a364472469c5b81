#include "domain/key_check.hpp"

#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

using namespace acaciastile;

namespace
{

std::vector<std::uint8_t> counting_bytes()
{
    std::vector<std::uint8_t> bytes(key_random_bytes);
    std::iota(bytes.begin(), bytes.end(), std::uint8_t{0});
    return bytes;
}

generated_key sample()
{
    return generate_key(
               key_id("k1"),
               team_name("planning"),
               key_right::caller,
               counting_bytes())
        .value();
}

} // namespace

TEST_CASE("a made key is accepted as presented", "[key]")
{
    generated_key made = sample();
    CHECK(made.presented.substr(0, 7) == "k1.1011");
    CHECK(made.entry.salt_hex == "000102030405060708090a0b0c0d0e0f");
    CHECK(verify_key(made.presented, made.entry));
}

TEST_CASE("the hash is SHA-256 over salt bytes and secret text", "[key]")
{
    // Computed with Python's hashlib over the same bytes.
    CHECK(
        sample().entry.hash_hex ==
        "dc61583a851731cb0aa7909d761f01776a44e83bfc277916eeb835251c48a7e9");
}

TEST_CASE("any other text is not accepted", "[key]")
{
    generated_key made = sample();
    for (std::size_t at = 0; at < made.presented.size(); ++at)
    {
        std::string wrong = made.presented;
        wrong[at] = wrong[at] == 'a' ? 'b' : 'a';
        CHECK_FALSE(verify_key(wrong, made.entry));
    }
    CHECK_FALSE(verify_key(made.presented + "0", made.entry));
    CHECK_FALSE(verify_key("", made.entry));
    CHECK_FALSE(verify_key("k1", made.entry));
    CHECK_FALSE(verify_key("k1.", made.entry));
}

TEST_CASE("every digit of the hash counts", "[key]")
{
    generated_key made = sample();
    for (std::size_t at = 0; at < made.entry.hash_hex.size(); ++at)
    {
        key_entry entry = made.entry;
        entry.hash_hex[at] = entry.hash_hex[at] == 'a' ? 'b' : 'a';
        CHECK_FALSE(verify_key(made.presented, entry));
    }
}

TEST_CASE("an entry without a whole hash accepts nothing", "[key]")
{
    generated_key made = sample();
    key_entry entry = made.entry;
    entry.hash_hex = "";
    CHECK_FALSE(verify_key(made.presented, entry));
    entry.hash_hex = made.entry.hash_hex.substr(0, 62);
    CHECK_FALSE(verify_key(made.presented, entry));
    entry = made.entry;
    entry.salt_hex = "zz";
    CHECK_FALSE(verify_key(made.presented, entry));
}

TEST_CASE("faults of keys never repeat the text", "[key]")
{
    auto parts = split_key("n0t-a-key");
    REQUIRE_FALSE(parts.has_value());
    CHECK(parts.error().code == refusal_code::unauthenticated);
    CHECK(parts.error().message.find("n0t") == std::string::npos);
    CHECK(split_key("a.b.c")->secret == "b.c");
}

TEST_CASE("an id with a dot and too few random bytes are refused", "[key]")
{
    auto bytes = counting_bytes();
    CHECK_FALSE(generate_key(key_id("a.b"), {}, key_right::operate, bytes));
    CHECK_FALSE(generate_key(key_id(), {}, key_right::operate, bytes));
    bytes.pop_back();
    CHECK_FALSE(generate_key(key_id("a"), {}, key_right::operate, bytes));
}
