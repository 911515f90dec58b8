#include "eventlog/jobfollower.h"

#include "jobs/recordcodec.h"

#include <utility>

namespace turmericsill::eventlog {

using foundation::Errc;
using foundation::milliseconds;
using foundation::Result;

JobFollower::JobFollower(
    IEventLog& log, foundation::IClock& clock, foundation::ITimerQueue& timers, FollowerOptions options)
    : log_(log)
    , clock_(clock)
    , timers_(timers)
    , options_(options)
    , table_(std::make_unique<jobs::JobTable>())
{
}

void JobFollower::start() { poll(); }

void JobFollower::poll()
{
    const milliseconds wait = caughtUp_ ? options_.longPoll : milliseconds(0);
    log_.read(offset_, wait, [this, generation = generation_](const Result<LogPage>& page) {
        onPage(page, generation);
        if (!page)
            return schedulePoll(options_.retryDelay);
        if (!caughtUp_)
            return poll();
        schedulePoll(ownEpoch_ > 0 ? options_.pauseAsController : options_.pauseAsFollower);
    });
}

void JobFollower::schedulePoll(milliseconds delay)
{
    timers_.schedule(clock_.now() + delay, [this] { poll(); });
}

void JobFollower::onPage(const Result<LogPage>& page, std::uint64_t generation)
{
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
    freshReadRunning_ = true;
    auto callers = std::make_shared<std::vector<FreshCallback>>(std::move(waitingForFresh_));
    waitingForFresh_.clear();
    log_.read(offset_, milliseconds(0), [this, callers, generation = generation_](const Result<LogPage>& page) {
        onPage(page, generation);
        const bool isWhole = page && generation == generation_ && offset_ >= page->end;
        if (page && !isWhole) {
            waitingForFresh_.insert(waitingForFresh_.begin(), callers->begin(), callers->end());
            return startFreshRead();
        }
        freshReadRunning_ = false;
        Result<void> result;
        if (!page)
            result = tl::unexpected(page.error());
        for (auto& caller : *callers)
            caller(result);
        if (!waitingForFresh_.empty() && !freshReadRunning_)
            startFreshRead();
    });
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
    caughtUp_ = false;
    table_ = std::make_unique<jobs::JobTable>();
}

} // namespace turmericsill::eventlog
