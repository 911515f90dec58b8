#pragma once

#include "httpserver/ihttphandler.h"
#include "operators/rpc/rpcprocessor.h"

namespace turmericsill::operators {

/// Handles POST /rpc at the operator address.
class RpcHandler : public httpserver::IHttpHandler {
public:
    explicit RpcHandler(IOperatorCalls& calls)
        : processor_(calls)
    {
    }

    void handle(const httpserver::HttpExchangePtr& exchange) override;

private:
    RpcProcessor processor_;
};

} // namespace turmericsill::operators
