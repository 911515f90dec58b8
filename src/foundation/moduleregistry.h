#pragma once

#include <cassert>
#include <map>
#include <memory>
#include <typeindex>

namespace turmericsill::foundation {

/// What modules provide to each other, by the type of the interface.
class ModuleRegistry {
public:
    template <typename Interface> void provide(std::shared_ptr<Interface> implementation)
    {
        exports_[std::type_index(typeid(Interface))] = std::move(implementation);
    }

    /// The implementation of an interface; a module that resolves must be set up after the one that provides.
    template <typename Interface> std::shared_ptr<Interface> resolve() const
    {
        auto found = exports_.find(std::type_index(typeid(Interface)));
        assert(found != exports_.end());
        return std::static_pointer_cast<Interface>(found->second);
    }

private:
    std::map<std::type_index, std::shared_ptr<void>> exports_;
};

} // namespace turmericsill::foundation
