#include "control/submissionrouter.h"

#include <utility>

namespace turmericsill::control {

using eventlog::AppendReceipt;
using foundation::Errc;
using foundation::Result;

namespace {

    /// A controller that takes longer is frozen or cut off; a slow store is allowed for beside: an append under way and
    /// the record's own, each twice as long as a join.
    constexpr milliseconds forwardTimeout { 1600 };
    constexpr int joinsOfTwoAppends = 4;
    constexpr milliseconds slowStoreLatency { 100 }; ///< A join is answered within 15 ms.
    constexpr std::size_t concurrentForwards = 8; ///< The controller gathers what comes during an append.
    constexpr std::size_t concurrentAppends = 1; ///< More would only wait for each other in the log.
    constexpr milliseconds avoidance { 1000 }; ///< A change of control takes about as long.

} // namespace

SubmissionRouter::SubmissionRouter(ControlDuty& control, const ControllerContext& context, std::string entry)
    : control_(control)
    , context_(context)
    , entry_(std::move(entry))
{
}

std::optional<foundation::Address> SubmissionRouter::peerInControl() const
{
    const jobs::Claimed& holder = context_.follower.table().claim();
    const bool isAvoided = holder.epoch == avoidedEpoch_ && context_.clock.now() < avoidedUntil_;
    if (holder.epoch == 0 || holder.entry == entry_ || isAvoided)
        return std::nullopt;
    const auto address = foundation::parseAddress(holder.address);
    return address ? std::optional(*address) : std::nullopt;
}

std::size_t SubmissionRouter::concurrentCalls() const
{
    const bool isThroughController = control_.isController() || peerInControl();
    // What was handed to a controller that does not answer keeps nothing else waiting.
    return isThroughController ? concurrentForwards : concurrentAppends + forwardsUnderWay_;
}

void SubmissionRouter::store(std::vector<std::string> records, milliseconds timeout, StoreCallback done)
{
    if (control_.isController())
        return control_.store(records, std::move(done));
    const auto peer = peerInControl();
    if (!peer)
        return append(std::move(records), timeout, std::move(done));
    const std::uint64_t epoch = context_.follower.table().claim().epoch;
    ++forwardsUnderWay_;
    const milliseconds patience = forwardTimeout + joinsOfTwoAppends * control_.storeLatency();
    context_.peers.forward(*peer, records, std::min(timeout, patience),
        [this, epoch, records, timeout, done = std::move(done)](const Result<void>& stored) {
            --forwardsUnderWay_;
            if (stored)
                return done({});
            noteNoAnswer(epoch, stored.error());
            if (stored.error().code == Errc::Unavailable)
                return append(records, timeout, done);
            done(stored);
        });
}

void SubmissionRouter::noteNoAnswer(std::uint64_t epoch, const foundation::Error& error)
{
    const bool isKnown = avoidedEpoch_ == epoch && context_.clock.now() < avoidedUntil_;
    avoidedEpoch_ = epoch;
    avoidedUntil_ = context_.clock.now() + avoidance;
    if (isKnown)
        return;
    context_.events.write("control.unreachable", { { "epoch", epoch }, { "reason", error.message() } });
}

void SubmissionRouter::append(std::vector<std::string> records, milliseconds timeout, StoreCallback done)
{
    // What is not sent surely is not stored; joins and reads tell when the store is back. A slow one is left to the
    // controller, whose appends would wait behind those of every entry.
    const bool isSlow = control_.storeLatency() >= slowStoreLatency && context_.follower.table().claim().epoch > 0;
    if (!control_.isStoreAnswering() || isSlow)
        return done(foundation::failure(Errc::Unavailable, "log.append", {}, "the store is silent or slow"));
    eventlog::AppendRequest request;
    request.payloads = std::move(records);
    context_.log.append(std::move(request), timeout, [done = std::move(done)](const Result<AppendReceipt>& receipt) {
        if (!receipt)
            return done(tl::unexpected(receipt.error()));
        done({});
    });
}

} // namespace turmericsill::control
