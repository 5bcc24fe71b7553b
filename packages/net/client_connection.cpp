/** @file client_connection.cpp Non-blocking connect, write and read. */
#include "net/client_connection.h"

#include <array>
#include <cassert>
#include <cerrno>
#include <utility>

#include <sys/socket.h>

namespace pollengrade {

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024; ///< shared by all connections

/** @return the shared read buffer; its bytes must be consumed before the next read. */
std::array<char, read_buffer_bytes>& read_buffer() {
    static std::array<char, read_buffer_bytes> buf;
    return buf;
}

constexpr int max_reads_per_event = 16; ///< so that one busy server doesn't starve other connections
constexpr int max_interim_replies = 8;  ///< 1xx replies accepted before the final reply

connection_end end_cause_of(int code) {
    return code == ETIMEDOUT || code == EHOSTUNREACH || code == ENETUNREACH ? connection_end::silent
                                                                            : connection_end::reset;
}

} // namespace

client_connection::client_connection(socket_poller& poller, std::string_view address, message_limits limits,
                                     client_connection_hooks hooks, std::string_view source)
    : poller_{poller}, address_{address}, source_{source}, limits_{limits}, hooks_{std::move(hooks)} {}

bool client_connection::connect() {
    fd_ = start_connect(address_, fast_keepalive_limits(), source_);
    if (!fd_.is_valid())
        return false;
    watch_socket({false, true});
    return true;
}

void client_connection::watch_socket(socket_interest interest) {
    watch_ = poller_.add(fd_, interest, [this](socket_events events) { on_events(events); });
}

void client_connection::resume() {
    if (!std::exchange(paused_, false) || !fd_.is_valid())
        return;
    watch_socket({});
    update_interest();
}

void client_connection::send(outgoing_request request) {
    assert(connected_ && !is_busy());
    request_ = std::move(request);
    written_ = 0;
    interim_replies_ = 0;
    parser_.emplace(limits_, !request_.allows_reply_body);
    state_ = send_state::nothing_written;
    write();
    if (fd_.is_valid())
        update_interest();
}

void client_connection::close() {
    watch_.reset();
    fd_ = unique_fd{};
}

void client_connection::on_events(socket_events events) {
    if (!connected_) {
        on_connect_ended();
        return;
    }
    if (events.readable || events.peer_closed || events.failed) {
        read();
        if (!fd_.is_valid())
            return;
    }
    if (events.writable && is_busy())
        write();
    if (fd_.is_valid())
        update_interest();
}

void client_connection::on_connect_ended() {
    if (const int code = socket_error(fd_); code != 0) {
        end(end_cause_of(code));
        return;
    }
    connected_ = true;
    state_ = send_state::nothing_written;
    update_interest();
    hooks_.connected();
}

void client_connection::write() {
    const std::string_view body = request_.body ? std::string_view{*request_.body} : std::string_view{};
    while (!is_request_written()) {
        const ssize_t n = send_pieces(fd_, request_.header, body, written_);
        if (n < 0) {
            // The system reports an error once: after this one a read finds the end of the stream.
            if (!would_block() && write_error_ == 0)
                write_error_ = errno;
            return;
        }
        written_ += static_cast<std::size_t>(n);
        if (n > 0 && state_ == send_state::nothing_written)
            state_ = send_state::something_written;
    }
}

void client_connection::read() {
    auto& buf = read_buffer();
    for (int reads = 0; reads < max_reads_per_event; ++reads) {
        const ssize_t n = ::recv(fd_.get(), buf.data(), buf.size(), 0);
        if (n < 0 && would_block())
            return;
        if (n < 0) {
            end(end_cause_of(errno));
            return;
        }
        if (n == 0) {
            on_end_of_stream();
            return;
        }
        if (!process_bytes({buf.data(), static_cast<std::size_t>(n)}))
            return;
        if (static_cast<std::size_t>(n) < buf.size())
            return; // No more bytes for now; the next event reports new ones.
    }
}

void client_connection::on_end_of_stream() {
    // A reply without a length ends here, but only if the server ended the connection in order. It may have
    // broken off if it didn't wait for the whole request.
    if (write_error_ != 0)
        end(end_cause_of(write_error_));
    else if (is_request_written() && parser_ && parser_->end())
        finish_reply(false);
    else
        end(connection_end::closed);
}

bool client_connection::is_request_written() const {
    return written_ == request_.header.size() + (request_.body ? request_.body->size() : 0);
}

bool client_connection::process_bytes(std::string_view bytes) {
    if (!is_busy()) {
        end(connection_end::stray);
        return false;
    }
    state_ = send_state::reply_begun;
    while (!bytes.empty()) {
        const auto used = parser_->feed(bytes);
        if (!used) {
            end(connection_end::unreadable);
            return false;
        }
        bytes.remove_prefix(*used);
        if (parser_->stage() != parse_stage::complete)
            return may_read_on();
        if (parser_->is_interim()) {
            if (++interim_replies_ > max_interim_replies) {
                end(connection_end::unreadable);
                return false;
            }
            parser_.emplace(limits_, !request_.allows_reply_body);
            continue;
        }
        finish_reply(bytes.empty());
        return false;
    }
    return true;
}

bool client_connection::may_read_on() {
    if (!hooks_.received || hooks_.received({parser_->held_bytes(), parser_->stated_body_bytes()}))
        return true;
    // The end of the peer's side would be reported again and again, so the socket is not watched at all.
    watch_.reset();
    paused_ = true;
    return false;
}

void client_connection::finish_reply(bool has_no_excess_bytes) {
    reply_message reply = parser_->take();
    reply.keep_alive = reply.keep_alive && has_no_excess_bytes && is_request_written();
    const bool keep_alive = reply.keep_alive;
    parser_.reset();
    request_ = {};
    state_ = send_state::nothing_written;
    if (!keep_alive) {
        // The connection must not be reused, so it is closed before the owner is notified of the reply.
        close();
    }
    hooks_.replied(std::move(reply));
}

void client_connection::end(connection_end why) {
    close();
    hooks_.ended(why);
}

void client_connection::update_interest() {
    if (paused_)
        return;
    watch_.set_interest({true, is_busy() && !is_request_written()});
}

} // namespace pollengrade
