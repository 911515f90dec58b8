#pragma once

#include <array>
#include <cstdint>
#include <new>
#include <numeric>
#include <utility>

namespace turmericsill::foundation::tests {

/// Holds an object in storage that is overwritten when the object is destroyed, so that a later access to it fails.
template <typename Object> class OverwrittenObject {
public:
    template <typename... Arguments>
    explicit OverwrittenObject(Arguments&&... arguments)
        : object_(new (storage_.data()) Object(std::forward<Arguments>(arguments)...))
    {
    }

    ~OverwrittenObject() { destroy(); }
    OverwrittenObject(const OverwrittenObject&) = delete;
    OverwrittenObject& operator=(const OverwrittenObject&) = delete;

    Object* operator->() { return object_; }

    void destroy()
    {
        if (!object_)
            return;
        std::exchange(object_, nullptr)->~Object();
        std::iota(storage_.begin(), storage_.end(), std::uint8_t(1));
    }

private:
    alignas(Object) std::array<std::uint8_t, sizeof(Object)> storage_ {};
    Object* object_;
};

} // namespace turmericsill::foundation::tests
