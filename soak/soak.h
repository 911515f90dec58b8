#pragma once

#include "foundation/asiotimerqueue.h"
#include "foundation/systemclock.h"
#include "httpclient/httppeer.h"
#include "soak/faultproxy.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericsill::soak {

/// What a soak runs against.
struct SoakPlan {
    std::uint64_t seed = 1;
    foundation::milliseconds trouble { 15000 }; ///< During which faults begin.
    foundation::milliseconds calm { 45000 }; ///< In which everything accepted must be finished.
    foundation::Address platform; ///< The stand-in of the platform.
    std::vector<foundation::Address> callerAddresses; ///< Of the entries.
    std::vector<foundation::Address> proxyAddresses; ///< Where each entry finds the store.
    std::vector<std::string> pidFiles; ///< Each holds the id of an entry's present process.
};

/// Callers and faults of one run: seeded, but not repeatable to the letter, since real processes take part.
/// Promises that it checks, from what callers and instances see: a job that was accepted is never unknown, is
/// finished in the end and runs no task twice; one that was refused by every attempt never runs; an entry that is told
/// to stop answers the requests that it has read.
class Soak {
public:
    Soak(boost::asio::io_context& context, SoakPlan plan);

    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    /// Runs to the end; false when a promise was broken. `broken()` tells which.
    bool run();

    const std::vector<std::string>& broken() const { return broken_; }
    std::string figures() const;

private:
    enum class Fate { Refused, Unknown, Accepted };

    struct SoakJob {
        Fate fate = Fate::Refused;
        bool isCancelled = false;
        bool isFinal = false;
    };

    struct Entry {
        std::unique_ptr<httpclient::HttpPeer> callers;
        std::unique_ptr<FaultProxy> store;
        foundation::SteadyTime disturbedUntil {}; ///< Unplanned faults may cut answers off until then.
        foundation::SteadyTime stoppingSince {}; ///< When it was last told to stop.
        bool isPaused = false;
    };

    void submitNext();
    void submit(std::uint64_t id, std::size_t entry);
    void onSubmitted(std::uint64_t id, std::size_t entry, const foundation::Result<httpclient::HttpAnswer>& answer,
        foundation::SteadyTime sentAt);
    void cancelOne();
    void lookAtOne();
    void look(std::uint64_t id, std::size_t entry);
    void injectFault();
    void faultLink(std::size_t entry, const LinkFault& fault, foundation::milliseconds length);
    void signalEntry(std::size_t entry, int signal);
    void pauseEntry(std::size_t entry, foundation::milliseconds length);
    void restartInstance();
    void disturb(std::size_t entry, foundation::milliseconds length);
    void calmDown();
    void checkAll();
    void checkInstances();
    bool isFinished() const;
    void call(std::size_t entry, boost::beast::http::verb verb, std::uint64_t id, const std::string& body,
        httpclient::HttpCallback done);
    void later(foundation::milliseconds delay, std::function<void()> action);
    std::int64_t number(std::int64_t least, std::int64_t most);
    std::size_t anyEntry();

    boost::asio::io_context& context_;
    SoakPlan plan_;
    std::mt19937_64 random_;
    foundation::SystemClock clock_;
    foundation::AsioTimerQueue timers_;
    httpclient::HttpPeer platform_;
    std::vector<Entry> entries_;
    std::map<std::uint64_t, SoakJob> jobs_;
    std::map<std::string, int> faults_; ///< How many of each kind.
    std::vector<std::string> broken_;
    foundation::SteadyTime began_;
    foundation::SteadyTime endsAt_;
    bool isCalm_ = false;
    bool isOver_ = false;
};

} // namespace turmericsill::soak
