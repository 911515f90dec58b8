#pragma once

#include <cstdint>
#include <string>

// Restricted to C++14, because the headers of libjsonrpccpp behind these interfaces do not compile as C++17.
namespace turmericsill {
namespace operators {

    /// Result of an operator call: a JSON object or an error.
    struct RpcAnswer {
        bool succeeded = false;
        std::string json; ///< Set on success.
        int code = 0; ///< JSON-RPC error code.
        std::string message; ///< Error message.
    };

    /// JSON-RPC error codes of the operator API.
    enum RpcCode {
        RpcInvalidInput = -32010, ///< The input is invalid; the message lists the faults, one per line.
        RpcNotFound = -32011,
        RpcNotReady = -32012, ///< This entry cannot handle the call at present; nothing was published.
        RpcConflict = -32013, ///< The call is based on a version that is no longer current.
    };

    /// The operator API as defined in schema/operator.json. Object parameters and results are JSON texts.
    class IOperatorCalls {
    public:
        virtual ~IOperatorCalls() = default;

        virtual RpcAnswer status() = 0;
        virtual RpcAnswer history(int limit) = 0;
        virtual RpcAnswer change(const std::string& changeId) = 0;
        virtual RpcAnswer declarations() = 0;
        virtual RpcAnswer plan(const std::string& declarationsJson) = 0;
        virtual RpcAnswer apply(const std::string& declarationsJson, std::int64_t baseVersion,
            const std::string& changeId, const std::string& author, const std::string& reason)
            = 0;
        virtual RpcAnswer drain(const std::string& instance, std::int64_t instanceVersion, const std::string& changeId,
            const std::string& author, const std::string& reason)
            = 0;
        virtual RpcAnswer undrain(const std::string& instance, std::int64_t instanceVersion,
            const std::string& changeId, const std::string& author)
            = 0;
    };

} // namespace operators
} // namespace turmericsill
