#pragma once

#include "operators/rpc/ioperatorcalls.h"

#include <memory>
#include <string>

namespace turmericsill {
namespace operators {

    /// Sends JSON-RPC requests to an entry and receives the responses.
    class IRpcTransport {
    public:
        virtual ~IRpcTransport() = default;

        /// Returns whether a response arrived; if not, `response` holds the reason.
        virtual bool exchange(const std::string& request, std::string& response) = 0;
    };

    /// Client of the operator API. A transport failure is reported as an answer with the code rpcTransportFailed.
    class OperatorRpcClient : public IOperatorCalls {
    public:
        explicit OperatorRpcClient(IRpcTransport& transport);
        ~OperatorRpcClient() override;

        RpcAnswer status() override;
        RpcAnswer history(int limit) override;
        RpcAnswer change(const std::string& changeId) override;
        RpcAnswer declarations() override;
        RpcAnswer plan(const std::string& declarationsJson) override;
        RpcAnswer apply(const std::string& declarationsJson, std::int64_t baseVersion, const std::string& changeId,
            const std::string& author, const std::string& reason) override;
        RpcAnswer drain(const std::string& instance, std::int64_t instanceVersion, const std::string& changeId,
            const std::string& author, const std::string& reason) override;
        RpcAnswer undrain(const std::string& instance, std::int64_t instanceVersion, const std::string& changeId,
            const std::string& author) override;

    private:
        class Connector;
        class Stub;

        std::unique_ptr<Connector> connector_;
        std::unique_ptr<Stub> stub_;
    };

    /// Error code of an answer when no response arrived.
    constexpr int rpcTransportFailed = -32099;

} // namespace operators
} // namespace turmericsill
