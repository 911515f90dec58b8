#include "declarations/differ.h"

#include "declarations/objectcodec.h"

namespace turmericsill::declarations {

ObjectChanges diff(const DeclarationSet& before, const DeclarationSet& after)
{
    ObjectChanges changes;
    for (const auto& [key, object] : before) {
        if (after.count(key) == 0)
            changes.push_back({ ObjectChange::Action::Remove, object });
    }
    for (const auto& [key, object] : after) {
        auto found = before.find(key);
        if (found == before.end())
            changes.push_back({ ObjectChange::Action::Add, object });
        else if (encode(found->second) != encode(object))
            changes.push_back({ ObjectChange::Action::Update, object });
    }
    return changes;
}

} // namespace turmericsill::declarations
