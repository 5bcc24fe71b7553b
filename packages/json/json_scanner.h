/** @file json_scanner.h Reads JSON as RFC 8259 defines it, without recursion. What this rejects is not passed
 * to a parser that accepts more and recurses. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace pollengrade {

/** A position in a text, from which values and punctuation are read. The text is not checked for valid UTF-8.
 */
class json_scanner {
public:
    /**
     * @param text the text; must outlive the scanner and what it returns
     * @param max_depth values inside more arrays and objects than this are rejected
     */
    explicit json_scanner(std::string_view text,
                          std::size_t max_depth = std::numeric_limits<std::size_t>::max())
        : text_{text}, max_depth_{max_depth} {}

    /** Skips white space and then one character. @return false, and skips nothing more, if it is another */
    bool take(char expected);
    /**
     * Skips white space and reads a value.
     * @return the value as written; nullopt if there is none, or one that is not JSON or has no end
     */
    [[nodiscard]] std::optional<std::string_view> value();
    /** Skips white space. @return whether the text ends there */
    [[nodiscard]] bool is_at_end();

    /** Continues at a later position. */
    void skip_to(std::size_t position) { at_ = position; }

    /** @return the number of characters read so far; after a failure, up to where it was found. */
    [[nodiscard]] std::size_t position() const noexcept { return at_; }
    /** @return the number of values read, with those inside arrays and objects. */
    [[nodiscard]] std::size_t value_count() const noexcept { return value_count_; }

private:
    enum class progress : std::uint8_t { value_follows, ended, malformed };

    void skip_space();
    bool read_values();
    progress begin_value();
    progress begin_array();
    progress begin_object();
    bool open(char bracket);
    progress end_values();
    progress read_name();
    bool read_string();
    bool read_escape();
    bool read_word(std::string_view word);
    bool read_number();
    bool read_digits();
    bool take_next(char expected);
    [[nodiscard]] char next() const { return at_ < text_.size() ? text_[at_] : '\0'; }

    std::string_view text_;       ///< the text
    std::size_t max_depth_;       ///< see json_scanner()
    std::size_t at_ = 0;          ///< the next character
    std::string open_;            ///< opening brackets of the arrays and objects that are being read
    std::size_t value_count_ = 0; ///< see value_count()
};

} // namespace pollengrade
