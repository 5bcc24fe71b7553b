/** @file broken_reply.cpp Builds broken replies. */
#include "broken_reply.h"

#include <utility>

namespace pollengrade {

namespace {

constexpr std::size_t large_bytes = 4'000'000; ///< a large body, below what a node accepts

std::string length_line(std::size_t bytes) {
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string chunks_of(const std::string& body) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t n = body.size(); n > 0; n /= digits.size())
        size.insert(size.begin(), digits[n % digits.size()]);
    return size + "\r\n" + body + "\r\n0\r\n\r\n";
}

} // namespace

broken_bytes bytes_of(broken_reply kind, const std::string& fields, const std::string& body) {
    const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string with_length = fields + length_line(body.size()) + body;
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    switch (kind) {
    case broken_reply::status_zero:
        return {"HTTP/1.1 000 OK\r\n" + with_length, ""};
    case broken_reply::status_below_range:
        return {"HTTP/1.1 099 OK\r\n" + with_length, ""};
    case broken_reply::status_above_range:
        return {"HTTP/1.1 600 OK\r\n" + with_length, ""};
    case broken_reply::blank_in_name:
        return {"HTTP/1.1 200 OK\r\nX A: b\r\n" + with_length, ""};
    case broken_reply::control_byte_in_name:
        return {"HTTP/1.1 200 OK\r\nX-\x01: b\r\n" + with_length, ""};
    case broken_reply::protocol_switch:
        return {"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length_line(2) +
                    "no",
                ""};
    case broken_reply::chunked_old_version:
        return {"HTTP/1.0 200 OK\r\n" + fields + chunked + "\r\n" + chunks_of("no"), ""};
    case broken_reply::two_lengths:
        return {ok + chunked + length_line(2) + chunks_of("no"), ""};
    case broken_reply::broken_chunk:
        return {ok + chunked + "\r\n1\r\n" + body + "\r\n0\r\n\r\n", ""};
    case broken_reply::endless_interim:
        return {"", "HTTP/1.1 100 Continue\r\n\r\n"};
    case broken_reply::endless_head:
        return {ok, "X-A: b\r\n"};
    case broken_reply::endless_body:
        return {ok + "\r\n" + body, std::string(1000, '\0')};
    case broken_reply::stalled_body:
        return {ok + "\r\n" + body + std::string(large_bytes, '\0'), ""};
    case broken_reply::stalled_stated_body:
        return {ok + length_line(large_bytes + 1) + std::string(large_bytes, '\0'), ""};
    case broken_reply::none:
    case broken_reply::count:
        break;
    }
    return {ok + length_line(body.size()) + body, ""};
}

} // namespace pollengrade
