// The order in which jobs with waiting tasks get capacity in a planning pass.
// The rank of a job is explained in joborder_p.h.
#include "scheduling/joborder_p.h"
#include "scheduling/planpass_p.h"

#include <algorithm>

namespace monsoonledge {

/// What delaying the job costs its caller. The processor time that remains is left out: only the
/// order of some jobs depends on it.
DelayCost Scheduler::delayCostOf(ScheduledJob &job, Time now) const
{
    DelayCost cost;
    cost.priority = job.queue.priority;
    cost.objective = objectiveOf(job);
    cost.worthlessAfter = job.submittedAt
                          + std::chrono::duration_cast<Duration>((cost.objective - job.submittedAt)
                                                                 * settings_.maxLatenessFactor);
    cost.remainingPath = remainingCriticalPath(job);
    cost.asOf = now;
    cost.source = EstimateSource::Reported;
    return cost;
}

/// Processor time of the tasks that are not done, by the client's estimates.
double Scheduler::remainingCoreSeconds(const ScheduledJob &job)
{
    const std::size_t steps = job.spec.steps.size();
    double coreSeconds = 0;
    for (std::size_t i = 0; i < job.doneTaskCounts.size(); ++i) {
        const StepSpec &step = job.spec.steps[i % steps];
        coreSeconds += (step.count - job.doneTaskCounts[i]) * coreSecondsOf(step);
    }
    return coreSeconds;
}

/// How long the job's task that began to wait first has waited.
Duration Scheduler::longestWait(const ScheduledJob &job, Time now)
{
    Duration longest{};
    for (const ScheduledTask &task : job.tasks) {
        if (task.progress.phase == TaskPhase::Waiting)
            longest = std::max(longest, now - task.waitingSince);
    }
    return longest;
}

std::vector<ScheduledJob *> Scheduler::orderJobs(Time now)
{
    JobOrderSettings order;
    order.remainingTimeFactor = settings_.remainingTimeFactor;
    order.maxRestartDelay = settings_.maxRestartDelay;
    order.prefersShortJobs = settings_.prefersShortJobs;
    std::vector<std::pair<JobRank, ScheduledJob *>> ranked;
    for (ScheduledJob *job : activeJobs_) {
        if (job->waitingTasks == 0)
            continue;
        WaitingJob waiting;
        waiting.cost = delayCostOf(*job, now);
        waiting.submittedAt = job->submittedAt;
        waiting.isLongRunning = job->hasLongRunningStep;
        waiting.isInterrupted = job->hasLongRunningStep && job->state != JobState::Pending;
        if (waiting.isInterrupted)
            waiting.longestWait = longestWait(*job, now);
        if (isRankedByWork(waiting, order, now))
            waiting.cost.remainingCoreSeconds = remainingCoreSeconds(*job);
        ranked.emplace_back(rankOf(waiting, order, now), job);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<ScheduledJob *> jobs;
    jobs.reserve(ranked.size());
    for (const auto &[rank, job] : ranked)
        jobs.push_back(job);
    return jobs;
}

} // namespace monsoonledge
