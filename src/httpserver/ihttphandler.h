#pragma once

#include "httpserver/httpexchange.h"

namespace turmericsill::httpserver {

/// Handles the requests of an HTTP server.
class IHttpHandler {
public:
    virtual ~IHttpHandler() = default;

    /// Handles a request that was read completely. The response may be sent later, on the same thread.
    virtual void handle(const HttpExchangePtr& exchange) = 0;
};

} // namespace turmericsill::httpserver
