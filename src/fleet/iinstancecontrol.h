#pragma once

#include "fleet/types/fleet.h"
#include "foundation/result.h"
#include "jobs/types/records.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::fleet {

/// Time on an instance's own steady clock.
using InstanceTime = milliseconds;

/// Order to start a run. Sending it again has no further effect.
struct StartOrder {
    jobs::TaskId task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint; ///< Empty: from the beginning.
    std::string ticket; ///< From the advice service; empty: none.
    InstanceTime leaseEnd { 0 }; ///< Everything on the instance is killed when its lease ends.
};

/// What an instance answered to an order to start.
enum class StartVerdict : std::uint8_t {
    Started, ///< Also when that run was there already.
    Fenced, ///< The instance has seen a higher token.
    Superseded, ///< This run or a later one was stopped or has ended there.
    LeaseOver, ///< The lease's end had passed when the order arrived.
    NoRoom,
    TicketInvalid,
    Invalid, ///< The order itself was refused.
    Unhealthy, ///< The instance refuses work.
};

struct StartAnswer {
    StartVerdict verdict = StartVerdict::Invalid;
    std::optional<InstanceTime> clock;
};

/// A run that an instance has.
struct ObservedRun {
    jobs::TaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0; ///< 100: at work.
    std::int64_t load = 0; ///< Tail latency in milliseconds of a serving task, milli-cores in use of others.
};

/// A run that ended on an instance.
struct ObservedEnd {
    std::uint64_t number = 0; ///< Ends count from 1 in each life.
    jobs::TaskId task;
    std::uint32_t run = 0;
    jobs::RunEnd how = jobs::RunEnd::Done;
    std::string checkpoint;
};

struct RenewRequest {
    std::uint64_t acknowledgedEnds = 0; ///< Ends up to this number are recorded.
    std::optional<InstanceTime> leaseEnd; ///< New end of the lease; it never becomes shorter.
    milliseconds wait { 0 }; ///< How long the answer may wait for an end.
};

/// Everything that runs on an instance, and the ends that were not acknowledged.
struct RenewAnswer {
    std::int64_t born = 0; ///< Start of the instance's life, in milliseconds since 1970.
    InstanceTime clock { 0 };
    std::vector<ObservedRun> running;
    std::vector<ObservedEnd> ended;
    bool fenced = false; ///< The instance has seen a higher token and did nothing.
};

/// Where an instance is reached, and as whom.
struct InstanceHandle {
    std::string instance; ///< Another instance at the address refuses with Errc::WrongInstance.
    foundation::Address address;
    std::uint64_t token = 0; ///< The controller's epoch.
};

/// Orders to instances. Errc::Unavailable: the order was not sent. Errc::WrongInstance: it had no effect.
/// After any other error it may have been carried out, or may still be, seconds later.
class IInstanceControl {
public:
    using StartCallback = std::function<void(foundation::Result<StartAnswer>)>;
    using StopCallback = std::function<void(foundation::Result<void>)>;
    using RenewCallback = std::function<void(foundation::Result<RenewAnswer>)>;

    virtual ~IInstanceControl() = default;

    virtual void start(const InstanceHandle& instance, const StartOrder& order, StartCallback done) = 0;

    /// Stops a run; one that has not arrived yet will be refused.
    virtual void stop(const InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, StopCallback done)
        = 0;

    /// Renews the instance's lease and reads what runs there.
    virtual void renew(const InstanceHandle& instance, const RenewRequest& request, RenewCallback done) = 0;

    /// Lets a task work at a share of its speed, 0 to 100.
    virtual void pace(
        const InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, int percent, StopCallback done)
        = 0;

    /// Drops the connections to an instance that has left.
    virtual void forget(const foundation::Address& address) = 0;
};

} // namespace turmericsill::fleet
