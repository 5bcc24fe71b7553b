/** @file ini_document.h Parses INI texts and validates them against a table of known keys. */
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

/** Type of a key's value. */
enum class setting_type : std::uint8_t { text, number, decimal, choice };

/** Definition of one known key, used both for validation and for the reference page. */
struct key_rule {
    std::string_view group;                 ///< group of the key
    std::string_view key;                   ///< name of the key
    setting_type type = setting_type::text; ///< type of its value
    std::int64_t min = 0;                   ///< smallest number, or least length of a text in bytes
    std::int64_t max = 0;                   ///< largest number, or greatest length of a text in bytes
    std::string_view default_value;         ///< value if the key is absent; unused if the key is required
    bool required = false;                  ///< whether the key must be present
    std::string_view choices;               ///< allowed values of a choice, separated by '|'
    std::string_view unit;                  ///< unit of a number, such as "ms" or "percent"; empty for none
    std::string_view description;           ///< description for the reference page
};

/** A validated INI text: each key of the rules has a value that satisfies its rule. */
class ini_document {
public:
    /**
     * Parses and validates a text. Unknown or duplicate groups and keys are errors.
     * @param text the INI text
     * @param rules the known keys
     * @return the document, or all errors found
     */
    static tl::expected<ini_document, std::vector<settings_error>> parse(std::string_view text,
                                                                         std::span<const key_rule> rules);

    /** @return the value of a key as text. @pre the key is in the rules given to parse() */
    [[nodiscard]] const std::string& text(std::string_view group, std::string_view key) const;
    /** @return the value of a number key. @pre the key has type number in the rules given to parse() */
    [[nodiscard]] std::int64_t number(std::string_view group, std::string_view key) const;
    /** @return the value of a decimal key. @pre the key has type decimal in the rules given to parse() */
    [[nodiscard]] double decimal(std::string_view group, std::string_view key) const;

private:
    std::map<std::pair<std::string, std::string>, std::string, std::less<>>
        values_; ///< values by group and key
};

/** @return the rules as a Markdown table for the reference page. */
[[nodiscard]] std::string describe_rules(std::span<const key_rule> rules);

} // namespace pollengrade
