#include "eventlog/jobfollower.h"

#include "jobs/recordcodec.h"

#include <utility>

namespace turmericsill::eventlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

namespace {

    /// Takes 0.1 s on a link of 10 Mbit/s, so that a page arrives well within the time that a read is given.
    constexpr std::size_t pageBytes = 128 << 10;

} // namespace

JobFollower::JobFollower(IEventLog& log, ISnapshotStore& snapshots, foundation::IClock& clock,
    foundation::ITimerQueue& timers, FollowerOptions options)
    : log_(log)
    , snapshots_(snapshots)
    , clock_(clock)
    , timers_(timers)
    , options_(options)
    , table_(std::make_unique<jobs::JobTable>())
{
}

const std::string JobFollower::headKey = "head";

void JobFollower::start() { poll(); }

// Reads that were asked for meanwhile wait for the snapshot, and fail with it.
void JobFollower::load()
{
    if (std::exchange(isLoading_, true))
        return;
    snapshots_.load([this, generation = generation_](const Result<std::vector<SnapshotEntry>>& entries) {
        isLoading_ = false;
        onLoaded(entries, generation);
        if (!entries)
            return answerFresh(std::exchange(waitingForFresh_, {}), tl::unexpected(entries.error()));
        if (!waitingForFresh_.empty() && !freshReadRunning_)
            startFreshRead();
    });
}

void JobFollower::answerFresh(std::vector<FreshCallback> callers, const Result<void>& result)
{
    for (auto& caller : callers)
        caller(result);
}

// Jobs may stand in the snapshot later than its head says; folding a record again has no effect.
void JobFollower::onLoaded(const Result<std::vector<SnapshotEntry>>& entries, std::uint64_t generation)
{
    if (!entries || generation != generation_)
        return;
    for (const auto& entry : *entries) {
        if (entry.key == headKey) {
            if (auto head = jobs::decodeHeader(entry.value)) {
                table_->restore(*head);
                offset_ = head->offset;
            } else {
                ++unknownRecords_;
            }
            continue;
        }
        auto job = jobs::decodeJob(entry.value);
        if (!job) {
            ++unknownRecords_;
            continue;
        }
        restoredJobs_.push_back((*job)->id);
        table_->restore(std::move(*job));
    }
    loaded_ = true;
}

void JobFollower::poll()
{
    if (!loaded_) {
        load();
        return schedulePoll(options_.pauseAsController);
    }
    // Two reads of a long log would share the link and bring the same records twice.
    if (!caughtUp_)
        return readToEnd([this](const Result<void>& read) { continuePolling(read.has_value()); });
    const ReadRequest request { offset_, options_.longPoll, pageBytes };
    log_.read(request, [this, generation = generation_](const Result<LogPage>& page) {
        onPage(page, generation);
        const bool isBehind = page && offset_ < page->end;
        if (isBehind)
            return poll();
        continuePolling(page.has_value());
    });
}

void JobFollower::continuePolling(bool hasAnswer)
{
    if (!hasAnswer)
        return schedulePoll(options_.retryDelay);
    schedulePoll(ownEpoch_ > 0 ? options_.pauseAsController : options_.pauseAsFollower);
}

void JobFollower::schedulePoll(milliseconds delay)
{
    timers_.schedule(clock_.now() + delay, [this] { poll(); });
}

void JobFollower::onPage(const Result<LogPage>& page, std::uint64_t generation)
{
    lastReadFailed_ = !page;
    if (page)
        answeredAt_ = clock_.now();
    if (generation != generation_)
        return;
    if (!page) {
        if (page.error().code == Errc::RetentionPassed)
            rebuild();
        return;
    }
    fold(*page);
    if (offset_ >= page->end)
        caughtUp_ = true;
    if (!page->payloads.empty() && changed_)
        changed_();
}

// Two reads may be under way, so a page may begin before the offset that is already folded.
void JobFollower::fold(const LogPage& page)
{
    std::uint64_t offset = page.from;
    for (const auto& payload : page.payloads) {
        if (offset++ != offset_)
            continue;
        ++offset_;
        auto logged = jobs::decode(payload);
        if (!logged) {
            ++unknownRecords_;
            continue;
        }
        if (logged->epoch == 0 || logged->epoch != ownEpoch_)
            table_->apply(logged->record);
        else
            ++ownRecordsRead_;
    }
}

void JobFollower::readToEnd(FreshCallback done)
{
    waitingForFresh_.push_back(std::move(done));
    if (!freshReadRunning_)
        startFreshRead();
}

void JobFollower::startFreshRead()
{
    if (!loaded_)
        return load();
    freshReadRunning_ = true;
    auto callers = std::make_shared<std::vector<FreshCallback>>(std::move(waitingForFresh_));
    waitingForFresh_.clear();
    const ReadRequest request { offset_, milliseconds(0), pageBytes };
    log_.read(request, [this, callers, generation = generation_](const Result<LogPage>& page) {
        onPage(page, generation);
        freshReadRunning_ = false;
        const bool isWhole = page && generation == generation_ && offset_ >= page->end;
        if (page && !isWhole) {
            waitingForFresh_.insert(waitingForFresh_.begin(), callers->begin(), callers->end());
            return startFreshRead();
        }
        Result<void> result;
        if (!page)
            result = tl::unexpected(page.error());
        answerFresh(std::move(*callers), result);
        if (!waitingForFresh_.empty() && !freshReadRunning_)
            startFreshRead();
    });
}

void JobFollower::beginControl(std::uint64_t epoch)
{
    ownEpoch_ = epoch;
    ownRecordsRead_ = 0;
}

void JobFollower::endControl()
{
    ownEpoch_ = 0;
    rebuild();
}

void JobFollower::rebuild()
{
    ++generation_;
    offset_ = 0;
    loaded_ = false;
    restoredJobs_.clear();
    caughtUp_ = false;
    table_ = std::make_unique<jobs::JobTable>();
}

} // namespace turmericsill::eventlog
