#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/result.h"
#include "httpserver/httpexchange.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>

namespace turmericsill::callers {

/// Observer of one attempt. The attempt ends with exactly one call of onResponse() or onFailure().
class IAttemptObserver : public boost::intrusive_ref_counter<IAttemptObserver, boost::thread_unsafe_counter> {
public:
    virtual ~IAttemptObserver() = default;

    /// Called before the first byte is written. Returning false stops the attempt before anything is sent.
    virtual bool onBeforeSend() = 0;

    /// Called when a complete response has been received.
    virtual void onResponse(httpserver::HttpResponse response) = 0;

    /// Called when the attempt has failed. Bytes may have been sent only if onBeforeSend() was called and returned
    /// true.
    virtual void onFailure(const foundation::Error& error) = 0;
};

using AttemptObserverPtr = boost::intrusive_ptr<IAttemptObserver>;

/// Destination of an attempt. Each pair of service and instance has its own connections.
struct AttemptTarget {
    std::string service;
    std::string instance;
    foundation::Address address;
    std::size_t maximumConnections = 1; ///< Limit on open connections for this service and instance.
    /// Avoids connections that have been idle so long that the endpoint may close them; set for non-idempotent
    /// requests.
    bool requiresRecentConnection = false;
};

/// Sends requests to endpoint instances.
class IEndpointTransport {
public:
    virtual ~IEndpointTransport() = default;

    /// Starts an attempt. A response after `deadline` is still read, so that the slot stays occupied while the
    /// endpoint is working, but the connection is closed afterwards. The attempt fails at `abortAt` at the latest.
    /// `request` must remain valid and unchanged until the attempt ends.
    virtual void start(const AttemptTarget& target, const httpserver::HttpRequest& request,
        foundation::SteadyTime deadline, foundation::SteadyTime abortAt, AttemptObserverPtr observer)
        = 0;

    /// Closes the idle connections to an instance that stops accepting requests.
    virtual void closeIdleConnections(const std::string& instance) = 0;
};

} // namespace turmericsill::callers
