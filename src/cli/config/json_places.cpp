#include "cli/config/json_places.hpp"

#include "codec/json_text.hpp"

#include <cstdint>

namespace acaciastile
{

namespace
{

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

/// Reads a JSON text from start to end and keeps line and column.
class json_scanner
{
public:
    json_scanner(
        std::string_view text,
        std::map<std::string, source_position>& places,
        std::vector<repeated_field>& repeated)
        : text_(text), places_(places), repeated_(repeated)
    {
        if (text_.substr(0, byte_order_mark.size()) == byte_order_mark)
        {
            at_ = byte_order_mark.size();
        }
    }

    /// Scans one value and what stands before it.
    void scan_value(const std::string& path, int depth)
    {
        skip_space();
        if (at_end() || depth > max_nesting_depth)
        {
            return;
        }
        places_.try_emplace(path, position());
        if (text_[at_] == '{')
        {
            scan_object(path, depth);
        }
        else if (text_[at_] == '[')
        {
            scan_array(path, depth);
        }
        else if (text_[at_] == '"')
        {
            static_cast<void>(take_string());
        }
        else
        {
            skip_literal();
        }
    }

private:
    [[nodiscard]] bool at_end() const { return at_ >= text_.size(); }

    [[nodiscard]] source_position position() const
    {
        source_position found;
        found.line = line_;
        found.column = static_cast<std::uint32_t>(at_ - line_start_ + 1);
        return found;
    }

    void advance()
    {
        if (text_[at_] == '\n')
        {
            ++line_;
            line_start_ = at_ + 1;
        }
        ++at_;
    }

    void skip_to(std::string_view end)
    {
        const std::size_t found = text_.find(end, at_);
        const std::size_t until =
            found == std::string_view::npos ? text_.size() : found + end.size();
        while (at_ < until)
        {
            advance();
        }
    }

    /// Skips white space and comments.
    void skip_space()
    {
        while (!at_end())
        {
            const std::string_view next = text_.substr(at_, 2);
            if (next == "//")
            {
                skip_to("\n");
            }
            else if (next == "/*")
            {
                advance();
                advance();
                skip_to("*/");
            }
            else if (
                std::string_view(" \t\r\n").find(text_[at_]) !=
                std::string_view::npos)
            {
                advance();
            }
            else
            {
                return;
            }
        }
    }

    void skip_literal()
    {
        do
        {
            advance();
        } while (!at_end() &&
                 std::string_view(",:{}[]\"/ \t\r\n").find(text_[at_]) ==
                     std::string_view::npos);
    }

    /// Takes a string with its quotation marks.
    std::string_view take_string()
    {
        const std::size_t start = at_;
        advance();
        while (!at_end() && text_[at_] != '"')
        {
            const bool escaped = text_[at_] == '\\';
            advance();
            if (escaped && !at_end())
            {
                advance();
            }
        }
        if (!at_end())
        {
            advance();
        }
        return text_.substr(start, at_ - start);
    }

    static std::string decode(std::string_view quoted)
    {
        const auto parsed = nlohmann::json::parse(quoted, nullptr, false);
        return parsed.is_string() ? parsed.get<std::string>() : std::string();
    }

    /// Takes a character if it is the next one.
    bool take(char wanted)
    {
        skip_space();
        if (at_end() || text_[at_] != wanted)
        {
            return false;
        }
        advance();
        return true;
    }

    void scan_object(const std::string& path, int depth)
    {
        advance();
        do
        {
            skip_space();
            if (at_end() || text_[at_] != '"')
            {
                break;
            }
            const source_position found = position();
            const std::string name = decode(take_string());
            const std::string field = path.empty() ? name : path + "." + name;
            if (!places_.try_emplace(field, found).second)
            {
                repeated_.push_back({field, found});
            }
            if (!take(':'))
            {
                return;
            }
            scan_value(field, depth + 1);
        } while (take(','));
        take('}');
    }

    void scan_array(const std::string& path, int depth)
    {
        advance();
        if (take(']'))
        {
            return;
        }
        std::size_t index = 0;
        do
        {
            scan_value(path + "[" + std::to_string(index++) + "]", depth + 1);
        } while (take(','));
        take(']');
    }

    std::string_view text_;
    std::map<std::string, source_position>& places_;
    std::vector<repeated_field>& repeated_;
    std::size_t at_ = 0;
    std::size_t line_start_ = 0;
    std::uint32_t line_ = 1;
};

} // namespace

json_places json_places::scan(std::string_view text)
{
    json_places found;
    json_scanner(text, found.places_, found.repeated_).scan_value("", 0);
    return found;
}

source_position json_places::find(std::string path) const
{
    while (true)
    {
        if (const auto at = places_.find(path); at != places_.end())
        {
            return at->second;
        }
        if (path.empty())
        {
            return {};
        }
        const std::size_t last = path.find_last_of(".[");
        path.resize(last == std::string::npos ? 0 : last);
    }
}

} // namespace acaciastile
