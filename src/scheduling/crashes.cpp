// Loss of workers: which task is to blame for it, the isolation of suspects, and jobs that are
// given up.
//
// A task that crashes each worker that starts it would end everything else on worker after worker.
// Its job is given up when the evidence suffices (crashevidence.cpp, losses.cpp). A worker that
// cannot be reached proves nothing at first: its run may go on or end with its lease. Such losses
// make a task a suspect, whose next starts come later and later, on workers that have been
// reachable for long.
//
// The crash follows within moments of the start, so the suspects of a loss are the runs that had
// been started there but had not yet proven to survive their start. One loss has several suspects
// if several tasks started shortly before it. Each suspect is therefore started again apart from
// other unproven starts: a second loss then names its task, and a start that is survived acquits
// it.
#include "scheduling/crashevidence_p.h"
#include "scheduling/planpass_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr double InstabilityPenalty = 1; // per ms; exceeds any difference between numbers of runs
constexpr double CostlyRunPenalty = 100; // in runs: of a run that is costly to lose
constexpr double SamePlacePenalty = 10; // in runs: a loss elsewhere is better evidence
constexpr double NearlyFinishedShare = 0.5; // of the estimate of a run without checkpoints

/// True if much is lost with the run: users notice the interruption of a serving task, and a run
/// without checkpoints begins anew.
bool isCostlyToLose(const ScheduledTask &task, Time now)
{
    const StepSpec &step = task.job->spec.steps[static_cast<std::size_t>(task.ref.step)];
    if (step.longRunning)
        return true;
    return !step.checkpointing && task.runState == RunState::Running
           && toMilliseconds(now - task.startedAt)
                      > NearlyFinishedShare * toMilliseconds(step.estimate);
}

/// True if the task has a run that has not proven to survive its start.
bool isUnproven(const ScheduledTask &task)
{
    return task.progress.phase == TaskPhase::Assigned && !task.hasSurvivedStart;
}

} // namespace

bool startTogether(const ScheduledTask &a, const ScheduledTask &b)
{
    return &a == &b
           || (a.job == b.job && a.ref.occurrence == b.ref.occurrence && a.ref.step == b.ref.step
               && a.job->spec.steps[static_cast<std::size_t>(a.ref.step)].gang);
}

/// Sets the number of lost starts. Keeps the job's number of suspects.
void Scheduler::setLostStarts(ScheduledTask &task, int lostStarts)
{
    ScheduledJob &job = *task.job;
    job.suspectTasks += (lostStarts > 0 ? 1 : 0) - (task.progress.lostStarts > 0 ? 1 : 0);
    task.progress.lostStarts = lostStarts;
}

/// True if the task or a member of its gang has lost its last start.
bool Scheduler::isSuspect(const ScheduledTask &task) const
{
    const ScheduledJob &job = *task.job;
    if (job.suspectTasks == 0)
        return false;
    if (task.progress.lostStarts > 0 || !stepOf(task).gang)
        return task.progress.lostStarts > 0;
    return std::any_of(job.tasks.begin(), job.tasks.end(), [&](const ScheduledTask &other) {
        return other.progress.lostStarts > 0 && startTogether(task, other);
    });
}

bool Scheduler::isConfirmedSuspect(const TaskRef &ref) const
{
    const ScheduledTask *task = findTask(ref);
    return task && task->runState == RunState::Running && isSuspect(*task);
}

/// Notes that the worker has reported the run. A report that arrives shortly after the start may
/// have been written before the crash that the start causes.
void Scheduler::noteReported(ScheduledTask &task, Time now)
{
    if (task.hasSurvivedStart || task.runState != RunState::Running
        || now - task.startedAt < settings_.startProofAge)
        return;
    task.hasSurvivedStart = true;
    acquit(task);
    if (task.worker && suspectTasks_ > 0)
        markWorkerChanged(*task.worker); // others may start there again
}

/// Clears what is held against the task: it would have crashed its worker by now.
void Scheduler::acquit(ScheduledTask &task)
{
    if (task.progress.lostStarts == 0 && task.progress.crashes == 0)
        return;
    setLostStarts(task, 0);
    task.progress.crashes = 0;
    task.progress.losses.clear();
    markChanged(*task.job);
}

/// True if another process is registered at the worker's address since: the worker has ended.
bool Scheduler::wasReplaced(const ScheduledWorker &worker) const
{
    if (worker.entry.address.ip.empty())
        return false;
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto &item) {
        const ScheduledWorker &other = *item.second;
        return &other != &worker && other.listed && other.entry.address == worker.entry.address
               && other.entry.incarnation > worker.entry.incarnation;
    });
}

/// Those of a lost worker's runs that may have crashed it.
std::vector<ScheduledTask *> Scheduler::suspectsAmong(
        const ScheduledWorker &worker, const std::vector<ScheduledTask *> &lost) const
{
    std::vector<ScheduledTask *> suspects;
    if (worker.entry.draining) // it has left as announced
        return suspects;
    std::copy_if(lost.begin(), lost.end(), std::back_inserter(suspects),
                 [](const ScheduledTask *task) { return isUnproven(*task); });
    // Records of a former coordinator do not say whether a run has survived its start, but a
    // suspect is started only on a worker where all other runs have.
    const auto isIsolated = [this](const ScheduledTask *task) {
        return task->runState == RunState::Restored && isSuspect(*task);
    };
    if (std::any_of(suspects.begin(), suspects.end(), isIsolated))
        suspects.erase(std::remove_if(suspects.begin(), suspects.end(),
                                      [&](const ScheduledTask *task) {
                                          return task->runState == RunState::Restored
                                                 && !isSuspect(*task);
                                      }),
                       suspects.end());
    return suspects;
}

/// Ends runs that were lost with their worker, and counts the loss against its suspects.
void Scheduler::loseRuns(ScheduledWorker &worker, const std::vector<ScheduledTask *> &lost,
                         WorkerLoss loss, Time now)
{
    const std::vector<ScheduledTask *> suspects = suspectsAmong(worker, lost);
    countLoss(worker, suspects, loss, now);
    for (ScheduledTask *task : lost) {
        if (task->progress.phase == TaskPhase::Assigned) // else the end of another one has ended it
            endRun(*task, RunOutcome::LeaseExpired, {}, now);
    }
    for (ScheduledTask *task : suspects)
        task->earliestStart = now + delayAfterLoss(*task);
    giveUpDeadly(suspects, now);
}

/// Ends all runs of a worker that is lost.
void Scheduler::loseAllRuns(ScheduledWorker &worker, WorkerLoss loss, Time now)
{
    std::vector<ScheduledTask *> lost;
    std::copy_if(worker.tasks.begin(), worker.tasks.end(), std::back_inserter(lost),
                 [](const ScheduledTask *task) {
                     return task->progress.phase == TaskPhase::Assigned
                            && task->runState != RunState::AwaitingRecord;
                 });
    loseRuns(worker, lost, loss, now);
}

/// Fails the jobs of suspects that crash their workers by the evidence. Their runs have ended.
void Scheduler::giveUpDeadly(const std::vector<ScheduledTask *> &suspects, Time now)
{
    for (ScheduledTask *task : suspects) {
        const TaskProgress &progress = task->progress;
        const bool isGivenUp =
                progress.crashes >= settings_.maxCrashes
                || decideNextStart(progress.crashes, progress.losses) == CrashAction::GiveUp;
        if (!isGivenUp || isFinal(task->job->state) || progress.phase != TaskPhase::Waiting)
            continue;
        task->progress.phase = TaskPhase::Failed;
        countWaiting(*task, -1);
        log_({LogLevel::Warning,
              "job-failed",
              "workers have crashed at the starts of a task of the job",
              {{"job", task->ref.job.str()},
               {"task", formatTaskRef(task->ref)},
               {"crashes", std::to_string(progress.crashes)},
               {"lostStarts", std::to_string(progress.lostStarts)},
               {"points", std::to_string(crashPoints(progress.crashes, progress.losses))}}});
        finishJob(*task->job, JobState::Failed, now);
    }
}

/// Updates the number of suspects for a planning pass, and ends what was held for them.
void Scheduler::beginIsolation(Time now)
{
    suspectTasks_ = 0;
    for (const ScheduledJob *job : activeJobs_)
        suspectTasks_ += job->suspectTasks;
    planCache_->startedAt = now;
    if (suspectTasks_ > 0)
        reviewLosses(now);
    if (heldWorkers_ == 0)
        return;
    heldWorkers_ = 0;
    for (auto &[id, worker] : workers_) {
        if (worker->heldFor.isEmpty())
            continue;
        const auto job = jobs_.find(worker->heldFor);
        const bool isNeeded = job != jobs_.end() && !isFinal(job->second->state)
                              && job->second->suspectTasks > 0 && now < worker->heldUntil;
        if (isNeeded) {
            ++heldWorkers_;
            continue;
        }
        worker->heldFor = JobId();
        markWorkerChanged(*worker);
    }
}

/// True if the isolation of suspects keeps the task from the worker.
bool Scheduler::isKeptApart(const ScheduledWorker &worker, const ScheduledTask &task) const
{
    if (suspectTasks_ == 0)
        return false;
    const bool isTaskSuspect = isSuspect(task);
    if (!worker.heldFor.isEmpty() && !(isTaskSuspect && worker.heldFor == task.ref.job))
        return true;
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const ScheduledTask *other) {
        return isUnproven(*other) && (isTaskSuspect || isSuspect(*other))
               && !startTogether(task, *other);
    });
}

/// The score of a worker for a suspect: its crash should end as few other runs as possible, and
/// none that is costly to lose. Workers that were unreachable or new a moment ago have the fewest
/// runs, but a suspect would often be lost there without any fault of its own.
double Scheduler::isolationScore(const ScheduledWorker &worker, const ScheduledTask &suspect,
                                 Time now) const
{
    const Duration unstableFor = worker.unstableSince + settings_.stableAfter - now;
    const auto costly =
            std::count_if(worker.tasks.begin(), worker.tasks.end(),
                          [&](const ScheduledTask *task) { return isCostlyToLose(*task, now); });
    const std::vector<StartLoss> &losses = suspect.progress.losses;
    const bool isInPlaceOfLoss =
            std::any_of(losses.begin(), losses.end(),
                        [&](const StartLoss &loss) { return loss.place == placeOf(worker.entry); });
    return -static_cast<double>(worker.tasks.size())
           - CostlyRunPenalty * static_cast<double>(costly)
           - (isInPlaceOfLoss ? SamePlacePenalty : 0)
           - InstabilityPenalty * std::max(toMilliseconds(unstableFor), 0.0);
}

/// Assigns the suspects of a step that is not a gang, one at a time: if all tasks of the job are
/// deadly, the first ones show it.
void Scheduler::assignSuspects(ScheduledJob &job, int occurrence, int step,
                               std::vector<const ScheduledTask *> &assigned, Time now)
{
    for (ScheduledTask &task : job.tasks) {
        if (task.ref.occurrence != occurrence || task.ref.step != step
            || task.progress.phase != TaskPhase::Waiting || task.progress.lostStarts == 0
            || task.earliestStart > now)
            continue;
        if (hasSuspectStart(task))
            return;
        if (ScheduledWorker *worker = chooseWorker(task, now)) {
            assign(task, *worker);
            assigned.push_back(&task);
            releaseHolds(job);
        } else {
            holdWorker(task, now);
            waitForRoom(task, now);
        }
        return;
    }
}

/// True if a start of another suspect of the job has not proven to be survived.
bool Scheduler::hasSuspectStart(const ScheduledTask &task) const
{
    return std::any_of(
            task.job->tasks.begin(), task.job->tasks.end(), [&](const ScheduledTask &other) {
                return isUnproven(other) && isSuspect(other) && !startTogether(task, other);
            });
}

/// Keeps other tasks from a worker that could take the suspect if there were no unproven starts, so
/// that it can soon. Without this, the next start there would always come before the proof of the
/// last one on a busy worker.
void Scheduler::holdWorker(const ScheduledTask &suspect, Time now)
{
    const auto limit =
            static_cast<int>(settings_.maxHeldShare * static_cast<double>(workers_.size()));
    if (heldWorkers_ >= std::max(limit, 1))
        return;
    ScheduledWorker *best = nullptr;
    for (const auto &[id, worker] : workers_) {
        if (worker->heldFor == suspect.ref.job && !stepOf(suspect).gang)
            return; // one is enough
        // Only workers that isolation alone keeps from the suspect.
        if (!worker->heldFor.isEmpty() || obstacleOn(*worker, suspect, now) != Obstacle::Isolation)
            continue;
        if (!best || isolationScore(*worker, suspect, now) > isolationScore(*best, suspect, now))
            best = worker.get();
    }
    if (!best)
        return;
    best->heldFor = suspect.ref.job;
    best->heldUntil = now + settings_.maxHoldDuration;
    ++heldWorkers_;
}

void Scheduler::releaseHolds(const ScheduledJob &job)
{
    for (auto &[id, worker] : workers_) {
        if (worker->heldFor != job.spec.id)
            continue;
        worker->heldFor = JobId();
        markWorkerChanged(*worker);
        --heldWorkers_;
    }
}

std::vector<WorkerId> Scheduler::takeReportRequests(Time now)
{
    std::vector<WorkerId> ids;
    if (suspectTasks_ == 0)
        return ids;
    for (auto &[id, worker] : workers_) {
        if (worker->lastCallFailed || now - worker->reportRequestedAt < settings_.startProofAge)
            continue;
        const bool isHeld = !worker->heldFor.isEmpty();
        const auto isProvable = [&](const ScheduledTask *task) {
            return isUnproven(*task) && task->runState == RunState::Running
                   && now - task->startedAt >= settings_.startProofAge
                   && (isHeld || isSuspect(*task));
        };
        if (std::none_of(worker->tasks.begin(), worker->tasks.end(), isProvable))
            continue;
        worker->reportRequestedAt = now;
        ids.push_back(id);
    }
    return ids;
}

} // namespace monsoonledge
