#include "fleetlog/logfollower.h"

#include <algorithm>
#include <utility>

namespace turmericsill::fleetlog {

using foundation::Errc;
using foundation::milliseconds;

namespace {

    constexpr std::size_t pageRecords = 2000;
    constexpr milliseconds pollWait { 1000 };
    constexpr milliseconds minimumBackoff { 100 };
    constexpr milliseconds maximumBackoff { 1000 };

} // namespace

LogFollower::LogFollower(
    platform::ILogClient& log, foundation::ITimerQueue& timers, const foundation::IClock& clock, std::string stream)
    : log_(log)
    , timers_(timers)
    , clock_(clock)
    , stream_(std::move(stream))
    , snapshots_(log, snapshotStream(stream_))
    , backoff_(minimumBackoff)
{
}

void LogFollower::start()
{
    update_.state = fold_.state();
    loadSnapshot();
}

void LogFollower::loadSnapshot()
{
    snapshots_.load(
        [this](const foundation::Result<std::optional<AssembledSnapshot>>& snapshot) { onSnapshotLoaded(snapshot); });
}

void LogFollower::onSnapshotLoaded(const foundation::Result<std::optional<AssembledSnapshot>>& snapshot)
{
    if (!snapshot) {
        publish();
        return retryLater([this] { loadSnapshot(); });
    }
    if (!*snapshot || (*snapshot)->nextOffset <= fold_.nextOffset()) {
        // Without a newer snapshot a stream that has lost its next record cannot be followed.
        if (retentionPassed_)
            return halt("the log no longer keeps offset " + std::to_string(fold_.nextOffset())
                + ", and no snapshot contains it");
        return read();
    }
    auto restored = fleetstate::Fold::fromSnapshot((*snapshot)->bytes);
    if (!restored)
        return halt(restored.error().message());
    fold_ = std::move(*restored);
    retentionPassed_ = false;
    if (snapshotCallback_)
        snapshotCallback_(fold_.nextOffset());
    read();
}

void LogFollower::read()
{
    const auto requestedAt = clock_.now();
    // Until the tail was reached once, nothing is gained by waiting for a record.
    const milliseconds wait = update_.caughtUp ? pollWait : milliseconds(0);
    log_.read(stream_, fold_.nextOffset(), pageRecords, wait,
        [this, requestedAt](const foundation::Result<platform::LogPage>& page) { onPage(requestedAt, page); });
}

void LogFollower::onPage(foundation::SteadyTime requestedAt, const foundation::Result<platform::LogPage>& page)
{
    update_.requestedAt = requestedAt;
    if (!page) {
        update_.logReachable = false;
        if (page.error().code == Errc::RetentionPassed) {
            retentionPassed_ = true;
            return loadSnapshot();
        }
        publish();
        return retryLater([this] { read(); });
    }
    backoff_ = minimumBackoff;
    update_.logReachable = true;
    if (!foldPage(*page))
        return;
    // Only a read that reached the tail shows that nothing newer was in the log when it was sent.
    if (fold_.nextOffset() >= page->tail) {
        update_.confirmedAt = requestedAt;
        update_.caughtUp = true;
    }
    publish();
    reportVerdicts();
    read();
}

// A writer learns of its record only after the state that contains it was published.
void LogFollower::reportVerdicts()
{
    const std::vector<fleetstate::Verdict> verdicts = std::exchange(verdicts_, {});
    if (!verdictCallback_)
        return;
    for (const auto& verdict : verdicts)
        verdictCallback_(verdict);
}

bool LogFollower::foldPage(const platform::LogPage& page)
{
    std::uint64_t offset = page.from;
    for (const auto& payload : page.payloads) {
        auto verdict = fold_.applyPayload(offset, payload);
        if (!verdict) {
            halt(verdict.error().message());
            return false;
        }
        verdicts_.push_back(std::move(*verdict));
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
    timers_.schedule(clock_.now() + backoff_, std::move(step));
    backoff_ = std::min(backoff_ * 2, maximumBackoff);
}

void LogFollower::publish()
{
    update_.state = fold_.state();
    if (updateCallback_)
        updateCallback_(update_);
}

} // namespace turmericsill::fleetlog
