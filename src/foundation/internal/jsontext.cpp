#include "foundation/jsontext.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turmericsill::foundation {

namespace {

    bool isPlain(char character)
    {
        constexpr char firstPrintable = ' ';
        constexpr char lastAscii = '~';
        return character >= firstPrintable && character <= lastAscii && character != '"' && character != '\\';
    }

} // namespace

// Nearly all texts need no escapes; the others are left to the JSON library.
void appendJsonString(std::string& json, std::string_view text)
{
    if (!std::all_of(text.begin(), text.end(), isPlain)) {
        json += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    json += '"';
    json += text;
    json += '"';
}

std::size_t countJsonValues(std::string_view json)
{
    std::size_t values = 0;
    bool isInString = false;
    for (std::size_t at = 0; at < json.size(); ++at) {
        const char character = json[at];
        if (isInString && character == '\\')
            ++at;
        else if (character == '"')
            isInString = !isInString;
        else if (!isInString)
            values += character == ',' || character == '[' || character == '{';
    }
    return values;
}

} // namespace turmericsill::foundation
