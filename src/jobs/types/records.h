#pragma once

#include "jobs/types/jobspec.h"
#include "jobs/types/taskid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace turmericsill::jobs {

/// An incarnation of an instance: the time during which its process runs without a restart.
struct InstanceIncarnation {
    std::string instance;
    std::int64_t startedAt = 0; ///< Start of the incarnation in milliseconds since the Unix epoch.

    bool operator==(const InstanceIncarnation& other) const
    {
        return instance == other.instance && startedAt == other.startedAt;
    }
    bool operator!=(const InstanceIncarnation& other) const { return !(*this == other); }
};

/// How a run ended.
enum class RunOutcome : std::uint8_t {
    Done, ///< The task completed its work.
    Failed, ///< The task or its instance failed; counts as an attempt.
    Stopped, ///< The instance stopped the run on order of a controller.
    LeaseExpired, ///< The lease of the instance expired, which kills every run there.
    PeerEnded, ///< Another member of the gang ended.
    GangIncomplete, ///< The other members of the gang did not start in time.
    NeverStarted, ///< The start order surely had no effect.
    InstanceGone, ///< The incarnation of the instance ended.
};

/// An entry that a controller asks whether it knows a later claim.
struct ControlWitness {
    std::string entry;
    std::string address; ///< Address at which the entry answers.

    bool operator==(const ControlWitness& other) const { return entry == other.entry && address == other.address; }
};

/// An entry became the controller. The log holds no controller records of lower epochs after this one.
struct ControlClaimed {
    std::uint64_t epoch = 0;
    std::string entry;
    std::uint64_t incarnation = 0; ///< Start of the entry's process in milliseconds since the Unix epoch.
    std::string address; ///< Address at which the entry answers whether it is still the controller.
    milliseconds claimedAt { 0 }; ///< Wall-clock time of the entry.
    /// Entries without whose agreement the controller extends no lease while the log does not answer it; if there are
    /// none, it extends none. Empty for a version that asks no witnesses.
    std::optional<std::vector<ControlWitness>> witnesses {};
};

/// An entry accepted a job from a caller.
struct JobSubmitted {
    JobId job = 0;
    std::string queue;
    std::string pool;
    milliseconds receivedAt { 0 }; ///< Wall-clock time of the entry that accepted the job.
    JobSpec spec;
    /// Number of failed runs that the queue allowed a task when the job was accepted; 0 if an earlier version wrote the
    /// record.
    std::uint32_t maximumAttempts = 0;
    std::string team {}; ///< Team of the caller; empty if the caller was not identified.
    /// Whether the team had submitted more jobs than its rate allows when the controller received this one.
    bool exceedsTeamRate = false;
};

/// A caller cancelled a job; its submission may follow later in the log.
struct JobCancelled {
    JobId job = 0;
};

/// The controller is about to order a run; written ahead of the order.
struct RunIntended {
    TaskId task;
    std::uint32_t run = 0; ///< Number of the run of this task, from 1.
    InstanceIncarnation incarnation; ///< Instance, and its incarnation, that the run is assigned to.
};

/// A run has ended.
struct RunEnded {
    TaskId task;
    std::uint32_t run = 0; ///< Number of the run, as in its RunIntended.
    RunOutcome outcome = RunOutcome::Done;
    std::string checkpoint; ///< Checkpoint to resume from; empty when the run left none.
};

/// A job failed because a task or a gang used up its attempts.
struct JobFailed {
    JobId job = 0;
};

/// A final job was removed after its retention and is no longer reported.
struct JobExpired {
    JobId job = 0;
};

/// The maintenance of a machine as part of a wave has started.
struct MaintenanceStarted {
    std::uint64_t wave = 0;
    std::string machine;
};

/// The controller first learned of a maintenance wave. The wave's duration counts from then on, for later controllers
/// too.
struct WaveFirstSeen {
    std::uint64_t wave = 0;
    milliseconds seenAt { 0 }; ///< Wall-clock time of the controller.
};

/// Consecutive RunIntended and RunEnded records of a controller, stored as one. Under load they are nearly all records,
/// and every entry reads them: together they take less than half of the bytes.
struct RunBatch {
    std::vector<std::variant<RunIntended, RunEnded>> records;
};

/// Instances have confirmed the start of a run of each of these jobs. An intended run may never start.
struct JobsStarted {
    std::vector<JobId> jobs;
};

/// A run that may have been at work on an instance when it crashed.
struct CrashedRun {
    TaskId task;
    std::uint32_t run = 0;
    bool isConfirmed = false; ///< Whether the instance had confirmed the start of the run.
    bool isSuspicion = false; ///< Whether the run had just started, so that its start may have caused the crash.
    bool hasEndured = false; ///< Whether the run had worked for too long to be the cause, of earlier crashes as well.
};

/// An instance crashed: its incarnation ended without an order of a controller and without draining first.
struct InstanceCrashed {
    InstanceIncarnation incarnation;
    std::string machine;
    std::vector<CrashedRun> runs;
};

/// The controller of an epoch asks other witnesses from now on.
struct WitnessesChanged {
    std::uint64_t epoch = 0;
    std::vector<ControlWitness> witnesses;
};

/// The controller learned that an instance runs in a later incarnation. Orders for the earlier one may have reached it;
/// it takes the end of their lease, a time on the clock of the earlier one, for the longest lease.
struct InstanceRestarted {
    InstanceIncarnation incarnation; ///< The later one.
    milliseconds leasesLeft { 0 }; ///< Time from the record on by which leases granted by such orders have expired.
};

using Record = std::variant<ControlClaimed, JobSubmitted, JobCancelled, RunIntended, RunEnded, JobFailed, JobExpired,
    MaintenanceStarted, WaveFirstSeen, RunBatch, JobsStarted, InstanceCrashed, WitnessesChanged, InstanceRestarted>;

} // namespace turmericsill::jobs
