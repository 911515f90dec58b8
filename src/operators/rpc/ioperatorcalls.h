#pragma once

#include <cstdint>
#include <string>

// Plain C++14: the library that these interfaces hide does not compile as C++17.
namespace turmericsill {
namespace operators {

    /// Answer of an operator call: JSON of an object, or an error.
    struct RpcAnswer {
        bool succeeded = false;
        std::string json; ///< Set on success.
        int code = 0; ///< JSON-RPC error code.
        std::string message; ///< Error text.
    };

    /// JSON-RPC error codes of the operators' interface.
    enum RpcCode {
        RpcInvalidInput = -32010, ///< The input has faults; the message lists them, one a line.
        RpcNotFound = -32011,
        RpcNotReady = -32012, ///< This entry cannot take the call now; nothing was published.
        RpcConflict = -32013, ///< The call was planned on a state that has changed.
    };

    /// The calls of schema/operator.json. Object parameters and answers are JSON texts.
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
