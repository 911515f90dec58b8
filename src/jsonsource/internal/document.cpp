#include "jsonsource/document.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

namespace turmericsill::jsonsource {

namespace {

    /// Position shared by the iterator that the parser consumes and the handler that it calls.
    struct Cursor {
        std::size_t line = 1;
        bool lineEnded = false;

        // A newline counts towards the line that it ends, because the parser looks one character past a number.
        void consume(char character)
        {
            if (lineEnded)
                ++line;
            lineEnded = character == '\n';
        }
    };

    /// Input iterator that counts lines as the parser consumes characters.
    class CountingIterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = char;
        using difference_type = std::ptrdiff_t;
        using pointer = const char*;
        using reference = const char&;

        CountingIterator(const char* position, Cursor* cursor)
            : position_(position)
            , cursor_(cursor)
        {
        }

        reference operator*() const { return *position_; }
        CountingIterator& operator++()
        {
            cursor_->consume(*position_++);
            return *this;
        }
        CountingIterator operator++(int)
        {
            CountingIterator before = *this;
            ++*this;
            return before;
        }
        bool operator==(const CountingIterator& other) const { return position_ == other.position_; }
        bool operator!=(const CountingIterator& other) const { return position_ != other.position_; }

    private:
        const char* position_;
        Cursor* cursor_;
    };

    std::string escapePointerToken(const std::string& token)
    {
        std::string escaped;
        for (char character : token) {
            if (character == '~')
                escaped += "~0";
            else if (character == '/')
                escaped += "~1";
            else
                escaped += character;
        }
        return escaped;
    }

} // namespace

/// Builds the document and the line of each field from the parser's events.
class PositionHandler {
public:
    using number_integer_t = nlohmann::json::number_integer_t;
    using number_unsigned_t = nlohmann::json::number_unsigned_t;
    using number_float_t = nlohmann::json::number_float_t;
    using string_t = nlohmann::json::string_t;
    using binary_t = nlohmann::json::binary_t;

    PositionHandler(Document& document, const Cursor& cursor, Faults& faults)
        : document_(document)
        , cursor_(cursor)
        , faults_(faults)
    {
    }

    bool null() { return addValue(nullptr); }
    bool boolean(bool value) { return addValue(value); }
    bool number_integer(number_integer_t value) { return addValue(value); }
    bool number_unsigned(number_unsigned_t value) { return addValue(value); }
    bool number_float(number_float_t value, const string_t&) { return addValue(value); }
    bool string(string_t& value) { return addValue(value); }
    bool binary(binary_t&) { return false; }
    bool start_object(std::size_t) { return open(nlohmann::json::object()); }
    bool start_array(std::size_t) { return open(nlohmann::json::array()); }
    bool end_object() { return close(); }
    bool end_array() { return close(); }

    bool key(string_t& value)
    {
        Level& level = levels_.back();
        level.key = value;
        std::string pointer = level.pointer + "/" + escapePointerToken(value);
        if (!document_.lines_.emplace(pointer, cursor_.line).second)
            faults_.push_back({ document_.file_, cursor_.line, pointer, "a field may stand only once" });
        return true;
    }

    bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception& error)
    {
        faults_.push_back({ document_.file_, cursor_.line, "", error.what() });
        return false;
    }

private:
    struct Level {
        nlohmann::json* container;
        std::string pointer;
        std::string key;
    };

    std::string childPointer() const
    {
        if (levels_.empty())
            return "";
        const Level& level = levels_.back();
        if (level.container->is_array())
            return level.pointer + "/" + std::to_string(level.container->size());
        return level.pointer + "/" + escapePointerToken(level.key);
    }

    nlohmann::json& place(nlohmann::json value)
    {
        if (levels_.empty()) {
            document_.value_ = std::move(value);
            return document_.value_;
        }
        Level& level = levels_.back();
        if (level.container->is_array()) {
            level.container->push_back(std::move(value));
            return level.container->back();
        }
        return (*level.container)[level.key] = std::move(value);
    }

    bool addValue(nlohmann::json value)
    {
        document_.lines_.emplace(childPointer(), cursor_.line);
        place(std::move(value));
        return true;
    }

    bool open(nlohmann::json container)
    {
        std::string pointer = childPointer();
        document_.lines_.emplace(pointer, cursor_.line);
        nlohmann::json& placed = place(std::move(container));
        levels_.push_back({ &placed, std::move(pointer), {} });
        return true;
    }

    bool close()
    {
        levels_.pop_back();
        return true;
    }

    Document& document_;
    const Cursor& cursor_;
    Faults& faults_;
    std::vector<Level> levels_;
};

std::optional<Document> Document::parse(const std::string& file, const std::string& text, Faults& faults)
{
    Document document;
    document.file_ = file;
    Cursor cursor;
    PositionHandler handler(document, cursor, faults);
    const char* begin = text.data();
    const bool parsed = nlohmann::json::sax_parse(CountingIterator(begin, &cursor),
        CountingIterator(begin + text.size(), &cursor), &handler, nlohmann::json::input_format_t::json, true, true);
    if (!parsed)
        return std::nullopt;
    return document;
}

std::size_t Document::lineOf(std::string pointer) const
{
    while (true) {
        auto found = lines_.find(pointer);
        if (found != lines_.end())
            return found->second;
        auto slash = pointer.rfind('/');
        if (slash == std::string::npos)
            return 1;
        pointer.resize(slash);
    }
}

void Document::addFault(Faults& faults, const std::string& pointer, const std::string& expected) const
{
    faults.push_back({ file_, lineOf(pointer), pointer, expected });
}

std::optional<std::string> readFile(const std::string& path, Faults& faults)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    if (stream && stream.peek() != std::ifstream::traits_type::eof())
        content << stream.rdbuf();
    if (!stream || stream.bad()) {
        faults.push_back({ path, 1, "", "a readable, non-empty file" });
        return std::nullopt;
    }
    return content.str();
}

} // namespace turmericsill::jsonsource
