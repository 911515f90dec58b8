#include "emulator/tests/fixtures.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <iterator>
#include <random>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::EmulationFixture;
using fixtures::job;
using fixtures::step;

namespace {

constexpr int defaultScheduleCount = 60;
constexpr std::uint64_t defaultFirstSeed = 1;
constexpr milliseconds faultPhase { 12000 };
/// Covers the outage limit, the longest lease and the time to run the remaining tasks.
constexpr milliseconds recoveryPhase { 45000 };
const jobs::Resources fullCapacity { 8000, 16000, 0 };
constexpr std::int64_t milliCoresPerCore = 1000;
constexpr std::int64_t stepsPerCapacityChange = 6; ///< Mean number of a schedule's steps for each change of a capacity.
constexpr std::int64_t stepsPerDirectoryChange = 30; ///< Mean number of steps until the directory fails or returns.
constexpr milliseconds calmPhase { 10000 };
constexpr std::int64_t promptCancellationDelayMs = 150; ///< Longest time from the answer to a job to its cancellation.
const std::uint64_t cancellationSeedMask = 0x5bd1e995; ///< Makes the seed of the random cancellations.
const std::uint64_t configurationSeedMask = 0x2545f491; ///< Makes the seed of the random configurations.
constexpr std::int64_t stepsPerConfiguration = 6; ///< Mean number of a schedule's steps for each configuration.
const std::uint64_t lossSeedMask = 0x9e3779b9; ///< Makes the seed of the random losses of entries and instances.
constexpr int lossRounds = 3; ///< Number of times that a schedule alternates between losses and a quiet stretch.
constexpr milliseconds directoryDelay { 4500 }; ///< Three heartbeats, after which a silent instance is not listed.
constexpr milliseconds longestSeries { 5000 }; ///< Time within which successive controllers are lost.
constexpr std::int64_t stepsPerLossChange = 25; ///< Mean number of steps until answers get lost or no more.
const std::vector<std::string> instanceNames { "i-1", "i-2", "i-3", "i-4" };

std::uint64_t numberFromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Faults of a schedule besides the usual ones. They are drawn from random numbers of their own.
struct ScheduleOptions {
    double deadlyJobRatio = 0; ///< Fraction of jobs with a task that crashes every instance that starts it.
    bool changesCapacities = false; ///< Capacities change while the instances run, and the directory fails at times.
    /// Jobs are cancelled right after their acceptance, instances leave after a notice, controllers are replaced right
    /// after an order, appends and machine orders are carried out late. Cancellations and releases go on when the
    /// other faults have ended.
    bool cancelsPromptly = false;
    /// Queues are added and removed, and answers to reads of the declarations get lost.
    bool changesConfigurations = false;
    /// Instead of the usual faults, instances and controllers are lost for good, some of them in series, and cuts lie
    /// around entries and instances. Others under new names replace what is lost. Quiet stretches follow, in which the
    /// tasks of long-running jobs must be at work.
    bool losesForGood = false;
};

/// Random schedule of submissions, cancellations and faults, followed by a recovery phase without faults in which every
/// accepted job must be finished.
class FaultSchedule {
public:
    explicit FaultSchedule(std::uint64_t seed, const ScheduleOptions& options = {})
        : random_(seed)
        , deadlyRandom_(seed)
        , options_(options)
        , fixture_(seed)
        , capacityRandom_(~seed)
        , cancellationRandom_(seed ^ cancellationSeedMask)
        , configurationRandom_(seed ^ configurationSeedMask)
        , lossRandom_(seed ^ lossSeedMask)
    {
    }

    /// Returns the first violation, or an empty text.
    std::string run()
    {
        if (options_.losesForGood)
            playLosses();
        else
            playFaults();
        if (!fixture_.violations().empty())
            return fixture_.violations().front();
        return finish();
    }

    const std::vector<std::string>& eventLines() const { return fixture_.sink.lines; }

private:
    void playFaults()
    {
        const auto end = fixture_.emulation.clock().time + faultPhase;
        while (fixture_.emulation.clock().time < end) {
            performRandomAction();
            if (options_.changesCapacities)
                performRandomCapacityAction();
            if (options_.cancelsPromptly)
                performRandomCancellationAction(true);
            if (options_.changesConfigurations)
                performRandomConfigurationAction();
            fixture_.queryAllPending();
            queryAllQueues();
            fixture_.emulation.advanceTime(milliseconds(randomNumber(5, 250)));
            if (!fixture_.violations().empty())
                return;
        }
    }

    /// Ends the faults and returns the first violation from there on, or an empty text.
    std::string finish()
    {
        endFaults();
        if (options_.cancelsPromptly)
            playCalmPhase();
        cancelLongRunningJobs();
        playRecovery();
        fixture_.queryAllStatuses();
        fixture_.emulation.advanceTime(milliseconds(200));
        if (!fixture_.violations().empty())
            return fixture_.violations().front();
        return findUnfinishedJob();
    }

    std::int64_t randomNumber(std::int64_t minimum, std::int64_t maximum)
    {
        return std::uniform_int_distribution<std::int64_t>(minimum, maximum)(random_);
    }

    std::string randomEntry() { return "e-" + std::to_string(randomNumber(1, 3)); }
    std::string randomInstance() { return "i-" + std::to_string(randomNumber(1, 4)); }

    void submitRandomJob()
    {
        std::vector<jobs::StepSpec> steps { step(
            static_cast<std::uint32_t>(randomNumber(1, 5)), randomNumber(500, 4000)) };
        if (randomNumber(0, 1))
            steps.push_back(step(static_cast<std::uint32_t>(randomNumber(1, 3)), randomNumber(500, 4000), { 0 }));
        if (steps.size() == 1 && randomNumber(0, 4) == 0)
            steps.front().isLongRunning = true;
        const jobs::JobId id = nextJob_++;
        if (std::uniform_real_distribution<double>(0, 1)(deadlyRandom_) < options_.deadlyJobRatio)
            fixture_.emulation.platform().setDeadly({ id, 0, 0, 0 });
        fixture_.emulation.submit(randomEntry(), id, job(steps));
        submitted_.push_back({ id, job(steps) });
    }

    void repeatRandomSubmission()
    {
        if (submitted_.empty())
            return;
        const auto& [id, spec]
            = submitted_[static_cast<std::size_t>(randomNumber(0, std::int64_t(submitted_.size()) - 1))];
        fixture_.emulation.submit(randomEntry(), id, spec);
    }

    void cancelRandomJob()
    {
        if (!submitted_.empty())
            fixture_.emulation.cancel(
                randomEntry(), submitted_[std::size_t(randomNumber(0, std::int64_t(submitted_.size()) - 1))].first);
    }

    // Draws from a generator of its own, so that the other actions of a seed stay the same.
    void performRandomCapacityAction()
    {
        const auto draw = [this](std::int64_t minimum, std::int64_t maximum) {
            return std::uniform_int_distribution<std::int64_t>(minimum, maximum)(capacityRandom_);
        };
        const auto instance = draw(0, std::int64_t(instanceNames.size()) - 1);
        const std::int64_t cores = draw(1, fullCapacity.milliCores / milliCoresPerCore);
        if (draw(1, stepsPerCapacityChange) == 1)
            setCapacity(instanceNames[std::size_t(instance)], cores * milliCoresPerCore);
        auto& faults = fixture_.emulation.platform().faults();
        if (draw(1, stepsPerDirectoryChange) == 1)
            faults.isDirectoryDown = !faults.isDirectoryDown;
    }

    // Draws from a generator of its own, so that the other actions of a seed stay the same.
    void performRandomConfigurationAction()
    {
        const auto isDrawn = [this](std::int64_t steps) {
            return std::uniform_int_distribution<std::int64_t>(1, steps)(configurationRandom_) == 1;
        };
        auto& faults = fixture_.emulation.platform().faults();
        if (isDrawn(stepsPerLossChange))
            faults.lostDeclarationAnswerRatio = faults.lostDeclarationAnswerRatio > 0 ? 0 : 0.4;
        if (!isDrawn(stepsPerConfiguration))
            return;
        auto configuration = fixture_.emulation.platform().configuration();
        ++configuration.version;
        if (configuration.queues.size() > 1 && isDrawn(3)) {
            configuration.queues.pop_back();
        } else {
            auto queue = configuration.queues.front();
            queue.name = "added-" + std::to_string(nextQueue_++);
            queue.pathPrefix = "/" + queue.name + "/";
            configuration.queues.push_back(queue);
        }
        fixture_.emulation.platform().setConfiguration(configuration);
    }

    /// Asks each live entry for queues that were never removed, added, removed or never declared.
    void queryAllQueues()
    {
        constexpr int checkedQueues = 5;
        for (const auto& entry : fixture_.emulation.liveEntries()) {
            for (const char* path : { "/calls/", "/other/" })
                fixture_.emulation.queryQueue(entry, "calls.example", path);
            for (int number = std::max(1, nextQueue_ - checkedQueues); number < nextQueue_; ++number)
                fixture_.emulation.queryQueue(entry, "calls.example", "/added-" + std::to_string(number) + "/");
        }
    }

    void playRecovery()
    {
        constexpr milliseconds queryInterval { 500 };
        const auto end = fixture_.emulation.clock().time + recoveryPhase;
        while (fixture_.emulation.clock().time < end) {
            fixture_.emulation.advanceTime(queryInterval);
            queryAllQueues();
        }
    }

    std::int64_t drawForCancellations(std::int64_t minimum, std::int64_t maximum)
    {
        return std::uniform_int_distribution<std::int64_t>(minimum, maximum)(cancellationRandom_);
    }

    bool isDrawnOnceIn(std::int64_t steps) { return drawForCancellations(1, steps) == 1; }

    std::string drawLiveEntry()
    {
        const auto names = fixture_.emulation.liveEntries();
        return names.empty() ? std::string()
                             : names[std::size_t(drawForCancellations(0, std::int64_t(names.size()) - 1))];
    }

    void submitAndCancel()
    {
        auto work = step(
            static_cast<std::uint32_t>(drawForCancellations(1, 5)), milliCoresPerCore * drawForCancellations(1, 3));
        work.isLongRunning = drawForCancellations(0, 2) > 0;
        const jobs::JobId id = nextCancelledJob_++;
        submitted_.push_back({ id, job({ work }) });
        const auto delay = milliseconds(drawForCancellations(0, promptCancellationDelayMs));
        fixture_.emulation.submit(drawLiveEntry(), id, job({ work }), [this, id, delay](entry::RequestResult result) {
            if (result.outcome != entry::RequestOutcome::Stored)
                return;
            fixture_.emulation.platform().network().schedule(fixture_.emulation.clock().now() + delay,
                [this, id] { fixture_.emulation.cancel(drawLiveEntry(), id); });
        });
    }

    void releaseRandomInstance()
    {
        const auto& instances = fixture_.emulation.platform().instances();
        if (instances.size() <= 2)
            return;
        const auto chosen = std::next(instances.begin(), drawForCancellations(0, std::int64_t(instances.size()) - 1));
        fixture_.emulation.platform().release(chosen->first, milliseconds(drawForCancellations(200, 3000)));
    }

    // The controller ends for good after its next start order, and an entry at another address takes its place. It is
    // killed if there are faults, and shut down otherwise.
    void replaceControllerAfterOrder(bool hasFaults)
    {
        const auto isOrder = [](const std::string& line) { return line.rfind("run.ordered", 0) == 0; };
        const auto known = std::int64_t(fixture_.sink.lines.size());
        submitAndCancel();
        constexpr int longestWaitMs = 100;
        for (int waited = 0; waited < longestWaitMs; ++waited) {
            const auto& lines = fixture_.sink.lines;
            if (std::any_of(lines.begin() + known, lines.end(), isOrder))
                break;
            fixture_.emulation.advanceTime(milliseconds(1));
        }
        const std::string controller = fixture_.emulation.controller();
        if (controller.empty())
            return;
        if (hasFaults)
            fixture_.emulation.killEntry(controller);
        else
            fixture_.emulation.shutDownEntry(controller);
        fixture_.emulation.startEntry("e-" + std::to_string(nextEntry_++));
    }

    void declareWave()
    {
        fleet::MaintenanceWave wave;
        wave.number = nextWave_++;
        wave.duration = milliseconds(drawForCancellations(100, 8000));
        wave.maximumDown = 2;
        for (const auto& [name, instance] : fixture_.emulation.platform().instances())
            wave.machines.push_back(instance->report().machine);
        for (const auto& name : fixture_.emulation.liveEntries())
            fixture_.emulation.entry(name)->control().addWave(wave);
    }

    // Draws from a generator of its own, so that the other actions of a seed stay the same.
    void performRandomCancellationAction(bool hasFaults)
    {
        auto& faults = fixture_.emulation.platform().faults();
        if (isDrawnOnceIn(3))
            submitAndCancel();
        if (isDrawnOnceIn(15))
            releaseRandomInstance();
        if (isDrawnOnceIn(25))
            replaceControllerAfterOrder(hasFaults);
        if (!hasFaults)
            return;
        if (isDrawnOnceIn(25))
            faults.lateAppendRatio = faults.lateAppendRatio > 0 ? 0 : 0.1;
        if (isDrawnOnceIn(25))
            faults.unansweredMaintenanceRatio = faults.unansweredMaintenanceRatio > 0 ? 0 : 0.5;
        if (isDrawnOnceIn(25))
            faults.isMaintenanceAlreadyDone = !faults.isMaintenanceAlreadyDone;
        if (isDrawnOnceIn(25))
            faults.isMaintenanceCarriedOut = !faults.isMaintenanceCarriedOut;
        if (isDrawnOnceIn(25))
            declareWave();
    }

    // Maintenance that was declared goes on. Orders for machines that were maintained before are accepted without
    // effect.
    void playCalmPhase()
    {
        auto& faults = fixture_.emulation.platform().faults();
        (isDrawnOnceIn(2) ? faults.isMaintenanceAlreadyDone : faults.isMaintenanceCarriedOut) = true;
        const auto end = fixture_.emulation.clock().time + calmPhase;
        while (fixture_.emulation.clock().time < end && fixture_.violations().empty()) {
            performRandomCancellationAction(false);
            fixture_.emulation.advanceTime(milliseconds(drawForCancellations(5, 250)));
        }
    }

    std::int64_t drawForLosses(std::int64_t minimum, std::int64_t maximum)
    {
        return std::uniform_int_distribution<std::int64_t>(minimum, maximum)(lossRandom_);
    }

    milliseconds drawDelay(std::int64_t minimumMs, std::int64_t maximumMs)
    {
        return milliseconds(drawForLosses(minimumMs, maximumMs));
    }

    bool isLossDrawn(std::int64_t percent) { return drawForLosses(1, 100) <= percent; }

    void schedule(milliseconds delay, std::function<void()> action)
    {
        const auto at = fixture_.emulation.clock().now() + delay;
        lossesEndAt_ = std::max(lossesEndAt_, at);
        fixture_.emulation.platform().network().schedule(at, std::move(action));
    }

    /// Writes an action of this schedule among the events.
    void note(const std::string& action)
    {
        const auto at = fixture_.emulation.clock().now().time_since_epoch();
        fixture_.sink.lines.push_back(
            "schedule." + action + " at_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(at).count()));
    }

    void submitForLosses(bool isLongRunning)
    {
        auto work = step(static_cast<std::uint32_t>(drawForLosses(1, 6)), drawForLosses(500, 2000));
        work.isLongRunning = isLongRunning;
        const jobs::JobId id = nextJob_++;
        submitted_.push_back({ id, job({ work }) });
        const auto entries = fixture_.emulation.liveEntries();
        if (entries.empty())
            return;
        fixture_.emulation.submit(
            entries[std::size_t(drawForLosses(0, std::int64_t(entries.size()) - 1))], id, job({ work }));
    }

    // The directory drops the instance some time later, and another one starts under a new name.
    void loseInstance()
    {
        auto& platform = fixture_.emulation.platform();
        if (platform.instances().size() <= 2)
            return;
        const std::string name
            = std::next(platform.instances().begin(), drawForLosses(0, std::int64_t(platform.instances().size()) - 1))
                  ->first;
        note("instance-lost instance=" + name);
        platform.crash(name);
        schedule(directoryDelay, [&platform, name] { platform.removeFromDirectory(name); });
        schedule(drawDelay(500, 5000), [&platform, successor = "i-" + std::to_string(nextInstance_++)] {
            platform.startInstance(successor, "desk", fullCapacity);
        });
    }

    // An entry under a new name takes the place of the controller.
    void loseController()
    {
        const std::string controller = fixture_.emulation.controller();
        if (controller.empty() || fixture_.emulation.liveEntries().size() < 2)
            return;
        const bool isKilled = isLossDrawn(60);
        note((isKilled ? "controller-killed entry=" : "controller-shut-down entry=") + controller);
        if (isKilled)
            fixture_.emulation.killEntry(controller);
        else
            fixture_.emulation.shutDownEntry(controller);
        schedule(drawDelay(100, 2000), [this, name = "e-" + std::to_string(nextEntry_++)] {
            note("entry-started entry=" + name);
            fixture_.emulation.startEntry(name);
        });
    }

    void loseControllersInSeries()
    {
        const auto count = drawForLosses(2, 3);
        for (std::int64_t i = 0; i < count; ++i)
            schedule(drawDelay(0, longestSeries.count()), [this] { loseController(); });
    }

    // Instances that no heartbeat leaves are not listed for that time.
    void isolateRandomSide()
    {
        auto& platform = fixture_.emulation.platform();
        auto& side = platform.faults().isolatedSide;
        if (!side.empty())
            return;
        const std::string controller = fixture_.emulation.controller();
        for (const auto& name : fixture_.emulation.liveEntries()) {
            if (isLossDrawn(name == controller ? 60 : 30))
                side.insert(name);
        }
        const auto duration = drawDelay(1000, 9000);
        for (const auto& [name, instance] : platform.instances()) {
            if (!isLossDrawn(35))
                continue;
            side.insert(name);
            if (directoryDelay < duration)
                schedule(directoryDelay, [&platform, name = name] { platform.removeFromDirectory(name); });
        }
        std::string names;
        for (const auto& name : side)
            names += " " + name;
        note("isolated duration_ms=" + std::to_string(duration.count()) + " side=" + names);
        schedule(duration, [this] { endIsolation(); });
    }

    void endIsolation()
    {
        auto& platform = fixture_.emulation.platform();
        for (const auto& name : platform.faults().isolatedSide)
            platform.returnToDirectory(name);
        platform.faults().isolatedSide.clear();
        note("isolation-ended");
    }

    void performRandomLoss()
    {
        switch (drawForLosses(0, 7)) {
        case 0:
        case 1:
            return loseInstance();
        case 2:
            return loseController();
        case 3:
            return loseControllersInSeries();
        case 4:
            loseInstance();
            return schedule(drawDelay(0, 2000), [this] { loseController(); });
        case 5:
            loseController();
            return schedule(drawDelay(0, longestSeries.count()), [this] { loseInstance(); });
        case 6:
            return isolateRandomSide();
        default:
            return submitForLosses(false);
        }
    }

    void playLosses()
    {
        auto& clock = fixture_.emulation.clock();
        submitForLosses(true);
        submitForLosses(true);
        for (int round = 0; round < lossRounds; ++round) {
            fixture_.emulation.advanceTime(drawDelay(1500, 4000));
            const auto count = drawForLosses(1, 4);
            for (std::int64_t i = 0; i < count; ++i) {
                performRandomLoss();
                advanceUnlessViolated(clock.now() + drawDelay(100, 3000));
            }
            while (clock.now() < lossesEndAt_ && fixture_.violations().empty())
                advanceUnlessViolated(lossesEndAt_);
            advanceUnlessViolated(clock.now() + drawDelay(11000, 14000));
            if (!fixture_.violations().empty())
                return;
        }
    }

    void advanceUnlessViolated(foundation::SteadyTime end)
    {
        constexpr milliseconds interval { 100 };
        while (fixture_.emulation.clock().now() < end && fixture_.violations().empty())
            fixture_.emulation.advanceTime(interval);
    }

    void setCapacity(const std::string& instance, std::int64_t milliCores)
    {
        fixture_.emulation.platform().setCapacity(
            instance, { milliCores, fullCapacity.memoryMb, fullCapacity.accelerators });
    }

    void performRandomAction()
    {
        auto& faults = fixture_.emulation.platform().faults();
        const std::string entry = randomEntry();
        const std::string instance = randomInstance();
        switch (randomNumber(0, 19)) {
        case 0:
            fixture_.emulation.killEntry(entry);
            return;
        case 1:
            if (!fixture_.emulation.entry(entry))
                fixture_.emulation.startEntry(entry);
            return;
        case 2:
            fixture_.emulation.pauseEntry(entry);
            return;
        case 3:
            fixture_.emulation.resumeEntry(entry);
            return;
        case 4:
            faults.isStoreDown = !faults.isStoreDown;
            return;
        case 5:
            if (!faults.entriesPartitionedFromStore.erase(entry))
                faults.entriesPartitionedFromStore.insert(entry);
            return;
        case 6:
            faults.lostAppendAnswerRatio = faults.lostAppendAnswerRatio > 0 ? 0 : 0.3;
            return;
        case 7:
            faults.lateOrderRatio = faults.lateOrderRatio > 0 ? 0 : 0.3;
            return;
        case 8:
            faults.lostOrderAnswerRatio = faults.lostOrderAnswerRatio > 0 ? 0 : 0.3;
            return;
        case 9:
            if (!faults.unreachableInstances.erase(instance))
                faults.unreachableInstances.insert(instance);
            return;
        case 10:
            fixture_.emulation.platform().restartInstance(instance, "desk", fullCapacity);
            return;
        case 11:
            fixture_.emulation.platform().log().rebalance();
            return;
        case 12:
            cancelRandomJob();
            return;
        case 13:
            repeatRandomSubmission();
            return;
        case 14:
            faults.storeLatency = faults.storeLatency.count() > 4 ? milliseconds(4) : milliseconds(250);
            return;
        case 15:
            fixture_.queryAllStatuses();
            return;
        default:
            submitRandomJob();
        }
    }

    void endFaults()
    {
        fixture_.emulation.platform().faults() = InjectedFaults();
        for (const auto& name : instanceNames)
            setCapacity(name, fullCapacity.milliCores);
        for (const char* name : { "e-1", "e-2", "e-3" }) {
            fixture_.emulation.resumeEntry(name);
            if (!fixture_.emulation.entry(name))
                fixture_.emulation.startEntry(name);
        }
    }

    void cancelLongRunningJobs()
    {
        // Long-running tasks may occupy the whole fleet, so that no other job could finish.
        fixture_.emulation.advanceTime(milliseconds(3000));
        for (const auto& [id, spec] : submitted_) {
            if (spec.steps.front().isLongRunning)
                fixture_.emulation.cancel(queriedEntry(), id);
        }
    }

    /// The first entry, unless it was shut down.
    std::string queriedEntry() { return fixture_.emulation.liveEntries().front(); }

    /// Describes an accepted job that is unknown, or neither final nor long-running; empty when there is none.
    std::string findUnfinishedJob()
    {
        std::string result;
        for (const auto id : fixture_.emulation.platform().invariants().acceptedJobs()) {
            fixture_.emulation.queryStatus(queriedEntry(), id, [&, id](entry::JobStatus status) {
                const bool isFinal = status.state == jobs::JobState::Completed
                    || status.state == jobs::JobState::Cancelled
                    || (status.state == jobs::JobState::Failed && fixture_.emulation.platform().isDeadly(id));
                if (status.lookup != entry::JobLookup::Found)
                    result = "accepted job is unknown: " + jobs::toText(id);
                else if (!isFinal && !isLongRunning(id))
                    result = "accepted job was not finished: " + jobs::toText(id) + ", state "
                        + std::to_string(static_cast<int>(status.state)) + ", controller "
                        + fixture_.emulation.controller();
            });
        }
        fixture_.emulation.advanceTime(milliseconds(100));
        return result;
    }

    bool isLongRunning(jobs::JobId id)
    {
        return fixture_.emulation.platform().invariants().findSpec(id)->steps.front().isLongRunning;
    }

    std::mt19937_64 random_;
    std::mt19937_64 deadlyRandom_;
    ScheduleOptions options_;
    EmulationFixture fixture_;
    std::mt19937_64 capacityRandom_;
    std::mt19937_64 cancellationRandom_;
    jobs::JobId nextJob_ = 0x1000;
    jobs::JobId nextCancelledJob_ = 0x9000;
    std::mt19937_64 configurationRandom_;
    std::mt19937_64 lossRandom_;
    foundation::SteadyTime lossesEndAt_ {}; ///< Time of the latest loss, replacement or end of a cut that is scheduled.
    int nextInstance_ = 5;
    int nextQueue_ = 1;
    int nextEntry_ = 4;
    std::uint64_t nextWave_ = 1;
    std::vector<std::pair<jobs::JobId, jobs::JobSpec>> submitted_;
};

/// Plays schedules of successive seeds and returns how many failed. The environment variables SCHEDULES and FIRST set
/// the number of schedules and the first seed; SHOW_EVENTS prints the events of failed schedules.
std::size_t countFailedSchedules(const ScheduleOptions& options)
{
    const auto scheduleCount = numberFromEnvironment("SCHEDULES", defaultScheduleCount);
    const auto firstSeed = numberFromEnvironment("FIRST", defaultFirstSeed);
    std::size_t failed = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + scheduleCount; ++seed) {
        FaultSchedule schedule(seed, options);
        const std::string violation = schedule.run();
        if (violation.empty())
            continue;
        ++failed;
        std::string events;
        if (std::getenv("SHOW_EVENTS")) {
            for (const auto& line : schedule.eventLines())
                events += line + "\n";
        }
        UNSCOPED_INFO(events << "seed " << seed << ": " << violation);
    }
    return failed;
}

} // namespace

TEST_CASE("exploration: no random fault schedule violates an invariant or loses a job", "[exploration]")
{
    CHECK(countFailedSchedules({}) == 0);
}

// Starts are planned with capacities that change before the orders arrive, and faults delay both the orders and the
// news of the change.
TEST_CASE("exploration: no random fault schedule with changing capacities violates an invariant", "[exploration]")
{
    ScheduleOptions options;
    options.changesCapacities = true;
    CHECK(countFailedSchedules(options) == 0);
}

// A task may crash each instance that starts it. Whatever else happens, it must be given up, and the tasks beside it
// must be done.
TEST_CASE("exploration: schedules with tasks that crash their instances violate no invariant", "[exploration]")
{
    ScheduleOptions options;
    options.deadlyJobRatio = 0.15;
    CHECK(countFailedSchedules(options) == 0);
}

// The stop of a run may get lost: with the controller that owed it, with the order that it waits for, or because nobody
// knows of the run. The run then outlives the cancellation of its job.
TEST_CASE("exploration: no task of a cancelled job runs on, whatever happens around its cancellation", "[exploration]")
{
    ScheduleOptions options;
    options.cancelsPromptly = true;
    CHECK(countFailedSchedules(options) == 0);
}

// An entry that does not notice that its reads get no answer, or that goes on from an old place, refuses requests for
// queues that were declared and serves queues that were removed.
TEST_CASE("exploration: no entry answers by a configuration that is older than its bound", "[exploration]")
{
    ScheduleOptions options;
    options.changesConfigurations = true;
    CHECK(countFailedSchedules(options) == 0);
}

// What a controller or an instance knew may be lost with it, and a controller that is cut off may go on renewing
// leases. Tasks that nobody restarts, or that run twice, are the consequences.
TEST_CASE("exploration: tasks that last are at work, once, after controllers and instances are lost", "[exploration]")
{
    ScheduleOptions options;
    options.losesForGood = true;
    CHECK(countFailedSchedules(options) == 0);
}

TEST_CASE("exploration: schedules that once violated an invariant pass", "[exploration]")
{
    // Seeds by the subject of the fault that they found: claims under the same epoch (22, 122), successive incarnations
    // of an instance (2, 213, 458, 1944), duplicated joins (100), leases (708, 8106, 17972, 21001, 34745),
    // cancellations (102, 311, 832, 2518), ends of runs (400, 694, 784, 1273, 1337).
    const std::vector<std::uint64_t> seeds { 2, 22, 100, 102, 122, 213, 311, 400, 458, 694, 708, 784, 832, 1273, 1337,
        1944, 2518, 8106, 17972, 21001, 34745 };
    for (const auto seed : seeds) {
        const std::string violation = FaultSchedule(seed).run();
        INFO("seed " << seed << ": " << violation);
        CHECK(violation.empty());
    }
}
