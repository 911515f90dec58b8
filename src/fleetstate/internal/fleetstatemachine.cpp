#include "fleetstate/fleetstatemachine.h"

#include "fleetstate/internal/recordapplier.h"
#include "fleetstate/internal/snapshotcodec.h"
#include "fleetstate/recordcodec.h"
#include "foundation/hash.h"

#include <utility>

namespace turmericsill::fleetstate {

using foundation::Errc;
using foundation::failure;
using foundation::Result;

namespace {

    constexpr std::size_t maximumRecentIds = 4096;
    constexpr std::size_t maximumHistory = 256;

    /// The history keeps only records of operators: controllers write far more records, which would displace them.
    bool isOperatorRecord(const RecordBody& body)
    {
        return std::holds_alternative<ConfigChange>(body) || std::holds_alternative<DrainRequest>(body)
            || std::holds_alternative<DrainCancel>(body);
    }

    /// Sets the author and the subject in the summary of an operator's record.
    struct AuthorAndSubjectVisitor {
        ChangeSummary& summary;

        void operator()(const ConfigChange& body) const
        {
            summary.operatorName = body.operatorName;
            summary.subject = std::to_string(body.changes.size()) + " objects";
            if (!body.reason.empty())
                summary.subject += ": " + body.reason;
        }
        void operator()(const DrainRequest& body) const
        {
            summary.operatorName = body.operatorName;
            summary.subject = body.instance;
        }
        void operator()(const DrainCancel& body) const
        {
            summary.operatorName = body.operatorName;
            summary.subject = body.instance;
        }
        template <typename Other> void operator()(const Other&) const { }
    };

    ChangeSummaryPtr makeSummary(
        std::uint64_t offset, const Record& record, const std::string& reason, std::uint64_t version)
    {
        boost::intrusive_ptr<ChangeSummary> summary = new ChangeSummary();
        summary->id = record.id;
        summary->kind = kindName(record.body);
        summary->writer = record.writer;
        summary->offset = offset;
        summary->version = version;
        summary->writtenAtMs
            = std::chrono::duration_cast<foundation::milliseconds>(record.writtenAt.time_since_epoch()).count();
        summary->accepted = reason.empty();
        summary->reason = reason;
        std::visit(AuthorAndSubjectVisitor { *summary }, record.body);
        return summary;
    }

} // namespace

FleetStateMachine::FleetStateMachine()
    : state_(new FleetState())
{
}

Result<ApplyResult> FleetStateMachine::applyPayload(std::uint64_t offset, std::string_view payload)
{
    auto record = decodeRecord(payload);
    if (record)
        return apply(offset, *record);
    if (record.error().code == Errc::UnknownRecord)
        return tl::unexpected(record.error());
    // No version of this program writes malformed records, so all entries skip the same ones.
    mutableState().nextOffset = offset + 1;
    return ApplyResult { {}, false, false, record.error().message() };
}

ApplyResult FleetStateMachine::apply(std::uint64_t offset, const Record& record)
{
    FleetState& state = mutableState();
    state.nextOffset = offset + 1;
    if (!addRecentId(record.id))
        return { record.id, false, true, "repeated id" };
    std::string reason = std::visit(RecordApplier(state, offset, record), record.body);
    if (isOperatorRecord(record.body)) {
        state.history.push_back(makeSummary(offset, record, reason, state.configVersion));
        if (state.history.size() > maximumHistory)
            state.history.erase(state.history.begin());
    }
    return { record.id, reason.empty(), false, reason };
}

bool FleetStateMachine::addRecentId(const std::string& id)
{
    const std::uint64_t hash = foundation::hashBytes(id);
    if (!recentIdHashes_.insert(hash).second)
        return false;
    recentIdHashOrder_.push_back(hash);
    if (recentIdHashOrder_.size() > maximumRecentIds) {
        recentIdHashes_.erase(recentIdHashOrder_.front());
        recentIdHashOrder_.pop_front();
    }
    return true;
}

FleetState& FleetStateMachine::mutableState()
{
    if (state_->use_count() > 1)
        state_ = new FleetState(*state_);
    return *state_;
}

std::string FleetStateMachine::encodeSnapshot() const
{
    return snapshotcodec::encode(*state_, { recentIdHashOrder_.begin(), recentIdHashOrder_.end() });
}

Result<FleetStateMachine> FleetStateMachine::fromSnapshot(std::string_view snapshot)
{
    auto decoded = snapshotcodec::decode(snapshot);
    if (!decoded)
        return tl::unexpected(decoded.error());
    FleetStateMachine stateMachine;
    stateMachine.state_ = decoded->state;
    for (std::uint64_t hash : decoded->recentIdHashes) {
        stateMachine.recentIdHashes_.insert(hash);
        stateMachine.recentIdHashOrder_.push_back(hash);
    }
    return stateMachine;
}

} // namespace turmericsill::fleetstate
