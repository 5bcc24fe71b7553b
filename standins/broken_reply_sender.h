/** @file broken_reply_sender.h Sends a broken reply on a connection that libsoup has given up. */
#pragma once

#include <gio/gio.h>

#include "broken_reply.h"
#include "runtime/glib_ptr.h"

namespace pollengrade {

/** Sends the bytes as fast as the client reads, and keeps the connection open until the client closes it. */
void send_broken_reply(gobject_ptr<GIOStream> connection, broken_bytes bytes);

} // namespace pollengrade
