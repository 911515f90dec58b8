#pragma once

#include "foundation/iclock.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/list_hook.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

namespace turmericsill::httpserver {

/// Limits that all HTTP servers of a process share.
struct ReadBudgetLimits {
    /// Memory for requests that were read and not yet handled, and for responses not yet written.
    std::size_t bytes = std::numeric_limits<std::size_t>::max();
    /// Part of each connection that does not count: the reserve from which small requests are served while the budget
    /// is used up. It is bounded by the number of connections.
    std::size_t freeBytesPerConnection = 8 << 10;
    std::optional<std::size_t> descriptors; ///< File descriptors that the process may open.
};

/// Limits of servers whose requests may take so much memory together, and of all descriptors of this process.
ReadBudgetLimits readBudgetLimitsWithin(std::size_t bytes);

/// A connection whose memory counts against a ReadBudget.
class BudgetHolder : public boost::intrusive::list_base_hook<boost::intrusive::tag<BudgetHolder>> {
public:
    BudgetHolder() = default;
    BudgetHolder(const BudgetHolder&) = delete;
    BudgetHolder& operator=(const BudgetHolder&) = delete;

    bool isCounted() const { return is_linked(); }

protected:
    ~BudgetHolder() = default;

private:
    friend class ReadBudget;

    /// Whether closing the connection gives its memory back: no handler has its request.
    virtual bool isExpendable() const = 0;

    /// Closes the connection, which the budget does not count any more.
    virtual void closeForBudget() = 0;

    std::size_t countedBytes_ = 0;
    std::size_t bytesAtProgress_ = 0;
    foundation::SteadyTime progressedAt_ {};
};

/// A server that can close the connection that is needed least when descriptors are short.
class IdleConnectionSource : public boost::intrusive::list_base_hook<boost::intrusive::tag<IdleConnectionSource>> {
public:
    IdleConnectionSource() = default;
    IdleConnectionSource(const IdleConnectionSource&) = delete;
    IdleConnectionSource& operator=(const IdleConnectionSource&) = delete;

    /// Closes the connection that is needed least; false if all are needed.
    virtual bool closeIdlest(foundation::SteadyTime now) = 0;

protected:
    ~IdleConnectionSource() = default;
};

/// Bounds the memory and the descriptors that the clients of all HTTP servers of a process hold, beside the limits of
/// each request. Used on one thread; it outlives the servers. See docs/design/request-limits.md.
class ReadBudget {
public:
    explicit ReadBudget(const ReadBudgetLimits& limits = {});
    ~ReadBudget();

    ReadBudget(const ReadBudget&) = delete;
    ReadBudget& operator=(const ReadBudget&) = delete;

    /// Sets what a connection holds. While this exceeds the budget, the connections that have held the most for the
    /// longest time without progress are closed. Returns false if `holder` itself is the next one, or if no other can
    /// be closed; it then has to give back what it holds.
    bool update(BudgetHolder& holder, std::size_t heldBytes, foundation::SteadyTime now);

    /// Tells that a connection goes on in another way than by what it holds, for example with its response.
    void noteProgress(BudgetHolder& holder, foundation::SteadyTime now) { holder.progressedAt_ = now; }

    /// Stops counting a connection.
    void release(BudgetHolder& holder);

    std::size_t usedBytes() const { return usedBytes_; }
    std::size_t freeBytesPerConnection() const { return limits_.freeBytesPerConnection; }

    /// Whether a connection with this descriptor takes one of those left for calls of this process. Descriptors are
    /// numbered from the lowest free one, so the number tells how many are open.
    bool isShortOfDescriptors(int descriptor) const;

    void addSource(IdleConnectionSource& source) { sources_.push_back(source); }
    void removeSource(IdleConnectionSource& source) { sources_.erase(sources_.iterator_to(source)); }

    /// Closes the connection of any server that is needed least; false if all are needed.
    bool closeIdlest(foundation::SteadyTime now);

    /// Returns free memory to the system if the budget was at least half used and is so no more, at most every 10 s.
    /// Returns whether it did.
    bool trimMemory(foundation::SteadyTime now);

private:
    BudgetHolder* nextToClose(foundation::SteadyTime now);

    ReadBudgetLimits limits_;
    std::size_t usedBytes_ = 0;
    std::size_t peakBytes_ = 0; ///< Largest use since memory was last returned.
    std::optional<foundation::SteadyTime> trimmedAt_;
    boost::intrusive::list<BudgetHolder,
        boost::intrusive::base_hook<boost::intrusive::list_base_hook<boost::intrusive::tag<BudgetHolder>>>>
        holders_;
    boost::intrusive::list<IdleConnectionSource,
        boost::intrusive::base_hook<boost::intrusive::list_base_hook<boost::intrusive::tag<IdleConnectionSource>>>>
        sources_;
};

} // namespace turmericsill::httpserver
