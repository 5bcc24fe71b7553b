/** @file index_codec.h Requests of our own interface to servers that hold shards. */
#pragma once

#include "core/upstreams/attempt_type.h"
#include "net/client_connection.h"

namespace pollengrade {

/**
 * @param request what is asked
 * @param id the caller's request
 * @param left how long the answer is of use
 * @return the request's bytes
 */
[[nodiscard]] outgoing_request encode_index_request(const index_request& request, const request_id& id,
                                                    duration left);
/** @return what a server's reply means. */
[[nodiscard]] attempt_result decode_index_reply(const reply_message& reply);

} // namespace pollengrade
