/** @file broken_reply_test.cpp Bytes that RFC 9110 and RFC 9112 do not call a reply, on a real socket. */
#include <doctest/doctest.h>

#include <initializer_list>
#include <string>
#include <string_view>

#include "support/scripted_server.h"

namespace pollengrade {

namespace {

constexpr message_limits limits{std::size_t{8} * 1024, std::size_t{64} * 1024};

const std::string ok_head = "HTTP/1.1 200 OK\r\n";
const std::string length_and_body = "Content-Length: 2\r\n\r\nok";
const std::string chunked_head = ok_head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";

std::string joined(std::initializer_list<std::string_view> parts) {
    std::string all;
    for (const std::string_view it : parts)
        all.append(it);
    return all;
}

std::string reply_with_status(const std::string& status) {
    return "HTTP/1.1 " + status + " Status\r\nX-A: b\r\n" + length_and_body;
}

/** Checks that a connection takes bytes for no reply, whether they arrive at once or in two parts. */
void check_is_no_reply(const std::string& bytes) {
    CAPTURE(bytes);
    for (const std::size_t first : {bytes.size(), bytes.size() / 2}) {
        const connection_reports it =
            run_server_script({bytes.substr(0, first), bytes.substr(first), server_end::closes, 2}, limits);
        CHECK_FALSE(it.reply.has_value());
        CHECK(it.end.has_value());
    }
}

/** Checks that a connection takes bytes for a reply with the body "ok". */
void check_is_reply(const std::string& bytes) {
    CAPTURE(bytes);
    const connection_reports it = run_server_script({bytes, "", server_end::closes}, limits);
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->body == "ok");
}

} // namespace

TEST_CASE("a reply whose status is not from 100 to 599 was passed on") {
    for (const char* status : {"000", "001", "099", "600", "700", "999"}) {
        check_is_no_reply(reply_with_status(status));
        check_is_no_reply(joined({"HTTP/1.1 ", status, " Status\r\n\r\n", ok_head, length_and_body}));
    }
    for (const char* status : {"20", "2000", "2x0", "-20", "+20", "0x2", " 200", ""})
        check_is_no_reply(reply_with_status(status));
    for (const char* status : {"200", "299", "399", "418", "499", "500", "599"})
        check_is_reply(reply_with_status(status));
}

TEST_CASE("bytes after a switch of protocols that nobody asked for were read as the reply") {
    const std::string whole = ok_head + length_and_body;
    for (const char* head :
         {"HTTP/1.1 101 Switching Protocols\r\n\r\n",
          "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"}) {
        check_is_no_reply(head + whole);
        check_is_no_reply("HTTP/1.1 100 Continue\r\n\r\n" + std::string{head} + whole);
    }
    check_is_reply("HTTP/1.1 100 Continue\r\n\r\n" + whole);
    check_is_reply("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + whole);
}

TEST_CASE("a chunked reply of HTTP/1.0 was passed on") {
    const std::string chunks = "2\r\nok\r\n" + last_chunk;
    check_is_no_reply("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    check_is_no_reply("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      chunks);
    request_parser request{limits};
    CHECK_FALSE(request.feed("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks));
    check_is_reply(chunked_head + chunks);
    check_is_reply("HTTP/1.0 200 OK\r\n" + length_and_body);
    check_is_reply("HTTP/1.0 200 OK\r\n\r\nok");
}

TEST_CASE("a broken status line is no reply") {
    for (const char* line :
         {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK",
          "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "ICY 200 OK", "HTTP/1.1200 OK",
          "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\nK", ""})
        check_is_no_reply(std::string{line} + "\r\n" + length_and_body);
    check_is_no_reply("\r\n" + ok_head + length_and_body);
    check_is_no_reply("HTTP/1.1 200 OK\nContent-Length: 2\n\nok");
    check_is_reply("HTTP/1.1 200 \r\n" + length_and_body);
    check_is_reply("HTTP/1.1 200 Tr\xc3\xa8s bien\tfait\r\n" + length_and_body);
}

TEST_CASE("a field whose name or value holds what RFC 9110 forbids makes no reply") {
    const std::string with_null = std::string{"X-A: b"} + '\0' + "c";
    const std::string null_in_name = std::string{"X-A"} + '\0' + ": b";
    for (const std::string& line : {std::string{"X A: b"},
                                    std::string{"X\tA: b"},
                                    std::string{"X-A : b"},
                                    std::string{"X-A\t: b"},
                                    std::string{"X-\x01: b"},
                                    std::string{"X-\x7f: b"},
                                    std::string{"X-\xe9: b"},
                                    std::string{": b"},
                                    std::string{"X-A"},
                                    std::string{"X\"A: b"},
                                    std::string{"X(A): b"},
                                    std::string{"X/A: b"},
                                    std::string{"X-A: b\x01"},
                                    std::string{"X-A: b\x7f"},
                                    std::string{"X-A: b\rX-B: c"},
                                    std::string{"X-A: b\nX-B: c"},
                                    std::string{" X-A: b"},
                                    std::string{"X-A: b\r\n c"},
                                    std::string{"X-A: b\r\n\tX-B: c"},
                                    std::string{"Content-Length : 2"},
                                    with_null,
                                    null_in_name}) {
        check_is_no_reply(joined({ok_head, line, "\r\n", length_and_body}));
        check_is_no_reply(joined({"HTTP/1.1 100 Continue\r\n", line, "\r\n\r\n", ok_head, length_and_body}));
    }
    for (const char* line :
         {"X-A:b", "X-A: \t b \t", "X-A:", "!#$%&'*+-.^_`|~09azAZ: b", "X-A: \xe9\x80 (\"{}\")"})
        check_is_reply(joined({ok_head, line, "\r\n", length_and_body}));
}

TEST_CASE("a reply with a length that is faulty or contradicted is no reply") {
    const std::string chunks = "2\r\nok\r\n" + last_chunk;
    for (const char* length :
         {"", "x", "0x2", "-2", "+2", "2.0", "2 2", "2;", "2, 3", "2,", ",", "18446744073709551618"})
        check_is_no_reply(ok_head + "Content-Length: " + length + "\r\n\r\nok");
    check_is_no_reply(ok_head + "Content-Length: 3\r\n" + length_and_body);
    check_is_no_reply(ok_head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    check_is_no_reply(ok_head + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n" + chunks);
    check_is_reply(ok_head + "Content-Length: 2, 2\r\n\r\nok");
    check_is_reply(ok_head + "Content-Length: 02\r\n\r\nok");
    check_is_reply(ok_head + "content-length:\t2 \r\n\r\nok");
}

TEST_CASE("a reply with a transfer coding other than chunked alone is no reply") {
    const std::string chunks = "2\r\nok\r\n" + last_chunk;
    for (const char* coding : {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity",
                               "xchunked", "chunked;a=b", "", "chunked\r\nTransfer-Encoding: chunked"})
        check_is_no_reply(joined({ok_head, "Transfer-Encoding: ", coding, "\r\n\r\n", chunks}));
    check_is_reply(ok_head + "transfer-encoding: CHUNKED\r\n\r\n" + chunks);
}

TEST_CASE("a reply with a broken chunk or trailer is no reply") {
    for (const std::string& body :
         {"2\r\nok" + last_chunk, "2\r\nokay\r\n" + last_chunk, "3\r\nok\r\n" + last_chunk,
          "x\r\nok\r\n" + last_chunk, "\r\nok\r\n" + last_chunk, "0x2\r\nok\r\n" + last_chunk,
          "-2\r\nok\r\n" + last_chunk, "+2\r\nok\r\n" + last_chunk, " 2\r\nok\r\n" + last_chunk,
          "2\nok\r\n" + last_chunk, "2\r\nok\n" + last_chunk, "10000000000000002\r\nok\r\n" + last_chunk,
          "2;\r\nok\r\n" + last_chunk, "2;a=\x01\r\nok\r\n" + last_chunk,
          std::string{"2\r\nok\r\n0\r\nX A: b\r\n\r\n"}, std::string{"2\r\nok\r\n0\r\nX-A: \x01\r\n\r\n"},
          std::string{"2\r\nok\r\n0\r\nX-A\r\n\r\n"}})
        check_is_no_reply(chunked_head + body);
    for (const std::string& body :
         {"002\r\nok\r\n" + last_chunk, "1\r\no\r\n1\r\nk\r\n000" + last_chunk,
          "2;a=b;c=\"d;e\"\r\nok\r\n" + last_chunk, std::string{"2\r\nok\r\n0\r\nX-A: b\r\nX-B: c\r\n\r\n"}})
        check_is_reply(chunked_head + body);
}

TEST_CASE("a trailer does not become a field of the reply") {
    const connection_reports it =
        run_server_script({chunked_head + "2\r\nok\r\n0\r\nX-Request-Id: other\r\nConnection: close\r\n\r\n",
                           "", server_end::closes},
                          limits);
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->fields.size() == 1);
}

TEST_CASE("a status without a body ends its reply at the head, whatever length it states") {
    for (const char* status : {"204 No Content", "304 Not Modified"}) {
        const std::string head = "HTTP/1.1 " + std::string{status} + "\r\n";
        for (const std::string& rest : {length_and_body, "Transfer-Encoding: chunked\r\n\r\n" + last_chunk}) {
            CAPTURE(head + rest);
            const connection_reports it = run_server_script({head + rest, "", server_end::closes}, limits);
            REQUIRE(it.reply.has_value());
            CHECK(it.reply->body.empty());
            CHECK_FALSE(it.reply->keep_alive);
        }
    }
}

} // namespace pollengrade
