// Describes the scheduler's state for the forecast of capacity. The cost is one pass over the steps
// of the active jobs and over the runs of all workers; waiting tasks are counted by step.
#include "scheduling/joborder_p.h"
#include "scheduling/planpass_p.h"

#include "overload/overload.h"

namespace monsoonledge {

double coreSecondsOf(const StepSpec &step)
{
    return toMilliseconds(countedDuration(step.estimate)) / 1000
           * static_cast<double>(step.cpu.value) / 1000;
}

namespace {

/// Index of the job's queue in the snapshot. Queues that the configuration no longer has are added.
std::size_t queueIndex(CapacitySnapshot &snapshot,
                       std::unordered_map<QueueId, std::size_t> &indexes, const QueueSpec &queue)
{
    const auto inserted = indexes.try_emplace(queue.id, snapshot.queues.size());
    if (inserted.second)
        snapshot.queues.push_back({queue.id, queue.service, queue.priority, 1, 0});
    return inserted.first->second;
}

WorkerUse useOf(const ScheduledWorker &worker, bool acceptsTasks)
{
    WorkerUse use;
    use.service = worker.entry.service;
    use.domain = worker.entry.domain;
    use.shape.cpu = static_cast<std::int64_t>(worker.entry.cpu.value);
    use.shape.memory = static_cast<std::int64_t>(worker.entry.memory.value);
    use.shape.accelerators = worker.entry.accelerators;
    use.labels = worker.entry.labels;
    use.acceptsTasks = acceptsTasks;
    use.reserved = worker.reservedCpu;
    return use;
}

} // namespace

/// Counts the work of a job that was accepted since this coordinator was elected.
void Scheduler::countSubmitted(const ScheduledJob &job)
{
    double &total = workTotals_.submitted[job.spec.queue];
    for (const StepSpec &step : job.spec.steps)
        total += step.longRunning ? 0 : step.count * coreSecondsOf(step);
}

/// Counts the end of a run that has done its task.
void Scheduler::countDone(const ScheduledTask &task)
{
    const StepSpec &step = stepOf(task);
    if (step.bestEffort)
        workTotals_.bestEffortDone[task.job->queue.service] += coreSecondsOf(step);
    else
        workTotals_.endedCpu[task.job->queue.service] += static_cast<std::int64_t>(step.cpu.value);
}

CapacitySnapshot Scheduler::capacitySnapshot(Time now)
{
    CapacitySnapshot snapshot;
    snapshot.asOf = now;
    snapshot.endedCpu = workTotals_.endedCpu;
    snapshot.bestEffortDone = workTotals_.bestEffortDone;
    std::unordered_map<QueueId, std::size_t> indexes;
    // A configuration may have thousands of queues, most of them without jobs. The forecast
    // compares each queue of the snapshot with each other one.
    for (const QueueSpec &queue : config_.queues) {
        if (workTotals_.submitted.count(queue.id) > 0)
            queueIndex(snapshot, indexes, queue);
    }
    snapshot.workers.reserve(workers_.size());
    for (const auto &[id, worker] : workers_) {
        if (!worker->listed)
            continue;
        snapshot.workers.push_back(useOf(*worker, acceptsTasks(*worker, now)));
        for (const ScheduledTask *task : worker->tasks) {
            const StepSpec &step = stepOf(*task);
            RunningTask running;
            running.worker = snapshot.workers.size() - 1;
            running.queue = queueIndex(snapshot, indexes, task->job->queue);
            running.cpu = static_cast<std::int64_t>(step.cpu.value);
            if (task->runState == RunState::Running)
                running.elapsed = now - task->startedAt;
            running.estimate = step.estimate;
            running.bestEffort = step.bestEffort;
            running.longRunning = step.longRunning;
            if (step.longRunning && !step.bestEffort)
                snapshot.workers.back().reservedLongRunning += running.cpu;
            snapshot.running.push_back(running);
        }
    }
    for (ScheduledJob *job : activeJobs_)
        addWaiting(*job, queueIndex(snapshot, indexes, job->queue), snapshot, now);
    for (QueueUse &queue : snapshot.queues) {
        const auto factor = durationFactors_.find(queue.id);
        queue.durationFactor = factor == durationFactors_.end() ? 1 : factor->second;
        const auto submitted = workTotals_.submitted.find(queue.id);
        if (submitted != workTotals_.submitted.end())
            queue.submittedCoreSeconds = submitted->second;
    }
    return snapshot;
}

/// Adds the waiting tasks of a job. Jobs whose result is worthless are left out: they are served
/// after all others. Tasks of new long-running jobs are too, since they get what others leave.
void Scheduler::addWaiting(ScheduledJob &job, std::size_t queue, CapacitySnapshot &snapshot,
                           Time now) const
{
    if (job.waitingTasks == 0)
        return;
    const DelayCost cost = delayCostOf(job, now);
    const Time doneBy = expectedEnd(cost, settings_.remainingTimeFactor, now);
    const bool isWorthless = doneBy > cost.worthlessAfter;
    const int steps = static_cast<int>(job.spec.steps.size());
    for (std::size_t i = 0; i < job.waitingTaskCounts.size(); ++i) {
        const int waiting = job.waitingTaskCounts[i];
        if (waiting == 0)
            continue;
        const int occurrence = static_cast<int>(i) / steps;
        const int stepNumber = static_cast<int>(i) % steps;
        const StepSpec &step = job.spec.steps[static_cast<std::size_t>(stepNumber)];
        const std::int64_t cpu = waiting * static_cast<std::int64_t>(step.cpu.value);
        if (step.longRunning) {
            if (job.state == JobState::Active && !step.bestEffort)
                snapshot.wantedByInterrupted[job.queue.service] += cpu;
            continue;
        }
        if (isWorthless)
            continue;
        WaitingWork work;
        work.queue = queue;
        work.bestEffort = step.bestEffort;
        work.isLate = doneBy > cost.objective;
        const bool isStartable = isStepRunnable(job, occurrence, stepNumber);
        work.startableCpu = isStartable ? cpu : 0;
        (isStartable ? work.startableCoreSeconds : work.laterCoreSeconds) =
                waiting * coreSecondsOf(step);
        snapshot.waiting.push_back(work);
    }
}

} // namespace monsoonledge
