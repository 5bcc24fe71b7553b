/** @file json_list.cpp Finds the elements of a list behind one that is not JSON. */
#include "json/json_list.h"

#include <cstddef>
#include <utility>

#include "json/json_scanner.h"

namespace pollengrade {

namespace {

/** Limit on the text behind a list that has an element that is not JSON. */
constexpr std::size_t max_tail_bytes = 1024;
/** Nesting of elements that are found behind such an element. It bounds how often each byte is read. */
constexpr std::size_t max_found_depth = 32;

/** Reads a member's name and the colon. @return the name; nullopt if there is none */
std::optional<std::string_view> read_name(json_scanner& at) {
    const auto name = at.value();
    if (!name || !name->starts_with('"') || !at.take(':'))
        return std::nullopt;
    return unquoted(*name);
}

/** @return whether a text is what follows a member of an object, up to the object's end. */
bool is_end_of_object(std::string_view text) {
    json_scanner at{text};
    while (at.take(',')) {
        if (!read_name(at) || !at.value())
            return false;
    }
    return at.take('}') && at.is_at_end();
}

/** Reads the elements of one list. */
class element_reader {
public:
    element_reader(std::string_view text, const json_element_test& is_element)
        : text_{text}, is_element_{is_element} {}

    /** Reads a list. @param at at the list's start, then at its end @return nullopt if it has no end */
    std::optional<std::vector<std::string_view>> read(json_scanner& at) {
        std::vector<std::string_view> elements;
        if (!at.take('['))
            return std::nullopt;
        bool has_next = !at.take(']');
        while (has_next) {
            const std::size_t start = at.position();
            const auto value = at.value();
            has_next = value && at.take(',');
            if (has_next || (value && at.take(']'))) {
                elements.push_back(*value);
                continue;
            }
            const auto end = end_of_unreadable(start);
            if (!end)
                return std::nullopt;
            elements.push_back(text_.substr(start, *end - start));
            has_next = text_[*end] == ',';
            at.skip_to(*end + 1);
        }
        return elements;
    }

private:
    /** @return the position of the comma or bracket after an element that is not JSON; nullopt if not found.
     */
    [[nodiscard]] std::optional<std::size_t> end_of_unreadable(std::size_t start) const {
        for (std::size_t n = text_.find_first_of(",]", start); n != std::string_view::npos;
             n = text_.find_first_of(",]", n + 1)) {
            const std::string_view rest = text_.substr(n + 1);
            if (text_[n] == ',' && starts_with_element(rest))
                return n;
            if (text_[n] == ']' && rest.size() <= max_tail_bytes && is_end_of_object(rest))
                return n;
        }
        return std::nullopt;
    }

    [[nodiscard]] bool starts_with_element(std::string_view rest) const {
        const auto value = json_scanner{rest, max_found_depth}.value();
        return value && value->starts_with('{') && is_element_(*value);
    }

    std::string_view text_;               ///< the whole text
    const json_element_test& is_element_; ///< see read_list()
};

} // namespace

std::optional<json_list> read_list(std::string_view text, std::string_view name,
                                   const json_element_test& is_element) {
    json_list list;
    bool has_list = false;
    json_scanner at{text};
    if (!at.take('{'))
        return std::nullopt;
    do {
        const auto member = read_name(at);
        if (!member)
            return std::nullopt;
        if (*member == name) {
            auto elements = element_reader{text, is_element}.read(at);
            if (!elements)
                return std::nullopt;
            list.elements = std::move(*elements);
            has_list = true;
        } else {
            const auto value = at.value();
            if (!value)
                return std::nullopt;
            list.members.push_back({*member, *value});
        }
    } while (at.take(','));
    if (!has_list || !at.take('}') || !at.is_at_end())
        return std::nullopt;
    return list;
}

std::vector<json_slice_member> leading_members_of(std::string_view text) {
    std::vector<json_slice_member> members;
    json_scanner at{text};
    if (!at.take('{'))
        return members;
    do {
        const auto name = read_name(at);
        if (!name)
            break;
        const std::size_t start = at.position();
        const auto value = at.value();
        members.push_back({*name, value.value_or(text.substr(start))});
        if (!value)
            break;
    } while (at.take(','));
    return members;
}

} // namespace pollengrade
