#include "entry/declarationwatcher.h"

#include <algorithm>
#include <utility>

namespace turmericsill::entry {

using fleet::OperatorChanges;
using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    /// Limits the delay that an unanswered watch adds to a change, which must be in force within 2 s.
    constexpr milliseconds watchTimeout { 1000 };
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

void DeclarationWatcher::scheduleRetry(std::function<void()> action)
{
    timers_.schedule(clock_.now() + retryDelay, std::move(action));
}

void DeclarationWatcher::load()
{
    source_.loadDeclarations([this, sentAt = clock_.now()](const Result<OperatorChanges>& changes) {
        if (!changes)
            return scheduleRetry([this] { load(); });
        applyChanges(*changes, sentAt);
        watch();
    });
}

void DeclarationWatcher::watch()
{
    const auto sentAt = clock_.now();
    source_.watchDeclarations(nextOffset_, watchTimeout, [this, sentAt](const Result<OperatorChanges>& changes) {
        const bool wasSourceLost = std::exchange(isSourceLost_, !changes.has_value());
        if (!changes && !wasSourceLost)
            events_.write("store.lost", { { "reason", changes.error().message() } });
        if (changes && wasSourceLost)
            events_.write("store.regained", { { "next", changes->nextOffset } });
        if (!changes && changes.error().code == Errc::RetentionPassed)
            return load();
        if (!changes)
            return scheduleRetry([this] { watch(); });
        // A watch that brings nothing has waited at the store for its whole time.
        const bool hasWaited = changes->nextOffset == nextOffset_ && clock_.now() - sentAt >= watchTimeout;
        applyChanges(*changes, hasWaited ? sentAt + watchTimeout : sentAt);
        watch();
    });
}

milliseconds DeclarationWatcher::age() const
{
    return asOf_ ? std::chrono::duration_cast<milliseconds>(clock_.now() - *asOf_) : milliseconds::max();
}

void DeclarationWatcher::applyChanges(const OperatorChanges& changes, foundation::SteadyTime asOf)
{
    const std::uint64_t records = changes.nextOffset - std::min(nextOffset_, changes.nextOffset);
    const auto formerAge = asOf_ ? age() : milliseconds(0);
    nextOffset_ = changes.nextOffset;
    asOf_ = asOf;
    if (changes.configuration && changes.configuration->version > version_) {
        version_ = changes.configuration->version;
        events_.write("configuration.in-force",
            { { "version", version_ }, { "queues", static_cast<std::uint64_t>(changes.configuration->queues.size()) },
                { "records", records }, { "former_age_ms", std::int64_t(formerAge.count()) },
                { "age_ms", std::int64_t(age().count()) } });
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
