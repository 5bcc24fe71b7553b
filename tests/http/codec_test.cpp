/** @file codec_test.cpp Guards against partial decoding of truncated, malformed or too deeply nested JSON
 * input. */
#include <doctest/doctest.h>

#include <string>

#include "http/codec.h"
#include "json/json_view.h"

namespace pollengrade {

TEST_CASE("an encoded claim decodes to the same claim") {
    claim it;
    it.state = claim_state::answered;
    it.token = "token";
    it.fingerprint = 0xffff'ffff'ffff'ffffULL;
    it.version = index_version{7};
    it.shard = shard_id{3};
    it.rows = {{-5, "key \"quoted\"", "text"}};
    const auto read = decode_claim(encode_claim(it));
    REQUIRE(read.has_value());
    CHECK(read->state == it.state);
    CHECK(read->token == it.token);
    CHECK(read->fingerprint == it.fingerprint);
    CHECK(read->rows == it.rows);
}

TEST_CASE("every truncation of a claim or of a shard reply is rejected") {
    const std::string text = encode_claim(claim{});
    for (std::size_t n = 0; n < text.size(); ++n)
        CHECK_FALSE(decode_claim(std::string_view{text}.substr(0, n)).has_value());
    const std::string reply = R"({"request_id":"r","shard":1,"index_version":2,"rows":[],"in_flight":0,)"
                              R"("draining":false,"incarnation":"i"})";
    REQUIRE(decode_shard_reply(reply).has_value());
    for (std::size_t n = 0; n < reply.size(); ++n)
        CHECK_FALSE(decode_shard_reply(std::string_view{reply}.substr(0, n)).has_value());
}

TEST_CASE("deeply nested JSON is rejected before it is parsed") {
    CHECK_FALSE(json_document::parse(std::string(1000000, '[')).has_value());
    CHECK(json_document::parse("[\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"]").has_value());
}

// Fault: callers and peers of the parser's authors may write comments; the depth behind them was not counted.
TEST_CASE("a text that is not JSON by RFC 8259 is rejected before it is parsed, one that is JSON is not") {
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    for (const char* text :
         {"",          " ",           "{",       "[1,]",    "[,1]",    R"({"a"})",
          R"({"a":})", R"({"a":1,})", "{a:1}",   "{'a':1}", "01",      "+1",
          ".5",        "1.",          "1e",      "-",       "0x1",     "NaN",
          "True",      "nul",         "1 2",     R"("a)",   R"("\x")", R"("\u12g4")",
          "\"\t\"",    "[1]/**/",     "/**/[1]", "[1//\n]", "[1)",     "\xef\xbb\xbf[1]"}) {
        CAPTURE(text);
        CHECK_FALSE(json_document::parse(text).has_value());
        CHECK_FALSE(json_document::parse(text + deep).has_value());
    }
    CHECK_FALSE(json_document::parse(std::string_view{"[1]\0", 4}).has_value());
    for (const char* text : {"0", " -1.5e+3 ", "true", "null", R"("")", R"("\u00e9\n\/")", "[]", "{}",
                             "[1,[2,{}]]", R"({"a":{"b":[false]},"c":"/* ' */"})", "\r\n\t[ 1 , 2 ]\n"}) {
        CAPTURE(text);
        CHECK(json_document::parse(text).has_value());
    }
}

TEST_CASE("each kind of invalid shard map is reported as a distinct error") {
    CHECK(decode_shard_maps("{}").error() == shard_map_error::malformed);
    CHECK(decode_shard_maps(R"({"versions":[{"version":1,"shards":[]}]})").error() ==
          shard_map_error::no_shards);
    CHECK(decode_shard_maps(R"({"versions":[{"version":1,"shards":[{"id":0,"replicas":["host:1"]}]}]})")
              .error() == shard_map_error::bad_address);
    CHECK(decode_shard_maps(
              R"({"versions":[{"version":1,"shards":[{"id":0,"replicas":[]},{"id":0,"replicas":[]}]}]})")
              .error() == shard_map_error::duplicate_shard);
}

} // namespace pollengrade
