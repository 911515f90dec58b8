#include "operators/rpc/operatorrpcclient.h"

#include "operatorrpc/operatorclient.h"
#include "operators/rpc/internal/jsontext.h"

namespace turmericsill {
namespace operators {

    namespace {

        /// Runs a call of the generated stub and converts an exception into an error answer.
        template <typename Call> RpcAnswer toAnswer(Call call)
        {
            RpcAnswer answer;
            try {
                answer.json = writeJson(call());
                answer.succeeded = true;
            } catch (const jsonrpc::JsonRpcException& error) {
                const bool noResponse = error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR;
                answer.code = noResponse ? rpcTransportFailed : error.GetCode();
                answer.message = error.GetMessage();
            }
            return answer;
        }

    } // namespace

    class OperatorRpcClient::Connector : public jsonrpc::IClientConnector {
    public:
        explicit Connector(IRpcTransport& transport)
            : transport_(transport)
        {
        }

        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
        {
            if (!transport_.exchange(message, result))
                throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, result);
        }

    private:
        IRpcTransport& transport_;
    };

    class OperatorRpcClient::Stub : public generated::OperatorClient {
    public:
        using generated::OperatorClient::OperatorClient;
    };

    OperatorRpcClient::OperatorRpcClient(IRpcTransport& transport)
        : connector_(new Connector(transport))
        , stub_(new Stub(*connector_, jsonrpc::JSONRPC_CLIENT_V2))
    {
    }

    OperatorRpcClient::~OperatorRpcClient() = default;

    RpcAnswer OperatorRpcClient::status()
    {
        return toAnswer([&] { return stub_->status(); });
    }

    RpcAnswer OperatorRpcClient::history(int limit)
    {
        return toAnswer([&] { return stub_->history(limit); });
    }

    RpcAnswer OperatorRpcClient::change(const std::string& changeId)
    {
        return toAnswer([&] { return stub_->change(changeId); });
    }

    RpcAnswer OperatorRpcClient::declarations()
    {
        return toAnswer([&] { return stub_->declarations(); });
    }

    RpcAnswer OperatorRpcClient::plan(const std::string& declarationsJson)
    {
        return toAnswer([&] { return stub_->plan(parseJson(declarationsJson)); });
    }

    RpcAnswer OperatorRpcClient::apply(const std::string& declarationsJson, std::int64_t baseVersion,
        const std::string& changeId, const std::string& author, const std::string& reason)
    {
        return toAnswer([&] {
            return stub_->apply(author, static_cast<int>(baseVersion), changeId, parseJson(declarationsJson), reason);
        });
    }

    RpcAnswer OperatorRpcClient::drain(const std::string& instance, std::int64_t instanceVersion,
        const std::string& changeId, const std::string& author, const std::string& reason)
    {
        return toAnswer(
            [&] { return stub_->drain(author, changeId, instance, static_cast<int>(instanceVersion), reason); });
    }

    RpcAnswer OperatorRpcClient::undrain(const std::string& instance, std::int64_t instanceVersion,
        const std::string& changeId, const std::string& author)
    {
        return toAnswer([&] { return stub_->undrain(author, changeId, instance, static_cast<int>(instanceVersion)); });
    }

} // namespace operators
} // namespace turmericsill
