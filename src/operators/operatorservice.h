#pragma once

#include "declarations/types/objects.h"
#include "fleetlog/ifleetlog.h"
#include "foundation/iclock.h"
#include "operators/rpc/ioperatorcalls.h"
#include "operators/types/statussources.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace turmericsill::operators {

/// Implements the operator API on one entry. A change is answered immediately with the state "pending";
/// change() returns its outcome from this entry's memory or from the history in the log.
class OperatorService : public IOperatorCalls {
public:
    OperatorService(std::string entry, fleetlog::IFleetLog& log);

    /// Latest information from the other modules; the module that owns this service keeps it up to date.
    StatusSources& sources() { return sources_; }

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
    struct ChangeState {
        std::string state; ///< One of pending, accepted, refused, not-appended and unknown.
        std::string reason;
    };

    RpcAnswer checkReady() const;
    RpcAnswer submit(const std::string& changeId, fleetstate::RecordBody body);
    RpcAnswer changeAnswer(const std::string& changeId, const ChangeState& change) const;
    const fleetstate::ChangeSummary* findInHistory(const std::string& changeId) const;
    nlohmann::json poolStatus() const;
    nlohmann::json entryStatus() const;

    std::string entry_;
    fleetlog::IFleetLog& log_;
    StatusSources sources_;
    std::map<std::string, ChangeState> changes_;
    std::deque<std::string> changeIdsByAge_;
};

} // namespace turmericsill::operators
