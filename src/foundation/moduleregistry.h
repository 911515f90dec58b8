#pragma once

#include <cassert>
#include <map>
#include <memory>
#include <typeindex>

namespace turmericsill::foundation {

/// Implementations that the modules of a process provide to each other, keyed by interface type.
class ModuleRegistry {
public:
    /// Registers the implementation of an interface and replaces an earlier one.
    template <typename Interface> void provide(std::shared_ptr<Interface> implementation)
    {
        implementations_[std::type_index(typeid(Interface))] = std::move(implementation);
    }

    /// Returns the implementation of an interface, which must have been provided before.
    template <typename Interface> std::shared_ptr<Interface> resolve() const
    {
        auto found = implementations_.find(std::type_index(typeid(Interface)));
        assert(found != implementations_.end());
        return std::static_pointer_cast<Interface>(found->second);
    }

private:
    std::map<std::type_index, std::shared_ptr<void>> implementations_;
};

} // namespace turmericsill::foundation
