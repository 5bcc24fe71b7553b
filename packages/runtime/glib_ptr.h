/** @file glib_ptr.h Owning pointers for GLib objects. */
#pragma once

#include <memory>

#include <gio/gio.h>

namespace pollengrade {

/** Deleter that releases one reference to a GObject. */
struct gobject_unref {
    void operator()(gpointer it) const noexcept { g_object_unref(it); }
};

/** Owns one reference to a GObject. */
template <typename T> using gobject_ptr = std::unique_ptr<T, gobject_unref>;

/** Deleter that calls a C function to release a value. */
template <auto Release> struct release_with {
    template <typename T> void operator()(T* it) const noexcept { Release(it); }
};

using gerror_ptr = std::unique_ptr<GError, release_with<g_error_free>>;
using gbytes_ptr = std::unique_ptr<GBytes, release_with<g_bytes_unref>>;
using gchar_ptr = std::unique_ptr<gchar, release_with<g_free>>;
using guri_ptr = std::unique_ptr<GUri, release_with<g_uri_unref>>;
using gmain_loop_ptr = std::unique_ptr<GMainLoop, release_with<g_main_loop_unref>>;

/** @return a new reference to @p it. */
template <typename T> gobject_ptr<T> add_reference(T* it) {
    g_object_ref(it);
    return gobject_ptr<T>{it};
}

} // namespace pollengrade
