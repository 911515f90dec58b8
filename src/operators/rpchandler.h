#pragma once

#include "httpserver/ihttphandler.h"
#include "operators/rpc/rpcprocessor.h"

namespace turmericsill::operators {

/// Serves POST /rpc of the operators' address.
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
