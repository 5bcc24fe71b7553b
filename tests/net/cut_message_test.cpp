/** @file cut_message_test.cpp Messages whose connection ends at any byte: nothing incomplete is taken as
 * whole. */
#include <doctest/doctest.h>

#include <string>

#include "net/message_parser.h"

namespace pollengrade {

namespace {

constexpr message_limits limits{std::size_t{8} * 1024, std::size_t{64} * 1024};
const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

/** @return whether a reader of replies takes the bytes, followed by the end of the connection, as a reply. */
bool is_taken(std::string_view bytes, bool without_body = false) {
    reply_parser parser{limits, without_body};
    while (!bytes.empty()) {
        const auto used = parser.feed(bytes);
        if (!used)
            return false;
        bytes.remove_prefix(*used);
        if (parser.stage() != parse_stage::complete)
            break;
        if (!parser.is_interim())
            return true;
        parser = reply_parser{limits, without_body};
    }
    return parser.end().has_value();
}

/** @param complete_from number of bytes from which on the reply is complete with the end of its connection */
void check_every_cut(const std::string& reply, std::size_t complete_from, bool without_body = false) {
    for (const std::string& before : {std::string{}, interim}) {
        const std::string whole = before + reply;
        for (std::size_t n = 0; n <= whole.size(); ++n) {
            CAPTURE(whole.substr(0, n));
            CHECK(is_taken(whole.substr(0, n), without_body) == (n >= before.size() + complete_from));
        }
    }
}

} // namespace

// MIXED: other systems passed a head that was cut on as a success with an empty or short body.
TEST_CASE("a reply that is cut at any byte, also after interim replies, is not taken as whole") {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Field: value\r\n";
    const std::string with_length = head + "Content-Length: 5\r\n\r\nparts";
    check_every_cut(with_length, with_length.size());
    const std::string empty = head + "Content-Length: 0\r\n\r\n";
    check_every_cut(empty, empty.size());
    const std::string chunked =
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\npar\r\n2;x=y\r\nts\r\n0\r\nT: 1\r\n\r\n";
    check_every_cut(chunked, chunked.size());
    // Without a length the end of the connection is the end of the body, but not of the head.
    const std::string until_end = head + "\r\n";
    check_every_cut(until_end + "parts", until_end.size());
    check_every_cut("HTTP/1.0 200 OK\r\n\r\nparts", std::string{"HTTP/1.0 200 OK\r\n\r\n"}.size());
    const std::string to_head = head + "Content-Length: 5\r\n\r\n";
    check_every_cut(to_head, to_head.size(), true);
}

TEST_CASE("a request that is cut at any byte is not taken as whole") {
    const std::string head = "POST /order HTTP/1.1\r\nHost: a\r\n";
    for (const std::string& request : {head + "Content-Length: 5\r\n\r\norder",
                                       head + "Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n",
                                       std::string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"}}) {
        for (std::size_t n = 0; n <= request.size(); ++n) {
            CAPTURE(request.substr(0, n));
            request_parser parser{limits};
            REQUIRE(parser.feed(request.substr(0, n)));
            CHECK((parser.stage() == parse_stage::complete) == (n == request.size()));
        }
    }
}

} // namespace pollengrade
