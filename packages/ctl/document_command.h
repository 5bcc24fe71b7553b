/** @file document_command.h Commands over service documents and shard maps. */
#pragma once

#include <string>

#include "core/config/config_store.h"
#include "ctl/command_type.h"

namespace pollengrade {

/** Checks a file and prints every error in it. */
exit_code check_document(const command_context& context, const std::string& path);

/** What to apply. */
struct apply_arguments {
    config_kind kind = config_kind::service_document; ///< what the file holds
    std::string name;                                 ///< for shard maps: the service
    std::string path;                                 ///< the file
    std::string expected;      ///< the version it replaces; empty for the one found now
    unsigned wait_seconds = 5; ///< how long to wait until every node has it in force
};

/** Checks a file, writes it conditionally, and waits until the nodes have it in force. */
exit_code apply_document(const command_context& context, const apply_arguments& arguments);

/** Prints the reference of a node's settings and of service documents. */
exit_code print_reference();

/** Prints one document. */
exit_code get_document(const command_context& context, config_kind kind, const std::string& name);

/** Prints the names and versions of all documents. */
exit_code list_documents(const command_context& context);

} // namespace pollengrade
