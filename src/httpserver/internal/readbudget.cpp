#include "httpserver/readbudget.h"

#include "foundation/processusage.h"

#include <algorithm>
#include <malloc.h>

namespace turmericsill::httpserver {

using foundation::SteadyTime;

namespace {

    /// A client that sends a byte now and then makes no progress by that.
    constexpr std::size_t progressBytes = 4 << 10;
    constexpr foundation::milliseconds trimInterval { 10000 };
    constexpr std::size_t descriptorReserveShare = 16; ///< One of so many descriptors is kept for calls of the process.
    constexpr std::size_t minimumDescriptorReserve = 16;

    std::size_t distance(std::size_t one, std::size_t other) { return one > other ? one - other : other - one; }

} // namespace

ReadBudgetLimits readBudgetLimitsWithin(std::size_t bytes)
{
    ReadBudgetLimits limits;
    limits.bytes = bytes;
    limits.descriptors = foundation::descriptorLimit();
    return limits;
}

ReadBudget::ReadBudget(const ReadBudgetLimits& limits)
    : limits_(limits)
{
}

ReadBudget::~ReadBudget()
{
    holders_.clear();
    sources_.clear();
}

bool ReadBudget::update(BudgetHolder& holder, std::size_t heldBytes, SteadyTime now)
{
    if (heldBytes <= limits_.freeBytesPerConnection) {
        release(holder);
        return true;
    }
    const std::size_t counted = heldBytes - limits_.freeBytesPerConnection;
    const bool isNew = !holder.isCounted();
    if (isNew)
        holders_.push_back(holder);
    if (isNew || distance(counted, holder.bytesAtProgress_) >= progressBytes) {
        holder.progressedAt_ = now;
        holder.bytesAtProgress_ = counted;
    }
    usedBytes_ += counted - holder.countedBytes_;
    holder.countedBytes_ = counted;
    while (usedBytes_ > limits_.bytes) {
        BudgetHolder* next = nextToClose(now);
        if (!next || next == &holder)
            return false;
        release(*next);
        next->closeForBudget();
    }
    peakBytes_ = std::max(peakBytes_, usedBytes_);
    return true;
}

void ReadBudget::release(BudgetHolder& holder)
{
    if (!holder.isCounted())
        return;
    usedBytes_ -= holder.countedBytes_;
    holder.countedBytes_ = 0;
    holder.bytesAtProgress_ = 0;
    holders_.erase(holders_.iterator_to(holder));
}

// Bytes times the time without progress: a client that has only begun, or whose request arrives, is closed after those
// that let theirs lie. One millisecond is added, so that the size decides among those that have just made progress.
BudgetHolder* ReadBudget::nextToClose(SteadyTime now)
{
    BudgetHolder* next = nullptr;
    double mostByteSeconds = -1;
    for (auto& holder : holders_) {
        if (!holder.isExpendable())
            continue;
        const auto stalled = now - holder.progressedAt_ + foundation::milliseconds(1);
        const double byteSeconds
            = static_cast<double>(holder.countedBytes_) * std::chrono::duration<double>(stalled).count();
        if (byteSeconds <= mostByteSeconds)
            continue;
        mostByteSeconds = byteSeconds;
        next = &holder;
    }
    return next;
}

bool ReadBudget::isShortOfDescriptors(int descriptor) const
{
    if (!limits_.descriptors)
        return false;
    const std::size_t reserve = std::max(minimumDescriptorReserve, *limits_.descriptors / descriptorReserveShare);
    return static_cast<std::size_t>(descriptor) + reserve >= *limits_.descriptors;
}

bool ReadBudget::closeIdlest(SteadyTime now)
{
    return std::any_of(sources_.begin(), sources_.end(), [now](auto& source) { return source.closeIdlest(now); });
}

bool ReadBudget::trimMemory(SteadyTime now)
{
    const bool wasPressed = peakBytes_ >= limits_.bytes / 2;
    if (!wasPressed || usedBytes_ >= limits_.bytes / 2 || (trimmedAt_ && now - *trimmedAt_ < trimInterval))
        return false;
    trimmedAt_ = now;
    peakBytes_ = usedBytes_;
    malloc_trim(0);
    return true;
}

} // namespace turmericsill::httpserver
