#pragma once

#include "emulator/emulatedinstance.h"
#include "jobs/types/jobspec.h"
#include "jobs/types/taskid.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericsill::emulator {

/// Checks from outside what must always hold: what callers were told against what instances do.
class Rulebook {
public:
    using Instances = std::map<std::string, std::unique_ptr<EmulatedInstance>>;

    explicit Rulebook(const Instances& instances, const foundation::IClock& clock);

    /// A caller handed a job in, or learned the outcome.
    void submitted(jobs::JobId job, const jobs::JobSpec& spec);
    void accepted(jobs::JobId job) { accepted_.insert(job); }
    void refused(jobs::JobId job) { refused_.insert(job); }
    void mayBeAccepted(jobs::JobId job) { unknown_.insert(job); }
    void cancelled(jobs::JobId job);

    /// A caller was shown a job as completed.
    void shownCompleted(jobs::JobId job);

    /// Rules with a time bound do not hold for orders that an instance carries out late.
    void setCarryingLate(bool isLate) { isCarryingLate_ = isLate; }

    /// An instance began a run; called after it holds the run.
    void started(const EmulatedInstance& instance, const jobs::TaskId& task);

    /// An instance's end was acknowledged, or happened.
    void acknowledged(const fleet::ObservedEnd& end);

    /// Broken rules, each with what was seen.
    const std::vector<std::string>& broken() const { return broken_; }

    const std::set<jobs::JobId>& acceptedJobs() const { return accepted_; }
    bool isCancelled(jobs::JobId job) const { return cancelledAt_.count(job) > 0; }
    const jobs::JobSpec* spec(jobs::JobId job) const;

private:
    void breaks(const std::string& rule, const std::string& what);
    void checkRoom(const EmulatedInstance& instance, const jobs::TaskId& task);
    void checkOrder(const jobs::TaskId& task, const jobs::JobSpec& spec);

    const Instances& instances_;
    const foundation::IClock& clock_;
    std::map<jobs::JobId, jobs::JobSpec> specs_;
    std::set<jobs::JobId> accepted_;
    std::set<jobs::JobId> refused_;
    std::set<jobs::JobId> unknown_;
    std::map<jobs::JobId, foundation::SteadyTime> cancelledAt_;
    std::set<jobs::JobId> completed_;
    std::set<jobs::TaskId> done_; ///< Tasks whose end "done" was acknowledged.
    std::vector<std::string> broken_;
    bool isCarryingLate_ = false;
};

} // namespace turmericsill::emulator
