#include "entry/declarationwatcher.h"

#include <algorithm>
#include <utility>

namespace turmericsill::entry {

using fleet::OperatorChanges;
using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    constexpr milliseconds watchTimeout { 1000 }; ///< Long-poll time of a watch.
    constexpr milliseconds retryDelay { 100 };

    /// Time after the end of a watch's long poll when it counts as overdue.
    constexpr milliseconds overdueMargin { 200 };

    /// Interval of the reads beside an overdue watch. Three of them fit into the 2 s in which a change must be in
    /// force.
    constexpr milliseconds overdueReadInterval { 300 };
    constexpr std::size_t maximumOverdueReads = 5; ///< Enough until the first one times out.

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

void DeclarationWatcher::start() { watch(); }

void DeclarationWatcher::watch()
{
    const std::uint64_t watch = ++watch_;
    read(watchTimeout, [this, watch](bool isRead) {
        if (watch != watch_)
            return;
        if (isRead)
            return this->watch();
        timers_.schedule(clock_.now() + retryDelay, [this, watch] {
            if (watch == watch_)
                this->watch();
        });
    });
    scheduleOverdueRead(watch, watchTimeout + overdueMargin);
}

// The first answer to any of the reads ends the watch and begins the next one.
void DeclarationWatcher::scheduleOverdueRead(std::uint64_t watch, milliseconds delay)
{
    timers_.schedule(clock_.now() + delay, [this, watch] {
        if (watch != watch_)
            return;
        scheduleOverdueRead(watch, overdueReadInterval);
        if (source_.isReceivingDeclarations())
            return;
        setSourceLost(true, "the watch of the declarations is overdue");
        if (overdueReads_ >= maximumOverdueReads)
            return;
        ++overdueReads_;
        read(milliseconds(0), [this, watch](bool isRead) {
            --overdueReads_;
            if (isRead && watch == watch_)
                this->watch();
        });
    });
}

void DeclarationWatcher::read(milliseconds wait, ReadCallback done)
{
    const auto timeAtStore = mustLoad_ ? milliseconds(0) : wait;
    const auto onAnswered = [this, timeAtStore, watch = watch_, sentAt = clock_.now(), done = std::move(done)](
                                const Result<OperatorChanges>& changes) {
        if (changes)
            onAnswer(*changes, sentAt, timeAtStore);
        else if (watch == watch_)
            onFailure(changes.error());
        done(changes.has_value());
    };
    if (mustLoad_)
        source_.loadDeclarations(onAnswered);
    else
        source_.watchDeclarations(nextOffset_, wait, onAnswered);
}

void DeclarationWatcher::onFailure(const foundation::Error& error)
{
    mustLoad_ = mustLoad_ || error.code == Errc::RetentionPassed;
    setSourceLost(true, error.message());
}

// Answers may overtake each other. One that ends before what is known brings nothing new.
void DeclarationWatcher::onAnswer(const OperatorChanges& changes, foundation::SteadyTime sentAt, milliseconds wait)
{
    setSourceLost(false, {});
    if (changes.nextOffset < nextOffset_)
        return;
    // A watch that brings nothing has waited at the store for its whole time.
    const bool hasWaited = changes.nextOffset == nextOffset_ && clock_.now() - sentAt >= wait;
    mustLoad_ = false;
    applyChanges(changes, hasWaited ? sentAt + wait : sentAt);
}

void DeclarationWatcher::setSourceLost(bool isLost, const std::string& reason)
{
    if (std::exchange(isSourceLost_, isLost) == isLost)
        return;
    if (isLost)
        events_.write("store.lost", { { "reason", reason }, { "age_ms", std::int64_t(asOf_ ? age().count() : 0) } });
    else
        events_.write("store.regained", { { "next", nextOffset_ } });
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
    asOf_ = asOf_ ? std::max(*asOf_, asOf) : asOf;
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
