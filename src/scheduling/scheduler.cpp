// Job records, job states and the handling of ended runs. Workers are handled in workers.cpp; the
// next tasks are chosen in placement.cpp.
#include "scheduling/planpass_p.h"
#include "scheduling/workerspeed.h"

#include <algorithm>
#include <cassert>

namespace monsoonledge {

namespace {

constexpr double DurationFactorWeight = 0.03; // weight of each run in the average duration factor
constexpr double MaxDurationRatio = 5; // limit of the ratio that one run can contribute

} // namespace

const char *runOutcomeName(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::LeaseExpired:
        return "lapsed";
    case RunOutcome::GangMemberEnded:
        return "broken";
    case RunOutcome::GangIncomplete:
        return "alone";
    }
    return "failed";
}

std::string formatTaskRef(const TaskRef &ref)
{
    return ref.job.str() + '.' + std::to_string(ref.occurrence) + '.' + std::to_string(ref.step)
           + '.' + std::to_string(ref.index);
}

Scheduler::Scheduler(SchedulingSettings settings, Time formerLeaseExpiry, LogHook log, Time now)
    : settings_(settings), formerLeaseExpiry_(formerLeaseExpiry), log_(std::move(log)),
      startedAt_(now),
      speeds_(settings.avoidsSlowWorkers ? std::make_unique<WorkerSpeeds>() : nullptr),
      planCache_(std::make_unique<PlanCache>())
{ }

Scheduler::~Scheduler() = default;

void Scheduler::setConfig(const QueueConfig &config)
{
    config_ = config;
    std::unordered_map<QueueId, const QueueSpec *> queues;
    for (const QueueSpec &queue : config_.queues)
        queues.emplace(queue.id, &queue);
    for (auto &[id, job] : jobs_) {
        // Jobs of a removed queue continue with its last configuration; new jobs are not accepted.
        const auto it = queues.find(job->spec.queue);
        if (it != queues.end())
            job->queue = *it->second;
    }
}

void Scheduler::setWallClock(WallMilliseconds wall, Time now)
{
    const auto steady =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    wallOffset_ = static_cast<std::int64_t>(wall.value) - steady;
}

Time Scheduler::toSteadyTime(WallMilliseconds wall, Duration maxAge, Time now) const
{
    if (!wallOffset_)
        return now;
    const Time time(milliseconds(static_cast<std::int64_t>(wall.value) - *wallOffset_));
    return std::clamp(time, now - maxAge, now);
}

const StepSpec &Scheduler::stepOf(const ScheduledTask &task) const
{
    return task.job->spec.steps[static_cast<std::size_t>(task.ref.step)];
}

ScheduledTask *Scheduler::findTask(const TaskRef &ref) const
{
    const auto it = jobs_.find(ref.job);
    if (it == jobs_.end())
        return nullptr;
    ScheduledJob &job = *it->second;
    if (ref.occurrence < 0 || ref.step < 0 || ref.index < 0
        || ref.step >= static_cast<int>(job.spec.steps.size())
        || ref.index >= job.spec.steps[static_cast<std::size_t>(ref.step)].count)
        return nullptr;
    const auto position = static_cast<std::size_t>(ref.occurrence)
                                  * static_cast<std::size_t>(job.tasksPerOccurrence)
                          + static_cast<std::size_t>(
                                  job.stepOffsets[static_cast<std::size_t>(ref.step)] + ref.index);
    return position < job.tasks.size() ? &job.tasks[position] : nullptr;
}

void Scheduler::addOccurrence(ScheduledJob &job, Time now)
{
    const int occurrence = static_cast<int>(job.tasks.size()) / std::max(job.tasksPerOccurrence, 1);
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        for (int index = 0; index < job.spec.steps[step].count; ++index) {
            ScheduledTask task;
            task.job = &job;
            task.ref = {job.spec.id, occurrence, static_cast<int>(step), index};
            task.waitingSince = now;
            task.image = interference_.indexOf(job.spec.steps[step].image);
            job.tasks.push_back(std::move(task));
        }
        job.remainingPathEstimate.reset();
        job.doneTaskCounts.push_back(0);
        job.waitingTaskCounts.push_back(job.spec.steps[step].count);
        job.stepLoads.emplace_back();
    }
    job.waitingTasks += job.tasksPerOccurrence;
}

void Scheduler::addJob(const JobSpec &spec, const std::optional<JobProgress> &progress,
                       Time submittedAt, Time now)
{
    if (jobs_.count(spec.id) > 0)
        return;
    auto newJob = std::make_unique<ScheduledJob>();
    ScheduledJob &job = *newJob;
    job.spec = spec;
    if (const QueueSpec *queue = config_.find(spec.queue)) {
        job.queue = *queue;
    } else {
        job.queue.id = spec.queue; // the queue was removed
        static_cast<QueueTerms &>(job.queue) = spec.terms;
    }
    job.submittedAt = submittedAt;
    for (const StepSpec &step : spec.steps) {
        job.stepOffsets.push_back(job.tasksPerOccurrence);
        job.tasksPerOccurrence += step.count;
        job.hasLongRunningStep = job.hasLongRunningStep || step.longRunning;
    }
    job.criticalPathEstimate = criticalPath(spec);
    job.estimatedCoreSeconds = estimatedCoreSeconds(spec);
    if (spec.occurrences == 0)
        addOccurrence(job, now);
    if (!progress)
        countSubmitted(job);
    if (progress) {
        job.state = progress->state;
        while (job.tasks.size() < progress->tasks.size() && job.tasksPerOccurrence > 0)
            addOccurrence(job, now);
        for (std::size_t i = 0; i < progress->tasks.size() && i < job.tasks.size(); ++i)
            restoreTask(job.tasks[i], progress->tasks[i]);
    }
    if (isFinal(job.state))
        job.finalAt = now;
    else
        activeJobs_.push_back(&job);
    jobs_.emplace(spec.id, std::move(newJob));
}

/// Counts a task that began (1) or ceased (-1) to wait.
void Scheduler::countWaiting(const ScheduledTask &task, int change)
{
    task.job->waitingTasks += change;
    task.job->waitingTaskCounts[task.job->stepIndex(task.ref)] += change;
}

/// Restores a task from the record of a former coordinator.
void Scheduler::restoreTask(ScheduledTask &task, const TaskProgress &progress)
{
    ScheduledJob &job = *task.job;
    task.progress = progress;
    if (progress.phase == TaskPhase::Done && stepOf(task).longRunning)
        task.progress.phase = TaskPhase::Waiting; // it is never finished
    job.suspectTasks += progress.lostStarts > 0 ? 1 : 0;
    if (task.progress.phase == TaskPhase::Waiting)
        return;
    countWaiting(task, -1);
    if (progress.phase == TaskPhase::Done)
        ++job.doneTaskCounts[job.stepIndex(task.ref)];
    if (progress.phase != TaskPhase::Assigned)
        return;
    task.runState = RunState::Restored;
    task.orderSentAt = startedAt_;
    std::unique_ptr<ScheduledWorker> &worker = workers_[progress.worker];
    if (!worker) {
        worker = std::make_unique<ScheduledWorker>();
        worker->entry.id = progress.worker;
        worker->entry.incarnation = progress.incarnation;
        worker->listed = false;
        worker->leaseExpiry = formerLeaseExpiry_;
    }
    reserve(*worker, task);
}

void Scheduler::cancelJob(const JobId &id, Time now)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || isFinal(it->second->state))
        return;
    const ScheduledJob &job = *it->second;
    const auto running =
            std::count_if(job.tasks.begin(), job.tasks.end(), [](const ScheduledTask &task) {
                return task.progress.phase == TaskPhase::Assigned;
            });
    log_({LogLevel::Info,
          "job-cancelled",
          "the job was cancelled: its runs are stopped and no more are started",
          {{"job", id.str()}, {"runs", std::to_string(running)}}});
    finishJob(*it->second, JobState::Cancelled, now);
}

/// Ends a job: stops its runs and starts no more.
void Scheduler::finishJob(ScheduledJob &job, JobState state, Time now)
{
    job.state = state;
    job.finalAt = now;
    for (ScheduledTask &task : job.tasks) {
        if (task.progress.phase != TaskPhase::Assigned)
            continue;
        if (task.runState != RunState::AwaitingRecord) // otherwise onSaved() drops the run
            stopRun(task, now);
    }
    activeJobs_.erase(std::remove(activeJobs_.begin(), activeJobs_.end(), &job), activeJobs_.end());
    markChanged(job);
}

void Scheduler::removeJob(const JobId &id)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return;
    for (ScheduledTask &task : it->second->tasks)
        release(task);
    activeJobs_.erase(std::remove(activeJobs_.begin(), activeJobs_.end(), it->second.get()),
                      activeJobs_.end());
    urgentChanges_ -= it->second->isChangeUrgent ? 1 : 0;
    jobs_.erase(it);
}

/// Queues the job's record to be written. A deferrable change is one that nobody waits for: runs
/// that ended while other tasks of the job go on, and the first confirmed run.
void Scheduler::markChanged(ScheduledJob &job, RecordUrgency urgency)
{
    ++job.version;
    job.remainingPathEstimate.reset();
    if (urgency == RecordUrgency::Immediate && !std::exchange(job.isChangeUrgent, true))
        ++urgentChanges_;
    if (job.isChangeQueued)
        return;
    job.isChangeQueued = true;
    changes_.push_back(job.spec.id);
}

/// Completes the job if all tasks of all occurrences are done.
void Scheduler::completeIfDone(ScheduledJob &job, Time now)
{
    if (isFinal(job.state))
        return;
    const bool hasAllOccurrences =
            job.spec.occurrences == 0
            || static_cast<int>(job.tasks.size()) >= job.tasksPerOccurrence * job.spec.occurrences;
    int done = 0;
    for (const int count : job.doneTaskCounts)
        done += count;
    if (hasAllOccurrences && done == static_cast<int>(job.tasks.size())) {
        log_({LogLevel::Info,
              "job-completed",
              "all tasks of the job are done",
              {{"job", job.spec.id.str()}}});
        finishJob(job, JobState::Completed, now);
    }
}

void Scheduler::requeueTask(ScheduledTask &task, Duration delay, Time now)
{
    release(task);
    task.runState = RunState::None;
    task.stopConfirmed = false;
    task.percent = 0;
    task.pace = 100;
    task.overTargetSince.reset();
    task.progress.phase = TaskPhase::Waiting;
    task.earliestStart = now + delay;
    task.waitingSince = now;
    countWaiting(task, 1);
    markChanged(*task.job, RecordUrgency::Deferrable); // urgent once it is assigned again
}

/// The delay of the next start after this many fruitless ones: none after the first.
Duration Scheduler::retryDelayAfter(int attempts) const
{
    if (attempts <= 1)
        return {};
    return std::min(settings_.retryDelay * (1 << std::min(attempts, 6)), settings_.maxRetryDelay);
}

/// Processes the end of the task's current run. A long-running task is started again however it has
/// ended; any other one is finished when a run of it is done.
void Scheduler::endRun(ScheduledTask &task, RunOutcome outcome, const std::string &checkpoint,
                       Time now)
{
    ScheduledJob &job = *task.job;
    const StepSpec &step = stepOf(task);
    if (!checkpoint.empty())
        task.progress.checkpoint = checkpoint;
    if (outcome == RunOutcome::Done || outcome == RunOutcome::Failed)
        acquit(task); // its worker has survived it
    if (outcome == RunOutcome::Done && !step.longRunning) {
        updateDurationFactor(task, now);
        countDone(task);
        release(task);
        task.runState = RunState::None;
        task.progress.phase = TaskPhase::Done;
        int &done = job.doneTaskCounts[job.stepIndex(task.ref)];
        if (++done == step.count)
            log_({LogLevel::Info,
                  "step-done",
                  "all tasks of the step are done",
                  {{"job", job.spec.id.str()},
                   {"step", std::to_string(task.ref.step)},
                   {"tasks", std::to_string(done)}}});
        markChanged(job, RecordUrgency::Deferrable);
        if (step.gang) { // the result of one member counts for the whole gang
            for (ScheduledTask &other : job.tasks) {
                if (other.ref.occurrence != task.ref.occurrence || other.ref.step != task.ref.step)
                    continue;
                if (other.progress.phase == TaskPhase::Assigned)
                    endRun(other, RunOutcome::Done, {}, now);
                else if (other.progress.phase == TaskPhase::Waiting)
                    completeWaiting(other, {}, now);
            }
        }
        completeIfDone(job, now);
        return;
    }
    log_({LogLevel::Info,
          "run-ended",
          "the run ended before the task was done",
          {{"job", job.spec.id.str()},
           {"task", formatTaskRef(task.ref)},
           {"run", std::to_string(task.progress.run.value)},
           {"worker", task.progress.worker.str()},
           {"end", runOutcomeName(outcome)}}});
    Duration delay{};
    if (outcome == RunOutcome::Done && task.percent < 100)
        delay = settings_.earlyEndDelay;
    if (outcome == RunOutcome::Failed) {
        ++task.progress.failures;
        task.failedOn.push_back(task.progress.worker);
        delay = retryDelayAfter(task.progress.failures);
    }
    requeueTask(task, delay, now);
    const bool isExhausted = !step.longRunning && task.progress.failures >= job.queue.maxAttempts;
    if (!isExhausted || isFinal(job.state))
        return;
    task.progress.phase = TaskPhase::Failed;
    countWaiting(task, -1);
    log_({LogLevel::Info,
          "job-failed",
          "a task of the job has reached the maximum number of failed attempts",
          {{"job", job.spec.id.str()},
           {"task", formatTaskRef(task.ref)},
           {"failures", std::to_string(task.progress.failures)}}});
    finishJob(job, JobState::Failed, now);
}

/// Processes the success of a run that was considered lost, of a task that waits for its next one.
void Scheduler::completeWaiting(ScheduledTask &task, const std::string &checkpoint, Time now)
{
    assert(task.progress.phase == TaskPhase::Waiting);
    countWaiting(task, -1);
    task.progress.phase = TaskPhase::Assigned;
    endRun(task, RunOutcome::Done, checkpoint, now);
}

/// Updates the queue's ratio of measured to estimated durations. Besides their individual errors,
/// the estimates of one queue share a common factor. Only runs that did not resume from a
/// checkpoint, end at full pace and began on a warm worker that was not slow are comparable with
/// their estimate.
void Scheduler::updateDurationFactor(const ScheduledTask &task, Time now)
{
    const StepSpec &step = stepOf(task);
    const bool isMeasured = task.runState == RunState::Running && task.pace == 100
                            && task.progress.checkpoint.empty() && step.estimate > Duration::zero()
                            && !(task.worker && task.startedAt < task.worker->coldUntil)
                            && !(task.worker && task.startedAt <= task.worker->slowAt);
    if (!isMeasured)
        return;
    const double ratio = toMilliseconds(now - task.startedAt) / toMilliseconds(step.estimate);
    double &factor = durationFactors_.try_emplace(task.job->spec.queue, 1).first->second;
    factor += DurationFactorWeight * (std::min(ratio, MaxDurationRatio) - factor);
}

double Scheduler::durationFactor(const ScheduledJob &job) const
{
    const auto it = durationFactors_.find(job.spec.queue);
    return it == durationFactors_.end() ? 1 : it->second;
}

/// Returns the time by which the job has to be done; a later result is late.
Time Scheduler::objectiveOf(const ScheduledJob &job) const
{
    const double factor = job.queue.slackFactor * durationFactor(job);
    return job.submittedAt + std::chrono::duration_cast<Duration>(job.criticalPathEstimate * factor)
           + job.queue.targetLatency;
}

/// Returns the expected duration of the critical path through the steps that are not done.
Duration Scheduler::remainingCriticalPath(ScheduledJob &job) const
{
    if (!job.remainingPathEstimate)
        job.remainingPathEstimate = estimateRemainingPath(job);
    return std::chrono::duration_cast<Duration>(*job.remainingPathEstimate * durationFactor(job));
}

/// The same by the estimates of the client.
Duration Scheduler::estimateRemainingPath(const ScheduledJob &job)
{
    std::vector<Duration> finishTimes;
    Duration longest{};
    const std::size_t steps = job.spec.steps.size();
    const std::size_t lastOccurrence =
            job.doneTaskCounts.size() >= steps ? job.doneTaskCounts.size() - steps : 0;
    for (std::size_t i = 0; i < steps; ++i) {
        const StepSpec &step = job.spec.steps[i];
        Duration start{};
        for (const int predecessor : step.after)
            start = std::max(start, finishTimes[static_cast<std::size_t>(predecessor)]);
        const bool isDone = lastOccurrence + i < job.doneTaskCounts.size()
                            && job.doneTaskCounts[lastOccurrence + i] >= step.count;
        finishTimes.push_back(isDone ? start : start + step.estimate);
        longest = std::max(longest, finishTimes.back());
    }
    return longest;
}

void Scheduler::stopRun(ScheduledTask &task, Time now)
{
    assert(task.progress.phase == TaskPhase::Assigned);
    task.runState = RunState::Stopping;
    task.stopConfirmed = false;
    task.orderSentAt = now;
    stops_.push_back({task.ref, task.progress.run, task.progress.worker});
}

/// Processes the confirmation that a worker runs the task. The job stays pending until its first
/// confirmed run.
void Scheduler::markRunning(ScheduledTask &task, Time now)
{
    task.runState = RunState::Running;
    task.startedAt = now;
    task.progressChangedAt = now;
    task.lastReportedAt = now;
    if (isSuspect(task) && !std::exchange(task.progress.startConfirmed, true))
        markChanged(*task.job); // for a successor, should the worker crash
    if (stepOf(task).bestEffort && task.worker)
        task.worker->pacedAt = {}; // decide soon: a new run starts at full pace
    if (task.job->state != JobState::Pending)
        return;
    task.job->state = JobState::Active;
    markChanged(*task.job, RecordUrgency::Deferrable);
}

std::vector<JobChange> Scheduler::takeChanges(std::size_t max)
{
    std::vector<JobChange> result;
    std::size_t remaining = changes_.size();
    while (remaining-- > 0 && result.size() < max) {
        const JobId id = changes_.front();
        changes_.pop_front();
        const auto it = jobs_.find(id);
        if (it == jobs_.end())
            continue;
        ScheduledJob &job = *it->second;
        if (job.inFlightVersion != 0) { // only one write of a record in flight
            changes_.push_back(id);
            continue;
        }
        job.isChangeQueued = false;
        urgentChanges_ -= std::exchange(job.isChangeUrgent, false) ? 1 : 0;
        job.inFlightVersion = job.version;
        JobProgress progress;
        progress.state = job.state;
        for (const ScheduledTask &task : job.tasks)
            progress.tasks.push_back(task.progress);
        result.push_back({id, job.version, encodeProgress(progress), progress.state});
    }
    return result;
}

/// False if an assigned run must not be started any more, because its job has ended, or its worker
/// has changed or its domain was closed while the record was being stored.
bool Scheduler::isStartable(const ScheduledTask &task) const
{
    return !isFinal(task.job->state) && task.worker && task.worker->listed && !task.worker->hasEnded
           && !task.worker->lastCallFailed && !task.worker->entry.draining
           && task.worker->entry.incarnation == task.progress.incarnation
           && mayStartOn(*task.worker) && isWithinCapacity(*task.worker);
}

void Scheduler::onSaved(const JobId &id, std::uint64_t version, Time now)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return;
    ScheduledJob &job = *it->second;
    job.savedVersion = std::max(job.savedVersion, version);
    job.inFlightVersion = 0;
    const auto isRecorded = [&](const ScheduledTask &task) {
        return task.runState == RunState::AwaitingRecord && task.assignedInVersion <= version;
    };
    for (ScheduledTask &task : job.tasks) {
        if (!isRecorded(task) || isStartable(task))
            continue;
        if (!stepOf(task).gang) { // no start order was sent
            requeueTask(task, Duration::zero(), now);
            continue;
        }
        // The other members would wait in vain for this one.
        for (ScheduledTask &other : job.tasks) {
            if (isRecorded(other) && other.ref.occurrence == task.ref.occurrence
                && other.ref.step == task.ref.step)
                requeueTask(other, Duration::zero(), now);
        }
    }
    for (ScheduledTask &task : job.tasks) {
        if (!isRecorded(task))
            continue;
        task.runState = RunState::StartSent;
        task.orderSentAt = now;
        starts_.push_back({task.ref, task.progress.run, task.progress.worker,
                           task.progress.incarnation, job.spec.payload, task.progress.checkpoint});
    }
}

void Scheduler::onSaveFailed(const JobId &id)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return;
    ScheduledJob &job = *it->second;
    job.inFlightVersion = 0;
    if (!std::exchange(job.isChangeUrgent, true))
        ++urgentChanges_;
    if (!std::exchange(job.isChangeQueued, true))
        changes_.push_back(id);
}

std::vector<StartOrder> Scheduler::takeStarts()
{
    return std::exchange(starts_, {});
}

std::vector<StopOrder> Scheduler::takeStops()
{
    return std::exchange(stops_, {});
}

std::vector<PaceOrder> Scheduler::takePaces()
{
    return std::exchange(paces_, {});
}

std::vector<JobId> Scheduler::jobsEndedBefore(Time time) const
{
    std::vector<JobId> result;
    for (const auto &[id, job] : jobs_) {
        if (isFinal(job->state) && job->finalAt < time && job->savedVersion == job->version)
            result.push_back(id);
    }
    return result;
}

} // namespace monsoonledge
