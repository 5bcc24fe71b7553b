/** @file command_type.h Types shared by all commands of pollengradectl. */
#pragma once

#include <string>
#include <vector>

namespace pollengrade {

/** The exit codes of pollengradectl. */
enum class exit_code : int {
    success = 0,     ///< the command succeeded
    negative = 1,    ///< completed with a negative result: partial, refused or not in force everywhere
    usage = 2,       ///< invalid flags or arguments
    invalid = 3,     ///< a document or request is invalid
    conflict = 4,    ///< write conflict: another client changed the document
    unreachable = 5, ///< a node or the platform could not be reached
    unknown = 6,     ///< whether the operation took effect is unknown
};

/** Addresses to call and the output format. */
struct command_context {
    std::string platform;           ///< "IPv4:port" of the platform
    std::vector<std::string> nodes; ///< "IPv4:port" of the nodes' operator endpoints
    std::string callers;            ///< "IPv4:port" of the listener for callers of a node or load balancer
    bool json = false;              ///< print JSON instead of text
};

/** Arguments of the query, lookup and order commands. */
struct query_arguments {
    std::string service;     ///< name of the service
    std::string text;        ///< search text, number to look up, or JSON body of an order
    std::string number;      ///< number of an order
    std::string key;         ///< idempotency key; empty to generate one
    std::string deadline_ms; ///< in milliseconds; empty for the default of the service
};

} // namespace pollengrade
