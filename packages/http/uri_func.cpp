/** @file uri_func.cpp Decodes and escapes targets with GLib's URI functions. */
#include "http/uri_func.h"

#include <charconv>

#include "runtime/glib_ptr.h"

namespace pollengrade {

namespace {

using ghash_table_ptr = std::unique_ptr<GHashTable, release_with<g_hash_table_unref>>;

} // namespace

std::optional<decoded_target> decode_target(std::string_view target) {
    const auto mark = target.find('?');
    const std::string raw_path{target.substr(0, mark)};
    const gchar_ptr path{g_uri_unescape_string(raw_path.c_str(), nullptr)};
    if (!path)
        return std::nullopt;
    decoded_target it{path.get(), {}};
    if (mark == std::string_view::npos)
        return it;
    const std::string raw_query{target.substr(mark + 1)};
    GError* error = nullptr;
    const ghash_table_ptr table{
        g_uri_parse_params(raw_query.c_str(), -1, "&", G_URI_PARAMS_WWW_FORM, &error)};
    const gerror_ptr ec{error};
    if (!table)
        return std::nullopt;
    GHashTableIter position;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&position, table.get());
    while (g_hash_table_iter_next(&position, &key, &value) != FALSE)
        it.query[static_cast<const char*>(key)] = static_cast<const char*>(value);
    return it;
}

std::string escape_uri(std::string_view text) {
    const auto* bytes =
        reinterpret_cast<const guint8*>(text.data()); // NOLINT(*-reinterpret-cast): GLib's bytes
    const gchar_ptr escaped{g_uri_escape_bytes(bytes, text.size(), nullptr)};
    return std::string{escaped.get()};
}

std::optional<std::uint64_t> parse_natural(std::string_view text) {
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

} // namespace pollengrade
