#pragma once

#include "foundation/asiotimerqueue.h"
#include "foundation/systemclock.h"
#include "httpclient/pooledhttpclient.h"
#include "soak/crowd.h"
#include "soak/faultproxy.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericsill::soak {

/// Parameters of a soak test.
struct SoakPlan {
    std::uint64_t seed = 1;
    foundation::milliseconds faultPhase { 15000 }; ///< Time during which faults are injected.
    foundation::milliseconds recoveryPhase { 45000 }; ///< Time after the faults in which accepted jobs must finish.
    foundation::Address platform; ///< Address of the platform stand-in.
    std::vector<foundation::Address> callerAddresses; ///< Caller address of each entry.
    std::vector<foundation::Address> proxyAddresses; ///< Address at which each entry reaches the store.
    std::vector<std::string> pidFiles; ///< File with the id of each entry's current process.
    std::vector<std::uint16_t> crowdPorts; ///< Loopback ports that clients without limits press.
    std::size_t crowdPerPort = 0; ///< Number of these clients on each port.
    std::size_t memoryLimitKb = 0; ///< Most resident memory of an entry; 0 if it is not checked.
};

/// Soak test with random callers and faults. The seed determines the random choices, but a run is not exactly
/// reproducible, since real processes take part. It checks these invariants by what callers and instances see:
/// - An accepted job is never unknown, finishes in the end and has no task that runs twice.
/// - A job that was refused at every attempt never runs, and one with an unknown key is never accepted.
/// - An entry that is told to stop answers the requests that it has read.
/// - The memory of each entry stays under its limit.
class Soak {
public:
    Soak(boost::asio::io_context& context, SoakPlan plan);

    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    /// Runs the whole test. Returns false when an invariant was violated; see violations().
    bool run();

    const std::vector<std::string>& violations() const { return violations_; }

    /// Returns the counts and violations as JSON text.
    std::string summary() const;

private:
    enum class SubmissionOutcome { Refused, Unknown, Accepted };

    struct SoakJob {
        std::string key; ///< API key of its caller.
        SubmissionOutcome outcome = SubmissionOutcome::Refused;
        bool isCancelled = false;
        bool isFinal = false; ///< Its status was completed, failed or cancelled.
    };

    struct Entry {
        std::unique_ptr<httpclient::PooledHttpClient> client; ///< Sends callers' requests.
        std::unique_ptr<FaultProxy> storeProxy;
        foundation::SteadyTime faultedUntil {}; ///< End of the time in which a fault may interrupt requests.
        foundation::SteadyTime stopRequestedAt {}; ///< Time of the last order to stop (SIGTERM).
        bool isPaused = false;
    };

    void pressEntries();
    void measureMemory();
    void submitNextJob();
    void submitNewJob(const std::string& key);
    void submitJob(std::uint64_t id, std::size_t entry);
    std::ptrdiff_t countJobs(SubmissionOutcome outcome) const;
    void onSubmitted(std::uint64_t id, std::size_t entry, const foundation::Result<httpclient::HttpResponse>& answer,
        foundation::SteadyTime sentAt);
    void cancelRandomJob();
    void queryRandomJob();
    void queryStatus(std::uint64_t id, std::size_t entry);
    void injectFault();
    void injectConnectionFault(std::size_t entry, const ConnectionFault& fault, foundation::milliseconds duration);
    void signalEntry(std::size_t entry, int signal);
    void pauseEntry(std::size_t entry, foundation::milliseconds duration);
    void restartInstance();

    /// Notes that a fault of this duration may interrupt requests to an entry.
    void markFaulted(std::size_t entry, foundation::milliseconds duration);

    void startRecovery();
    void checkAcceptedJobs();
    void checkPlatformFigures();
    bool isEveryAcceptedJobFinal() const;
    void callEntry(std::size_t entry, boost::beast::http::verb verb, std::uint64_t id, const std::string& body,
        httpclient::HttpCallback done);
    void schedule(foundation::milliseconds delay, std::function<void()> action);
    std::int64_t randomNumber(std::int64_t minimum, std::int64_t maximum);
    std::size_t randomEntry();

    boost::asio::io_context& context_;
    SoakPlan plan_;
    std::mt19937_64 random_;
    foundation::SystemClock clock_;
    foundation::AsioTimerQueue timers_;
    httpclient::PooledHttpClient platform_;
    std::vector<Entry> entries_;
    std::unique_ptr<UntrustedCrowd> crowd_;
    std::size_t peakResidentKb_ = 0; ///< Most resident memory of any entry.
    std::map<std::uint64_t, SoakJob> jobs_;
    std::map<std::string, int> faultCounts_; ///< Number of injected faults, by kind.
    std::vector<std::string> violations_;
    foundation::SteadyTime startedAt_;
    foundation::SteadyTime recoveryDeadline_;
    bool isRecovering_ = false;
    bool isFinished_ = false;
};

} // namespace turmericsill::soak
