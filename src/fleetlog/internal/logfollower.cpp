#include "fleetlog/logfollower.h"

#include <algorithm>
#include <utility>

namespace turmericsill::fleetlog {

using foundation::Errc;
using foundation::milliseconds;

namespace {

    constexpr std::size_t maximumPageRecords = 2000;
    constexpr milliseconds tailPollTimeout { 1000 };
    constexpr milliseconds minimumRetryDelay { 100 };
    constexpr milliseconds maximumRetryDelay { 1000 };

} // namespace

LogFollower::LogFollower(
    platform::ILogClient& log, foundation::ITimerQueue& timers, const foundation::IClock& clock, std::string stream)
    : log_(log)
    , timers_(timers)
    , clock_(clock)
    , stream_(std::move(stream))
    , snapshotLoader_(log, snapshotStream(stream_))
    , retryDelay_(minimumRetryDelay)
{
}

void LogFollower::start()
{
    update_.state = stateMachine_.state();
    loadSnapshot();
}

void LogFollower::loadSnapshot()
{
    snapshotLoader_.load(
        [this](const foundation::Result<std::optional<AssembledSnapshot>>& snapshot) { onSnapshotLoaded(snapshot); });
}

void LogFollower::onSnapshotLoaded(const foundation::Result<std::optional<AssembledSnapshot>>& snapshot)
{
    if (!snapshot) {
        publish();
        return retryLater([this] { loadSnapshot(); });
    }
    if (!*snapshot || (*snapshot)->nextOffset <= stateMachine_.nextOffset()) {
        // If the log has dropped the next record, only a newer snapshot makes it possible to continue.
        if (hasRetentionPassed_)
            return halt("the log no longer retains offset " + std::to_string(stateMachine_.nextOffset())
                + ", and no snapshot covers it");
        return read();
    }
    auto restored = fleetstate::FleetStateMachine::fromSnapshot((*snapshot)->bytes);
    if (!restored)
        return halt(restored.error().message());
    stateMachine_ = std::move(*restored);
    hasRetentionPassed_ = false;
    if (snapshotCallback_)
        snapshotCallback_(stateMachine_.nextOffset());
    read();
}

void LogFollower::read()
{
    const auto requestedAt = clock_.now();
    // Long polling is used only at the tail; before that, more records are available at once.
    const milliseconds wait = update_.caughtUp ? tailPollTimeout : milliseconds(0);
    log_.read(stream_, stateMachine_.nextOffset(), maximumPageRecords, wait,
        [this, requestedAt](const foundation::Result<platform::LogPage>& page) { onPage(requestedAt, page); });
}

void LogFollower::onPage(foundation::SteadyTime requestedAt, const foundation::Result<platform::LogPage>& page)
{
    update_.requestedAt = requestedAt;
    if (!page) {
        update_.logReachable = false;
        if (page.error().code == Errc::RetentionPassed) {
            hasRetentionPassed_ = true;
            return loadSnapshot();
        }
        publish();
        return retryLater([this] { read(); });
    }
    retryDelay_ = minimumRetryDelay;
    update_.logReachable = true;
    if (!applyPage(*page))
        return;
    // Only a read that reached the tail proves that the log held no newer record when the read was sent.
    if (stateMachine_.nextOffset() >= page->endOffset) {
        update_.confirmedAt = requestedAt;
        update_.caughtUp = true;
    }
    publish();
    reportApplyResults();
    read();
}

// Results are reported after the state is published, so a writer that is notified can rely on the new state.
void LogFollower::reportApplyResults()
{
    const std::vector<fleetstate::ApplyResult> applyResults = std::exchange(pageResults_, {});
    if (!recordAppliedCallback_)
        return;
    for (const auto& applyResult : applyResults)
        recordAppliedCallback_(applyResult);
}

bool LogFollower::applyPage(const platform::LogPage& page)
{
    std::uint64_t offset = page.firstOffset;
    for (const auto& payload : page.payloads) {
        auto applyResult = stateMachine_.applyPayload(offset, payload);
        if (!applyResult) {
            halt(applyResult.error().message());
            return false;
        }
        pageResults_.push_back(std::move(*applyResult));
        ++offset;
    }
    return true;
}

void LogFollower::halt(const std::string& reason)
{
    update_.haltReason = reason;
    publish();
}

void LogFollower::retryLater(std::function<void()> step)
{
    timers_.schedule(clock_.now() + retryDelay_, std::move(step));
    retryDelay_ = std::min(retryDelay_ * 2, maximumRetryDelay);
}

void LogFollower::publish()
{
    update_.state = stateMachine_.state();
    if (updateCallback_)
        updateCallback_(update_);
}

} // namespace turmericsill::fleetlog
