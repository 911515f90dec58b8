#include "jsonsource/document.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <utility>

namespace turmericsill::jsonsource {

namespace {

    constexpr std::size_t maximumFileBytes = 64u << 20; ///< As of a request of an operator.
    constexpr std::size_t maximumDepth = 32; ///< Levels of lists and maps; declarations have three.
    /// Declarations have some eight values for each instance.
    constexpr std::size_t maximumValues = 1000000;

    /// Line position, shared by the iterator that the parser reads from and the handler that it calls.
    struct LinePosition {
        std::size_t line = 1;
        bool lineEnded = false;

        // A newline still belongs to the line that it ends, because the parser reads one character past a number before
        // it reports the number.
        void consume(char character)
        {
            if (lineEnded)
                ++line;
            lineEnded = character == '\n';
        }
    };

    /// Input iterator that counts lines as the parser consumes characters.
    class LineCountingIterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = char;
        using difference_type = std::ptrdiff_t;
        using pointer = const char*;
        using reference = const char&;

        LineCountingIterator(const char* position, LinePosition* linePosition)
            : position_(position)
            , linePosition_(linePosition)
        {
        }

        reference operator*() const { return *position_; }
        LineCountingIterator& operator++()
        {
            linePosition_->consume(*position_++);
            return *this;
        }
        LineCountingIterator operator++(int)
        {
            LineCountingIterator before = *this;
            ++*this;
            return before;
        }
        bool operator==(const LineCountingIterator& other) const { return position_ == other.position_; }
        bool operator!=(const LineCountingIterator& other) const { return position_ != other.position_; }

    private:
        const char* position_;
        LinePosition* linePosition_;
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

/// SAX handler that builds the document and records the line of each field.
class PositionHandler {
public:
    using number_integer_t = nlohmann::json::number_integer_t;
    using number_unsigned_t = nlohmann::json::number_unsigned_t;
    using number_float_t = nlohmann::json::number_float_t;
    using string_t = nlohmann::json::string_t;
    using binary_t = nlohmann::json::binary_t;

    PositionHandler(Document& document, const LinePosition& linePosition, Faults& faults)
        : document_(document)
        , linePosition_(linePosition)
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
        OpenContainer& parent = openContainers_.back();
        parent.key = value;
        std::string pointer = parent.pointer + "/" + escapePointerToken(value);
        if (!document_.lines_.emplace(pointer, linePosition_.line).second)
            faults_.push_back({ document_.file_, linePosition_.line, pointer, "a field may stand only once" });
        return true;
    }

    bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception& error)
    {
        faults_.push_back({ document_.file_, linePosition_.line, "", error.what() });
        return false;
    }

private:
    struct OpenContainer {
        nlohmann::json* container;
        std::string pointer;
        std::string key;
    };

    std::string childPointer() const
    {
        if (openContainers_.empty())
            return "";
        const OpenContainer& parent = openContainers_.back();
        if (parent.container->is_array())
            return parent.pointer + "/" + std::to_string(parent.container->size());
        return parent.pointer + "/" + escapePointerToken(parent.key);
    }

    nlohmann::json& insertValue(nlohmann::json value)
    {
        if (openContainers_.empty()) {
            document_.value_ = std::move(value);
            return document_.value_;
        }
        OpenContainer& parent = openContainers_.back();
        if (parent.container->is_array()) {
            parent.container->push_back(std::move(value));
            return parent.container->back();
        }
        return (*parent.container)[parent.key] = std::move(value);
    }

    bool addValue(nlohmann::json value)
    {
        if (!countValue())
            return false;
        document_.lines_.emplace(childPointer(), linePosition_.line);
        insertValue(std::move(value));
        return true;
    }

    /// Adds a fault and returns false if the document has too many values.
    bool countValue()
    {
        if (++values_ <= maximumValues)
            return true;
        faults_.push_back({ document_.file_, linePosition_.line, childPointer(),
            "at most " + std::to_string(maximumValues) + " values" });
        return false;
    }

    bool open(nlohmann::json container)
    {
        if (!countValue())
            return false;
        if (openContainers_.size() == maximumDepth) {
            faults_.push_back({ document_.file_, linePosition_.line, childPointer(),
                "at most " + std::to_string(maximumDepth) + " levels of lists and maps" });
            return false;
        }
        std::string pointer = childPointer();
        document_.lines_.emplace(pointer, linePosition_.line);
        nlohmann::json& inserted = insertValue(std::move(container));
        openContainers_.push_back({ &inserted, std::move(pointer), {} });
        return true;
    }

    bool close()
    {
        openContainers_.pop_back();
        return true;
    }

    Document& document_;
    const LinePosition& linePosition_;
    Faults& faults_;
    std::vector<OpenContainer> openContainers_;
    std::size_t values_ = 0;
};

std::optional<Document> Document::parse(const std::string& file, const std::string& text, Faults& faults)
{
    Document document;
    document.file_ = file;
    LinePosition linePosition;
    PositionHandler handler(document, linePosition, faults);
    const char* begin = text.data();
    const bool parsed = nlohmann::json::sax_parse(LineCountingIterator(begin, &linePosition),
        LineCountingIterator(begin + text.size(), &linePosition), &handler, nlohmann::json::input_format_t::json, true,
        true);
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
    std::string content;
    std::array<char, 64 << 10> part {};
    while (stream && content.size() <= maximumFileBytes) {
        stream.read(part.data(), part.size());
        content.append(part.data(), static_cast<std::size_t>(stream.gcount()));
    }
    if (content.empty() || stream.bad()) {
        faults.push_back({ path, 1, "", "a readable, non-empty file" });
        return std::nullopt;
    }
    if (content.size() > maximumFileBytes) {
        faults.push_back({ path, 1, "", "a file of at most " + std::to_string(maximumFileBytes) + " bytes" });
        return std::nullopt;
    }
    return content;
}

} // namespace turmericsill::jsonsource
