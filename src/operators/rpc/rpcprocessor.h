#pragma once

#include "operators/rpc/ioperatorcalls.h"

#include <memory>
#include <string>

namespace turmericsill {
namespace operators {

    /// Decodes JSON-RPC 2.0 requests and carries out the calls that they name.
    class RpcProcessor {
    public:
        explicit RpcProcessor(IOperatorCalls& calls);
        ~RpcProcessor();

        RpcProcessor(const RpcProcessor&) = delete;
        RpcProcessor& operator=(const RpcProcessor&) = delete;

        /// Response to a request, both JSON texts. A malformed request yields an error response.
        std::string process(const std::string& request);

    private:
        class Connector;
        class Server;

        std::unique_ptr<Connector> connector_;
        std::unique_ptr<Server> server_;
    };

} // namespace operators
} // namespace turmericsill
