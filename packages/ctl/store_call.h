/** @file store_call.h Blocking calls to the platform's object store. */
#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "core/config/object_type.h"

namespace pollengrade {

/** Reads one object. @param platform "IPv4:port" of the store */
[[nodiscard]] tl::expected<stored_object, store_error> read_object(const std::string& platform,
                                                                   object_kind kind, const std::string& name);
/**
 * Writes one object of this tier if its current version is @p expected; 0 means that it must not exist.
 * @return its new version
 */
[[nodiscard]] tl::expected<object_version, store_error>
write_object(const std::string& platform, object_kind kind, const std::string& name, std::string_view content,
             object_version expected);
/** Reads all objects of a kind. */
[[nodiscard]] tl::expected<object_list, store_error> read_objects(const std::string& platform,
                                                                  object_kind kind);

} // namespace pollengrade
