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

/// Carries out the operators' calls on one entry. A change is answered as "pending" at once;
/// change() tells what became of it, from this entry's memory or from the history in the log.
class OperatorService : public IOperatorCalls {
public:
    OperatorService(std::string entry, fleetlog::IFleetLog& log);

    /// Latest information; the caller keeps it current.
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
        std::string state; ///< pending, accepted, refused, not-appended or unknown.
        std::string reason;
    };

    RpcAnswer checkReady() const;
    RpcAnswer submit(const std::string& changeId, fleetstate::RecordBody body);
    RpcAnswer describeChange(const std::string& changeId, const ChangeState& change) const;
    const fleetstate::ChangeSummary* findInHistory(const std::string& changeId) const;
    nlohmann::json statusOfPools() const;
    nlohmann::json statusOfEntries() const;

    std::string entry_;
    fleetlog::IFleetLog& log_;
    StatusSources sources_;
    std::map<std::string, ChangeState> changes_;
    std::deque<std::string> changeOrder_;
};

} // namespace turmericsill::operators
