#include "entry/declarationwatcher.h"

#include <utility>

namespace turmericsill::entry {

using fleet::OperatorChanges;
using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    /// A watch that has gone silent costs at most this much of the 2 s in which a change must be in force.
    constexpr milliseconds watchWait { 1000 };
    constexpr milliseconds retryDelay { 100 };

} // namespace

DeclarationWatcher::DeclarationWatcher(fleet::IFleetSource& source, foundation::IClock& clock,
    foundation::ITimerQueue& timers, telemetry::IEventSink& events)
    : source_(source)
    , clock_(clock)
    , timers_(timers)
    , events_(events)
{
}

void DeclarationWatcher::onConfiguration(std::function<void(const fleet::FleetConfiguration&)> callback)
{
    configurationCallback_ = std::move(callback);
}

void DeclarationWatcher::start() { load(); }

void DeclarationWatcher::retry(std::function<void()> action)
{
    timers_.schedule(clock_.now() + retryDelay, std::move(action));
}

void DeclarationWatcher::load()
{
    source_.loadDeclarations([this](const Result<OperatorChanges>& changes) {
        if (!changes)
            return retry([this] { load(); });
        take(*changes);
        watch();
    });
}

void DeclarationWatcher::watch()
{
    source_.watchDeclarations(next_, watchWait, [this](const Result<OperatorChanges>& changes) {
        const bool wasLosing = std::exchange(isLosing_, !changes.has_value());
        if (!changes && !wasLosing)
            events_.write("store.lost", { { "reason", changes.error().message() } });
        if (changes && wasLosing)
            events_.write("store.regained", { { "next", changes->next } });
        if (!changes && changes.error().code == Errc::RetentionPassed)
            return load();
        if (!changes)
            return retry([this] { watch(); });
        take(*changes);
        watch();
    });
}

void DeclarationWatcher::take(const OperatorChanges& changes)
{
    next_ = changes.next;
    if (changes.configuration && changes.configuration->version > version_) {
        version_ = changes.configuration->version;
        events_.write("configuration.in-force",
            { { "version", version_ },
                { "queues", static_cast<std::uint64_t>(changes.configuration->queues.size()) } });
        configurationCallback_(*changes.configuration);
    }
    for (const auto& wave : changes.waves) {
        events_.write("wave.requested",
            { { "wave", wave.number }, { "machines", static_cast<std::uint64_t>(wave.machines.size()) } });
        if (waveCallback_)
            waveCallback_(wave);
    }
}

} // namespace turmericsill::entry
