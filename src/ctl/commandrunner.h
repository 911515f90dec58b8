#pragma once

#include "ctl/commandline.h"
#include "ctl/exitcode.h"
#include "operators/rpc/ioperatorcalls.h"

#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>

namespace turmericsill::ctl {

/// Executes one command: calls an entry, waits for the outcome of a change and prints the result.
class CommandRunner {
public:
    /// An operator call that can be sent to any entry.
    using Call = std::function<operators::RpcAnswer(operators::IOperatorCalls&)>;

    CommandRunner(const CommandLine& command, std::ostream& out, std::ostream& error);

    ExitCode run();

private:
    ExitCode check();
    ExitCode plan();
    ExitCode apply();
    ExitCode drain();
    ExitCode undrain();
    ExitCode waitUntilServing(const std::string& instance);
    ExitCode show(const Call& call, const std::function<void(const nlohmann::json&)>& print);
    ExitCode publish(const Call& call);
    ExitCode awaitOutcome(const operators::RpcAnswer& first);
    ExitCode reportOutcome(const nlohmann::json& change);
    ExitCode reportFailure(const operators::RpcAnswer& answer);
    operators::RpcAnswer callAnyEntry(const Call& call);
    bool loadDeclarations(std::string& text);

    void printStatus(const nlohmann::json& status);
    void printHistory(const nlohmann::json& history);
    void printPlan(const nlohmann::json& plan);

    CommandLine command_;
    std::ostream& out_;
    std::ostream& error_;
    std::uint64_t changeOffset_ = 0; ///< Offset of the change in the log; 0 until it is known.
    bool mayHaveReachedEntry_ = false; ///< Whether a call without an answer may have reached an entry.
};

} // namespace turmericsill::ctl
