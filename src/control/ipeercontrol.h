#pragma once

#include "eventlog/isubmissionpath.h"
#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericsill::control {

/// Answer of an entry to the query whether it is the controller.
struct PeerControlState {
    std::uint64_t incarnation = 0; ///< Start time of the process, in milliseconds since 1970.
    std::uint64_t epoch = 0; ///< Epoch under which the entry controls the fleet; 0 if it is not the controller.
    /// Epoch of the latest claim that the entry has read or tried to append; 0 if it has read none or does not tell.
    std::uint64_t latestClaim = 0;
};

/// Calls from one entry to another.
class IPeerControl {
public:
    using ForwardCallback = eventlog::ISubmissionPath::StoreCallback;
    using StateCallback = std::function<void(foundation::Result<PeerControlState>)>;

    virtual ~IPeerControl() = default;

    /// Queries whether an entry is the controller.
    virtual void queryState(const foundation::Address& peer, StateCallback done) = 0;

    /// Sends callers' encoded records to the controller, which answers once they are stored, except
    /// those that it rejects. Errc::Unavailable: they
    /// are not stored, because the peer was not reached, is not the controller or cannot reach the log. After any other
    /// error they may or may not be stored.
    virtual void forward(const foundation::Address& peer, std::vector<std::string> records,
        foundation::milliseconds timeout, ForwardCallback done)
        = 0;
};

} // namespace turmericsill::control
