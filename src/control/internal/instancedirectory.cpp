#include "control/instancedirectory.h"

#include <utility>

namespace turmericsill::control {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    constexpr milliseconds watchWait { 1000 };
    constexpr milliseconds watchPause { 100 }; ///< Instances' entries change about 30 times a second.
    constexpr milliseconds retryDelay { 200 };

} // namespace

InstanceDirectory::InstanceDirectory(fleet::IFleetSource& source, foundation::IClock& clock,
    foundation::ITimerQueue& timers, std::function<void(const fleet::InstanceChange&)> changed,
    std::function<void(const std::set<std::string>&)> loaded)
    : source_(source)
    , clock_(clock)
    , timers_(timers)
    , changed_(std::move(changed))
    , loaded_(std::move(loaded))
{
}

template <typename Action> void InstanceDirectory::later(milliseconds delay, Action action)
{
    timers_.schedule(clock_.now() + delay, [alive = alive_, action] {
        if (*alive)
            action();
    });
}

void InstanceDirectory::load()
{
    source_.loadInstances([this, alive = alive_](const Result<fleet::InstanceChanges>& entries) {
        if (!*alive)
            return;
        if (!entries)
            return later(retryDelay, [this] { load(); });
        std::set<std::string> present;
        for (const auto& change : entries->changes) {
            present.insert(change.instance);
            changed_(change);
        }
        next_ = entries->next;
        isLoaded_ = true;
        loaded_(present);
        watch();
    });
}

void InstanceDirectory::watch()
{
    source_.watchInstances(next_, watchWait, [this, alive = alive_](const Result<fleet::InstanceChanges>& changes) {
        if (!*alive)
            return;
        if (!changes && changes.error().code == Errc::RetentionPassed)
            return load();
        if (!changes)
            return later(retryDelay, [this] { watch(); });
        next_ = changes->next;
        for (const auto& change : changes->changes)
            changed_(change);
        later(watchPause, [this] { watch(); });
    });
}

} // namespace turmericsill::control
