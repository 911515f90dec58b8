#pragma once

#include "fleetlog/ifleetlog.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace turmericsill::fleetlog {

/// Gives other duties access to the log duty.
class ILogPort {
public:
    virtual ~ILogPort() = default;

    /// A log that is used on `consumer`'s thread; its callbacks run there.
    virtual std::unique_ptr<IFleetLog> connect(boost::asio::io_context& consumer) = 0;
};

} // namespace turmericsill::fleetlog
