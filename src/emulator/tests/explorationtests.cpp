#include "emulator/tests/fixtures.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>

using namespace turmericsill;
using namespace turmericsill::emulator;
using fixtures::job;
using fixtures::step;
using fixtures::World;

namespace {

constexpr int defaultSchedules = 60;
constexpr std::uint64_t defaultFirstSeed = 1;
constexpr milliseconds troubleTime { 12000 };
/// The outage limit and the longest lease, and time to run what is left.
constexpr milliseconds calmTime { 45000 };

std::uint64_t fromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// One random schedule of jobs, cancellations and faults, then a calm time in which everything must be finished.
class Schedule {
public:
    explicit Schedule(std::uint64_t seed)
        : random_(seed)
        , world_(seed)
    {
    }

    std::string play()
    {
        const auto end = world_.emulation.clock().time + troubleTime;
        while (world_.emulation.clock().time < end) {
            act();
            world_.emulation.run(milliseconds(number(5, 250)));
            if (!world_.broken().empty())
                return world_.broken().front();
        }
        calmDown();
        world_.emulation.run(calmTime);
        world_.lookAtAll();
        world_.emulation.run(milliseconds(200));
        if (!world_.broken().empty())
            return world_.broken().front();
        return unfinished();
    }

    const std::vector<std::string>& lines() const { return world_.sink.lines; }

private:
    std::int64_t number(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
    }

    std::string anyEntry() { return "e-" + std::to_string(number(1, 3)); }
    std::string anyInstance() { return "i-" + std::to_string(number(1, 4)); }

    void submit()
    {
        std::vector<jobs::StepSpec> steps { step(static_cast<std::uint32_t>(number(1, 5)), number(500, 4000)) };
        if (number(0, 1))
            steps.push_back(step(static_cast<std::uint32_t>(number(1, 3)), number(500, 4000), { 0 }));
        if (steps.size() == 1 && number(0, 4) == 0)
            steps.front().isLongRunning = true;
        const jobs::JobId id = nextJob_++;
        world_.emulation.submit(anyEntry(), id, job(steps));
        submitted_.push_back({ id, job(steps) });
    }

    void repeatSubmission()
    {
        if (submitted_.empty())
            return;
        const auto& [id, spec] = submitted_[static_cast<std::size_t>(number(0, std::int64_t(submitted_.size()) - 1))];
        world_.emulation.submit(anyEntry(), id, spec);
    }

    void cancelOne()
    {
        if (!submitted_.empty())
            world_.emulation.cancel(
                anyEntry(), submitted_[std::size_t(number(0, std::int64_t(submitted_.size()) - 1))].first);
    }

    void act()
    {
        auto& faults = world_.emulation.platform().faults();
        const std::string entry = anyEntry();
        const std::string instance = anyInstance();
        switch (number(0, 19)) {
        case 0:
            world_.emulation.killEntry(entry);
            return;
        case 1:
            if (!world_.emulation.entry(entry))
                world_.emulation.startEntry(entry);
            return;
        case 2:
            world_.emulation.freezeEntry(entry);
            return;
        case 3:
            world_.emulation.thawEntry(entry);
            return;
        case 4:
            faults.storeDown = !faults.storeDown;
            return;
        case 5:
            if (!faults.entriesCutFromStore.erase(entry))
                faults.entriesCutFromStore.insert(entry);
            return;
        case 6:
            faults.lostAnswers = faults.lostAnswers > 0 ? 0 : 0.3;
            return;
        case 7:
            faults.lateOrders = faults.lateOrders > 0 ? 0 : 0.3;
            return;
        case 8:
            faults.lostOrderAnswers = faults.lostOrderAnswers > 0 ? 0 : 0.3;
            return;
        case 9:
            if (!faults.unreachableInstances.erase(instance))
                faults.unreachableInstances.insert(instance);
            return;
        case 10:
            world_.emulation.platform().restartInstance(instance, "desk", { 8000, 16000, 0 });
            return;
        case 11:
            world_.emulation.platform().log().dealAnew();
            return;
        case 12:
            cancelOne();
            return;
        case 13:
            repeatSubmission();
            return;
        case 14:
            faults.storeDelay = faults.storeDelay.count() > 4 ? milliseconds(4) : milliseconds(250);
            return;
        case 15:
            world_.lookAtAll();
            return;
        default:
            submit();
        }
    }

    void calmDown()
    {
        world_.emulation.platform().faults() = FaultSwitches();
        for (const char* name : { "e-1", "e-2", "e-3" }) {
            world_.emulation.thawEntry(name);
            if (!world_.emulation.entry(name))
                world_.emulation.startEntry(name);
        }
        // Long-running tasks may fill the fleet, and then nothing else finishes.
        world_.emulation.run(milliseconds(3000));
        for (const auto& [id, spec] : submitted_) {
            if (spec.steps.front().isLongRunning)
                world_.emulation.cancel("e-1", id);
        }
    }

    /// The first accepted job that is neither finished nor cancelled nor long-running at work.
    std::string unfinished()
    {
        std::string result;
        for (const auto id : world_.emulation.platform().rulebook().acceptedJobs()) {
            world_.emulation.look("e-1", id, [&, id](entry::JobStatus status) {
                const bool isFinal
                    = status.state == jobs::JobState::Completed || status.state == jobs::JobState::Cancelled;
                if (status.knowledge != entry::JobKnowledge::Known)
                    result = "an accepted job is not known: " + jobs::toText(id);
                else if (!isFinal && !lasts(id))
                    result = "an accepted job was not finished: " + jobs::toText(id) + ", state "
                        + std::to_string(static_cast<int>(status.state)) + ", controller "
                        + world_.emulation.controller();
            });
        }
        world_.emulation.run(milliseconds(100));
        return result;
    }

    bool lasts(jobs::JobId id) { return world_.emulation.platform().rulebook().spec(id)->steps.front().isLongRunning; }

    std::mt19937_64 random_;
    World world_;
    jobs::JobId nextJob_ = 0x1000;
    std::vector<std::pair<jobs::JobId, jobs::JobSpec>> submitted_;
};

} // namespace

// SCHEDULES and FIRST choose how many schedules and from which seed on.
TEST_CASE("exploration: no schedule of faults breaks a promise or loses a job", "[exploration]")
{
    const auto schedules = fromEnvironment("SCHEDULES", defaultSchedules);
    const auto first = fromEnvironment("FIRST", defaultFirstSeed);
    std::size_t failed = 0;
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
        Schedule schedule(seed);
        const std::string broken = schedule.play();
        if (broken.empty())
            continue;
        ++failed;
        std::string tail;
        if (std::getenv("SHOW_EVENTS")) {
            for (const auto& line : schedule.lines())
                tail += line + "\n";
        }
        UNSCOPED_INFO(tail << "seed " << seed << ": " << broken);
    }
    CHECK(failed == 0);
}

TEST_CASE("exploration: schedules that once broke a promise hold", "[exploration]")
{
    // Claims under one epoch (22, 122), lives of one instance (2, 213, 458, 1944), joins that doubled (100), leases
    // (708, 17972, 21001, 34745), cancellations (102, 311, 832, 2518), ends (400, 694, 784, 1273, 1337).
    const std::vector<std::uint64_t> seeds { 2, 22, 100, 102, 122, 213, 311, 400, 458, 694, 708, 784, 832, 1273, 1337,
        1944, 2518, 17972, 21001, 34745 };
    for (const auto seed : seeds) {
        const std::string broken = Schedule(seed).play();
        INFO("seed " << seed << ": " << broken);
        CHECK(broken.empty());
    }
}
