#include "emulator/emulatedplatform.h"

#include "foundation/hash.h"

#include <algorithm>

namespace turmericsill::emulator {

namespace {

    constexpr std::uint16_t firstPort = 20000;
    constexpr double slowestClock = 0.98;
    constexpr milliseconds restartTime { 500 };

} // namespace

EmulatedPlatform::EmulatedPlatform(foundation::IClock& clock, std::uint64_t seed, milliseconds longestLease)
    : clock_(clock)
    , random_(seed)
    , longestLease_(longestLease)
    , log_(clock)
    , rulebook_(instances_, clock)
{
}

bool EmulatedPlatform::draw(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void EmulatedPlatform::startInstance(const std::string& name, const std::string& pool, const jobs::Resources& capacity)
{
    const auto port = static_cast<std::uint16_t>(firstPort + ports_.size());
    fleet::InstanceReport report;
    report.life = { name, nextBorn_++ };
    report.pool = pool;
    report.address = { "10.0.0.1", ports_.emplace(name, port).first->second };
    report.machine = "machine-of-" + name;
    report.labels = { "a", "r1" };
    report.capacity = capacity;
    const double rate = std::uniform_real_distribution<double>(slowestClock, 1)(random_);
    auto instance = std::make_unique<EmulatedInstance>(report, clock_, rate, longestLease_);
    EmulatedInstance* started = instance.get();
    instance->onStarted
        = [this, started](const jobs::TaskId& task, std::uint32_t) { rulebook_.started(*started, task); };
    instance->onAcknowledged = [this](const fleet::ObservedEnd& end) { rulebook_.acknowledged(end); };
    instances_[name] = std::move(instance);
    entries_[name] = report;
}

void EmulatedPlatform::restartInstance(
    const std::string& name, const std::string& pool, const jobs::Resources& capacity)
{
    crash(name);
    network_.schedule(clock_.now() + restartTime, [this, name, pool, capacity] {
        if (!instances_.count(name))
            startInstance(name, pool, capacity);
    });
}

void EmulatedPlatform::crash(const std::string& name) { instances_.erase(name); }

void EmulatedPlatform::unlist(const std::string& name) { entries_.erase(name); }

void EmulatedPlatform::setDraining(const std::string& name) { entries_[name].isDraining = true; }

EmulatedInstance* EmulatedPlatform::at(const foundation::Address& address)
{
    for (const auto& [name, instance] : instances_) {
        if (instance->report().address == address)
            return instance.get();
    }
    return nullptr;
}

std::optional<foundation::SteadyTime> EmulatedPlatform::queueAppend()
{
    constexpr milliseconds longestQueue { 2000 }; // The platform refuses appends when more waits.
    const auto beginsAt = std::max(logFreeAt_, clock_.now() + faults_.storeDelay);
    if (beginsAt - clock_.now() > longestQueue)
        return std::nullopt;
    logFreeAt_ = beginsAt + faults_.appendTime;
    return logFreeAt_;
}

void EmulatedPlatform::advance()
{
    for (const auto& [name, instance] : instances_)
        instance->advance();
}

RunPlan EmulatedPlatform::planOf(const jobs::TaskId& task) const
{
    const jobs::JobSpec* spec = rulebook_.spec(task.job);
    if (spec && spec->steps[task.step].isLongRunning)
        return { milliseconds(0), jobs::RunEnd::Done, true };
    constexpr std::uint64_t spread = 1500;
    const std::uint64_t drawn = foundation::hashBytes(jobs::toText(task));
    return { milliseconds(200 + static_cast<std::int64_t>(drawn % spread)), jobs::RunEnd::Done, false };
}

} // namespace turmericsill::emulator
