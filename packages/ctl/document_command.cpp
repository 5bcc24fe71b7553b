/** @file document_command.cpp Implements the check, reference, apply, get and list commands. */
#include "ctl/document_command.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include <glib.h>

#include "core/config/node_settings.h"
#include "core/config/service_document.h"
#include "ctl/http_call.h"
#include "ctl/store_call.h"
#include "http/codec.h"
#include "http/uri_func.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

constexpr gulong poll_interval_us = 50'000; ///< between two status polls of the nodes

/** A document as stored on the platform. */
struct remote_document {
    std::uint64_t version = 0; ///< 0 when the document does not exist
    std::string value;         ///< its text
};

std::optional<std::string> read_file(const std::string& path) {
    const std::ifstream in{path, std::ios::binary};
    if (!in)
        return std::nullopt;
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

object_kind object_kind_of(config_kind kind) {
    return kind == config_kind::service_document ? object_kind::service_document : object_kind::shard_maps;
}

/** Prints an error message to standard error. @return @p code */
exit_code fail(exit_code code, const std::string& text) {
    std::cerr << "pollengradectl: " << text << "\n";
    return code;
}

/** @return the name in a valid service document; prints every error and returns nullopt otherwise. */
std::optional<std::string> validated_name(const std::string& path, const std::string& text) {
    const auto document = parse_service_document(text);
    if (document)
        return document->name.value();
    for (const settings_error& it : document.error())
        std::cerr << path << ": " << describe(it) << "\n";
    return std::nullopt;
}

tl::expected<remote_document, exit_code> fetch_document(const command_context& context, config_kind kind,
                                                        const std::string& name) {
    const auto object = read_object(context.platform, object_kind_of(kind), name);
    if (!object && object.error() == store_error::absent)
        return remote_document{};
    const auto* text = object ? std::get_if<std::string>(&object->content) : nullptr;
    if (text == nullptr)
        return tl::unexpected{exit_code::unreachable};
    return remote_document{object->version.value(), *text};
}

std::vector<std::string> lines_of(const std::string& text) {
    std::vector<std::string> lines;
    std::istringstream in{text};
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

/** Prints the lines that occur in only one of the two texts. */
void print_difference(const std::string& stored, const std::string& proposed) {
    const auto stored_lines = lines_of(stored);
    const auto proposed_lines = lines_of(proposed);
    const auto print_unmatched = [](const auto& lines, const auto& others, const char* mark) {
        for (const std::string& it : lines) {
            if (std::find(others.begin(), others.end(), it) == others.end())
                std::cerr << mark << it << "\n";
        }
    };
    print_unmatched(stored_lines, proposed_lines, "- ");
    print_unmatched(proposed_lines, stored_lines, "+ ");
}

/**
 * Writes the document. After a failed write it reads the document back, to tell a conflict from a write
 * that took effect although its reply was lost.
 * @return the new version
 */
tl::expected<std::uint64_t, exit_code> write(const command_context& context, const apply_arguments& arguments,
                                             const std::string& text, std::uint64_t expected) {
    const auto written = write_object(context.platform, object_kind_of(arguments.kind), arguments.name, text,
                                      object_version{expected});
    if (written)
        return written->value();
    if (written.error() == store_error::unavailable) {
        std::cerr << "pollengradectl: the platform at " << context.platform
                  << " could not be reached; nothing changed\n";
        return tl::unexpected{exit_code::unreachable};
    }
    const bool conflict = written.error() == store_error::conflict;
    const auto now = fetch_document(context, arguments.kind, arguments.name);
    if (!now) {
        std::cerr << "pollengradectl: the write may have taken effect: the result is unknown and reading the "
                     "document back failed; run 'get' when the platform is reachable again\n";
        return tl::unexpected{exit_code::unknown};
    }
    if (!conflict && now->version != expected && now->value == text)
        return now->version;
    if (now->version == expected) {
        std::cerr
            << "pollengradectl: the platform has not applied the write; the document is unchanged so far\n";
        return tl::unexpected{exit_code::unknown};
    }
    std::cerr << "pollengradectl: " << arguments.name << " is at version " << now->version << ", not "
              << expected
              << ": somebody else changed it, and nothing was written. Stored lines (-) and lines of the "
                 "file (+):\n";
    print_difference(now->value, text);
    return tl::unexpected{exit_code::conflict};
}

/** @return whether @p status, the status of a node, reports this or a later version in force. */
bool is_in_force(const std::string& status, const apply_arguments& arguments, std::uint64_t version) {
    const char* member =
        arguments.kind == config_kind::service_document ? "document_version" : "shard_maps_version";
    const auto document = json_document::parse(status);
    const auto services = document ? document->root().member("services") : std::nullopt;
    const auto elements = services ? services->elements() : std::nullopt;
    if (!elements)
        return false;
    return std::any_of(elements->begin(), elements->end(), [&](const json_view& it) {
        return it.text("name") == arguments.name && it.natural(member).value_or(0) >= version;
    });
}

exit_code wait_in_force(const command_context& context, const apply_arguments& arguments,
                        std::uint64_t version) {
    std::vector<std::string> pending_nodes = context.nodes;
    const gint64 end = g_get_monotonic_time() + gint64{arguments.wait_seconds} * G_USEC_PER_SEC;
    while (true) {
        std::vector<std::string> still_pending;
        for (const std::string& it : pending_nodes) {
            const auto status =
                call({.address = it, .path = "/status", .body = {}, .headers = {}, .timeout_seconds = 1});
            if (!status || !is_in_force(status->body, arguments, version))
                still_pending.push_back(it);
        }
        pending_nodes = std::move(still_pending);
        if (pending_nodes.empty() || g_get_monotonic_time() >= end)
            break;
        g_usleep(poll_interval_us);
    }
    const std::size_t in_force = context.nodes.size() - pending_nodes.size();
    if (context.json) {
        json_writer out;
        out.begin_object().member("name", arguments.name).member("version", version);
        out.member("nodes_in_force", std::uint64_t{in_force})
            .member("nodes_known", std::uint64_t{context.nodes.size()});
        out.name("lacking").begin_array();
        for (const std::string& it : pending_nodes)
            out.value(it);
        std::cout << out.end_array().end_object().take() << "\n";
    } else {
        std::cout << arguments.name << " version " << version << " in force on " << in_force << " of "
                  << context.nodes.size() << " nodes\n";
        for (const std::string& it : pending_nodes)
            std::cout << "  not in force: " << it << "\n";
    }
    return pending_nodes.empty() ? exit_code::success : exit_code::negative;
}

} // namespace

exit_code check_document(const command_context& context, const std::string& path) {
    const auto text = read_file(path);
    if (!text)
        return fail(exit_code::usage, "cannot read " + path);
    const auto name = validated_name(path, *text);
    if (!name)
        return exit_code::invalid;
    if (!context.json)
        std::cout << path << ": valid document of service " << *name << "\n";
    return exit_code::success;
}

exit_code print_reference() {
    std::cout
        << "# Settings\n\nGenerated by `pollengradectl reference`. Lists every key with its unit, range "
           "and default.\n"
           "An unknown or duplicate group or key is an error that names group, key and line.\n"
           "A text with any error is rejected as a whole.\n\n## Node settings\n\n"
        << describe_rules(node_settings_rules()) << "\n## Service documents\n\n"
        << describe_rules(service_document_rules());
    return exit_code::success;
}

exit_code apply_document(const command_context& context, const apply_arguments& given) {
    apply_arguments arguments = given;
    const auto text = read_file(arguments.path);
    if (!text)
        return fail(exit_code::usage, "cannot read " + arguments.path);
    if (arguments.kind == config_kind::service_document) {
        const auto name = validated_name(arguments.path, *text);
        if (!name)
            return exit_code::invalid;
        arguments.name = *name;
    } else if (const auto maps = decode_shard_maps(*text); !maps) {
        return fail(exit_code::invalid, arguments.path + ": " + std::string{to_string(maps.error())});
    }
    std::uint64_t expected = 0;
    if (arguments.expected.empty()) {
        const auto now = fetch_document(context, arguments.kind, arguments.name);
        if (!now)
            return fail(now.error(),
                        "the platform at " + context.platform + " could not be reached; nothing changed");
        expected = now->version;
    } else if (const auto n = parse_natural(arguments.expected)) {
        expected = *n;
    } else {
        return fail(exit_code::usage, "--expect requires a version, or 0 for a new document");
    }
    const auto version = write(context, arguments, *text, expected);
    if (!version)
        return version.error();
    return wait_in_force(context, arguments, *version);
}

exit_code get_document(const command_context& context, config_kind kind, const std::string& name) {
    const auto document = fetch_document(context, kind, name);
    if (!document)
        return fail(document.error(), "the platform at " + context.platform + " could not be reached");
    if (document->version == 0)
        return fail(exit_code::negative, "no such document: " + name);
    if (context.json) {
        json_writer out;
        out.begin_object().member("name", name).member("version", document->version);
        std::cout << out.member("value", document->value).end_object().take() << "\n";
    } else {
        std::cout << document->value;
        std::cerr << "version " << document->version << "\n";
    }
    return exit_code::success;
}

exit_code list_documents(const command_context& context) {
    json_writer out;
    out.begin_array();
    for (const config_kind kind : {config_kind::service_document, config_kind::shard_maps}) {
        const auto list = read_objects(context.platform, object_kind_of(kind));
        if (!list)
            return fail(exit_code::unreachable,
                        "the platform at " + context.platform + " could not be reached");
        for (const stored_object& it : list->objects) {
            const std::string& name = it.name;
            const std::uint64_t version = it.version.value();
            const std::string kind_name{to_string(object_kind_of(kind))};
            if (context.json) {
                out.begin_object().member("kind", kind_name).member("name", name);
                out.member("version", version).end_object();
            } else {
                std::cout << kind_name << " " << name << " " << version << "\n";
            }
        }
    }
    if (context.json)
        std::cout << out.end_array().take() << "\n";
    return exit_code::success;
}

} // namespace pollengrade
