/** @file broken_reply_sender.cpp Asynchronous writes, then a read that ends with the connection. */
#include "broken_reply_sender.h"

#include <array>
#include <memory>
#include <string>
#include <utility>

namespace pollengrade {

namespace {

/** One connection; owned by its pending operation. */
struct sender {
    gobject_ptr<GIOStream> connection;
    broken_bytes bytes;
    std::array<char, 64> input{}; ///< what the client sends meanwhile is ignored
};

void wait_for_end(std::unique_ptr<sender> it);

void on_input(GObject* stream, GAsyncResult* result, gpointer data) {
    std::unique_ptr<sender> it{static_cast<sender*>(data)};
    if (g_input_stream_read_finish(G_INPUT_STREAM(stream), result, nullptr) > 0)
        wait_for_end(std::move(it));
}

void wait_for_end(std::unique_ptr<sender> it) {
    GInputStream* stream = g_io_stream_get_input_stream(it->connection.get());
    auto& buf = it->input;
    g_input_stream_read_async(stream, buf.data(), buf.size(), G_PRIORITY_DEFAULT, nullptr, &on_input,
                              it.release());
}

void send_all(std::unique_ptr<sender> it);

void on_sent(GObject* stream, GAsyncResult* result, gpointer data) {
    std::unique_ptr<sender> it{static_cast<sender*>(data)};
    if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result, nullptr, nullptr) == FALSE)
        return;
    it->bytes.first = it->bytes.repeated;
    if (it->bytes.first.empty())
        wait_for_end(std::move(it));
    else
        send_all(std::move(it));
}

void send_all(std::unique_ptr<sender> it) {
    GOutputStream* stream = g_io_stream_get_output_stream(it->connection.get());
    const std::string& bytes = it->bytes.first;
    g_output_stream_write_all_async(stream, bytes.data(), bytes.size(), G_PRIORITY_DEFAULT, nullptr, &on_sent,
                                    it.release());
}

} // namespace

void send_broken_reply(gobject_ptr<GIOStream> connection, broken_bytes bytes) {
    constexpr int copies = 100; // Fewer and larger writes.
    const std::string unit = std::exchange(bytes.repeated, {});
    for (int n = 0; n < copies; ++n)
        bytes.repeated += unit;
    if (bytes.first.empty())
        bytes.first = bytes.repeated;
    send_all(std::make_unique<sender>(sender{std::move(connection), std::move(bytes), {}}));
}

} // namespace pollengrade
