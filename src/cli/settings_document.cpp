#include "cli/settings_document.hpp"

#include <absl/strings/str_join.h>
#include <cstddef>
#include <iterator>
#include <set>

namespace acaciastile
{

using nlohmann::json;

namespace
{

constexpr std::size_t deepest_settings = 16;

/// Walks over a text and tells through `read` how far the parser has come.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    counting_iterator(
        const std::string& text, std::size_t at, std::size_t* read)
        : text_(&text), at_(at), read_(read)
    {
    }

    reference operator*() const { return (*text_)[at_]; }
    counting_iterator& operator++()
    {
        ++at_;
        *read_ = at_;
        return *this;
    }
    counting_iterator operator++(int)
    {
        counting_iterator before = *this;
        ++*this;
        return before;
    }
    bool operator==(const counting_iterator& other) const
    {
        return at_ == other.at_;
    }
    bool operator!=(const counting_iterator& other) const
    {
        return at_ != other.at_;
    }

private:
    const std::string* text_;
    std::size_t at_;
    std::size_t* read_;
};

/// Turns the parser's events into leaves with positions.
class leaf_builder : public nlohmann::json_sax<json>
{
public:
    leaf_builder(
        const std::string& text,
        std::string file,
        const std::size_t& read,
        settings_document& to)
        : text_(text), file_(std::move(file)), read_(read), to_(to)
    {
    }

    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value);
    }
    bool number_float(number_float_t value, const string_t&) override
    {
        return add(value);
    }
    bool string(string_t& value) override { return add(value); }
    bool binary(binary_t&) override { return add(nullptr); }

    bool start_object(std::size_t) override
    {
        if (list_depth_ > 0)
        {
            return refuse_here("a list may hold texts and numbers only");
        }
        if (names_.size() >= deepest_settings)
        {
            return refuse_here("objects are nested too deeply");
        }
        names_.emplace_back();
        return true;
    }

    bool key(string_t& name) override
    {
        names_.back() = name;
        key_at_ = start_of_text(read_);
        if (!seen_.insert(path()).second)
        {
            add_error("'" + path() + "' stands twice", key_at_);
        }
        return true;
    }

    bool end_object() override
    {
        names_.pop_back();
        return true;
    }

    bool start_array(std::size_t) override
    {
        if (list_depth_++ > 0)
        {
            return refuse_here("a list may hold texts and numbers only");
        }
        list_ = json::array();
        return true;
    }

    bool end_array() override
    {
        --list_depth_;
        return add(std::move(list_));
    }

    bool parse_error(
        std::size_t at,
        const std::string& /*last_token*/,
        const nlohmann::detail::exception& /*thrown*/) override
    {
        error wrong;
        wrong.code = refusal_code::malformed;
        wrong.message = "this is no JSON; comments are allowed, commas before "
                        "a closing bracket are not";
        wrong.position = position_of(at == 0 ? 0 : at - 1);
        to_.errors.push_back(std::move(wrong));
        return false;
    }

private:
    [[nodiscard]] std::string path() const
    {
        return absl::StrJoin(names_, ".");
    }

    bool add(json value)
    {
        if (list_depth_ > 0)
        {
            list_.push_back(std::move(value));
            return true;
        }
        if (names_.empty())
        {
            return refuse_here("settings must be one JSON object");
        }
        to_.leaves.push_back({path(), std::move(value), position_of(key_at_)});
        return true;
    }

    bool refuse_here(const std::string& message)
    {
        add_error(message, read_ == 0 ? 0 : read_ - 1);
        return false;
    }

    void add_error(const std::string& message, std::size_t at)
    {
        error wrong;
        wrong.code = refusal_code::invalid_value;
        wrong.message = message;
        wrong.position = position_of(at);
        to_.errors.push_back(std::move(wrong));
    }

    /// Index of the quote that opens the text which ends before `end`.
    [[nodiscard]] std::size_t start_of_text(std::size_t end) const
    {
        std::size_t at = end < 2 ? 0 : end - 2;
        while (at > 0 && (text_[at] != '"' || text_[at - 1] == '\\'))
        {
            --at;
        }
        return at;
    }

    [[nodiscard]] source_position position_of(std::size_t at) const
    {
        source_position found{file_, 1, 1};
        for (std::size_t index = 0; index < at && index < text_.size(); ++index)
        {
            const bool line_ends = text_[index] == '\n';
            found.line += line_ends ? 1 : 0;
            found.column = line_ends ? 1 : found.column + 1;
        }
        return found;
    }

    const std::string& text_;
    std::string file_;
    const std::size_t& read_;
    settings_document& to_;
    std::vector<std::string> names_;
    std::set<std::string> seen_;
    std::size_t key_at_ = 0;
    json list_;
    int list_depth_ = 0;
};

} // namespace

settings_document
settings_document::parse(const std::string& text, const std::string& file)
{
    settings_document made;
    std::size_t read = 0;
    leaf_builder builder(text, file, read, made);
    constexpr bool whole_text = true;
    constexpr bool with_comments = true;
    made.complete = json::sax_parse(
        counting_iterator(text, 0, &read),
        counting_iterator(text, text.size(), &read),
        &builder,
        json::input_format_t::json,
        whole_text,
        with_comments);
    return made;
}

} // namespace acaciastile
