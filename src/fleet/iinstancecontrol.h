#pragma once

#include "fleet/types/fleet.h"
#include "foundation/result.h"
#include "jobs/types/records.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::fleet {

/// Reading of an instance's own monotonic clock.
using InstanceTime = milliseconds;

/// Order to start a run. The order is idempotent.
struct StartOrder {
    jobs::TaskId task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint; ///< Checkpoint to resume from; empty to start from the beginning.
    std::string ticket; ///< Ticket from the advice service; empty when none is needed.
    InstanceTime leaseEnd { 0 }; ///< End of the instance's lease, at which every run there is killed.
};

/// How an instance answered an order to start a run.
enum class StartResult : std::uint8_t {
    Started, ///< The run has started, now or by an earlier copy of the order.
    Fenced, ///< The instance has seen a higher fencing token.
    Superseded, ///< This run or a later one of the task was stopped or has ended there.
    LeaseExpired, ///< The lease had ended before the order arrived.
    InsufficientResources, ///< The instance lacks free resources for the task.
    TicketInvalid, ///< The instance rejected the ticket of the advice service.
    Invalid, ///< The instance rejected the order itself.
    Unhealthy, ///< The instance accepts no work.
};

struct StartAnswer {
    StartResult result = StartResult::Invalid;
    std::optional<InstanceTime> clock; ///< The instance's clock when it answered, if it told it.
};

/// A run that is present on an instance.
struct ObservedRun {
    jobs::TaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0; ///< Progress of the run; a long-running task serves only at 100.
    std::int64_t load = 0; ///< Tail latency in ms for a serving task, used milli-cores for any other.
};

/// A run that ended on an instance.
struct ObservedEnd {
    std::uint64_t number = 0; ///< Sequence number of the end, from 1 in each incarnation of the instance.
    jobs::TaskId task;
    std::uint32_t run = 0;
    jobs::RunOutcome outcome = jobs::RunOutcome::Done;
    std::string checkpoint;
};

/// Renewal of an instance's lease.
struct RenewRequest {
    std::uint64_t acknowledgedEnds = 0; ///< Ends up to this number are in the log and need not be listed again.
    std::optional<InstanceTime> leaseEnd; ///< New end of the lease, which never moves back; empty to keep the old one.
    milliseconds wait { 0 }; ///< Long poll: how long the instance may hold the answer until a run ends.

    /// Whether the request has a meaning for one incarnation only. Any other renewal reaches each of them, and its
    /// answer tells which one.
    bool isForOneIncarnation() const { return leaseEnd.has_value() || acknowledgedEnds > 0; }
};

/// All runs on an instance and the ends that were not acknowledged yet.
struct RenewAnswer {
    std::int64_t startedAt = 0; ///< Start of the instance's incarnation in milliseconds since the Unix epoch.
    InstanceTime clock { 0 };
    std::vector<ObservedRun> running;
    std::vector<ObservedEnd> ended;
    bool isFenced = false; ///< The instance has seen a higher fencing token and ignored the request.
};

/// Address of an instance, with the expected name and the fencing token that its orders carry.
struct InstanceHandle {
    std::string instance; ///< Expected name; any other instance at the address answers Errc::WrongInstance.
    foundation::Address address;
    std::uint64_t token = 0; ///< Fencing token: the epoch of the controller.
    /// Start of the expected incarnation in milliseconds since the Unix epoch; 0 if it is not known.
    std::int64_t startedAt = 0;
};

/// Sends orders to instances. Start orders, and renewals with a meaning for one incarnation only (a lease end on its
/// clock, the numbers of its ends), reach that incarnation or none: they fail with Errc::Unavailable if another one has
/// taken its place. Errc::Unavailable: the order was not sent. Errc::WrongInstance: it had no effect.
/// After any other error the order may have taken effect or may do so seconds later.
class IInstanceControl {
public:
    using StartCallback = std::function<void(foundation::Result<StartAnswer>)>;
    using StopCallback = std::function<void(foundation::Result<void>)>;
    using RenewCallback = std::function<void(foundation::Result<RenewAnswer>)>;

    virtual ~IInstanceControl() = default;

    virtual void start(const InstanceHandle& instance, const StartOrder& order, StartCallback done) = 0;

    /// Stops a run. If its start order has not arrived yet, the instance will refuse it.
    virtual void stop(const InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, StopCallback done)
        = 0;

    /// Renews the instance's lease and reads the state of its runs.
    virtual void renew(const InstanceHandle& instance, const RenewRequest& request, RenewCallback done) = 0;

    /// Throttles a run to `percent` of its full speed, from 0 to 100.
    virtual void throttle(
        const InstanceHandle& instance, const jobs::TaskId& task, std::uint32_t run, int percent, StopCallback done)
        = 0;

    /// Closes the connections to an instance that has left the fleet.
    virtual void dropConnections(const foundation::Address& address) = 0;
};

} // namespace turmericsill::fleet
