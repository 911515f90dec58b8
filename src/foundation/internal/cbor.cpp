#include "foundation/cbor.h"

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::foundation {

namespace {

    using nlohmann::json;

    /// Builds the value that the parser reports, and ends parsing at the first level that is too deep.
    class ValueBuilder {
    public:
        ValueBuilder(json& value, std::size_t maximumValues)
            : value_(value)
            , remainingValues_(maximumValues)
        {
        }

        bool null() { return add(nullptr); }
        bool boolean(bool value) { return add(value); }
        bool number_integer(json::number_integer_t value) { return add(value); }
        bool number_unsigned(json::number_unsigned_t value) { return add(value); }
        bool number_float(json::number_float_t value, const json::string_t&) { return add(value); }
        bool string(json::string_t& value) { return add(std::move(value)); }
        bool binary(json::binary_t& value) { return add(std::move(value)); }
        bool start_object(std::size_t) { return open(json::object()); }
        bool start_array(std::size_t) { return open(json::array()); }
        bool end_object() { return close(); }
        bool end_array() { return close(); }

        bool key(json::string_t& value)
        {
            key_ = std::move(value);
            return true;
        }

        template <typename Exception> bool parse_error(std::size_t, const std::string&, const Exception& error)
        {
            throw error;
        }

    private:
        json& insert(json&& value)
        {
            if (remainingValues_-- == 0)
                throw std::length_error("CBOR with too many values");
            if (open_.empty())
                return value_ = std::move(value);
            json& parent = *open_.back();
            if (parent.is_object())
                return parent[key_] = std::move(value);
            parent.push_back(std::move(value));
            return parent.back();
        }

        template <typename Value> bool add(Value&& value)
        {
            insert(json(std::forward<Value>(value)));
            return true;
        }

        bool open(json&& container)
        {
            if (open_.size() == maximumCborDepth)
                throw std::length_error("CBOR with too many levels");
            open_.push_back(&insert(std::move(container)));
            return true;
        }

        bool close()
        {
            open_.pop_back();
            return true;
        }

        json& value_;
        std::size_t remainingValues_;
        std::vector<json*> open_;
        json::string_t key_;
    };

} // namespace

nlohmann::json parseCbor(std::string_view bytes, std::size_t maximumValues)
{
    json value;
    ValueBuilder builder(value, maximumValues);
    json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor);
    return value;
}

} // namespace turmericsill::foundation
