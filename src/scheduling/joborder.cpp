#include "scheduling/joborder_p.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace monsoonledge {

namespace {

// Share of its work that a job counts with when it has no time left to wait.
constexpr double MinWorkShare = 0.1;

JobClass classOf(const WaitingJob &job, const JobOrderSettings &settings, Time doneBy)
{
    if (job.isLongRunning) {
        if (!job.isInterrupted)
            return JobClass::NewLongRunning;
        return job.longestWait < settings.maxRestartDelay ? JobClass::OnTime
                                                          : JobClass::OverdueRestart;
    }
    if (doneBy > job.cost.worthlessAfter)
        return JobClass::Worthless;
    return doneBy > job.cost.objective ? JobClass::Late : JobClass::OnTime;
}

/// The time that the job can still wait, as a share of the time that it is allowed in all.
double slackShare(const WaitingJob &job, Time doneBy)
{
    const double allowed = toMilliseconds(job.cost.objective - job.submittedAt);
    const double slack = toMilliseconds(job.cost.objective - doneBy);
    return allowed <= 0 ? 0 : std::clamp(slack / allowed, 0.0, 1.0);
}

} // namespace

bool operator<(const JobRank &a, const JobRank &b)
{
    return std::tie(a.jobClass, a.priority, a.work, a.objective)
           < std::tie(b.jobClass, b.priority, b.work, b.objective);
}

Time expectedEnd(const DelayCost &cost, double remainingTimeFactor, Time now)
{
    return now + std::chrono::duration_cast<Duration>(cost.remainingPath * remainingTimeFactor);
}

bool isRankedByWork(const WaitingJob &job, const JobOrderSettings &settings, Time now)
{
    const Time doneBy = expectedEnd(job.cost, settings.remainingTimeFactor, now);
    return settings.prefersShortJobs && !job.isLongRunning
           && classOf(job, settings, doneBy) == JobClass::OnTime;
}

JobRank rankOf(const WaitingJob &job, const JobOrderSettings &settings, Time now)
{
    const Time doneBy = expectedEnd(job.cost, settings.remainingTimeFactor, now);
    JobRank rank;
    rank.jobClass = classOf(job, settings, doneBy);
    rank.priority = job.cost.priority;
    rank.objective = job.cost.objective;
    if (isRankedByWork(job, settings, now))
        rank.work = job.cost.remainingCoreSeconds * std::max(slackShare(job, doneBy), MinWorkShare);
    else if (settings.prefersShortJobs && rank.jobClass == JobClass::OnTime)
        rank.work = std::numeric_limits<double>::infinity(); // long-running: returns no capacity
    return rank;
}

} // namespace monsoonledge
