#include "operators/rpc/internal/jsontext.h"

#include <memory>

namespace turmericsill {
namespace operators {

    Json::Value parseJson(const std::string& text)
    {
        Json::CharReaderBuilder builder;
        std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value value;
        std::string errors;
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return Json::Value();
        return value;
    }

    std::string writeJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

} // namespace operators
} // namespace turmericsill
