#pragma once

#include "fleetlog/ifleetlog.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace turmericsill::fleetlog {

/// Gives modules on other threads access to the fleet log.
class IFleetLogFactory {
public:
    virtual ~IFleetLogFactory() = default;

    /// Creates a client that is used on the thread of `consumer`; its callbacks run on that thread.
    virtual std::unique_ptr<IFleetLog> createClient(boost::asio::io_context& consumer) = 0;
};

} // namespace turmericsill::fleetlog
