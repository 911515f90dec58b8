#pragma once

#include "callers/endpointhealth.h"
#include "callers/types/callerrequest.h"
#include "declarations/types/objects.h"
#include "foundation/address.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace turmericsill::callers {

/// This entry's view of an endpoint instance, shared by all services.
struct Endpoint : boost::intrusive_ref_counter<Endpoint, boost::thread_unsafe_counter> {
    std::string instance;
    foundation::Address address;
    bool accepting = false; ///< Whether the instance is serving according to the latest state.
    std::uint32_t inProgress = 0;
    EndpointHealth health;
};

using EndpointPtr = boost::intrusive_ptr<Endpoint>;

/// One service on one endpoint instance. It is in the list of active targets while it has requests in progress.
struct ServiceTarget : boost::intrusive_ref_counter<ServiceTarget, boost::thread_unsafe_counter>,
                       boost::intrusive::list_base_hook<> {
    EndpointPtr endpoint;
    std::uint32_t slots = 0; ///< This entry's share of the instance's slots.
    std::uint32_t connections = 1; ///< This entry's share of the instance's connections.
    std::uint32_t inProgress = 0;
};

/// Targets with requests in progress. Kept separately so that periodic reports need not scan the whole fleet.
class ActiveTargets : public boost::intrusive::list<ServiceTarget> { };

using ServiceTargetPtr = boost::intrusive_ptr<ServiceTarget>;

/// A service with the targets in its pool and the requests that are queued for a target.
class ServiceRoute {
public:
    using Queue = boost::intrusive::list<CallerRequest>;

    declarations::Service declared;
    std::map<std::string, ServiceTargetPtr> targetsByInstance;
    Queue queue;

    /// Rebuilds the list that selectTarget() chooses from; call it after changing targetsByInstance.
    void rebuildTargets();

    /// Returns a target with a free slot, or null if there is none. Compares the first two candidates in a scan from a
    /// random position and takes the less loaded one.
    ServiceTargetPtr selectTarget(foundation::SteadyTime now, std::mt19937_64& random) const;

    /// Total of this entry's slots on the targets that accept requests.
    std::uint32_t acceptingSlots() const;

    /// Estimated queueing time of one more request; milliseconds::max() if no target accepts requests.
    foundation::milliseconds estimatedWait() const;

    /// Adds the duration of an attempt to the moving average of service times.
    void recordServiceTime(foundation::milliseconds duration);

    /// Moving average of the time an endpoint takes to respond.
    foundation::milliseconds serviceTime() const
    {
        return foundation::milliseconds(static_cast<std::int64_t>(serviceTimeMs_));
    }

private:
    /// Whether so few accepting endpoints may receive requests that ejections are ignored.
    bool isBelowHealthyMinimum(foundation::SteadyTime now) const;

    std::vector<ServiceTargetPtr> targets_;
    double serviceTimeMs_ = 10;
};

} // namespace turmericsill::callers
