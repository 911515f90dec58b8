#include "control/instancedirectory.h"

#include <utility>

namespace turmericsill::control {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    constexpr milliseconds watchTimeout { 1000 }; ///< Long-poll time of a watch.
    constexpr milliseconds pauseBetweenWatches { 100 }; ///< Batches changes, of which there are about 30 per second.
    /// The platform holds starts against a smaller capacity 4.5 s after the change; the rest is for the order to
    /// arrive.
    constexpr milliseconds maximumAge { 4000 };
    constexpr milliseconds retryDelay { 200 }; ///< Delay after a failed list or watch.

} // namespace

InstanceDirectory::InstanceDirectory(fleet::IFleetSource& source, foundation::IClock& clock,
    foundation::ITimerQueue& timers, telemetry::IEventSink& events,
    std::function<void(const fleet::InstanceChange&)> onChange,
    std::function<void(const std::set<std::string>&)> onLoaded)
    : source_(source)
    , clock_(clock)
    , timers_(timers)
    , events_(events)
    , onChange_(std::move(onChange))
    , onLoaded_(std::move(onLoaded))
{
}

template <typename Action> void InstanceDirectory::scheduleAfter(milliseconds delay, Action action)
{
    timers_.schedule(clock_.now() + delay, [alive = alive_, action] {
        if (*alive)
            action();
    });
}

bool InstanceDirectory::isCurrent() const { return asOf_ && clock_.now() - *asOf_ < maximumAge; }

void InstanceDirectory::load()
{
    source_.loadInstances([this, alive = alive_, sentAt = clock_.now()](const Result<fleet::InstanceChanges>& entries) {
        if (!*alive)
            return;
        if (!entries) {
            events_.write("instances.unavailable", { { "reason", entries.error().message() } });
            return scheduleAfter(retryDelay, [this] { load(); });
        }
        apply(*entries, sentAt);
        watch();
    });
}

void InstanceDirectory::apply(const fleet::InstanceChanges& changes, foundation::SteadyTime asOf)
{
    nextOffset_ = changes.nextOffset;
    asOf_ = asOf;
    std::set<std::string> present = changes.undecodable;
    for (const auto& change : changes.changes) {
        present.insert(change.instance);
        onChange_(change);
    }
    if (changes.isComplete)
        onLoaded_(present);
}

void InstanceDirectory::watch()
{
    source_.watchInstances(nextOffset_, watchTimeout,
        [this, alive = alive_, sentAt = clock_.now()](const Result<fleet::InstanceChanges>& changes) {
            if (!*alive)
                return;
            if (!changes && changes.error().code == Errc::RetentionPassed)
                return load();
            if (!changes) {
                events_.write("instances.unavailable", { { "reason", changes.error().message() } });
                return scheduleAfter(retryDelay, [this] { watch(); });
            }
            apply(*changes, sentAt);
            scheduleAfter(pauseBetweenWatches, [this] { watch(); });
        });
}

} // namespace turmericsill::control
