#pragma once

#include "eventlog/icontrolgroup.h"
#include "eventlog/ieventlog.h"
#include "eventlog/isnapshotstore.h"
#include "foundation/iclock.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::emulator {

using foundation::milliseconds;

/// The platform's log, snapshot store and group of entries as in-memory state, without transport.
class EmulatedLog {
public:
    explicit EmulatedLog(const foundation::IClock& clock);

    /// Sizes of the records and appends that the log accepts, and of the entries of a snapshot.
    const jobs::RecordLimits& limits() const { return limits_; }
    void setLimits(const jobs::RecordLimits& limits) { limits_ = limits; }

    /// Makes the log accept smaller appends to the job log than limits() tells.
    void setAcceptedAppendBytes(std::size_t bytes) { acceptedAppendBytes_ = bytes; }

    /// Fails with Errc::Fenced when the epoch is lower than the latest one or the sequence number is out of order, and
    /// with Errc::Rejected when the append or one of its records is too large.
    foundation::Result<eventlog::AppendReceipt> append(const eventlog::AppendRequest& request);

    /// Fails with Errc::RetentionPassed when the first record asked for was dropped.
    foundation::Result<eventlog::LogPage> read(const eventlog::ReadRequest& request) const;

    /// Drops all records, as the log does after its retention time. Later appends continue the offsets.
    void dropRecords();

    foundation::Result<void> save(
        const std::vector<eventlog::SnapshotEntry>& entries, const eventlog::ProducerPosition& position);
    std::vector<eventlog::SnapshotEntry> load() const;

    /// Number of entries that were saved so far.
    std::size_t savedEntries() const { return savedEntries_; }

    eventlog::GroupAssignment join(const eventlog::GroupMember& member, milliseconds timeToLive);
    std::vector<eventlog::GroupMember> members();
    void leave(const std::string& member);

    /// Starts a new generation of the group although its members have not changed.
    void rebalance();

private:
    struct Membership {
        eventlog::GroupMember member;
        foundation::SteadyTime expiresAt;
    };

    void expireMembers();

    foundation::Result<void> checkSizes(const std::vector<std::size_t>& sizes, std::size_t maximumTotal) const;

    const foundation::IClock& clock_;
    jobs::RecordLimits limits_ { 256 << 10, 2 << 20, 4 };
    std::size_t acceptedAppendBytes_ = std::numeric_limits<std::size_t>::max();
    std::vector<std::string> records_; ///< Records from offset firstOffset_ on.
    std::uint64_t firstOffset_ = 0;
    std::map<std::string, std::string> snapshot_;
    std::uint64_t snapshotEpoch_ = 0;
    std::size_t savedEntries_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t nextSequence_ = 0;
    /// Receipts of the current epoch's appends, by sequence number.
    std::map<std::uint64_t, eventlog::AppendReceipt> receipts_;
    std::map<std::string, Membership> members_; ///< Members of the group, by entry name.
    std::uint64_t generation_ = 0;
};

} // namespace turmericsill::emulator
