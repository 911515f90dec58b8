#pragma once

#include "control/submissionrouter.h"
#include "emulator/emulatedplatform.h"
#include "emulator/entryport.h"
#include "entry/jobservice.h"
#include "eventlog/jobfollower.h"
#include "eventlog/jobsubmitter.h"
#include "foundation/timerqueue.h"
#include "telemetry/ieventsink.h"

#include <memory>
#include <string>
#include <vector>

namespace turmericsill::emulator {

/// Clock that moves only with the emulation.
class EmulatedClock : public foundation::IClock {
public:
    foundation::SteadyTime now() const override { return time; }
    foundation::WallTime wallNow() const override { return foundation::WallTime(time.time_since_epoch()); }

    foundation::SteadyTime time { std::chrono::seconds(1000) };
};

/// One process of an entry: the product's own duties on an emulated platform.
class EmulatedEntry {
public:
    EmulatedEntry(EmulatedPlatform& platform, EmulatedClock& clock, const eventlog::GroupMember& self,
        std::uint64_t incarnation, std::uint16_t port, telemetry::IEventSink& events,
        const control::ControlSettings& settings, EntryPort::Peers peers);

    foundation::TimerQueue& timers() { return timers_; }
    entry::JobService& service() { return service_; }
    control::ControlDuty& control() { return control_; }

private:
    foundation::TimerQueue timers_;
    EntryPort port_;
    eventlog::JobFollower follower_;
    control::ControllerContext context_;
    control::ControlDuty control_;
    control::SubmissionRouter router_;
    eventlog::JobSubmitter submitter_;
    entry::JobService service_;
};

/// Several entries on one emulated platform, driven by one clock. The same seed gives the same run.
class Emulation {
public:
    Emulation(std::uint64_t seed, const control::ControlSettings& settings, telemetry::IEventSink& events);

    EmulatedPlatform& platform() { return platform_; }
    EmulatedClock& clock() { return clock_; }

    /// `processorShare`: in thousandths of a core.
    void startEntry(const std::string& name, std::uint32_t processorShare = 250);

    /// Ends an entry's process without a word.
    void killEntry(const std::string& name);

    /// Leaves an entry without processor time until it is thawed; its timers fire then.
    void freezeEntry(const std::string& name) { frozen_.insert(name); }
    void thawEntry(const std::string& name) { frozen_.erase(name); }

    std::vector<std::string> liveEntries() const;

    /// The entry, or null.
    EmulatedEntry* entry(const std::string& name);

    /// The entry that controls, or empty.
    std::string controller() const;

    void submit(const std::string& entryName, jobs::JobId id, const jobs::JobSpec& spec,
        std::function<void(entry::RequestResult)> answered = nullptr);
    void cancel(const std::string& entryName, jobs::JobId id);

    /// Asks an entry for a job's state and checks what it says.
    void look(const std::string& entryName, jobs::JobId id, std::function<void(entry::JobStatus)> seen = nullptr);

    /// Lets time pass.
    void run(milliseconds duration);

private:
    /// The entry that listens there and is not frozen, or null.
    EmulatedEntry* peerAt(const foundation::Address& address) const;

    EmulatedClock clock_;
    EmulatedPlatform platform_;
    control::ControlSettings settings_;
    telemetry::IEventSink& events_;
    std::map<std::string, std::unique_ptr<EmulatedEntry>> entries_;
    std::map<std::string, std::uint16_t> ports_;
    std::set<std::string> frozen_;
    std::uint64_t nextIncarnation_ = 1;
};

} // namespace turmericsill::emulator
