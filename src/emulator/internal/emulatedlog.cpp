#include "emulator/emulatedlog.h"

#include <algorithm>

namespace turmericsill::emulator {

using eventlog::AppendReceipt;
using eventlog::AppendRequest;
using eventlog::GroupAssignment;
using eventlog::LogPage;
using foundation::Errc;
using foundation::failure;
using foundation::Result;

EmulatedLog::EmulatedLog(const foundation::IClock& clock)
    : clock_(clock)
{
}

Result<void> EmulatedLog::checkSizes(const std::vector<std::size_t>& sizes, std::size_t maximumTotal) const
{
    std::size_t total = 0;
    for (const std::size_t size : sizes) {
        total += limits_.framedSize(size);
        if (size > limits_.recordBytes)
            return failure(Errc::Rejected, "emulator.append", {}, "record of " + std::to_string(size) + " bytes");
    }
    if (total > maximumTotal)
        return failure(Errc::Rejected, "emulator.append", {}, "append of " + std::to_string(total) + " bytes");
    return {};
}

Result<AppendReceipt> EmulatedLog::append(const AppendRequest& request)
{
    static const std::string step = "emulator.append";
    if (request.position && request.position->epoch < epoch_)
        return failure(Errc::Fenced, step);
    std::vector<std::size_t> sizes;
    for (const auto& payload : request.payloads)
        sizes.push_back(payload.size());
    const std::size_t acceptedBytes = std::min(limits_.appendBytes, acceptedAppendBytes_);
    if (const auto checked = checkSizes(sizes, acceptedBytes); !checked)
        return tl::unexpected(checked.error());
    if (request.position && request.position->epoch == epoch_) {
        const auto duplicate = receipts_.find(request.position->sequence);
        if (duplicate != receipts_.end())
            return duplicate->second;
        if (request.position->sequence != nextSequence_)
            return failure(Errc::Fenced, step, {}, "sequence");
    }
    const std::uint64_t offset = firstOffset_ + records_.size();
    records_.insert(records_.end(), request.payloads.begin(), request.payloads.end());
    const AppendReceipt receipt { offset, firstOffset_ + records_.size() };
    if (request.position) {
        if (request.position->epoch > epoch_)
            receipts_.clear();
        epoch_ = request.position->epoch;
        nextSequence_ = request.position->sequence + 1;
        receipts_[request.position->sequence] = receipt;
    }
    return receipt;
}

Result<LogPage> EmulatedLog::read(const eventlog::ReadRequest& request) const
{
    constexpr std::size_t defaultMaximumBytes = 1024 << 10;
    if (request.from < firstOffset_ && !request.skipsDropped)
        return failure(Errc::RetentionPassed, "emulator.read");
    const std::uint64_t from = std::max(request.from, firstOffset_);
    LogPage page { from, firstOffset_ + records_.size(), {} };
    const std::size_t maximum = request.maximumBytes > 0 ? request.maximumBytes : defaultMaximumBytes;
    std::size_t bytes = 0;
    for (std::uint64_t offset = from; offset < page.end; ++offset) {
        const std::string& record = records_[offset - firstOffset_];
        if (!page.payloads.empty() && bytes + record.size() > maximum)
            break;
        bytes += record.size();
        page.payloads.push_back(record);
    }
    return page;
}

void EmulatedLog::dropRecords()
{
    firstOffset_ += records_.size();
    records_.clear();
}

Result<void> EmulatedLog::save(
    const std::vector<eventlog::SnapshotEntry>& entries, const eventlog::ProducerPosition& position)
{
    if (position.epoch < snapshotEpoch_)
        return failure(Errc::Fenced, "emulator.save");
    std::vector<std::size_t> sizes;
    for (const auto& entry : entries)
        sizes.push_back(entry.key.size() + entry.value.size());
    if (const auto checked = checkSizes(sizes, limits_.appendBytes); !checked)
        return checked;
    snapshotEpoch_ = position.epoch;
    savedEntries_ += entries.size();
    for (const auto& entry : entries) {
        if (entry.value.empty())
            snapshot_.erase(entry.key);
        else
            snapshot_[entry.key] = entry.value;
    }
    return {};
}

std::vector<eventlog::SnapshotEntry> EmulatedLog::load() const
{
    std::vector<eventlog::SnapshotEntry> entries;
    for (const auto& [key, value] : snapshot_)
        entries.push_back({ key, value });
    return entries;
}

GroupAssignment EmulatedLog::join(const eventlog::GroupMember& member, milliseconds timeToLive)
{
    if (!members_.count(member.entry))
        ++generation_;
    members_[member.entry] = { member, clock_.now() + timeToLive };
    expireMembers();
    return { generation_, true };
}

std::vector<eventlog::GroupMember> EmulatedLog::members()
{
    expireMembers();
    std::vector<eventlog::GroupMember> result;
    for (const auto& [entry, membership] : members_)
        result.push_back(membership.member);
    return result;
}

void EmulatedLog::leave(const std::string& member)
{
    if (members_.erase(member) > 0)
        ++generation_;
    expireMembers();
}

void EmulatedLog::expireMembers()
{
    for (auto member = members_.begin(); member != members_.end();) {
        if (member->second.expiresAt < clock_.now()) {
            member = members_.erase(member);
            ++generation_;
        } else {
            ++member;
        }
    }
}

void EmulatedLog::rebalance()
{
    expireMembers();
    ++generation_;
}

} // namespace turmericsill::emulator
