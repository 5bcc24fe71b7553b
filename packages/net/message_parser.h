/** @file message_parser.h Strict, incremental parser for HTTP/1.1 messages. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "core/base/message_type.h"

namespace pollengrade {

/** Why a message was rejected. */
enum class parse_error : std::uint8_t {
    malformed,        ///< not HTTP, or framed ambiguously, so that parsers could disagree about its end
    header_too_large, ///< header lines exceed the limit
    body_too_large,   ///< body exceeds the limit
    truncated,        ///< the connection ended within the message
};

/** Size limits of a message. */
struct message_limits {
    std::size_t header_bytes; ///< start line and header lines together
    std::size_t body_bytes;   ///< body without transfer coding
};

/** How far a message has been parsed. */
enum class parse_stage : std::uint8_t {
    not_started, ///< no byte yet
    header,      ///< within the start line or header lines
    body,        ///< within the body
    complete,    ///< the whole message
};

/**
 * Parses one message. Requests and replies differ in their start line and in their body if no length is
 * given: a request then has no body, and a reply's body ends with the connection.
 */
template <bool IsRequest> class message_parser {
public:
    using message = std::conditional_t<IsRequest, request_message, reply_message>;

    /**
     * @param limits size limits of the message
     * @param without_body for replies: the request's method allows no reply body, whatever the header lines
     * say
     */
    explicit message_parser(message_limits limits, bool without_body = false);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    message_parser(message_parser&&) noexcept;
    message_parser& operator=(message_parser&&) noexcept;
    ~message_parser();

    /**
     * Parses bytes.
     * @return the number of bytes that belong to this message; the others follow the message
     */
    tl::expected<std::size_t, parse_error> feed(std::string_view bytes);
    /** Handles an orderly end of the connection. @return an error unless the message is complete with it */
    tl::expected<void, parse_error> end();

    [[nodiscard]] parse_stage stage() const noexcept;
    /** @return the memory that the message occupies so far, in bytes. */
    [[nodiscard]] std::size_t held_bytes() const;
    /** @return the memory that is allocated for the message so far, in bytes. */
    [[nodiscard]] std::size_t allocated_bytes() const;
    /** @return the size of the whole body; nullopt until the head is complete, or if the head does not tell.
     */
    [[nodiscard]] std::optional<std::size_t> stated_body_bytes() const;
    /** @return whether the sender waits for "100 Continue" before it sends the body. */
    [[nodiscard]] bool expects_continue() const;
    /** @return whether the message is a 1xx reply, which another reply follows. @pre stage() is complete */
    [[nodiscard]] bool is_interim() const noexcept;
    /** @return the message. @pre stage() is complete; to be called once */
    [[nodiscard]] message take();

private:
    class reader;

    tl::expected<std::size_t, parse_error> feed_header(std::string_view bytes);
    tl::expected<std::size_t, parse_error> feed_body(std::string_view bytes);

    std::unique_ptr<reader> reader_; ///< the library's parser with the message
    std::string pending_;            ///< bytes that the library can't use before more arrive
    std::size_t consumed_ = 0;       ///< body bytes, including transfer coding, that the library has consumed
};

using request_parser = message_parser<true>;
using reply_parser = message_parser<false>;

} // namespace pollengrade
