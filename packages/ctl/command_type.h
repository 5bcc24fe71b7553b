/** @file command_type.h What every command of the command line shares. */
#pragma once

#include <string>
#include <vector>

namespace pollengrade {

/** The exit codes of pollengradectl. */
enum class exit_code : int {
    success = 0,     ///< done
    negative = 1,    ///< done, and the result is not what was hoped for: partial, refused, not in force
    usage = 2,       ///< wrong flags or arguments
    invalid = 3,     ///< a document is wrong
    conflict = 4,    ///< a lost race: somebody else changed the document
    unreachable = 5, ///< a node or the platform could not be reached
    unknown = 6,     ///< it cannot be known whether it took effect
};

/** Where things are and how to print. */
struct command_context {
    std::string platform;           ///< "IPv4:port" of the platform
    std::vector<std::string> nodes; ///< "IPv4:port" of nodes' operator pages
    std::string callers;            ///< "IPv4:port" of a node's front door
    bool json = false;              ///< print JSON
};

/** One request of the query, lookup and order commands. */
struct query_arguments {
    std::string service;     ///< which service
    std::string text;        ///< search text, number, or body of an order
    std::string number;      ///< of an order
    std::string key;         ///< idempotency key; empty to make one
    std::string deadline_ms; ///< empty for the service's default
};

} // namespace pollengrade
