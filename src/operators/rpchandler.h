#pragma once

#include "httpserver/ihttphandler.h"
#include "operators/rpc/rpcprocessor.h"

namespace turmericsill::operators {

/// Handles POST /rpc at the operator address.
class RpcHandler : public httpserver::IHttpHandler {
public:
    /// `memoryBytes`: memory that the values of a request may take once they are parsed.
    RpcHandler(IOperatorCalls& calls, std::size_t memoryBytes);

    void handle(const httpserver::HttpExchangePtr& exchange) override;

private:
    RpcProcessor processor_;
    std::size_t maximumValues_;
};

} // namespace turmericsill::operators
