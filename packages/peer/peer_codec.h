/** @file peer_codec.h Converts between the messages of peer.capnp and the core's types. */
#pragma once

#include <optional>
#include <vector>

#include "core/base/event_log.h"
#include "core/cluster/config_gossip.h"
#include "core/cluster/member_type.h"
#include "core/queries/delegation.h"
#include "core/upstreams/registry.h"
#include "peer/peer.capnp.h"

namespace pollengrade {

inline constexpr unsigned max_wire_members = 4096;  ///< maximum members read from one message
inline constexpr unsigned max_wire_entries = 8192;  ///< maximum configuration objects read from one message
inline constexpr unsigned max_wire_servers = 65536; ///< maximum server entries read from one message

void write_member(const member& it, wire::Member::Builder out);
/** @return the member; nullopt if a field is invalid. */
[[nodiscard]] std::optional<member> read_member(wire::Member::Reader in);

void write_knowledge(const node_knowledge& it, wire::Knowledge::Builder out);
[[nodiscard]] node_knowledge read_knowledge(wire::Knowledge::Reader in);
void write_greeting(const gossip_message& it, event_stamp stamp, wire::Greeting::Builder out);
[[nodiscard]] std::optional<gossip_message> read_greeting(wire::Greeting::Reader in);
/** @return the sender's hybrid logical clock. */
[[nodiscard]] event_stamp read_stamp(wire::Greeting::Reader in);

void write_entry(const config_entry& it, wire::ConfigEntry::Builder out);
void write_version(const config_version& it, wire::ConfigEntry::Builder out);
/** @return the objects; invalid ones are left out. */
[[nodiscard]] std::vector<config_entry> read_entries(capnp::List<wire::ConfigEntry>::Reader in);
/** @return the members; invalid ones are left out. */
[[nodiscard]] std::vector<member> read_members(capnp::List<wire::Member>::Reader in);

void write_item(const registry_item& it, wire::ServerEntry::Builder out);
/** @return the items; invalid ones are left out. */
[[nodiscard]] std::vector<registry_item> read_items(capnp::List<wire::ServerEntry>::Reader in);

void write_request(const delegated_request& it, wire::DelegatedRequest::Builder out);
/** @return the request; nullopt if a field is invalid. */
[[nodiscard]] std::optional<delegated_request> read_request(wire::DelegatedRequest::Reader in);
void write_answer(const delegated_answer& it, wire::DelegatedAnswer::Builder out);
/** @return the answer; nullopt if a field is invalid. */
[[nodiscard]] std::optional<delegated_answer> read_answer(wire::DelegatedAnswer::Reader in);

} // namespace pollengrade
