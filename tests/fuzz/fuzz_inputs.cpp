/** @file fuzz_inputs.cpp libFuzzer target: every parser of external input must either accept or reject its
 * input without a crash, and what it accepts as a reply is one. */
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>

#include <capnp/serialize.h>
#include <kj/exception.h>

#include "core/config/node_settings.h"
#include "core/config/service_document.h"
#include "core/queries/idempotency_key.h"
#include "http/codec.h"
#include "http/uri_func.h"
#include "net/message_parser.h"
#include "net/message_writer.h"
#include "peer/peer_codec.h"
#include "platform/forward_codec.h"
#include "platform/object_decoder.h"
#include "platform/route_decoder.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

/** Reads bytes as a peer's message. The library throws on a malformed message, as it does in a call. */
void read_peer_message(std::string_view bytes) {
    const std::size_t words = bytes.size() / sizeof(capnp::word);
    auto buffer = kj::heapArray<capnp::word>(words);
    std::memcpy(buffer.begin(), bytes.data(), words * sizeof(capnp::word));
    kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader{buffer};
        static_cast<void>(read_greeting(reader.getRoot<wire::Greeting>()));
    });
}

constexpr message_limits limits{512, 1024};

void require(bool holds) {
    if (!holds)
        std::abort();
}

bool is_token_character(char c) {
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return is_letter || (c >= '0' && c <= '9') || others.find(c) != std::string_view::npos;
}

bool is_control(char c) {
    constexpr char delete_character = '\x7f';
    return (c >= '\0' && c < ' ' && c != '\t') || c == delete_character;
}

/** Requires that a reply is one by RFC 9110, and that it is read as the same when it is passed on. */
void check_reply(const reply_message& it) {
    require(is_valid_status(it.status));
    for (const message_field& field : it.fields) {
        require(!field.name.empty() && std::all_of(field.name.begin(), field.name.end(), is_token_character));
        require(std::none_of(field.value.begin(), field.value.end(), is_control));
    }
    if (!is_final_status(it.status))
        return;
    reply_message passed_on = it;
    remove_hop_by_hop(passed_on.fields);
    reply_parser parser{{8 * limits.header_bytes, limits.body_bytes}};
    const encoded_reply encoded = encode_reply(passed_on, true, true);
    require(parser.feed(encoded.head + encoded.body).has_value());
    require(parser.stage() == parse_stage::complete);
    const reply_message read = parser.take();
    require(read.status == it.status && read.keep_alive);
    const bool allows_body = it.status != 204 && it.status != 304;
    require(read.body == (allows_body ? it.body : std::string{}));
    require(read.fields.size() == passed_on.fields.size() + (allows_body ? 1 : 0));
    require(std::equal(passed_on.fields.begin(), passed_on.fields.end(), read.fields.begin()));
}

/** Parses bytes as a server's reply received in two pieces, and checks and decodes a complete one. */
void read_reply(std::string_view bytes) {
    const std::size_t cut = bytes.size() / 2;
    reply_parser reply{limits};
    if (reply.feed(bytes.substr(0, cut)))
        static_cast<void>(reply.feed(bytes.substr(cut)));
    static_cast<void>(reply.end());
    if (reply.stage() != parse_stage::complete)
        return;
    reply_message message = reply.take();
    check_reply(message);
    static_cast<void>(decode_forwarded(request_id{"r"}, std::move(message)));
}

/** @return a reply with the status and one header line that the bytes give. */
std::string reply_from(std::string_view bytes) {
    constexpr std::size_t status_digits = 3;
    std::string status;
    for (const char c : bytes.substr(0, status_digits))
        status += static_cast<char>('0' + static_cast<unsigned char>(c) % 10);
    const std::string_view line = bytes.substr(std::min(bytes.size(), status_digits));
    return "HTTP/1.1 " + status + " Status\r\n" + std::string{line} + "\r\nContent-Length: 2\r\n\r\nok";
}

/** Parses bytes as HTTP messages received in two pieces and decodes complete messages. */
void read_messages(std::string_view bytes) {
    const std::size_t cut = bytes.size() / 2;
    request_parser request{limits};
    if (request.feed(bytes.substr(0, cut)))
        static_cast<void>(request.feed(bytes.substr(cut)));
    if (request.stage() == parse_stage::complete)
        static_cast<void>(decode_request(request.take()));
    read_reply(bytes);
    // Random bytes seldom begin like a reply.
    read_reply(reply_from(bytes));
    read_reply("HTTP/1.1 200 OK\r\n" + std::string{bytes});
    read_reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string{bytes});
}

/** @return a text made of JSON's parts and of what lenient parsers accept besides, with brackets that nest as
 * deeply as @p depth after one of its first parts. */
std::string json_like_from(std::string_view bytes, std::size_t depth) {
    constexpr std::array<std::string_view, 22> parts{
        "[",  "]",  "{",     "}",      ",",       ":", "\"",     "'",    "/*",   "*/",       "//",
        "\n", "\\", "\"a\"", "\"a\":", "{\"a\":", "0", "-1.5e3", "true", "null", "/* \" */", "'\"'"};
    constexpr std::size_t places = 3;
    const std::size_t nested_at = bytes.size() % places;
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        text += parts.at(static_cast<unsigned char>(bytes[n]) % parts.size());
        if (n == nested_at)
            text += std::string(depth, '[') + std::string(depth, ']');
    }
    return text;
}

/** @return a list or changes of the store, with an object that has a text for its content. */
std::string with_content(std::string_view list, std::string_view content) {
    return "{\"" + std::string{list} + R"(":[{"object":{"meta":{"name":"a","revision":1},"spec":)" +
           std::string{content} + R"(},"meta":{"name":"a","revision":1},"spec":)" + std::string{content} +
           R"(}],"has-more":false,"store-revision":9})";
}

/** Decodes a text as each of the platform's formats. */
void read_platform(std::string_view text) {
    static_cast<void>(decode_routes(text));
    for (const object_kind kind : {object_kind::servers, object_kind::routes, object_kind::order_claim}) {
        static_cast<void>(decode_page(kind, text, 1));
        static_cast<void>(decode_changes(kind, text, 1));
        static_cast<void>(decode_object(kind, text, 1));
    }
    static_cast<void>(decode_target(text));
}

/** Parses a text that is nearly JSON, alone and as the content of an object. */
void read_json_like(const std::string& text) {
    static_cast<void>(json_document::parse(text));
    static_cast<void>(decode_page(object_kind::servers, with_content("items", text), 1));
    static_cast<void>(decode_changes(object_kind::routes, with_content("events", text), 1));
}

constexpr std::uint8_t first_json_like = 224; ///< first byte of inputs from which such a text is made
constexpr std::uint8_t first_deep = 252;      ///< and one that may exhaust a recursive parser's stack

/** @return how deeply such a text nests. Deep texts take long, so only some of all inputs are. */
std::size_t draw_depth(std::uint8_t first_byte) {
    constexpr std::size_t deep = 150'000;
    constexpr std::size_t shallow = 20;
    static int deep_left = 200;
    return first_byte >= first_deep && deep_left-- > 0 ? deep : shallow;
}

} // namespace

} // namespace pollengrade

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace pollengrade; // NOLINT(google-build-using-namespace): the entry point is global
    if (size == 0)
        return 0;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer passes unsigned bytes
    const auto* bytes = reinterpret_cast<const char*>(data);
    const std::string_view text{bytes + 1, size - 1};
    switch (data[0] % 8) {
    case 0:
        static_cast<void>(parse_service_document(text));
        break;
    case 1:
        static_cast<void>(parse_node_settings(text));
        break;
    case 2:
        static_cast<void>(decode_shard_reply(text));
        break;
    case 3:
        static_cast<void>(decode_shard_maps(text));
        break;
    case 4:
        static_cast<void>(decode_claim(text));
        static_cast<void>(time_of_key(text));
        break;
    case 5:
        read_messages(text);
        break;
    case 6:
        if (data[0] < first_json_like)
            read_platform(text);
        else
            read_json_like(json_like_from(text, draw_depth(data[0])));
        break;
    default:
        read_peer_message(text);
        break;
    }
    return 0;
}
