#include "scheduling/teamrates.h"

#include <algorithm>
#include <chrono>

namespace turmericsill::scheduling {

using foundation::SteadyTime;

double TeamRates::Bucket::tokensAt(SteadyTime now) const
{
    const std::chrono::duration<double> elapsed = std::max(now, filledAt) - filledAt;
    return std::min(capacity, tokens + rate * elapsed.count());
}

void TeamRates::Bucket::refill(SteadyTime now)
{
    tokens = tokensAt(now);
    filledAt = std::max(now, filledAt);
}

void TeamRates::setConfiguration(const fleet::FleetConfiguration& configuration, SteadyTime now)
{
    std::map<std::string, Bucket> buckets;
    if (configuration.teams) {
        for (const auto& [name, team] : *configuration.teams) {
            const double rate = std::max(0.0, team.weight);
            // A bucket that holds less than one token would never permit a job.
            const double capacity = std::max(1.0, rate + burstJobs_);
            Bucket bucket { rate, capacity, capacity, now };
            if (const auto known = buckets_.find(name); known != buckets_.end())
                bucket.tokens = std::min(capacity, known->second.tokensAt(now));
            buckets.emplace(name, bucket);
        }
    }
    buckets_ = std::move(buckets);
}

void TeamRates::restore(std::vector<ReceivedJob> jobs, SteadyTime now)
{
    std::sort(jobs.begin(), jobs.end(),
        [](const ReceivedJob& one, const ReceivedJob& other) { return one.receivedAt < other.receivedAt; });
    for (auto& [name, bucket] : buckets_) {
        bucket.tokens = bucket.capacity;
        bucket.filledAt = jobs.empty() ? now : std::min(now, jobs.front().receivedAt);
    }
    for (const ReceivedJob& job : jobs) {
        if (!job.exceedsTeamRate)
            takeToken(job.team, std::min(job.receivedAt, now));
    }
}

bool TeamRates::isExhausted(const std::string& team, SteadyTime now) const
{
    const auto bucket = buckets_.find(team);
    return bucket != buckets_.end() && bucket->second.tokensAt(now) < 1;
}

// A restored job that was appended without a controller may not have fitted the rate; it takes what is left.
void TeamRates::takeToken(const std::string& team, SteadyTime now)
{
    const auto bucket = buckets_.find(team);
    if (bucket == buckets_.end())
        return;
    bucket->second.refill(now);
    bucket->second.tokens = std::max(0.0, bucket->second.tokens - 1);
}

} // namespace turmericsill::scheduling
