#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/result.h"
#include "httpserver/httpexchange.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>

namespace turmericsill::callers {

/// Learns the progress of one attempt; exactly one of onAnswer() and onFailure() ends it.
class IAttemptObserver : public boost::intrusive_ref_counter<IAttemptObserver, boost::thread_unsafe_counter> {
public:
    virtual ~IAttemptObserver() = default;

    /// The first byte is about to be written. Returning false stops the attempt before it.
    virtual bool onSending() = 0;

    /// A whole answer arrived.
    virtual void onAnswer(httpserver::HttpResponse answer) = 0;

    /// The attempt failed. Whether bytes were sent shows from onSending().
    virtual void onFailure(const foundation::Error& error) = 0;
};

using AttemptObserverPtr = boost::intrusive_ptr<IAttemptObserver>;

/// Where an attempt goes: connections are kept apart by service and instance.
struct AttemptTarget {
    std::string service;
    std::string instance;
    foundation::Address address;
    std::size_t maximumConnections = 1;
    bool requiresFreshConnection = false; ///< For requests that must not be lost to an idle connection's end.
};

/// Carries requests to endpoint instances.
class IEndpointTransport {
public:
    virtual ~IEndpointTransport() = default;

    /// Starts an attempt. An answer after `deadline` is still read, so that the slot is held for as long as the
    /// endpoint works, but its connection is closed. The attempt fails at `limit` at the latest.
    /// `request` must stay as it is until the attempt ends.
    virtual void start(const AttemptTarget& target, const httpserver::HttpRequest& request,
        foundation::SteadyTime deadline, foundation::SteadyTime limit, AttemptObserverPtr observer)
        = 0;

    /// Closes idle connections to an instance that leaves.
    virtual void closeIdle(const std::string& instance) = 0;
};

} // namespace turmericsill::callers
