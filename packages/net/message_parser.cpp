/** @file message_parser.cpp Wraps Boost.Beast's parser and rejects messages that it accepts but other parsers
 * may interpret differently. */
#include "net/message_parser.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace pollengrade {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using text = boost::beast::string_view;

constexpr std::string_view header_end = "\r\n\r\n";
/** Bytes of chunk framing allowed for each body byte; a one-byte chunk needs five. */
constexpr std::size_t max_framing_ratio = 8;

constexpr int first_chunked_version = 11; ///< HTTP/1.1
constexpr unsigned switching_protocols_status = 101;

/** @return whether a header line is folded onto the next line, which parsers treat differently. */
bool has_folded_line(std::string_view header) {
    for (auto it = header.find("\r\n"); it != std::string_view::npos; it = header.find("\r\n", it + 2)) {
        const char next = it + 2 < header.size() ? header[it + 2] : '\0';
        if (next == ' ' || next == '\t')
            return true;
    }
    return false;
}

parse_error error_of(const error_code& ec) {
    if (ec == http::error::header_limit)
        return parse_error::header_too_large;
    if (ec == http::error::body_limit)
        return parse_error::body_too_large;
    if (ec == http::error::partial_message)
        return parse_error::truncated;
    return parse_error::malformed;
}

} // namespace

/** Collects the parts of a message that Boost.Beast's parser reports. */
template <bool IsRequest> class message_parser<IsRequest>::reader : public http::basic_parser<IsRequest> {
public:
    explicit reader(message_limits limits) : limits_{limits} {
        this->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        this->body_limit(limits.body_bytes);
        this->eager(true);
    }

    message& parsed_message() noexcept { return message_; }
    [[nodiscard]] const message_limits& limits() const noexcept { return limits_; }
    [[nodiscard]] std::size_t held_bytes() const { return field_bytes_ + message_.body.size(); }
    [[nodiscard]] std::size_t allocated_bytes() const { return field_bytes_ + message_.body.capacity(); }

private:
    void on_request_impl(http::verb, text method, text target, int version, error_code&) override {
        version_ = version;
        if constexpr (IsRequest) {
            message_.method.assign(method.data(), method.size());
            message_.target.assign(target.data(), target.size());
        }
    }

    void on_response_impl(int code, text, int version, error_code& ec) override {
        version_ = version;
        if constexpr (!IsRequest) {
            message_.status = static_cast<unsigned>(code);
            // No request asks to switch protocols, and what follows the switch is not HTTP.
            if (!is_valid_status(message_.status) || message_.status == switching_protocols_status)
                ec = http::error::bad_status;
        }
    }

    void on_field_impl(http::field name, text name_text, text value, error_code& ec) override {
        if (header_done_)
            return; // Ignores trailers after the last chunk.
        if (name == http::field::content_length && std::exchange(has_length_, true))
            ec = http::error::multiple_content_length;
        // HTTP/1.0 has no transfer codings, so a sender of that version has not chunked its body.
        if (name == http::field::transfer_encoding &&
            (version_ < first_chunked_version || !is_same_name({value.data(), value.size()}, "chunked")))
            ec = http::error::bad_transfer_encoding;
        message_.fields.push_back({std::string{name_text}, std::string{value}});
        // A field may be as short as two bytes, so what it occupies besides them counts as well.
        field_bytes_ += sizeof(message_field) + name_text.size() + value.size();
    }

    void on_header_impl(error_code&) override { header_done_ = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& ec) override {
        if (!length)
            return;
        if (*length > limits_.body_bytes)
            ec = http::error::body_limit;
        else
            message_.body.reserve(static_cast<std::size_t>(*length));
    }

    std::size_t on_body_impl(text part, error_code& ec) override { return append(part, ec); }

    void on_chunk_header_impl(std::uint64_t size, text, error_code& ec) override {
        if (size > limits_.body_bytes - message_.body.size())
            ec = http::error::body_limit;
    }

    std::size_t on_chunk_body_impl(std::uint64_t, text part, error_code& ec) override {
        return append(part, ec);
    }

    void on_finish_impl(error_code&) override { message_.keep_alive = this->keep_alive(); }

    std::size_t append(text part, error_code& ec) {
        if (part.size() > limits_.body_bytes - message_.body.size()) {
            ec = http::error::body_limit;
            return 0;
        }
        message_.body.append(part.data(), part.size());
        return part.size();
    }

    message_limits limits_;       ///< size limits of the message
    message message_;             ///< the parts read so far
    std::size_t field_bytes_ = 0; ///< memory that the header lines occupy
    int version_ = 0;             ///< HTTP version, the minor one in the units place
    bool has_length_ = false;     ///< whether a Content-Length line has been read
    bool header_done_ = false;    ///< whether the header lines are complete
};

template <bool IsRequest>
message_parser<IsRequest>::message_parser(message_limits limits, bool without_body)
    : reader_{std::make_unique<reader>(limits)} {
    reader_->skip(without_body);
}

template <bool IsRequest> message_parser<IsRequest>::message_parser(message_parser&&) noexcept = default;
template <bool IsRequest>
message_parser<IsRequest>& message_parser<IsRequest>::operator=(message_parser&&) noexcept = default;
template <bool IsRequest> message_parser<IsRequest>::~message_parser() = default;

template <bool IsRequest> parse_stage message_parser<IsRequest>::stage() const noexcept {
    if (reader_->is_done())
        return parse_stage::complete;
    if (reader_->is_header_done())
        return parse_stage::body;
    return pending_.empty() ? parse_stage::not_started : parse_stage::header;
}

template <bool IsRequest> std::size_t message_parser<IsRequest>::held_bytes() const {
    return pending_.size() + reader_->held_bytes();
}

template <bool IsRequest> std::size_t message_parser<IsRequest>::allocated_bytes() const {
    return pending_.capacity() + reader_->allocated_bytes();
}

template <bool IsRequest> std::optional<std::size_t> message_parser<IsRequest>::stated_body_bytes() const {
    if (!reader_->is_header_done())
        return std::nullopt;
    const auto length = reader_->content_length();
    return length ? std::optional{static_cast<std::size_t>(*length)} : std::nullopt;
}

template <bool IsRequest> bool message_parser<IsRequest>::expects_continue() const {
    return is_same_name(value_of(reader_->parsed_message().fields, "Expect"), "100-continue");
}

template <bool IsRequest> bool message_parser<IsRequest>::is_interim() const noexcept {
    if constexpr (IsRequest)
        return false;
    else
        return !is_final_status(reader_->parsed_message().status);
}

template <bool IsRequest>
tl::expected<std::size_t, parse_error> message_parser<IsRequest>::feed(std::string_view bytes) {
    if (reader_->is_done())
        return std::size_t{0};
    std::size_t consumed = 0;
    if (!reader_->is_header_done()) {
        const auto header = feed_header(bytes);
        if (!header || !reader_->is_header_done())
            return header;
        consumed = *header;
    }
    const auto body = feed_body(bytes.substr(consumed));
    if (!body)
        return body;
    return consumed + *body;
}

template <bool IsRequest>
tl::expected<std::size_t, parse_error> message_parser<IsRequest>::feed_header(std::string_view bytes) {
    // Header lines may arrive in any pieces; they are buffered and passed to the library all at once.
    const std::size_t before = pending_.size();
    pending_.append(bytes);
    const std::size_t from = before < header_end.size() ? 0 : before - header_end.size() + 1;
    const auto end = pending_.find(header_end, from);
    const std::size_t size = end == std::string::npos ? pending_.size() : end + header_end.size();
    if (size > reader_->limits().header_bytes)
        return tl::unexpected{parse_error::header_too_large};
    if (end == std::string::npos)
        return bytes.size();
    const std::string_view header = std::string_view{pending_}.substr(0, size);
    if (has_folded_line(header))
        return tl::unexpected{parse_error::malformed};
    error_code ec;
    const std::size_t used = reader_->put(boost::asio::const_buffer{header.data(), header.size()}, ec);
    if (ec || used != size)
        return tl::unexpected{ec ? error_of(ec) : parse_error::malformed};
    pending_.clear();
    pending_.shrink_to_fit();
    return size - before;
}

template <bool IsRequest>
tl::expected<std::size_t, parse_error> message_parser<IsRequest>::feed_body(std::string_view bytes) {
    // A chunk's header line may arrive in pieces; bytes that the library can't use yet are buffered.
    std::string buffered = std::exchange(pending_, {});
    if (!buffered.empty())
        buffered.append(bytes);
    std::string_view input = buffered.empty() ? bytes : std::string_view{buffered};
    while (!input.empty() && !reader_->is_done()) {
        error_code ec;
        const std::size_t used = reader_->put(boost::asio::const_buffer{input.data(), input.size()}, ec);
        if (ec && ec != http::error::need_more)
            return tl::unexpected{error_of(ec)};
        input.remove_prefix(used);
        consumed_ += used;
        // Chunk header lines, extensions and trailers have no size limit in the library, so they are bounded
        // here.
        const std::size_t body = reader_->parsed_message().body.size();
        const std::size_t framing = consumed_ - std::min(consumed_, body) + (ec ? input.size() : 0);
        if (framing > reader_->limits().header_bytes + max_framing_ratio * body)
            return tl::unexpected{parse_error::malformed};
        if (ec) {
            pending_ = std::string{input};
            return bytes.size();
        }
    }
    return bytes.size() - input.size();
}

template <bool IsRequest> tl::expected<void, parse_error> message_parser<IsRequest>::end() {
    if (!reader_->got_some() || !reader_->is_header_done())
        return tl::unexpected{parse_error::truncated};
    error_code ec;
    reader_->put_eof(ec);
    if (ec)
        return tl::unexpected{error_of(ec)};
    return {};
}

template <bool IsRequest> typename message_parser<IsRequest>::message message_parser<IsRequest>::take() {
    assert(reader_->is_done());
    return std::move(reader_->parsed_message());
}

template class message_parser<true>;
template class message_parser<false>;

} // namespace pollengrade
