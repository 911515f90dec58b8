#include "control/submissionrouter.h"

#include <utility>

namespace turmericsill::control {

using eventlog::AppendReceipt;
using foundation::Errc;
using foundation::Result;

namespace {

    /// A controller that takes longer is frozen or cut off from the network. The time for a slow store is added: a
    /// pending append and the append of the record itself, each of which takes twice as long as a join.
    constexpr milliseconds forwardTimeout { 1600 };
    constexpr int joinLatenciesPerForward = 4;
    constexpr milliseconds slowStoreThreshold { 100 }; ///< Joins are normally answered within 15 ms.
    constexpr std::size_t concurrentForwards = 8; ///< The controller batches what arrives during an append.
    constexpr std::size_t concurrentAppends = 1; ///< The log takes one append at a time.
    constexpr milliseconds avoidanceTime { 1000 }; ///< About the time that a change of controller takes.

} // namespace

SubmissionRouter::SubmissionRouter(ControllerElection& control, const ControllerContext& context, std::string entry)
    : control_(control)
    , context_(context)
    , entry_(std::move(entry))
{
}

std::optional<foundation::Address> SubmissionRouter::peerInControl() const
{
    const jobs::ControlClaimed& holder = context_.follower.table().latestClaim();
    const bool isAvoidingController = holder.epoch == avoidedEpoch_ && context_.clock.now() < avoidedUntil_;
    if (holder.epoch == 0 || holder.entry == entry_ || isAvoidingController)
        return std::nullopt;
    const auto address = foundation::parseAddress(holder.address);
    return address ? std::optional(*address) : std::nullopt;
}

std::size_t SubmissionRouter::maximumConcurrentCalls() const
{
    const bool isThroughController = control_.isController() || peerInControl();
    // Records forwarded to a controller that does not answer do not block direct appends.
    return isThroughController ? concurrentForwards : concurrentAppends + forwardsInFlight_;
}

void SubmissionRouter::store(std::vector<std::string> records, milliseconds timeout, StoreCallback done)
{
    if (control_.isController())
        return control_.store(records, true, std::move(done));
    const auto peer = peerInControl();
    if (!peer)
        return append(std::move(records), timeout, std::move(done));
    const std::uint64_t epoch = context_.follower.table().latestClaim().epoch;
    ++forwardsInFlight_;
    const milliseconds effectiveTimeout = forwardTimeout + joinLatenciesPerForward * control_.storeLatency();
    context_.peers.forward(*peer, records, std::min(timeout, effectiveTimeout),
        [this, epoch, records, timeout, done = std::move(done)](const Result<eventlog::StoreReceipt>& stored) {
            --forwardsInFlight_;
            if (stored)
                return done(stored);
            avoidController(epoch, stored.error());
            if (stored.error().code == Errc::Unavailable)
                return append(records, timeout, done);
            done(stored);
        });
}

void SubmissionRouter::avoidController(std::uint64_t epoch, const foundation::Error& error)
{
    const bool wasAvoided = avoidedEpoch_ == epoch && context_.clock.now() < avoidedUntil_;
    avoidedEpoch_ = epoch;
    avoidedUntil_ = context_.clock.now() + avoidanceTime;
    if (wasAvoided)
        return;
    context_.events.write("control.unreachable", { { "epoch", epoch }, { "reason", error.message() } });
}

void SubmissionRouter::append(std::vector<std::string> records, milliseconds timeout, StoreCallback done)
{
    // Records that are not sent are certainly not stored, so the caller may retry; joins and reads show when the store
    // responds again. A slow store is left to the controller, whose appends would wait behind those of all entries.
    const bool isSlow
        = control_.storeLatency() >= slowStoreThreshold && context_.follower.table().latestClaim().epoch > 0;
    if (!control_.isStoreAnswering() || isSlow)
        return done(foundation::failure(Errc::Unavailable, "log.append", {}, "the store is slow or does not respond"));
    eventlog::AppendRequest request;
    request.payloads = std::move(records);
    context_.log.append(std::move(request), timeout, [done = std::move(done)](const Result<AppendReceipt>& receipt) {
        if (!receipt)
            return done(tl::unexpected(receipt.error()));
        done(eventlog::StoreReceipt());
    });
}

} // namespace turmericsill::control
