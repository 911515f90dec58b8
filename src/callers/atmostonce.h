#pragma once

#include "callers/dispatcher.h"
#include "callers/homedirectory.h"
#include "callers/keyjournal.h"

#include <string>

namespace turmericsill::callers {

/// How a request reached this entry.
enum class RequestOrigin {
    Caller,
    Forwarded, ///< By another entry, which takes this one for the key's home.
    Lookup, ///< By the key's home, which asks what this former home knows; never runs anything.
};

/// Runs non-idempotent requests at most once, whichever entry their copies reach.
///
/// Every copy goes to the home of its idempotency key, which keeps a journal. A home that cannot have seen all
/// earlier copies asks the former homes; where one of them is gone, the truth is "unknown".
class AtMostOnce {
public:
    AtMostOnce(std::string entry, Dispatcher& dispatcher, IEndpointTransport& peers, foundation::ITimerQueue& timers,
        const foundation::IClock& clock);

    void onState(const fleetstate::FleetState& state) { directory_.onState(state); }
    void onSettled(std::uint64_t rosterVersion) { directory_.onSettled(rosterVersion, clock_.wallNow()); }

    /// Until then no other entry can have become the home without this one's knowledge.
    void setCertainUntil(foundation::SteadyTime until) { certainUntil_ = until; }

    /// Takes a request. Idempotent ones, and those without a key, go straight to the dispatcher.
    void submit(const CallerRequestPtr& request, RequestOrigin origin);

    /// The caller of a request left.
    void abandon(const CallerRequestPtr& request);

    std::size_t journalSize() const { return journal_.size(); }

private:
    class Forward;

    void submitKeyed(const CallerRequestPtr& request, RequestOrigin origin);
    void submitAtHome(const CallerRequestPtr& request);
    void answerLookup(const CallerRequestPtr& request);
    bool coversFirstAttempt(const CallerRequest& request, const std::string& memorySinceMs) const;
    void answerFromJournal(const CallerRequestPtr& request);
    void joinRunning(const CallerRequestPtr& request);
    void askFormerHomes(const CallerRequestPtr& request, std::vector<FormerHome> former);
    void run(const CallerRequestPtr& request);
    void onRunEnded(const std::string& key, const CallerReply& reply);
    void forward(
        const CallerRequestPtr& request, const FormerHome& home, std::vector<FormerHome> remaining, bool lookup);
    void tryAgain(const CallerRequestPtr& request, RequestOrigin origin);
    void endAs(const CallerRequestPtr& request, Outcome outcome, const std::string& reason);
    foundation::WallTime firstAttemptOf(const std::string& key) const;

    std::string entry_;
    Dispatcher& dispatcher_;
    IEndpointTransport& peers_;
    foundation::ITimerQueue& timers_;
    const foundation::IClock& clock_;
    HomeDirectory directory_;
    KeyJournal journal_;
    foundation::SteadyTime certainUntil_ {};
};

} // namespace turmericsill::callers
