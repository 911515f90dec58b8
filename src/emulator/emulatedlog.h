#pragma once

#include "eventlog/icontrolgroup.h"
#include "eventlog/ieventlog.h"
#include "eventlog/isnapshotstore.h"
#include "foundation/iclock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::emulator {

using foundation::milliseconds;

/// The state of the platform's log and of the group of entries, without transport.
class EmulatedLog {
public:
    explicit EmulatedLog(const foundation::IClock& clock);

    /// Errc::Fenced: a lower epoch, or a sequence that does not follow.
    foundation::Result<eventlog::AppendReceipt> append(const eventlog::AppendRequest& request);

    /// Errc::RetentionPassed: the record was dropped.
    foundation::Result<eventlog::LogPage> read(const eventlog::ReadRequest& request) const;

    /// Drops every record, as a log does after its time of retention; offsets go on.
    void dropRecords();

    foundation::Result<void> save(
        const std::vector<eventlog::SnapshotEntry>& entries, const eventlog::ProducerPosition& position);
    std::vector<eventlog::SnapshotEntry> load() const;

    eventlog::GroupAssignment join(const eventlog::GroupMember& member, milliseconds timeToLive);
    std::vector<eventlog::GroupMember> members();
    void leave(const std::string& member);

    /// Begins another generation without being asked.
    void dealAnew();

private:
    struct Membership {
        eventlog::GroupMember member;
        foundation::SteadyTime until;
    };

    void expireMembers();

    const foundation::IClock& clock_;
    std::vector<std::string> records_; ///< From offset first_ on.
    std::uint64_t first_ = 0;
    std::map<std::string, std::string> snapshot_;
    std::uint64_t snapshotEpoch_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t nextSequence_ = 0;
    std::map<std::uint64_t, eventlog::AppendReceipt> receipts_; ///< Of the epoch's appends, by sequence.
    std::map<std::string, Membership> members_; ///< By entry.
    std::uint64_t generation_ = 0;
};

} // namespace turmericsill::emulator
