#pragma once

#include "ctl/commandline.h"
#include "ctl/exitcode.h"
#include "operators/rpc/ioperatorcalls.h"

#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>

namespace turmericsill::ctl {

/// Carries out one command: calls an entry, waits for the outcome of a change and prints the answer.
class OperatorSession {
public:
    /// A call on whichever entry answers.
    using Call = std::function<operators::RpcAnswer(operators::IOperatorCalls&)>;

    OperatorSession(const CommandLine& command, std::ostream& out, std::ostream& error);

    ExitCode run();

private:
    ExitCode check();
    ExitCode plan();
    ExitCode apply();
    ExitCode drain();
    ExitCode undrain();
    ExitCode waitUntilBack(const std::string& instance);
    ExitCode show(const Call& call, const std::function<void(const nlohmann::json&)>& print);
    ExitCode publish(const Call& call);
    ExitCode followChange(const operators::RpcAnswer& first);
    ExitCode finishChange(const nlohmann::json& change);
    ExitCode refuse(const operators::RpcAnswer& answer);
    operators::RpcAnswer callAnyEntry(const Call& call);
    bool loadDeclarations(std::string& text);

    void printStatus(const nlohmann::json& status);
    void printHistory(const nlohmann::json& history);
    void printPlan(const nlohmann::json& plan);

    CommandLine command_;
    std::ostream& out_;
    std::ostream& error_;
    std::uint64_t changeOffset_ = 0; ///< Place of the change in the log, once it is known.
    bool mayHaveArrived_ = false; ///< A call whose answer is missing may have had an effect.
};

} // namespace turmericsill::ctl
