#include "operators/rpc/rpcprocessor.h"

#include "operatorrpc/abstractoperatorserver.h"
#include "operators/rpc/internal/jsontext.h"

namespace turmericsill {
namespace operators {

    namespace {

        Json::Value resultOrThrow(const RpcAnswer& answer)
        {
            if (!answer.succeeded)
                throw jsonrpc::JsonRpcException(answer.code, answer.message);
            return parseJson(answer.json);
        }

    } // namespace

    /// Connector without a listener: requests come from this project's HTTP server instead of the library's own.
    class RpcProcessor::Connector : public jsonrpc::AbstractServerConnector {
    public:
        bool StartListening() override { return true; }
        bool StopListening() override { return true; }
        bool SendResponse(const std::string&, void*) override { return true; }
    };

    class RpcProcessor::Server : public generated::AbstractOperatorServer {
    public:
        Server(jsonrpc::AbstractServerConnector& connector, IOperatorCalls& calls)
            : generated::AbstractOperatorServer(connector, jsonrpc::JSONRPC_SERVER_V2)
            , calls_(calls)
        {
        }

        Json::Value status() override { return resultOrThrow(calls_.status()); }
        Json::Value history(int limit) override { return resultOrThrow(calls_.history(limit)); }
        Json::Value change(const std::string& changeId) override { return resultOrThrow(calls_.change(changeId)); }
        Json::Value declarations() override { return resultOrThrow(calls_.declarations()); }
        Json::Value plan(const Json::Value& set) override { return resultOrThrow(calls_.plan(writeJson(set))); }

        Json::Value apply(const std::string& author, int baseVersion, const std::string& changeId,
            const Json::Value& set, const std::string& reason) override
        {
            return resultOrThrow(calls_.apply(writeJson(set), baseVersion, changeId, author, reason));
        }

        Json::Value drain(const std::string& author, const std::string& changeId, const std::string& instance,
            int instanceVersion, const std::string& reason) override
        {
            return resultOrThrow(calls_.drain(instance, instanceVersion, changeId, author, reason));
        }

        Json::Value undrain(const std::string& author, const std::string& changeId, const std::string& instance,
            int instanceVersion) override
        {
            return resultOrThrow(calls_.undrain(instance, instanceVersion, changeId, author));
        }

    private:
        IOperatorCalls& calls_;
    };

    RpcProcessor::RpcProcessor(IOperatorCalls& calls)
        : connector_(new Connector())
        , server_(new Server(*connector_, calls))
    {
    }

    RpcProcessor::~RpcProcessor() = default;

    std::string RpcProcessor::process(const std::string& request)
    {
        std::string response;
        connector_->GetHandler()->HandleRequest(request, response);
        return response;
    }

} // namespace operators
} // namespace turmericsill
