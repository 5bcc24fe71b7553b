/** @file message_parser.h Strict reading of HTTP/1.1 messages from pieces of a connection's bytes. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "core/base/message_type.h"

namespace pollengrade {

/** What is wrong with a message. */
enum class parse_error : std::uint8_t {
    malformed,        ///< not HTTP, or framed in a way that two readers could take differently
    header_too_large, ///< header lines over the limit
    body_too_large,   ///< body over the limit
    truncated,        ///< the connection ended before the message did
};

/** Bounds of one message. */
struct message_limits {
    std::size_t header_bytes; ///< start line and header lines together
    std::size_t body_bytes;   ///< body without transfer coding
};

/** How far a message has come. */
enum class parse_stage : std::uint8_t {
    nothing, ///< no byte yet
    header,  ///< within the start line or header lines
    body,    ///< within the body
    whole,   ///< complete
};

/**
 * Reads one message. Requests and replies differ in their start line and in how a body without a length ends:
 * a request has none, a reply's ends with its connection.
 */
template <bool IsRequest> class message_parser {
public:
    using message = std::conditional_t<IsRequest, request_message, reply_message>;

    /**
     * @param limits bounds of the message
     * @param without_body for replies: the request's method brings no body, whatever the header lines say
     */
    explicit message_parser(message_limits limits, bool without_body = false);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    message_parser(message_parser&&) noexcept;
    message_parser& operator=(message_parser&&) noexcept;
    ~message_parser();

    /**
     * Takes bytes.
     * @return how many belong to this message; the rest are for whatever follows it
     */
    tl::expected<std::size_t, parse_error> feed(std::string_view bytes);
    /** Takes the clean end of the connection. @return an error unless the message is whole by it */
    tl::expected<void, parse_error> end();

    [[nodiscard]] parse_stage stage() const noexcept;
    /** @return whether the header lines say that the sender waits for a go-ahead before the body. */
    [[nodiscard]] bool expects_continue() const;
    /** @return whether the message is a reply that another one follows. @pre stage() is whole */
    [[nodiscard]] bool is_interim() const noexcept;
    /** @return the message. @pre stage() is whole; to be called once */
    [[nodiscard]] message take();

private:
    class reader;

    tl::expected<std::size_t, parse_error> feed_header(std::string_view bytes);
    tl::expected<std::size_t, parse_error> feed_body(std::string_view bytes);

    std::unique_ptr<reader> reader_; ///< the library's parser and what it has read
    std::string pending_;            ///< bytes that the library cannot use before more have come
    std::size_t taken_ = 0; ///< bytes of the body, with its transfer coding, that the library has used
};

using request_parser = message_parser<true>;
using reply_parser = message_parser<false>;

} // namespace pollengrade
