/** @file main.cpp Entry point and commands of pollengradectl. */
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "ctl/command_type.h"
#include "ctl/document_command.h"
#include "ctl/explain_command.h"
#include "ctl/explain_server_command.h"
#include "ctl/node_command.h"
#include "runtime/program_func.h"

namespace pollengrade {

namespace {

constexpr const char* help_text = R"(
Documents (these need --platform):
  check FILE                 validate a service document and print its errors
  reference                  print every key of node settings and service documents
  apply FILE                 write a service document and wait until it is in force on every node
  apply-shard-maps NAME FILE the same for the shard maps of a service
  get NAME                   print a service document
  get-shard-maps NAME        print the shard maps of a service
  list                       print all documents and their versions
Nodes (these need --node, the operators' address of a node; other nodes are discovered from it):
  status                     nodes, versions in force, draining and unreachable upstreams
  timeline                   events of all nodes in one causal order
Logs (no address needed):
  explain ID FILE...         explain the outcome of a request from log lines; - for standard input
  explain-server ID FILE...  who learned that a server leaves, and what was sent to it afterwards
Requests (these need --callers, the address of a node or load balancer):
  query SERVICE TEXT         search all shards
  lookup SERVICE NUMBER      look up one number
  order SERVICE NUMBER JSON  confirm an order, at most once for each --key

Exit codes: 0 success; 1 partial, refused or not in force everywhere;
2 invalid usage; 3 invalid document or request; 4 somebody else changed the document;
5 unreachable; 6 whether the operation took effect is unknown.

Example:
  pollengradectl --platform 127.0.0.1:7000 --node 127.0.0.1:8101 apply catalogue-desk.ini
  pollengradectl --callers 127.0.0.1:8001 query catalogue-desk "vine leaf"
)";

using argument_list = std::vector<std::string>;

/** A command with its number of arguments, required flag and handler. */
struct command {
    std::size_t argument_count = 0; // The minimum if the command is variadic.
    const char* required_flag = "";
    std::function<exit_code(const command_context&, const argument_list&, const cxxopts::ParseResult&)> run;
    bool is_variadic = false;
};

std::string text_flag(const cxxopts::ParseResult& flags, const char* name) {
    return flags.count(name) > 0 ? flags[name].as<std::string>() : std::string{};
}

exit_code apply(const command_context& context, config_kind kind, const std::string& name,
                const std::string& path, const cxxopts::ParseResult& flags) {
    return apply_document(context,
                          {kind, name, path, text_flag(flags, "expect"), flags["wait"].as<unsigned>()});
}

exit_code send_query(const command_context& context, query_kind kind, const argument_list& it,
                     const cxxopts::ParseResult& flags) {
    query_arguments arguments{it[0], it[1], {}, text_flag(flags, "key"), text_flag(flags, "deadline-ms")};
    if (kind == query_kind::order) {
        arguments.number = it[1];
        arguments.text = it[2];
    }
    return run_query(context, kind, arguments);
}

const std::map<std::string, command>& commands() {
    using flags_type = const cxxopts::ParseResult&;
    using context_type = const command_context&;
    static const std::map<std::string, command> all{
        {"check",
         {1, "",
          [](context_type c, const argument_list& it, flags_type) { return check_document(c, it[0]); }}},
        {"reference",
         {0, "", [](context_type, const argument_list&, flags_type) { return print_reference(); }}},
        {"apply",
         {1, "platform",
          [](context_type c, const argument_list& it, flags_type flags) {
              return apply(c, config_kind::service_document, {}, it[0], flags);
          }}},
        {"apply-shard-maps",
         {2, "platform",
          [](context_type c, const argument_list& it, flags_type flags) {
              return apply(c, config_kind::shard_maps, it[0], it[1], flags);
          }}},
        {"get",
         {1, "platform",
          [](context_type c, const argument_list& it, flags_type) {
              return get_document(c, config_kind::service_document, it[0]);
          }}},
        {"get-shard-maps",
         {1, "platform",
          [](context_type c, const argument_list& it, flags_type) {
              return get_document(c, config_kind::shard_maps, it[0]);
          }}},
        {"list",
         {0, "platform", [](context_type c, const argument_list&, flags_type) { return list_documents(c); }}},
        {"explain",
         {2, "",
          [](context_type c, const argument_list& it, flags_type) {
              return explain_request(c, it.front(), {it.begin() + 1, it.end()});
          },
          true}},
        {"explain-server",
         {2, "",
          [](context_type c, const argument_list& it, flags_type) {
              return explain_server(c, it.front(), {it.begin() + 1, it.end()});
          },
          true}},
        {"status",
         {0, "node", [](context_type c, const argument_list&, flags_type) { return show_status(c); }}},
        {"timeline",
         {0, "node",
          [](context_type c, const argument_list&, flags_type flags) {
              return show_timeline(
                  c, {text_flag(flags, "request"), text_flag(flags, "subject"), flags.count("trace") > 0});
          }}},
        {"query",
         {2, "callers",
          [](context_type c, const argument_list& it, flags_type flags) {
              return send_query(c, query_kind::search, it, flags);
          }}},
        {"lookup",
         {2, "callers",
          [](context_type c, const argument_list& it, flags_type flags) {
              return send_query(c, query_kind::lookup, it, flags);
          }}},
        {"order", {3, "callers", [](context_type c, const argument_list& it, flags_type flags) {
                       return send_query(c, query_kind::order, it, flags);
                   }}}};
    return all;
}

exit_code usage(const std::string& text) {
    std::cerr << "pollengradectl: " << text << "; see pollengradectl --help\n";
    return exit_code::usage;
}

exit_code run(int argc, char** argv) {
    cxxopts::Options options{"pollengradectl", "Command line client of the pollengrade query tier."};
    options.positional_help("COMMAND [ARGUMENT...]");
    options.add_options()("platform", "IPv4:port of the platform's object API",
                          cxxopts::value<std::string>())(
        "node", "IPv4:port of the operators' endpoint of a node; may be repeated",
        cxxopts::value<std::vector<std::string>>())("callers", "IPv4:port where callers are served",
                                                    cxxopts::value<std::string>())(
        "only-named", "do not discover further nodes from the named ones")("json", "print JSON")(
        "expect", "apply: the version that the document replaces", cxxopts::value<std::string>())(
        "wait", "apply: seconds to wait until it is in force on every node",
        cxxopts::value<unsigned>()->default_value("5"))("request", "timeline: only this request",
                                                        cxxopts::value<std::string>())(
        "subject", "timeline: only this service, server or node", cxxopts::value<std::string>())(
        "trace", "timeline: JSON for trace viewers")("key", "order: the idempotency key, a UUIDv7",
                                                     cxxopts::value<std::string>())(
        "deadline-ms", "requests: the deadline in milliseconds", cxxopts::value<std::string>())(
        "help", "print this help")("words", "", cxxopts::value<argument_list>());
    options.parse_positional({"words"});
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::cout << options.help() << help_text;
        return exit_code::success;
    }
    if (flags.count("words") == 0)
        return usage("missing command");
    argument_list arguments = flags["words"].as<argument_list>();
    const std::string name = arguments.front();
    arguments.erase(arguments.begin());
    const auto it = commands().find(name);
    if (it == commands().end())
        return usage("unknown command " + name);
    const command& selected = it->second;
    const bool is_valid_count = selected.is_variadic ? arguments.size() >= selected.argument_count
                                                     : arguments.size() == selected.argument_count;
    if (!is_valid_count)
        return usage(name + " takes " + std::to_string(selected.argument_count) + " arguments" +
                     (selected.is_variadic ? " or more" : ""));
    command_context context;
    context.platform = text_flag(flags, "platform");
    context.callers = text_flag(flags, "callers");
    context.json = flags.count("json") > 0;
    if (flags.count("node") > 0)
        context.nodes = flags["node"].as<argument_list>();
    if (flags.count("only-named") == 0)
        discover_nodes(context);
    const std::string required_flag = it->second.required_flag;
    if (!required_flag.empty() && flags.count(required_flag) == 0)
        return usage(name + " requires --" + required_flag);
    return it->second.run(context, arguments, flags);
}

} // namespace

} // namespace pollengrade

int main(int argc, char** argv) {
    return pollengrade::run_program("pollengradectl",
                                    [&] { return static_cast<int>(pollengrade::run(argc, argv)); });
}
