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

/// An endpoint instance as this entry uses it, over all services.
struct Endpoint : boost::intrusive_ref_counter<Endpoint, boost::thread_unsafe_counter> {
    std::string instance;
    foundation::Address address;
    bool accepting = false; ///< The instance serves, by the last state.
    std::uint32_t inProgress = 0;
    EndpointHealth health;
};

using EndpointPtr = boost::intrusive_ptr<Endpoint>;

/// One service on one endpoint instance. It is linked while it has requests in progress.
struct ServiceTarget : boost::intrusive_ref_counter<ServiceTarget, boost::thread_unsafe_counter>,
                       boost::intrusive::list_base_hook<> {
    EndpointPtr endpoint;
    std::uint32_t slots = 0;
    std::uint32_t connections = 1;
    std::uint32_t inProgress = 0;
};

/// Targets with requests in progress, so that reports do not visit the whole fleet.
class ActiveTargets : public boost::intrusive::list<ServiceTarget> { };

using ServiceTargetPtr = boost::intrusive_ptr<ServiceTarget>;

/// A service with the targets of its pool and the requests that wait for one.
class ServiceRoute {
public:
    using Queue = boost::intrusive::list<CallerRequest>;

    declarations::Service declared;
    std::map<std::string, ServiceTargetPtr> targetsByInstance;
    Queue queue;

    /// Replaces the list that pick() chooses from, after targetsByInstance changed.
    void refreshTargets();

    /// A target with a free slot; the less loaded of two random ones where there is a choice. Null when there is none.
    ServiceTargetPtr pick(foundation::SteadyTime now, std::mt19937_64& random) const;

    /// Slots of the targets that accept work.
    std::uint32_t acceptingSlots() const;

    /// Expected wait of one more queued request; maximum when nothing accepts work.
    foundation::milliseconds expectedWait() const;

    /// Learns how long an endpoint took.
    void learnServiceTime(foundation::milliseconds duration);
    foundation::milliseconds serviceTime() const
    {
        return foundation::milliseconds(static_cast<std::int64_t>(serviceTimeMs_));
    }

private:
    bool ignoresHealth(foundation::SteadyTime now) const;

    std::vector<ServiceTargetPtr> targets_;
    double serviceTimeMs_ = 10;
};

} // namespace turmericsill::callers
