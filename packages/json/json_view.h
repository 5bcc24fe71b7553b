/** @file json_view.h Reads JSON within limits, and writes JSON. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json-glib/json-glib.h>

#include "runtime/glib_ptr.h"

namespace pollengrade {

/** Limits of a text that is parsed, whose values take stack and memory. */
struct json_limits {
    std::size_t depth = 0;  ///< arrays and objects around the innermost value
    std::size_t values = 0; ///< values, with those inside arrays and objects
};

/** For texts in the formats of this project. */
inline constexpr json_limits own_json_limits{16, 200'000};
/** For the platform's texts, which may contain objects of other clients. */
inline constexpr json_limits platform_json_limits{200, 200'000};

struct json_member;

/** A non-owning view of a value in a json_document. @pre the document outlives the view */
class json_view {
public:
    explicit json_view(JsonNode* node) : node_{node} {}

    /** @return a member of an object; nullopt when this is not an object or has no such member. */
    [[nodiscard]] std::optional<json_view> member(const char* name) const;
    /** @return the elements of an array; nullopt when this is not an array. */
    [[nodiscard]] std::optional<std::vector<json_view>> elements() const;
    /** @return the members of an object, in document order; empty when this is not an object. */
    [[nodiscard]] std::vector<json_member> members() const;
    [[nodiscard]] std::optional<std::int64_t> integer() const;
    [[nodiscard]] std::optional<std::string_view> text() const;
    [[nodiscard]] std::optional<bool> boolean() const;
    /** @return the value of a JSON number, with or without a fraction. */
    [[nodiscard]] std::optional<double> number() const;
    /** @return this value as a JSON text. */
    [[nodiscard]] std::string to_json() const;

    /** These overloads read the member @p name of an object; nullopt when it is absent or of another type. */
    [[nodiscard]] std::optional<std::int64_t> integer(const char* name) const;
    [[nodiscard]] std::optional<std::string_view> text(const char* name) const;
    [[nodiscard]] std::optional<bool> boolean(const char* name) const;
    [[nodiscard]] std::optional<double> number(const char* name) const;
    /** @return an integer member; nullopt when it is absent, negative or of another type. */
    [[nodiscard]] std::optional<std::uint64_t> natural(const char* name) const;

private:
    JsonNode* node_; ///< owned by the json_document
};

/** One member of an object. */
struct json_member {
    std::string name; ///< its name
    json_view value;  ///< its value
};

/** A parsed JSON text. */
class json_document {
public:
    /** @return the document; nullopt when @p text is not JSON as RFC 8259 defines it, or beyond the limits.
     */
    static std::optional<json_document> parse(std::string_view text, json_limits limits = own_json_limits);

    [[nodiscard]] json_view root() const { return json_view{json_parser_get_root(parser_.get())}; }

private:
    explicit json_document(gobject_ptr<JsonParser> parser) : parser_{std::move(parser)} {}

    gobject_ptr<JsonParser> parser_; ///< owns all nodes
};

/** Builds a JSON text. The methods return the writer, so that calls can be chained. */
class json_writer {
public:
    json_writer() : builder_{json_builder_new()} {}

    json_writer& begin_object();
    json_writer& end_object();
    json_writer& begin_array();
    json_writer& end_array();
    json_writer& name(const char* it);
    json_writer& value(std::int64_t it);
    json_writer& value(std::uint64_t it) { return value(static_cast<std::int64_t>(it)); }
    json_writer& value(std::uint32_t it) { return value(static_cast<std::int64_t>(it)); }
    json_writer& value(std::string_view it);
    json_writer& value(bool it);
    /** Adds a value that is given as JSON text. @pre @p text is valid JSON */
    json_writer& raw(std::string_view text);
    json_writer& value(const char* it) { return value(std::string_view{it}); }
    json_writer& value(const std::string& it) { return value(std::string_view{it}); }

    /** Adds a member with its value to the current object. */
    template <typename T> json_writer& member(const char* key, const T& it) { return name(key).value(it); }

    /** @return the text. @pre every object and array has been ended */
    [[nodiscard]] std::string take();

private:
    gobject_ptr<JsonBuilder> builder_; ///< holds the nodes that have been added
};

} // namespace pollengrade
