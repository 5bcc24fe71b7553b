/** @file json_view.cpp Implements JSON reading and writing with json-glib. */
#include "json/json_view.h"

#include "json/json_scanner.h"

namespace pollengrade {

namespace {

/** @return whether a text is JSON within limits. The library's parser recurses and accepts more than JSON. */
bool is_json(std::string_view text, json_limits limits) {
    json_scanner at{text, limits.depth};
    return at.value() && at.is_at_end() && at.value_count() <= limits.values;
}

/** Reads member @p name of @p object with @p read; nullopt when there is no such member. */
template <typename T>
std::optional<T> read_member(const json_view& object, const char* name,
                             std::optional<T> (json_view::*read)() const) {
    const auto it = object.member(name);
    return it ? ((*it).*read)() : std::nullopt;
}

} // namespace

std::optional<json_view> json_view::member(const char* name) const {
    if (!JSON_NODE_HOLDS_OBJECT(node_))
        return std::nullopt;
    JsonNode* it = json_object_get_member(json_node_get_object(node_), name);
    if (it == nullptr)
        return std::nullopt;
    return json_view{it};
}

std::optional<std::vector<json_view>> json_view::elements() const {
    if (!JSON_NODE_HOLDS_ARRAY(node_))
        return std::nullopt;
    JsonArray* array = json_node_get_array(node_);
    const guint size = json_array_get_length(array);
    std::vector<json_view> views;
    views.reserve(size);
    for (guint n = 0; n < size; ++n)
        views.emplace_back(json_array_get_element(array, n));
    return views;
}

std::vector<json_member> json_view::members() const {
    std::vector<json_member> list;
    if (!JSON_NODE_HOLDS_OBJECT(node_))
        return list;
    JsonObject* object = json_node_get_object(node_);
    JsonObjectIter position;
    json_object_iter_init_ordered(&position, object);
    const char* name = nullptr;
    JsonNode* value = nullptr;
    while (json_object_iter_next_ordered(&position, &name, &value) != FALSE)
        list.push_back({name, json_view{value}});
    return list;
}

std::optional<std::int64_t> json_view::integer() const {
    if (!JSON_NODE_HOLDS_VALUE(node_) || json_node_get_value_type(node_) != G_TYPE_INT64)
        return std::nullopt;
    return json_node_get_int(node_);
}

std::optional<std::string_view> json_view::text() const {
    if (!JSON_NODE_HOLDS_VALUE(node_) || json_node_get_value_type(node_) != G_TYPE_STRING)
        return std::nullopt;
    return std::string_view{json_node_get_string(node_)};
}

std::optional<bool> json_view::boolean() const {
    if (!JSON_NODE_HOLDS_VALUE(node_) || json_node_get_value_type(node_) != G_TYPE_BOOLEAN)
        return std::nullopt;
    return json_node_get_boolean(node_) != FALSE;
}

std::optional<double> json_view::number() const {
    if (!JSON_NODE_HOLDS_VALUE(node_))
        return std::nullopt;
    const GType type = json_node_get_value_type(node_);
    if (type != G_TYPE_DOUBLE && type != G_TYPE_INT64)
        return std::nullopt;
    return json_node_get_double(node_);
}

std::string json_view::to_json() const {
    const gchar_ptr text{json_to_string(node_, FALSE)};
    return std::string{text.get()};
}

std::optional<double> json_view::number(const char* name) const {
    return read_member<double>(*this, name, &json_view::number);
}

std::optional<std::int64_t> json_view::integer(const char* name) const {
    return read_member<std::int64_t>(*this, name, &json_view::integer);
}

std::optional<std::string_view> json_view::text(const char* name) const {
    return read_member<std::string_view>(*this, name, &json_view::text);
}

std::optional<bool> json_view::boolean(const char* name) const {
    return read_member<bool>(*this, name, &json_view::boolean);
}

std::optional<std::uint64_t> json_view::natural(const char* name) const {
    const auto n = integer(name);
    if (!n || *n < 0)
        return std::nullopt;
    return static_cast<std::uint64_t>(*n);
}

std::optional<json_document> json_document::parse(std::string_view text, json_limits limits) {
    if (!is_json(text, limits))
        return std::nullopt;
    gobject_ptr<JsonParser> parser{json_parser_new()};
    const auto size = static_cast<gssize>(text.size());
    if (json_parser_load_from_data(parser.get(), text.data(), size, nullptr) == FALSE)
        return std::nullopt;
    if (json_parser_get_root(parser.get()) == nullptr)
        return std::nullopt;
    return json_document{std::move(parser)};
}

json_writer& json_writer::begin_object() {
    json_builder_begin_object(builder_.get());
    return *this;
}

json_writer& json_writer::end_object() {
    json_builder_end_object(builder_.get());
    return *this;
}

json_writer& json_writer::begin_array() {
    json_builder_begin_array(builder_.get());
    return *this;
}

json_writer& json_writer::end_array() {
    json_builder_end_array(builder_.get());
    return *this;
}

json_writer& json_writer::name(const char* it) {
    json_builder_set_member_name(builder_.get(), it);
    return *this;
}

json_writer& json_writer::value(std::int64_t it) {
    json_builder_add_int_value(builder_.get(), it);
    return *this;
}

json_writer& json_writer::value(std::string_view it) {
    // json_builder_add_string_value() requires a zero-terminated string of valid UTF-8.
    const gchar_ptr valid{g_utf8_make_valid(it.data(), static_cast<gssize>(it.size()))};
    json_builder_add_string_value(builder_.get(), valid.get());
    return *this;
}

json_writer& json_writer::value(bool it) {
    json_builder_add_boolean_value(builder_.get(), it ? TRUE : FALSE);
    return *this;
}

json_writer& json_writer::raw(std::string_view text) {
    const gobject_ptr<JsonParser> parser{json_parser_new()};
    json_parser_load_from_data(parser.get(), text.data(), static_cast<gssize>(text.size()), nullptr);
    json_builder_add_value(builder_.get(), json_node_copy(json_parser_get_root(parser.get())));
    return *this;
}

std::string json_writer::take() {
    JsonNode* root = json_builder_get_root(builder_.get());
    const gchar_ptr text{json_to_string(root, FALSE)};
    json_node_unref(root);
    return std::string{text.get()};
}

} // namespace pollengrade
