/** @file peer_codec.cpp Converts messages about members, configuration and the registry; checks what peers
 * send. */
#include "peer/peer_codec.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "core/base/address_func.h"

namespace pollengrade {

namespace {

constexpr std::size_t max_name_bytes = 63;                         ///< same limit as in the settings
constexpr std::uint32_t no_confirmation = 0xffff'ffff;             ///< the schema's default
constexpr std::size_t max_object_bytes = std::size_t{1024} * 1024; ///< same limit as in the platform

std::string to_string_copy(capnp::Text::Reader it) {
    return std::string{it.cStr(), it.size()};
}

/** Writes what a node knows into a message that has these fields. */
template <typename Builder> void write_fields(const node_knowledge& it, Builder& out) {
    out.setConfigDigest(it.config_digest);
    out.setRegistryChanged(it.registry_changed.value());
    out.setRegistryEra(it.registry_changed.era());
    if (!it.confirmation_age)
        return;
    const std::int64_t age = to_milliseconds(*it.confirmation_age) + 1; // Never understated.
    out.setConfirmationAgeMs(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::int64_t{no_confirmation} - 1)));
}

template <typename Reader> node_knowledge read_fields(const Reader& in) {
    node_knowledge it;
    it.config_digest = in.getConfigDigest();
    it.registry_changed = object_version{in.getRegistryChanged(), in.getRegistryEra()};
    if (in.getConfirmationAgeMs() != no_confirmation)
        it.confirmation_age = std::chrono::milliseconds{in.getConfirmationAgeMs()};
    return it;
}

} // namespace

void write_member(const member& it, wire::Member::Builder out) {
    out.setAddress(it.address.value());
    out.setOperators(it.operators.value());
    out.setName(it.name);
    out.setFailureDomain(it.domain.value());
    out.setStart(it.incarnation.start);
    out.setRefutations(it.incarnation.refutations);
    out.setState(static_cast<std::uint8_t>(it.state));
    out.setCapacity(it.capacity);
}

std::optional<member> read_member(wire::Member::Reader in) {
    member it;
    it.address = node_address{to_string_copy(in.getAddress())};
    it.operators = node_address{to_string_copy(in.getOperators())};
    it.name = to_string_copy(in.getName());
    it.domain = failure_domain{to_string_copy(in.getFailureDomain())};
    it.incarnation = {in.getStart(), in.getRefutations()};
    it.state = static_cast<member_state>(in.getState());
    it.capacity = in.getCapacity();
    const bool is_valid = is_address(it.address.value()) && is_address(it.operators.value()) &&
                          it.name.size() <= max_name_bytes && it.domain.value().size() <= max_name_bytes &&
                          in.getState() <= static_cast<std::uint8_t>(member_state::dead);
    return is_valid ? std::optional{it} : std::nullopt;
}

void write_greeting(const gossip_message& it, event_stamp stamp, wire::Greeting::Builder out) {
    write_member(it.sender, out.initSender());
    auto updates = out.initUpdates(static_cast<unsigned>(it.updates.size()));
    for (unsigned n = 0; n < updates.size(); ++n)
        write_member(it.updates[n], updates[n]);
    out.setConfigComplete(it.config_complete);
    out.setStampWallMs(stamp.wall_ms);
    out.setStampCounter(stamp.counter);
    write_fields(it.knowledge, out);
}

std::optional<gossip_message> read_greeting(wire::Greeting::Reader in) {
    const auto sender = read_member(in.getSender());
    if (!sender || in.getUpdates().size() > max_wire_members)
        return std::nullopt;
    gossip_message it;
    it.sender = *sender;
    it.updates = read_members(in.getUpdates());
    it.config_complete = in.getConfigComplete();
    it.knowledge = read_fields(in);
    return it;
}

void write_knowledge(const node_knowledge& it, wire::Knowledge::Builder out) {
    write_fields(it, out);
}

node_knowledge read_knowledge(wire::Knowledge::Reader in) {
    return read_fields(in);
}

event_stamp read_stamp(wire::Greeting::Reader in) {
    return {in.getStampWallMs(), in.getStampCounter()};
}

void write_entry(const config_entry& it, wire::ConfigEntry::Builder out) {
    out.setKind(static_cast<std::uint8_t>(it.key.kind));
    out.setName(it.key.name);
    out.setVersion(it.version.value());
    out.setEra(it.version.era());
    const auto* bytes =
        reinterpret_cast<const kj::byte*>(it.text.data()); // NOLINT(*-reinterpret-cast): KJ's bytes
    out.setText(kj::arrayPtr(bytes, it.text.size()));
}

void write_version(const config_version& it, wire::ConfigEntry::Builder out) {
    write_entry({it.key, it.version, {}}, out);
}

std::vector<config_entry> read_entries(capnp::List<wire::ConfigEntry>::Reader in) {
    std::vector<config_entry> list;
    for (unsigned n = 0; n < std::min(in.size(), max_wire_entries); ++n) {
        const auto it = in[n];
        const auto text = it.getText();
        if (it.getKind() > static_cast<std::uint8_t>(config_kind::routes) || text.size() > max_object_bytes ||
            it.getName().size() > max_name_bytes)
            continue;
        list.push_back({{static_cast<config_kind>(it.getKind()), to_string_copy(it.getName())},
                        object_version{it.getVersion(), it.getEra()},
                        std::string{text.begin(), text.end()}});
    }
    return list;
}

std::vector<member> read_members(capnp::List<wire::Member>::Reader in) {
    std::vector<member> list;
    for (unsigned n = 0; n < std::min(in.size(), max_wire_members); ++n) {
        if (const auto it = read_member(in[n]))
            list.push_back(*it);
    }
    return list;
}

void write_item(const registry_item& it, wire::ServerEntry::Builder out) {
    out.setName(it.entry.name);
    out.setStartedMs(it.entry.started_ms);
    out.setService(it.entry.service.value());
    out.setAddress(it.entry.address.value());
    out.setFailureDomain(it.entry.domain.value());
    out.setSlots(it.entry.slots);
    out.setIsLeaving(it.entry.is_leaving);
    out.setWarmupLeftMs(it.entry.warmup_left_ms);
    out.setVersion(it.entry.version.value());
    out.setEra(it.entry.version.era());
    out.setState(static_cast<std::uint8_t>(it.state));
    out.setDoubtLeftMs(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, to_milliseconds(it.removal_delay_left))));
}

std::vector<registry_item> read_items(capnp::List<wire::ServerEntry>::Reader in) {
    std::vector<registry_item> list;
    for (unsigned n = 0; n < std::min(in.size(), max_wire_servers); ++n) {
        const auto reader = in[n];
        server_entry it;
        it.name = to_string_copy(reader.getName());
        it.started_ms = reader.getStartedMs();
        it.service = service_name{to_string_copy(reader.getService())};
        it.address = upstream_address{to_string_copy(reader.getAddress())};
        it.domain = failure_domain{to_string_copy(reader.getFailureDomain())};
        it.slots = reader.getSlots();
        it.is_leaving = reader.getIsLeaving();
        it.warmup_left_ms = reader.getWarmupLeftMs();
        it.version = object_version{reader.getVersion(), reader.getEra()};
        const bool is_valid = is_address(it.address.value()) && it.slots > 0 &&
                              reader.getState() <= static_cast<std::uint8_t>(entry_state::removed);
        if (is_valid)
            list.push_back({std::move(it), static_cast<entry_state>(reader.getState()),
                            std::chrono::milliseconds{reader.getDoubtLeftMs()}});
    }
    return list;
}

} // namespace pollengrade
