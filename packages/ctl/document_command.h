/** @file document_command.h Commands for service documents and shard maps. */
#pragma once

#include <string>

#include "core/config/config_store.h"
#include "ctl/command_type.h"

namespace pollengrade {

/** Validates a service document file and prints every error in it. */
exit_code check_document(const command_context& context, const std::string& path);

/** Arguments of the apply commands. */
struct apply_arguments {
    config_kind kind = config_kind::service_document; ///< kind of document in the file
    std::string name;          ///< name of the service; for service documents it is read from the file
    std::string path;          ///< path of the file
    std::string expected;      ///< version to be replaced; empty for the current version
    unsigned wait_seconds = 5; ///< maximum wait until the document is in force on every node
};

/** Validates a file, writes it if the version is as expected, and waits until it is in force on all nodes. */
exit_code apply_document(const command_context& context, const apply_arguments& arguments);

/** Prints the reference of node settings and of service documents. */
exit_code print_reference();

/** Prints one document. */
exit_code get_document(const command_context& context, config_kind kind, const std::string& name);

/** Prints the names and versions of all documents. */
exit_code list_documents(const command_context& context);

} // namespace pollengrade
