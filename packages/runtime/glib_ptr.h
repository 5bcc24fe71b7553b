/** @file glib_ptr.h Ownership of GLib's objects. */
#pragma once

#include <memory>

#include <gio/gio.h>

namespace pollengrade {

/** Drops one reference of a GObject. */
struct gobject_unref {
    void operator()(gpointer it) const noexcept { g_object_unref(it); }
};

/** One reference of a GObject. */
template <typename T> using gobject_ptr = std::unique_ptr<T, gobject_unref>;

/** Calls a C function to release a value. */
template <auto Release> struct release_with {
    template <typename T> void operator()(T* it) const noexcept { Release(it); }
};

using gerror_ptr = std::unique_ptr<GError, release_with<g_error_free>>;
using gbytes_ptr = std::unique_ptr<GBytes, release_with<g_bytes_unref>>;
using gchar_ptr = std::unique_ptr<gchar, release_with<g_free>>;
using guri_ptr = std::unique_ptr<GUri, release_with<g_uri_unref>>;
using gmain_loop_ptr = std::unique_ptr<GMainLoop, release_with<g_main_loop_unref>>;

/** @return another reference of @p it. */
template <typename T> gobject_ptr<T> add_reference(T* it) {
    g_object_ref(it);
    return gobject_ptr<T>{it};
}

} // namespace pollengrade
