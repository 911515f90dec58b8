#include "jsonsource/objectschema.h"

#include "foundation/address.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace turmericsill::jsonsource {

namespace {

    constexpr std::size_t maximumNameLength = 63;
    constexpr std::size_t maximumTextLength = 1024;

    bool isNameCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-'
            || character == '.';
    }

    bool isWithinRange(const FieldSchema& field, double value)
    {
        return value >= field.minimum && value <= field.maximum;
    }

    bool isValidNameList(const nlohmann::json& value)
    {
        return value.is_array() && std::all_of(value.begin(), value.end(), [](const nlohmann::json& item) {
            return item.is_string() && isValidName(item.get_ref<const std::string&>());
        });
    }

    bool isValidValue(const FieldSchema& field, const nlohmann::json& value)
    {
        switch (field.type) {
        case FieldType::Name:
            return value.is_string() && isValidName(value.get_ref<const std::string&>());
        case FieldType::Text:
            return value.is_string() && value.get_ref<const std::string&>().size() <= maximumTextLength;
        case FieldType::Integer:
            return value.is_number_integer() && isWithinRange(field, value.get<double>());
        case FieldType::Number:
            return value.is_number() && std::isfinite(value.get<double>()) && isWithinRange(field, value.get<double>());
        case FieldType::Boolean:
            return value.is_boolean();
        case FieldType::Address:
            return value.is_string() && foundation::parseAddress(value.get<std::string>()).has_value();
        case FieldType::Choice:
            return value.is_string()
                && std::find(field.choices.begin(), field.choices.end(), value.get<std::string>())
                != field.choices.end();
        case FieldType::NameList:
            return isValidNameList(value);
        case FieldType::Object:
            return value.is_object();
        }
        return false;
    }

    std::string joinFieldNames(const ObjectSchema& schema)
    {
        std::string names;
        for (const auto& field : schema)
            names += (names.empty() ? "" : ", ") + field.name;
        return names;
    }

    void checkField(const Document& document, const std::string& pointer, const FieldSchema& field,
        const nlohmann::json& object, Faults& faults)
    {
        auto found = object.find(field.name);
        if (found == object.end()) {
            if (field.required)
                document.addFault(faults, pointer + "/" + field.name, "missing; expected " + field.expectation());
            return;
        }
        if (!isValidValue(field, *found))
            document.addFault(faults, pointer + "/" + field.name, "expected " + field.expectation());
    }

} // namespace

std::string FieldSchema::expectation() const
{
    std::ostringstream text;
    switch (type) {
    case FieldType::Name:
        return "a name of lower-case letters, digits, '-' and '.', 1 to 63 characters, that starts with a letter or "
               "digit";
    case FieldType::Text:
        return "a string of at most 1024 characters";
    case FieldType::Integer:
        text << "a whole number from " << std::fixed << static_cast<long long>(minimum) << " to "
             << static_cast<long long>(maximum);
        return text.str();
    case FieldType::Number:
        text << "a number from " << minimum << " to " << maximum;
        return text.str();
    case FieldType::Boolean:
        return "true or false";
    case FieldType::Address:
        return "an address IP:PORT with an IP number and a port from 1 to 65535";
    case FieldType::Choice:
        text << "one of";
        for (const auto& choice : choices)
            text << " \"" << choice << "\"";
        return text.str();
    case FieldType::NameList:
        return "a list of names";
    case FieldType::Object:
        return "an object";
    }
    return {};
}

bool isValidName(const std::string& name)
{
    if (name.empty() || name.size() > maximumNameLength || name.front() == '-' || name.front() == '.')
        return false;
    return std::all_of(name.begin(), name.end(), isNameCharacter);
}

void checkObject(const Document& document, const std::string& pointer, const ObjectSchema& schema, Faults& faults)
{
    const nlohmann::json& object = document.value().at(nlohmann::json::json_pointer(pointer));
    if (!object.is_object()) {
        document.addFault(faults, pointer, "expected an object");
        return;
    }
    for (const auto& item : object.items()) {
        auto known = [&](const FieldSchema& field) { return field.name == item.key(); };
        if (std::none_of(schema.begin(), schema.end(), known))
            document.addFault(faults, pointer + "/" + item.key(), "unknown field; known are " + joinFieldNames(schema));
    }
    for (const auto& field : schema)
        checkField(document, pointer, field, object, faults);
}

} // namespace turmericsill::jsonsource
