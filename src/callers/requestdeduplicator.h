#pragma once

#include "callers/dispatcher.h"
#include "callers/idempotencytable.h"
#include "callers/keyownerdirectory.h"

#include <string>

namespace turmericsill::callers {

/// How a request reached this entry.
enum class RequestOrigin {
    Caller, ///< Sent by a caller.
    Forwarded, ///< Forwarded by another entry, whose roster names this one as the owner of the key.
    Lookup, ///< Query by the current owner of the key to a former owner; it never runs the request.
};

/// Runs a non-idempotent request at most once, even if copies of it are sent to several entries.
///
/// Every copy is forwarded to the entry that owns its idempotency key, which records the key in memory. An owner
/// that may have missed earlier copies queries the former owners; if one of them is gone, the outcome is "unknown".
class RequestDeduplicator {
public:
    RequestDeduplicator(std::string entry, Dispatcher& dispatcher, IEndpointTransport& peers,
        foundation::ITimerQueue& timers, const foundation::IClock& clock);

    /// Applies the roster of a state that includes the end of the log.
    void onState(const fleetstate::FleetState& state) { ownerDirectory_.onState(state); }

    /// Notes that every member has acknowledged roster `rosterVersion`.
    void onRosterSettled(std::uint64_t rosterVersion)
    {
        ownerDirectory_.onRosterSettled(rosterVersion, clock_.wallNow());
    }

    /// Sets the expiry of this entry's lease. Before it, no other entry can become the owner of a key without this
    /// entry learning of it.
    void setLeaseExpiry(foundation::SteadyTime expiry) { leaseExpiry_ = expiry; }

    /// Handles a request. Idempotent requests, and those without a key, go directly to the dispatcher.
    void submit(const CallerRequestPtr& request, RequestOrigin origin);

    /// Called when the caller of a request disconnects before its reply.
    void onCallerDisconnected(const CallerRequestPtr& request);

    /// Number of idempotency keys in the table of this entry.
    std::size_t idempotencyTableSize() const { return idempotencyTable_.size(); }

private:
    class ForwardObserver;

    /// Handles a request that is not idempotent and has a key; called again by retryLater().
    void submitKeyed(const CallerRequestPtr& request, RequestOrigin origin);
    void submitAsOwner(const CallerRequestPtr& request);
    void replyToLookup(const CallerRequestPtr& request);
    /// Whether a former owner whose history starts at `historySinceMs` must have seen the request's first attempt.
    bool historyCoversFirstAttempt(const CallerRequest& request, const std::string& historySinceMs) const;
    void replyFromTable(const CallerRequestPtr& request);
    void waitForRunningCopy(const CallerRequestPtr& request);
    /// Queries the former owners one after the other, and runs the request once all of them are known not to have it.
    void queryFormerOwners(const CallerRequestPtr& request, std::vector<KeyOwner> former);
    void execute(const CallerRequestPtr& request);
    void onExecuted(const std::string& key, const CallerReply& reply);
    void forward(
        const CallerRequestPtr& request, const KeyOwner& owner, std::vector<KeyOwner> remainingOwners, bool isLookup);
    void retryLater(const CallerRequestPtr& request, RequestOrigin origin);
    /// Ends a request with the outcome NotRun or Unknown.
    void finishWith(const CallerRequestPtr& request, Outcome outcome, const std::string& reason);
    foundation::WallTime firstAttemptTime(const std::string& key) const;

    std::string entry_;
    Dispatcher& dispatcher_;
    IEndpointTransport& peers_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    KeyOwnerDirectory ownerDirectory_;
    IdempotencyTable idempotencyTable_;
    foundation::SteadyTime leaseExpiry_ {};
};

} // namespace turmericsill::callers
