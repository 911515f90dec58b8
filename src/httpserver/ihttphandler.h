#pragma once

#include "httpserver/httpexchange.h"

namespace turmericsill::httpserver {

/// Serves the requests of one HTTP server.
class IHttpHandler {
public:
    virtual ~IHttpHandler() = default;

    /// Takes a whole request; the answer may come later, on the same thread.
    virtual void handle(const HttpExchangePtr& exchange) = 0;
};

} // namespace turmericsill::httpserver
