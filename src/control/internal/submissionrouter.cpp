#include "control/submissionrouter.h"

#include <utility>

namespace turmericsill::control {

using eventlog::AppendReceipt;
using foundation::Errc;
using foundation::Result;

namespace {

    /// Two appends of a slow store; a controller that takes longer is frozen or cut off.
    constexpr milliseconds forwardTimeout { 1200 };
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
    context_.peers.forward(*peer, records, std::min(timeout, forwardTimeout),
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
    avoidedEpoch_ = epoch;
    avoidedUntil_ = context_.clock.now() + avoidance;
    context_.events.write("control.unreachable", { { "epoch", epoch }, { "reason", error.message() } });
}

void SubmissionRouter::append(std::vector<std::string> records, milliseconds timeout, StoreCallback done)
{
    // What is not sent surely is not stored; joins and reads tell when the store is back.
    if (!control_.isStoreAnswering())
        return done(foundation::failure(Errc::Unavailable, "log.append", {}, "the store does not answer"));
    eventlog::AppendRequest request;
    request.payloads = std::move(records);
    context_.log.append(std::move(request), timeout, [done = std::move(done)](const Result<AppendReceipt>& receipt) {
        if (!receipt)
            return done(tl::unexpected(receipt.error()));
        done({});
    });
}

} // namespace turmericsill::control
