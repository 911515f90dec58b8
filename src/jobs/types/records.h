#pragma once

#include "jobs/types/jobspec.h"
#include "jobs/types/taskid.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace turmericsill::jobs {

/// One life of an instance, in which its process has run without a break.
struct InstanceLife {
    std::string instance;
    std::int64_t born = 0; ///< Start of the life, in milliseconds since 1970.

    bool operator==(const InstanceLife& other) const { return instance == other.instance && born == other.born; }
    bool operator!=(const InstanceLife& other) const { return !(*this == other); }
};

/// How a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    Failed, ///< By its own fault or the instance's; counts as an attempt.
    Stopped,
    LeaseExpired,
    PeerEnded, ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not come in time.
    NeverStarted, ///< The order surely had no effect.
    InstanceGone, ///< The instance's life ended.
};

/// An entry became the controller. Controllers' records of lower epochs do not follow it.
struct Claimed {
    std::uint64_t epoch = 0;
    std::string entry;
    std::uint64_t incarnation = 0; ///< Start of the entry's process, in milliseconds since 1970.
    std::string address; ///< Where the entry tells whether it still controls.
    milliseconds claimedAt { 0 }; ///< Time of day at the entry.
};

/// A caller's job was accepted.
struct Submitted {
    JobId job = 0;
    std::string queue;
    std::string pool;
    milliseconds receivedAt { 0 }; ///< Time of day at the entry.
    JobSpec spec;
};

/// A caller cancelled a job, known or not.
struct Cancelled {
    JobId job = 0;
};

/// The controller is about to order a run.
struct RunIntended {
    TaskId task;
    std::uint32_t run = 0;
    InstanceLife life;
};

/// A run is over.
struct RunEnded {
    TaskId task;
    std::uint32_t run = 0;
    RunEnd how = RunEnd::Done;
    std::string checkpoint; ///< Empty: none.
};

/// A task, or a gang, has used up its attempts.
struct JobFailed {
    JobId job = 0;
};

/// A final job is no longer reported.
struct JobForgotten {
    JobId job = 0;
};

/// The upkeep of an instance's machine for a wave has begun.
struct UpkeepBegun {
    std::uint64_t wave = 0;
    std::string machine;
};

/// The controller learned of a wave; its duration counts from then on, for later controllers as well.
struct WaveSeen {
    std::uint64_t wave = 0;
    milliseconds seenAt { 0 }; ///< Time of day.
};

using Record = std::variant<Claimed, Submitted, Cancelled, RunIntended, RunEnded, JobFailed, JobForgotten, UpkeepBegun,
    WaveSeen>;

} // namespace turmericsill::jobs
