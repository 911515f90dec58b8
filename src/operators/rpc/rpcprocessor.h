#pragma once

#include "operators/rpc/ioperatorcalls.h"

#include <memory>
#include <string>

namespace turmericsill {
namespace operators {

    /// Decodes JSON-RPC 2.0 requests and dispatches them to the operator API.
    class RpcProcessor {
    public:
        explicit RpcProcessor(IOperatorCalls& calls);
        ~RpcProcessor();

        RpcProcessor(const RpcProcessor&) = delete;
        RpcProcessor& operator=(const RpcProcessor&) = delete;

        /// Returns the JSON response to a JSON request. A malformed request yields an error response.
        std::string process(const std::string& request);

    private:
        class Connector;
        class Server;

        std::unique_ptr<Connector> connector_;
        std::unique_ptr<Server> server_;
    };

} // namespace operators
} // namespace turmericsill
