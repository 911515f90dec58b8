#pragma once

#include "control/submissionrouter.h"
#include "emulator/emulatedplatform.h"
#include "emulator/emulatedplatformclient.h"
#include "entry/declarationwatcher.h"
#include "entry/jobservice.h"
#include "eventlog/jobfollower.h"
#include "eventlog/jobsubmitter.h"
#include "foundation/timerqueue.h"
#include "telemetry/ieventsink.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericsill::emulator {

/// Manual clock that only the emulation advances.
class EmulatedClock : public foundation::IClock {
public:
    foundation::SteadyTime now() const override { return time; }
    foundation::WallTime wallNow() const override { return foundation::WallTime(time.time_since_epoch()); }

    foundation::SteadyTime time { std::chrono::seconds(1000) };
};

/// One entry process: the production classes for control and job submission on an emulated platform.
class EmulatedEntry {
public:
    EmulatedEntry(EmulatedPlatform& platform, EmulatedClock& clock, const eventlog::GroupMember& self,
        std::uint64_t incarnation, telemetry::IEventSink& events, const control::ControlSettings& settings,
        EmulatedPlatformClient::PeerLookup peerLookup);

    foundation::TimerQueue& timers() { return timers_; }
    entry::JobService& service() { return service_; }
    control::ControllerElection& control() { return control_; }
    eventlog::JobFollower& follower() { return follower_; }

    /// Time at which the process started.
    foundation::SteadyTime startedAt() const { return startedAt_; }

private:
    foundation::TimerQueue timers_;
    EmulatedPlatformClient platformClient_;
    eventlog::JobFollower follower_;
    control::ControllerContext context_;
    control::ControllerElection control_;
    control::SubmissionRouter router_;
    eventlog::JobSubmitter submitter_;
    entry::JobService service_;
    entry::DeclarationWatcher declarationWatcher_;
    foundation::SteadyTime startedAt_;
};

/// Several entries on one emulated platform, driven by one clock. Runs with the same seed are identical.
class Emulation {
public:
    Emulation(std::uint64_t seed, const control::ControlSettings& settings, telemetry::IEventSink& events);

    EmulatedPlatform& platform() { return platform_; }
    EmulatedClock& clock() { return clock_; }

    /// Starts a process of an entry. `processorShare` is in thousandths of a core.
    void startEntry(const std::string& name, std::uint32_t processorShare = 250);

    /// Ends an entry's process without notice.
    void killEntry(const std::string& name);

    /// Shuts an entry down: it gives up control and leaves the group, and its process ends soon after.
    void shutDownEntry(const std::string& name);

    /// Stops an entry's execution until resumeEntry(); timers that fall due meanwhile fire then.
    void pauseEntry(const std::string& name) { pausedEntries_.insert(name); }
    void resumeEntry(const std::string& name) { pausedEntries_.erase(name); }

    /// Names of the entries that run and are not paused.
    std::vector<std::string> liveEntries() const;

    /// Returns an entry by name, or null when it does not run.
    EmulatedEntry* entry(const std::string& name);

    /// Name of the unpaused entry that is the controller; empty when there is none.
    std::string controller() const;

    /// Submits a job through an entry as a caller of a team does, and records its outcome for the invariants.
    void submit(const std::string& entryName, jobs::JobId id, const jobs::JobSpec& spec,
        std::function<void(entry::RequestResult)> onAnswer = nullptr, const std::string& team = {});
    void cancel(const std::string& entryName, jobs::JobId id);

    /// Queries a job's status from an entry and checks it against the invariants. The entry may wait up to `wait` for
    /// the end of a job that is in progress.
    void queryStatus(const std::string& entryName, jobs::JobId id,
        std::function<void(entry::JobStatus)> onStatus = nullptr, milliseconds wait = milliseconds(0));

    /// Queries the number of pending jobs from an entry and checks it against the invariants. An entry that cannot know
    /// the number answers with nothing.
    void queryPending(const std::string& entryName, std::function<void(std::optional<std::size_t>)> onAnswer = nullptr);

    /// Looks up the queue of a request at an entry and checks the answer against the invariants.
    void queryQueue(const std::string& entryName, const std::string& host, const std::string& path);

    /// Advances the clock by `duration` and runs everything that falls due.
    void advanceTime(milliseconds duration);

private:
    /// Returns the unpaused entry that listens at an address if the calls of another entry reach it, or null.
    EmulatedEntry* findPeer(const foundation::Address& address, const std::string& caller) const;

    EmulatedClock clock_;
    EmulatedPlatform platform_;
    control::ControlSettings settings_;
    telemetry::IEventSink& events_;
    std::map<std::string, std::unique_ptr<EmulatedEntry>> entries_;
    std::map<std::string, std::uint16_t> ports_; ///< Ports of entries for calls from their peers, by name.
    std::set<std::string> pausedEntries_;
    std::uint64_t nextIncarnation_ = 1;
};

} // namespace turmericsill::emulator
