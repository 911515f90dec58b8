#include "scheduling/placementplanner.h"

#include "scheduling/internal/stepplacer.h"
#include "scheduling/teamshares.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmericsill::scheduling {

namespace {

    /// Needs that no instance with a label had room for. Room only shrinks during a plan.
    class UnmetNeeds {
    public:
        void add(const std::string& label, const jobs::Resources& need) { needs_.emplace_back(label, need); }

        /// Whether a need at least as large has found no room.
        bool covers(const std::string& label, const jobs::Resources& need) const
        {
            return std::any_of(needs_.begin(), needs_.end(), [&](const auto& unmet) {
                return (unmet.first.empty() || unmet.first == label) && unmet.second.fitsInto(need);
            });
        }

    private:
        std::vector<std::pair<std::string, jobs::Resources>> needs_; ///< Label, empty for any instance, and need.
    };

    /// Part of a waiting job that earlier passes of a plan have tried.
    struct Progress {
        std::size_t step = 0; ///< Steps before this one were tried.
        std::uint32_t nextIndex = 0; ///< Tasks of this step before this index were tried.
        std::uint32_t triedTasks = 0; ///< Number of waiting tasks of this step that were tried.
    };

    /// How many tasks of a job one pass of a plan starts.
    enum class PassLimit : std::uint8_t {
        None,
        TeamShare, ///< Those that bring the team to its share.
        OneTask, ///< One task, or a gang, of the first step that waits.
    };

    /// One plan of a pool.
    class PlanInProgress {
    public:
        PlanInProgress(const PlacementPlanner::JobLookup& findJob, InstanceIndex& instances, const PoolBacklog& backlog,
            const PlanConstraints& constraints)
            : findJob_(findJob)
            , instances_(instances)
            , backlog_(backlog)
            , constraints_(constraints)
            , teams_(constraints.teams)
            , hasBlockedTasks_(constraints.blockedTasks && !constraints.blockedTasks->empty())
        {
        }

        PoolPlan make()
        {
            const PoolBacklog::Jobs& jobs = backlog_.jobs();
            if (!teams_) {
                for (auto job = jobs.begin(); job != jobs.end(); ++job)
                    serveJob(job, PassLimit::None);
                return std::move(plan_);
            }
            for (auto begin = jobs.begin(); begin != jobs.end();) {
                const auto end = std::find_if(
                    begin, jobs.end(), [&](const auto& job) { return !isSameGroup(job.first, begin->first); });
                serveGroup(begin, end);
                begin = end;
            }
            return std::move(plan_);
        }

    private:
        using JobPosition = PoolBacklog::Jobs::const_iterator;

        /// Whether the shares of the teams come before the other criteria in the order of two jobs.
        static bool isSameGroup(const JobRank& one, const JobRank& other)
        {
            return one.priority == other.priority && one.isShort == other.isShort
                && one.exceedsTeamRate == other.exceedsTeamRate;
        }

        // Teams below their share first, each up to its share, then the rest.
        void serveGroup(JobPosition begin, JobPosition end)
        {
            if (teams_->overdueBefore())
                serveOverdueJobs(begin, end);
            std::vector<JobPosition> remaining;
            for (auto job = begin; job != end; ++job) {
                if (!teams_->isBelowShare(job->second.team) || !serveJob(job, PassLimit::TeamShare))
                    remaining.push_back(job);
            }
            for (const JobPosition& job : remaining)
                serveJob(job, PassLimit::None);
        }

        // The oldest job of each team is enough: another one is served in a later plan.
        void serveOverdueJobs(JobPosition begin, JobPosition end)
        {
            std::vector<JobPosition> oldest(backlog_.teams().size(), end);
            for (auto job = begin; job != end; ++job) {
                const WaitingJob& waiting = job->second;
                JobPosition& known = oldest[waiting.team];
                if (waiting.submittedAt < *teams_->overdueBefore() && !teams_->isBelowShare(waiting.team)
                    && (known == end || waiting.submittedAt < known->second.submittedAt))
                    known = job;
            }
            for (const JobPosition& job : oldest) {
                if (job == end)
                    continue;
                const std::size_t placements = plan_.placements.size();
                serveJob(job, PassLimit::OneTask);
                teams_->onOverdueJobTried(plan_.placements.size() > placements);
            }
        }

        // Returns false if tasks are left for a later pass.
        bool serveJob(JobPosition job, PassLimit limit)
        {
            const auto known = progress_.empty() ? progress_.end() : progress_.find(job->first.job);
            Progress progress = known == progress_.end() ? Progress() : known->second;
            const WaitingJob& waiting = job->second;
            bool isCut = false;
            while (progress.step < waiting.steps.size() && !isCut) {
                isCut = !serveStep(waiting.steps[progress.step], waiting.team, progress, limit);
                if (!isCut)
                    progress = { progress.step + 1, 0, 0 };
                isCut = isCut || limit == PassLimit::OneTask;
            }
            const bool isFinished = progress.step == waiting.steps.size();
            if (limit == PassLimit::OneTask || !isFinished)
                progress_[job->first.job] = progress;
            return isFinished;
        }

        // Returns false if tasks are left for a later pass. What the cap of the team holds back is not tried: neither
        // is it a need without room, which would hold back other jobs, nor a demand for more machines.
        bool serveStep(const WaitingStep& waiting, TeamIndex team, Progress& progress, PassLimit limit)
        {
            const std::uint32_t tasks = waiting.tasks - progress.triedTasks;
            const std::uint32_t allowed = tasksUnderCap(waiting, team, tasks);
            const std::uint32_t heldBack = tasks - allowed;
            if (allowed == 0 || plan_.placements.size() >= constraints_.maximumPlacements) {
                plan_.deferredTasks += allowed;
                addDemand(plan_.deferred, team, waiting.need * allowed);
                countHeldBack(team, heldBack);
                return true;
            }
            const bool hasNoRoom = unmetNeeds_.covers(waiting.requiredLabel, waiting.need);
            if (hasNoRoom && !hasBlockedTasks_) {
                addUnplacedTasks(waiting, team, allowed);
                countHeldBack(team, heldBack);
                return true;
            }
            const std::uint32_t tried = std::min(allowed, hasNoRoom ? allowed : taskLimit(waiting, team, limit));
            if (tried > 0)
                placeTasks(waiting, team, progress.nextIndex, tried, hasNoRoom);
            progress.triedTasks += tried;
            if (tried < allowed)
                return false;
            countHeldBack(team, heldBack);
            return true;
        }

        void placeTasks(
            const WaitingStep& waiting, TeamIndex team, std::uint32_t& nextIndex, std::uint32_t tasks, bool hasNoRoom)
        {
            const jobs::Job* job = findJob(waiting.id.job);
            if (!job)
                return;
            const std::size_t placements = plan_.placements.size();
            const jobs::Resources unplaced = plan_.unplaced;
            StepPlacer placer(instances_, *job, waiting, constraints_);
            if (teams_)
                placer.setRange(nextIndex, tasks);
            if (!placer.place(plan_) && !hasNoRoom && placer.isOutOfResources())
                unmetNeeds_.add(waiting.requiredLabel, waiting.need);
            if (!teams_)
                return;
            nextIndex = placer.nextIndex();
            teams_->addPlacements(
                team, *job, waiting, static_cast<std::uint32_t>(plan_.placements.size() - placements));
            limitAddedDemand(team, unplaced);
        }

        // The steps of a job follow each other.
        const jobs::Job* findJob(jobs::JobId id)
        {
            if (!foundJob_ || foundJob_->id != id)
                foundJob_ = findJob_(id);
            return foundJob_;
        }

        std::uint32_t tasksUnderCap(const WaitingStep& waiting, TeamIndex team, std::uint32_t tasks)
        {
            if (!teams_)
                return tasks;
            const std::uint32_t allowed = teams_->tasksUnderCap(team, waiting, tasks);
            return waiting.isGang && allowed < tasks ? 0 : allowed;
        }

        std::uint32_t taskLimit(const WaitingStep& waiting, TeamIndex team, PassLimit limit) const
        {
            constexpr auto unlimited = std::numeric_limits<std::uint32_t>::max();
            if (limit == PassLimit::None)
                return unlimited;
            const std::uint32_t tasks = limit == PassLimit::OneTask ? 1 : teams_->tasksWithinShare(team, waiting);
            return waiting.isGang && tasks > 0 ? unlimited : tasks;
        }

        void addUnplacedTasks(const WaitingStep& waiting, TeamIndex team, std::uint32_t tasks)
        {
            const jobs::Resources unplaced = plan_.unplaced;
            addUnplaced(plan_, waiting, tasks);
            limitAddedDemand(team, unplaced);
        }

        void limitAddedDemand(TeamIndex team, const jobs::Resources& unplacedBefore)
        {
            if (!teams_)
                return;
            jobs::Resources added = plan_.unplaced;
            added -= unplacedBefore;
            plan_.unplaced = unplacedBefore;
            addDemand(plan_.unplaced, team, added);
        }

        void addDemand(jobs::Resources& total, TeamIndex team, const jobs::Resources& demand)
        {
            total += teams_ ? teams_->limitDemand(team, demand) : demand;
        }

        void countHeldBack(TeamIndex team, std::uint32_t tasks)
        {
            if (tasks > 0)
                teams_->addHeldByCap(team, tasks);
        }

        const PlacementPlanner::JobLookup& findJob_;
        InstanceIndex& instances_;
        const PoolBacklog& backlog_;
        const PlanConstraints& constraints_;
        TeamShares* teams_;
        const bool hasBlockedTasks_;
        PoolPlan plan_;
        UnmetNeeds unmetNeeds_;
        const jobs::Job* foundJob_ = nullptr;
        std::unordered_map<jobs::JobId, Progress> progress_; ///< Of jobs that a pass has tried in part.
    };

} // namespace

PoolPlan PlacementPlanner::plan(
    InstanceIndex& instances, const PoolBacklog& backlog, const PlanConstraints& constraints) const
{
    return PlanInProgress(findJob_, instances, backlog, constraints).make();
}

} // namespace turmericsill::scheduling
