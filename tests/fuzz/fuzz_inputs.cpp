/** @file fuzz_inputs.cpp libFuzzer target: every parser of external input must either accept or reject its
 * input without a crash. */
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

#include <capnp/serialize.h>
#include <kj/exception.h>

#include "core/config/node_settings.h"
#include "core/config/service_document.h"
#include "core/queries/idempotency_key.h"
#include "http/codec.h"
#include "http/uri_func.h"
#include "net/message_parser.h"
#include "peer/peer_codec.h"
#include "platform/forward_codec.h"
#include "platform/object_decoder.h"
#include "platform/route_decoder.h"

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

/** Parses bytes as HTTP messages received in two pieces and decodes complete messages. */
void read_messages(std::string_view bytes) {
    constexpr message_limits limits{512, 1024};
    const std::size_t cut = bytes.size() / 2;
    request_parser request{limits};
    if (request.feed(bytes.substr(0, cut)))
        static_cast<void>(request.feed(bytes.substr(cut)));
    if (request.stage() == parse_stage::complete)
        static_cast<void>(decode_request(request.take()));
    reply_parser reply{limits};
    if (reply.feed(bytes.substr(0, cut)))
        static_cast<void>(reply.feed(bytes.substr(cut)));
    static_cast<void>(reply.end());
    if (reply.stage() == parse_stage::complete)
        static_cast<void>(decode_forwarded(request_id{"r"}, reply.take()));
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
        read_platform(text);
        break;
    default:
        read_peer_message(text);
        break;
    }
    return 0;
}
