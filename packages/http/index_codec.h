/** @file index_codec.h Requests to servers that hold shards, over Pollengrade's own interface. */
#pragma once

#include "core/upstreams/attempt_type.h"
#include "net/client_connection.h"

namespace pollengrade {

/**
 * @param request the request to encode
 * @param id ID of the caller's request
 * @param left time until the answer is no longer useful
 * @return the encoded request
 */
[[nodiscard]] outgoing_request encode_index_request(const index_request& request, const request_id& id,
                                                    duration left);
/** @return the result of an attempt, decoded from the server's reply. */
[[nodiscard]] attempt_result decode_index_reply(const reply_message& reply);

} // namespace pollengrade
