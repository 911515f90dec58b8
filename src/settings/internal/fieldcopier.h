#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace turmericsill::settings {

/// Copies fields of a validated JSON object into typed settings. Absent fields keep their defaults; an address must be
/// present.
class FieldCopier {
public:
    explicit FieldCopier(const nlohmann::json& object)
        : object_(object)
    {
    }

    void copy(const char* field, std::string& target) const
    {
        if (object_.contains(field))
            target = object_[field].get<std::string>();
    }

    void copy(const char* field, foundation::Address& target) const
    {
        target = *foundation::parseAddress(object_[field].get<std::string>());
    }

    void copy(const char* field, foundation::milliseconds& target) const
    {
        if (object_.contains(field))
            target = foundation::milliseconds(object_[field].get<std::int64_t>());
    }

    void copy(const char* field, double& target) const
    {
        if (object_.contains(field))
            target = object_[field].get<double>();
    }

    void copy(const char* field, std::size_t& target) const
    {
        if (object_.contains(field))
            target = object_[field].get<std::size_t>();
    }

    template <typename Value> void copy(const char* field, std::optional<Value>& target) const
    {
        if (object_.contains(field))
            copy(field, target.emplace());
    }

private:
    const nlohmann::json& object_;
};

} // namespace turmericsill::settings
