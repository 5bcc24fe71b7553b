/** @file fuzz_inputs.cpp Whatever enters from outside is refused or read, and never more: for libFuzzer. */
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
#include "peer/peer_codec.h"

namespace pollengrade {

namespace {

/** Reads bytes as a peer's message; a malformed one is an exception of the library, as in a call. */
void read_peer_message(std::string_view bytes) {
    const std::size_t words = bytes.size() / sizeof(capnp::word);
    auto buffer = kj::heapArray<capnp::word>(words);
    std::memcpy(buffer.begin(), bytes.data(), words * sizeof(capnp::word));
    kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader{buffer};
        static_cast<void>(read_greeting(reader.getRoot<wire::Greeting>()));
    });
}

} // namespace

} // namespace pollengrade

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace pollengrade; // NOLINT(google-build-using-namespace): the entry point stands outside
    if (size == 0)
        return 0;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer's bytes are our text
    const auto* bytes = reinterpret_cast<const char*>(data);
    const std::string_view text{bytes + 1, size - 1};
    switch (data[0] % 6) {
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
    default:
        read_peer_message(text);
        break;
    }
    return 0;
}
