// Slow workers: what their reports say about their speed, and which tasks they still get. How the
// speed is measured is described in workerspeed.h. All of it is off unless
// SchedulingSettings::avoidsSlowWorkers is set: no worker is then classified as slow.
//
// A task is started on a slow worker only if its job is on time all the same, or if it is done
// there earlier than by waiting for another worker. How long it would wait is estimated from the
// runs on the other workers and from the tasks that get room before it.
#include "scheduling/planpass_p.h"
#include "scheduling/workerspeed.h"

#include <algorithm>
#include <cmath>

namespace monsoonledge {

namespace {

/// The time of a report lies within its call. Longer calls make progress rates too uncertain.
constexpr Duration MaxReportCall = milliseconds(300);
constexpr Duration ExpectedReleasesLifetime = milliseconds(100);
/// Expected remaining time of a run that takes longer than estimated.
constexpr Duration OverdueRemaining = milliseconds(100);
/// A task that has waited longer than this for another worker takes any: labels, memory and
/// failures may keep it from the room that is expected elsewhere.
constexpr Duration MaxWaitForFaster = milliseconds(1500);
/// Bounds the cost of a pass in which thousands of tasks wait.
constexpr int MaxFailedSlowScans = 8;

/// Best-effort tasks share what others leave of the processors.
double shareOfProcessors(const ScheduledWorker &worker, double demand, double idleServingShare)
{
    const double room = static_cast<double>(worker.entry.cpu.value)
                        - static_cast<double>(worker.reservedCpu)
                        + idleServingShare * worker.reservedServingCpu;
    return demand <= 0 ? 1 : std::clamp(room / demand, 0.0, 1.0);
}

} // namespace

/// True for runs whose speed shows that of their worker. The members of a gang wait for each other.
bool Scheduler::isSpeedMeasured(const ScheduledTask &task) const
{
    const StepSpec &step = stepOf(task);
    return speeds_ && task.worker && task.runState == RunState::Running && !step.longRunning
           && !step.gang;
}

/// Measures the worker's speed by the report that was just processed.
void Scheduler::measureSpeed(ScheduledWorker &worker, Time sentAt, Time now)
{
    if (!speeds_)
        return;
    double demand = 0; // of best-effort tasks
    for (const ScheduledTask *task : worker.tasks) {
        if (stepOf(*task).bestEffort)
            demand += static_cast<double>(stepOf(*task).cpu.value) * task->pace / 100;
    }
    const double share = shareOfProcessors(worker, demand, settings_.servingIdleShare);
    for (const ScheduledTask *task : worker.tasks) {
        if (task->lastReportedAt != now || !isSpeedMeasured(*task) || now - sentAt > MaxReportCall)
            continue;
        const StepSpec &step = stepOf(*task);
        RunProgress progress;
        progress.run = task->progress.run;
        progress.percent = task->percent;
        progress.startedAt = task->startedAt;
        progress.asOf = sentAt + (now - sentAt) / 2;
        progress.estimate = step.estimate;
        progress.isResumed = !task->progress.checkpoint.empty();
        if (step.bestEffort)
            progress.allowedSpeed = std::min(task->pace / 100.0, share);
        if (now < worker.coldUntil)
            progress.allowedSpeed = 0;
        speeds_->noteProgress(worker.entry.id, task->ref, task->job->spec.queue, progress);
    }
    updateSpeed(worker, now);
}

/// Measures by a run that has done its task; its state is still that of before its end.
void Scheduler::measureDoneRun(const ScheduledTask &task, Time now)
{
    if (!isSpeedMeasured(task))
        return;
    RunProgress progress;
    progress.run = task.progress.run;
    progress.percent = 100;
    progress.startedAt = task.startedAt;
    progress.asOf = now;
    progress.estimate = stepOf(task).estimate;
    progress.isResumed = !task.progress.checkpoint.empty();
    progress.allowedSpeed = task.startedAt < task.worker->coldUntil ? 0 : task.pace / 100.0;
    speeds_->noteEnd(task.worker->entry.id, task.ref, task.job->spec.queue, progress,
                     task.lastReportedAt);
}

/// Classifies the worker again by what is known of its runs.
void Scheduler::updateSpeed(ScheduledWorker &worker, Time now)
{
    const std::optional<SpeedChange> change = speeds_->update(worker.entry.id, now);
    const bool wasSlow = worker.speedFactor < 1;
    const bool wasOnTrial =
            std::exchange(worker.isOnSpeedTrial, speeds_->isOnTrial(worker.entry.id, now));
    worker.speedFactor = speeds_->speedOf(worker.entry.id, now).factor;
    worker.measuredSpeed = speeds_->measuredFactor(worker.entry.id);
    const bool isSlow = worker.speedFactor < 1;
    if (isSlow)
        worker.slowAt = now;
    slowWorkers_ += (isSlow ? 1 : 0) - (wasSlow ? 1 : 0);
    if (wasSlow != isSlow)
        planCache_->expectedReleases.clear();
    if ((wasSlow && !isSlow) || (wasOnTrial && !worker.isOnSpeedTrial))
        markWorkerChanged(worker);
    if (change)
        logSpeedChange(worker, *change);
}

/// Forgets what is known of a worker that is removed.
void Scheduler::forgetWorker(const ScheduledWorker &worker)
{
    planCache_->outlooks.erase(&worker);
    slowWorkers_ -= worker.speedFactor < 1 ? 1 : 0;
    if (speeds_)
        speeds_->remove(worker.entry.id);
}

void Scheduler::logSpeedChange(const ScheduledWorker &worker, const SpeedChange &change) const
{
    const auto percent = [](double share) {
        return std::to_string(static_cast<int>(std::lround(share * 100)));
    };
    const char *const comparedWith = change.isByStep ? "step" : "queue";
    const std::vector<std::pair<std::string, std::string>> fields{
            {"worker", worker.entry.id.str()},
            {"speedPercent", percent(change.factor)},
            {"runs", std::to_string(change.runs)},
            {"slowRuns", std::to_string(change.slowRuns)},
            {"lowestRunPercent", percent(change.lowestRun)},
            {"comparedWith", change.runs == 0 ? "none" : comparedWith}};
    if (change.isSlow)
        log_({LogLevel::Warning, "worker-slow",
              "runs on the worker make less progress than the same ones on other workers", fields});
    else
        log_({LogLevel::Info, "worker-speed-recovered", "the worker no longer counts as slow",
              fields});
}

/// The speed by which the worker may get another run. Until its speed is known again, it gets one
/// by the speed that it may have regained, and more only by the one that was last measured.
double Scheduler::usableSpeed(const ScheduledWorker &worker) const
{
    const auto isTried = [&](const ScheduledTask *task) { return !stepOf(*task).longRunning; };
    const bool isBeingTried =
            worker.isOnSpeedTrial && std::any_of(worker.tasks.begin(), worker.tasks.end(), isTried);
    return isBeingTried ? worker.measuredSpeed : worker.speedFactor;
}

/// False if a worker of this speed does the task's job harm. Tasks that may crash their worker are
/// started anywhere.
bool Scheduler::mayRunAt(double speedFactor, const ScheduledTask &task, Time now) const
{
    if (speedFactor >= 1 || stepOf(task).longRunning || isSuspect(task))
        return true;
    const Time waitsSince = std::max(task.waitingSince, task.earliestStart);
    return now - waitsSince > MaxWaitForFaster || !isBetterElsewhere(speedFactor, task, now);
}

/// True if the task is not to be started on the worker because the worker is slow, or was slow and
/// has not shown yet that it has recovered.
bool Scheduler::isTooSlowFor(const ScheduledWorker &worker, const ScheduledTask &task,
                             Time now) const
{
    if (worker.speedFactor >= 1 && !worker.isOnSpeedTrial)
        return false;
    return !mayRunAt(usableSpeed(worker), task, now);
}

/// True if the task would make its job late on a worker of this speed and would be done earlier by
/// waiting for another one.
bool Scheduler::isBetterElsewhere(double speedFactor, const ScheduledTask &task, Time now) const
{
    ScheduledJob &job = *task.job;
    const double factor = durationFactor(job);
    const auto runTime = std::chrono::duration_cast<Duration>(stepOf(task).estimate * factor);
    const auto added = std::chrono::duration_cast<Duration>(runTime * (1 / speedFactor - 1));
    // The learnt factor contains the delay until the end of a run is reported, which does not
    // extend what the client expects.
    const auto allowed =
            std::chrono::duration_cast<Duration>(job.criticalPathEstimate * job.queue.slackFactor
                                                 * std::min(factor, 1.0))
            + job.queue.targetLatency;
    const Time end = now + remainingCriticalPath(job);
    if (end + added <= job.submittedAt + allowed)
        return false;
    const Duration wait = waitForFasterWorker(task, now);
    if (wait >= added)
        return false;
    const auto worthless =
            std::chrono::duration_cast<Duration>(allowed * settings_.maxLatenessFactor);
    const bool isLateAnyway =
            end + wait > job.submittedAt + allowed && end + added <= job.submittedAt + worthless;
    return !settings_.usesSlowWorkersForLateJobs || !isLateAnyway;
}

/// The expected ends of runs on workers that are not slow and that take tasks like this one.
Scheduler::ExpectedReleases &Scheduler::expectedReleasesFor(const ScheduledTask &task,
                                                            Time now) const
{
    const ServiceId &service = task.job->queue.service;
    const bool isBestEffort = stepOf(task).bestEffort;
    ExpectedReleases &times = planCache_->expectedReleases[{service, isBestEffort}];
    if (std::exchange(times.reservedInPass, planCache_->passNumber) != planCache_->passNumber)
        times.reserved = 0;
    if (times.builtAt && now - *times.builtAt < ExpectedReleasesLifetime)
        return times;
    times.builtAt = now;
    times.ends.clear();
    times.covered = 0;
    times.freed = 0;
    for (const auto &[id, worker] : workers_) {
        if (worker->entry.service != service || worker->speedFactor < 1
            || !acceptsTasks(*worker, now))
            continue;
        for (const ScheduledTask *other : worker->tasks) {
            const StepSpec &step = stepOf(*other);
            if (step.longRunning || step.bestEffort != isBestEffort)
                continue;
            const Time start = other->runState == RunState::Running ? other->startedAt : now;
            const auto runTime = std::chrono::duration_cast<Duration>(
                    step.estimate * durationFactor(*other->job));
            times.ends.emplace_back(std::max(start + runTime, now + OverdueRemaining),
                                    static_cast<std::int64_t>(step.cpu.value));
        }
    }
    std::sort(times.ends.begin(), times.ends.end());
    return times;
}

/// How long the last waiting task of the step is expected to wait for a worker that is not slow.
Duration Scheduler::waitForFasterWorker(const ScheduledTask &task, Time now) const
{
    ExpectedReleases &times = expectedReleasesFor(task, now);
    const int waiting = task.job->waitingTaskCounts[task.job->stepIndex(task.ref)];
    const std::int64_t wanted =
            times.reserved + waiting * static_cast<std::int64_t>(stepOf(task).cpu.value);
    const auto &ends = times.ends;
    while (times.freed < wanted && times.covered < ends.size())
        times.freed += ends[times.covered++].second;
    while (times.covered > 0 && times.freed - ends[times.covered - 1].second >= wanted)
        times.freed -= ends[--times.covered].second;
    if (times.freed < wanted || times.covered == 0)
        return Duration::max();
    return std::max(ends[times.covered - 1].first - now, Duration::zero());
}

/// The waiting tasks of the step will take the next room, before those of later jobs.
void Scheduler::reserveExpectedCapacity(const ScheduledTask &task, Time now)
{
    if (slowWorkers_ == 0)
        return;
    const int waiting = task.job->waitingTaskCounts[task.job->stepIndex(task.ref)];
    expectedReleasesFor(task, now).reserved +=
            waiting * static_cast<std::int64_t>(stepOf(task).cpu.value);
}

/// Adds the end of a run that was assigned in this pass to the expected ones.
void Scheduler::noteCapacityUse(const ScheduledTask &task)
{
    const StepSpec &step = stepOf(task);
    if (slowWorkers_ == 0 || step.longRunning || task.worker->speedFactor < 1)
        return;
    const auto it = planCache_->expectedReleases.find({task.job->queue.service, step.bestEffort});
    if (it == planCache_->expectedReleases.end() || !it->second.builtAt)
        return;
    const auto runTime =
            std::chrono::duration_cast<Duration>(step.estimate * durationFactor(*task.job));
    const std::pair<Time, std::int64_t> end{planCache_->startedAt + runTime,
                                            static_cast<std::int64_t>(step.cpu.value)};
    ExpectedReleases &times = it->second;
    const auto position = std::upper_bound(times.ends.begin(), times.ends.end(), end);
    if (static_cast<std::size_t>(position - times.ends.begin()) < times.covered) {
        ++times.covered;
        times.freed += end.second;
    }
    times.ends.insert(position, end);
}

/// Assigns a task for which no other worker has room to a slow one, if that does it no harm.
/// Replaces the candidates of its step.
bool Scheduler::assignToSlow(ScheduledTask &task, std::vector<Candidate> &candidates, Time now)
{
    if (slowWorkers_ == 0 || stepOf(task).longRunning
        || planCache_->failedSlowScans >= MaxFailedSlowScans)
        return false;
    std::optional<double> &bestSpeed = planCache_->bestSlowSpeed;
    if (!bestSpeed) {
        bestSpeed = 0;
        for (const auto &[id, worker] : workers_)
            bestSpeed = std::max(*bestSpeed, worker->speedFactor < 1 ? usableSpeed(*worker) : 0);
    }
    if (*bestSpeed <= 0 || !mayRunAt(*bestSpeed, task, now))
        return false;
    candidates.clear();
    for (const auto &[id, worker] : workers_) {
        if (worker->speedFactor >= 1)
            continue;
        if (const std::optional<double> score = scoreOf(*worker, task, now))
            candidates.push_back({*score, worker.get()});
    }
    if (assignToBest(task, candidates, now))
        return true;
    ++planCache_->failedSlowScans;
    return false;
}

} // namespace monsoonledge
