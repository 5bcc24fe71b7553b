/** @file ini_document.h An INI text checked against a table of known keys. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "core/config/settings_type.h"

namespace pollengrade {

inline constexpr std::size_t max_settings_bytes = std::size_t{64} * 1024; ///< longest settings text accepted

/** What a key may hold. */
enum class setting_type : std::uint8_t { text, number, decimal, choice };

/** One known key: the single source for checking and for the reference page. */
struct key_rule {
    std::string_view group;                 ///< its group
    std::string_view key;                   ///< its name
    setting_type type = setting_type::text; ///< what it holds
    std::int64_t min = 0;                   ///< smallest number, or shortest text in bytes
    std::int64_t max = 0;                   ///< largest number, or longest text in bytes
    std::string_view default_value;         ///< the default; ignored when required
    bool required = false;                  ///< whether it must be given
    std::string_view choices;               ///< the words of a choice, separated by '|'
    std::string_view unit;                  ///< "ms", "percent", "" for none
    std::string_view description;           ///< one sentence for the reference page
};

/** A checked INI text: every rule's key has a value that keeps the rule. */
class ini_document {
public:
    /**
     * Parses and checks a text. Unknown and duplicate groups and keys are errors.
     * @param text the INI text
     * @param rules the known keys
     * @return the document, or every error found
     */
    static tl::expected<ini_document, std::vector<settings_error>> parse(std::string_view text,
                                                                         std::span<const key_rule> rules);

    /** @return the text of a key. @pre the key is in the rules given to parse() */
    [[nodiscard]] const std::string& text(std::string_view group, std::string_view key) const;
    /** @return the number in a key. @pre the key is a number in the rules given to parse() */
    [[nodiscard]] std::int64_t number(std::string_view group, std::string_view key) const;
    /** @return the number in a key that may have a fraction. @pre the key is a decimal in the rules */
    [[nodiscard]] double decimal(std::string_view group, std::string_view key) const;

private:
    std::map<std::pair<std::string, std::string>, std::string, std::less<>> values_; ///< by group and key
};

/** @return the rules as a Markdown table for the reference page. */
[[nodiscard]] std::string describe_rules(std::span<const key_rule> rules);

} // namespace pollengrade
