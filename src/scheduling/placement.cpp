// The order of jobs and the placement of their tasks on workers.
//
// The decisions here are made for these load patterns:
// - More work than fits: order.cpp sorts the jobs.
// - Many best-effort tasks at once: one starts only on a worker with enough idle processors for it.
//   More would slow down all best-effort tasks of the worker and finish none of them earlier.
// - Best-effort tasks beside serving tasks: interference.cpp paces them. Serving tasks of the same
//   image are placed on the same workers, because most images of best-effort tasks then find
//   workers where all serving tasks tolerate them.
// - Long-running jobs that reserve nearly all processors: tasks of a long-running job that is
//   already running are restarted before everything else and may preempt other tasks, because users
//   notice every second of their absence. A new long-running job gets only the capacity that jobs
//   with an objective leave, because it occupies it for a long time.
#include "scheduling/planpass_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr double ImagePacePenalty =
        0.3; // per unit of the average pace, as a share of the task's CPU demand
constexpr double AffinityBonus = 1e6; // exceeds any difference between scores based on CPU
constexpr double FailurePenalty = 1e7; // exceeds the affinity bonus
constexpr double SlowPenalty = 1.2e6; // divided by the speed; exceeds the affinity bonus
constexpr Duration WaitLogInterval = seconds(2); // of one task
constexpr Duration AnyWaitLogInterval = milliseconds(500); // of all tasks, to bound the volume
constexpr Duration UnplacedRequestLifetime = milliseconds(200); // then every worker is tried again

/// True if a run of the task has failed or stalled on the worker.
bool hasFailedOn(const ScheduledTask &task, const ScheduledWorker &worker)
{
    return std::find(task.failedOn.begin(), task.failedOn.end(), worker.entry.id)
           != task.failedOn.end();
}

} // namespace

bool hasLabel(const WorkerEntry &worker, const std::string &label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

int countTasksOfStep(const ScheduledWorker &worker, const TaskRef &ref)
{
    return static_cast<int>(
            std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const ScheduledTask *task) {
                return task->ref.job == ref.job && task->ref.occurrence == ref.occurrence
                       && task->ref.step == ref.step;
            }));
}

double expectedBestEffortShare(const ScheduledWorker &worker, const StepSpec &step,
                               const SchedulingSettings &settings)
{
    const double used = static_cast<double>(worker.reservedCpu)
                        - settings.servingIdleShare * worker.reservedServingCpu
                        + worker.bestEffortCpu;
    const double idle = static_cast<double>(worker.entry.cpu.value) - used;
    const double wanted = std::max(static_cast<double>(step.cpu.value), 1.0);
    return std::clamp(idle / wanted, 0.0, 1.0);
}

bool Scheduler::isStepRunnable(const ScheduledJob &job, int occurrence, int step)
{
    if (job.waitingTaskCounts[job.stepIndex(occurrence, step)] == 0)
        return false;
    const std::vector<int> &after = job.spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&](int earlier) {
        return job.doneTaskCounts[job.stepIndex(occurrence, earlier)]
               >= job.spec.steps[static_cast<std::size_t>(earlier)].count;
    });
}

bool Scheduler::acceptsTasks(const ScheduledWorker &worker, Time now) const
{
    return obstacleToAll(worker, now) == Obstacle::None;
}

/// What keeps any new task from the worker, whatever the task needs.
Scheduler::Obstacle Scheduler::obstacleToAll(const ScheduledWorker &worker, Time now) const
{
    if (worker.isDomainClosed)
        return Obstacle::ClosedDomain;
    if (!worker.listed || worker.hasEnded)
        return Obstacle::Unlisted;
    if (worker.entry.draining)
        return Obstacle::Draining;
    if (!worker.hasReported || worker.lastCallFailed
        || now - worker.lastReport > settings_.maxReportAge)
        return Obstacle::Unreachable;
    if (now < worker.startBackoffUntil)
        return Obstacle::RefusedStart;
    if (now < worker.quarantinedUntil)
        return Obstacle::Quarantined;
    // After its quarantine, a worker gets one new task at a time until a run succeeds.
    const bool isOnTrial = awaitsTrial(worker)
                           && std::any_of(worker.tasks.begin(), worker.tasks.end(),
                                          [](const ScheduledTask *task) { return task->isTrial; });
    return isOnTrial ? Obstacle::OnTrial : Obstacle::None;
}

void Scheduler::addDueOccurrences(Time now)
{
    if (!wallOffset_)
        return;
    const auto steady =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const std::int64_t wall = *wallOffset_ + steady;
    for (ScheduledJob *job : activeJobs_) {
        if (job->spec.occurrences == 0 || job->tasksPerOccurrence == 0)
            continue;
        const std::int64_t interval = job->spec.interval.count() / 1000;
        while (static_cast<int>(job->tasks.size())
               < job->spec.occurrences * job->tasksPerOccurrence) {
            const auto next =
                    static_cast<std::int64_t>(job->tasks.size()) / job->tasksPerOccurrence;
            const std::int64_t due =
                    static_cast<std::int64_t>(job->spec.firstDue.value) + next * interval;
            if (wall < due)
                break;
            addOccurrence(*job, now);
        }
    }
}

void Scheduler::plan(Time now)
{
    if (now >= nextWorkerCheckAt_) {
        nextWorkerCheckAt_ = now + settings_.workerCheckInterval;
        checkWorkers(now);
    }
    addDueOccurrences(now);
    beginPass(now);
    beginIsolation(now);
    if (areStartsPaused_)
        return;
    for (ScheduledJob *job : orderJobs(now))
        assignJob(*job, now);
    planMoves(now);
}

void Scheduler::assignJob(ScheduledJob &job, Time now)
{
    std::vector<const ScheduledTask *> assigned;
    const int steps = static_cast<int>(job.spec.steps.size());
    const int occurrences = steps == 0 ? 0 : static_cast<int>(job.doneTaskCounts.size()) / steps;
    for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
        for (int step = 0; step < steps; ++step) {
            if (isStepRunnable(job, occurrence, step))
                assignStep(job, occurrence, step, assigned, now);
        }
    }
    logAssigned(job, assigned, now);
}

/// Assigns the waiting tasks of a step, until one of them finds no worker.
void Scheduler::assignStep(ScheduledJob &job, int occurrence, int step,
                           std::vector<const ScheduledTask *> &assigned, Time now)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    const int first =
            occurrence * job.tasksPerOccurrence + job.stepOffsets[static_cast<std::size_t>(step)];
    if (spec.gang) {
        assignGang(job, occurrence, step, now);
        return;
    }
    if (job.suspectTasks > 0)
        assignSuspects(job, occurrence, step, assigned, now);
    std::optional<std::vector<Candidate>> candidates; // the tasks of a step share them
    bool isKnownUnplaced = false;
    for (int index = first; index < first + spec.count; ++index) {
        ScheduledTask &task = job.tasks[static_cast<std::size_t>(index)];
        if (task.progress.phase != TaskPhase::Waiting || task.earliestStart > now
            || task.progress.lostStarts > 0)
            continue;
        if (!candidates) {
            const UnplacedRequest *request = findUnplacedRequest(task);
            isKnownUnplaced = request && !isWorthAnotherTry(*request, now);
            candidates.emplace();
            if (!isKnownUnplaced)
                candidates = candidatesFor(task, request ? request->lastTriedInPass : 0, now);
        }
        if (!task.failedOn.empty()) { // workers where it failed have another score
            const bool hasCandidates = !candidates->empty() || slowWorkers_ > 0;
            if (ScheduledWorker *worker = hasCandidates ? chooseWorker(task, now) : nullptr) {
                assign(task, *worker);
                assigned.push_back(&task);
                candidates.reset();
                continue;
            }
        } else if (assignToBest(task, *candidates, now) || assignToSlow(task, *candidates, now)) {
            assigned.push_back(&task);
            continue;
        }
        if (!isKnownUnplaced)
            recordUnplacedRequest(task, now);
        waitForRoom(task, now);
        return;
    }
}

/// Makes room for a task that no worker can take, if it is a long-running one that was interrupted.
void Scheduler::waitForRoom(ScheduledTask &task, Time now)
{
    if (stepOf(task).bestEffort && startStarvedTask(task, now))
        return;
    reserveExpectedCapacity(task, now);
    logWaiting(task, now);
    if (!isInterrupted(task))
        return;
    // Nothing is stopped for a task that has crashed its worker and may do it again.
    if (now - task.waitingSince > settings_.preemptAfter && task.progress.crashes == 0)
        preemptFor(task, now);
}

/// True for a waiting long-running task that has run before.
bool Scheduler::isInterrupted(const ScheduledTask &task) const
{
    return stepOf(task).longRunning && task.progress.run.value > 0;
}

/// False for a request that was tried in this pass, and for one of best-effort tasks that was tried
/// a moment ago: under a flood many of them wait, each worker changes several times a second, and
/// trying all of them each time costs more than the rest of the pass.
bool Scheduler::isWorthAnotherTry(const UnplacedRequest &request, Time now) const
{
    if (request.lastTriedInPass == planCache_->passNumber)
        return false;
    return !request.bestEffort || now - request.lastTriedAt >= settings_.bestEffortRetryInterval;
}

/// The recorded request that was tried last among those that no worker could take and that ask for
/// no more than this task, or null. If there is one, the task can't be placed either: with equal
/// images, the best-effort task that needs more CPU causes more interference.
const UnplacedRequest *Scheduler::findUnplacedRequest(const ScheduledTask &task) const
{
    const StepSpec &step = stepOf(task);
    const UnplacedRequest *latest = nullptr;
    for (const UnplacedRequest &request : planCache_->unplacedRequests) {
        const bool asksForNoMore = step.cpu.value >= request.cpu
                                   && step.memory.value >= request.memory
                                   && step.accelerators >= request.accelerators;
        if (asksForNoMore && isOfSameKind(task, request)
            && (!latest || latest->lastTriedInPass < request.lastTriedInPass))
            latest = &request;
    }
    return latest;
}

/// True if the same workers can run the task and the request, apart from their sizes.
bool Scheduler::isOfSameKind(const ScheduledTask &task, const UnplacedRequest &request) const
{
    const StepSpec &step = stepOf(task);
    return step.bestEffort == request.bestEffort
           && (!step.bestEffort || task.image == request.image)
           && step.requirement == request.requirement && task.job->queue.service == request.service;
}

/// Records that no worker can take the task. The caller has tried the workers that changed since
/// the same or a smaller request was last tried, or all workers if none was.
void Scheduler::recordUnplacedRequest(const ScheduledTask &task, Time now)
{
    const StepSpec &step = stepOf(task);
    if (step.antiAffinity > 0) // this limit of the step does not apply to other tasks
        return;
    // A smaller request may still fit on a worker that could not take this one.
    for (UnplacedRequest &request : planCache_->unplacedRequests) {
        const bool hasSameSize = step.cpu.value == request.cpu
                                 && step.memory.value == request.memory
                                 && step.accelerators == request.accelerators;
        if (!hasSameSize || !isOfSameKind(task, request))
            continue;
        request.lastTriedInPass = planCache_->passNumber;
        request.lastTriedAt = now;
        return;
    }
    planCache_->unplacedRequests.push_back({task.job->queue.service, step.bestEffort, task.image,
                                            step.requirement, step.cpu.value, step.memory.value,
                                            step.accelerators, planCache_->passNumber, now});
}

/// Begins a planning pass. Every UnplacedRequestLifetime, it drops what former passes have found
/// out about workers, because loads and the passage of time change what they can take without an
/// event.
void Scheduler::beginPass(Time now)
{
    ++planCache_->passNumber;
    planCache_->failedSlowScans = 0;
    planCache_->bestSlowSpeed.reset();
    if (now - planCache_->clearedAt < UnplacedRequestLifetime)
        return;
    planCache_->clearedAt = now;
    planCache_->unplacedRequests.clear();
    planCache_->outlooks.clear();
}

/// Chooses workers for the members of a gang in turn and reserves their capacity. The result is
/// shorter than the gang if a member finds none.
std::vector<ScheduledWorker *> Scheduler::reserveGang(const std::vector<ScheduledTask *> &members,
                                                      Time now)
{
    std::vector<ScheduledWorker *> chosen;
    for (ScheduledTask *task : members) {
        ScheduledWorker *worker = chooseWorker(*task, now);
        if (!worker)
            break;
        reserve(*worker, *task);
        chosen.push_back(worker);
    }
    return chosen;
}

/// Assigns all tasks of a gang, or none of them.
void Scheduler::assignGang(ScheduledJob &job, int occurrence, int step, Time now)
{
    std::vector<ScheduledTask *> members;
    for (ScheduledTask &task : job.tasks) {
        if (task.ref.occurrence != occurrence || task.ref.step != step)
            continue;
        if (task.progress.phase != TaskPhase::Waiting || task.earliestStart > now)
            return; // a run of the last attempt or a retry delay has not ended
        members.push_back(&task);
    }
    const bool isIsolated = isSuspect(*members.front());
    if (isIsolated && hasSuspectStart(*members.front()))
        return;
    const std::vector<ScheduledWorker *> chosen = reserveGang(members, now);
    if (chosen.size() < members.size()) {
        ScheduledTask &unplaced = *members[chosen.size()];
        if (isIsolated)
            holdWorker(unplaced, now);
        logWaiting(unplaced, now);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i)
        release(*members[i]);
    if (chosen.size() < members.size())
        return;
    RunNumber run{0}; // one number and one checkpoint for all members
    std::string checkpoint;
    for (const ScheduledTask *task : members) {
        run = std::max(run, task->progress.run);
        checkpoint = std::max(checkpoint, task->progress.checkpoint);
    }
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i]->progress.run = run;
        members[i]->progress.checkpoint = checkpoint;
        assign(*members[i], *chosen[i]);
    }
    if (isIsolated)
        releaseHolds(job);
    logAssigned(job, {members.begin(), members.end()}, now);
}

const char *Scheduler::obstacleName(Obstacle obstacle)
{
    switch (obstacle) {
    case Obstacle::ClosedDomain:
        return "closedDomain";
    case Obstacle::Unlisted:
        return "unlisted";
    case Obstacle::Draining:
        return "draining";
    case Obstacle::Unreachable:
        return "unreachable";
    case Obstacle::RefusedStart:
        return "refusedStart";
    case Obstacle::Quarantined:
        return "quarantined";
    case Obstacle::OnTrial:
        return "onTrial";
    case Obstacle::OtherService:
        return "otherService";
    case Obstacle::Memory:
        return "memory";
    case Obstacle::Accelerators:
        return "accelerators";
    case Obstacle::Processors:
        return "processors";
    case Obstacle::Label:
        return "label";
    case Obstacle::AntiAffinity:
        return "antiAffinity";
    case Obstacle::WarmingUp:
        return "warmingUp";
    case Obstacle::Isolation:
        return "isolation";
    case Obstacle::Slow:
        return "slow";
    case Obstacle::NoGain:
        return "noGain";
    case Obstacle::None:
    case Obstacle::Count:
        break;
    }
    return "none";
}

Scheduler::Obstacle Scheduler::obstacleOn(const ScheduledWorker &worker, const ScheduledTask &task,
                                          Time now) const
{
    const StepSpec &step = stepOf(task);
    const WorkerEntry &entry = worker.entry;
    const Obstacle obstacle = obstacleToAll(worker, now);
    if (obstacle != Obstacle::None)
        return obstacle;
    if (entry.service != task.job->queue.service)
        return Obstacle::OtherService;
    const auto memory = static_cast<std::int64_t>(step.memory.value);
    const auto cpu = static_cast<std::int64_t>(step.cpu.value);
    if (worker.reservedMemory + memory > static_cast<std::int64_t>(entry.memory.value))
        return Obstacle::Memory;
    if (worker.reservedAccelerators + step.accelerators > entry.accelerators)
        return Obstacle::Accelerators;
    if (!step.bestEffort && worker.reservedCpu + cpu > static_cast<std::int64_t>(entry.cpu.value))
        return Obstacle::Processors;
    if (exceedsColdShare(worker, step, now))
        return Obstacle::WarmingUp;
    if (!step.requirement.empty() && !hasLabel(entry, step.requirement))
        return Obstacle::Label;
    if (step.antiAffinity > 0 && countTasksOfStep(worker, task.ref) >= step.antiAffinity)
        return Obstacle::AntiAffinity;
    if (isKeptApart(worker, task))
        return Obstacle::Isolation;
    if (isTooSlowFor(worker, task, now))
        return Obstacle::Slow;
    return Obstacle::None;
}

/// Logs now and then why a task still waits: the number of workers by what keeps the task from
/// running there. An interrupted long-running task is always logged, of the others only some.
void Scheduler::logWaiting(ScheduledTask &task, Time now)
{
    if (now - std::max(task.waitingSince, task.waitLoggedAt) < WaitLogInterval)
        return;
    if (!isInterrupted(task) && now - waitLoggedAt_ < AnyWaitLogInterval)
        return;
    task.waitLoggedAt = now;
    waitLoggedAt_ = now;
    LogEvent event{
            LogLevel::Info,
            "task-waiting",
            "a task finds no worker; the fields count workers by what keeps it from running "
            "there",
            {{"task", formatTaskRef(task.ref)},
             {"runs", std::to_string(task.progress.run.value)},
             {"waitedMs", std::to_string(wholeMilliseconds(now - task.waitingSince))},
             {"objectiveInMs", std::to_string(wholeMilliseconds(objectiveOf(*task.job) - now))}}};
    for (const auto &[name, count] : countObstacles(task, now))
        event.fields.emplace_back(name, std::to_string(count));
    log_(event);
}

Scheduler::PlacementRule Scheduler::placementRuleOf(const StepSpec &step)
{
    if (step.bestEffort)
        return PlacementRule::BestEffortGain;
    return step.tailLatencyTarget > Duration::zero() ? PlacementRule::ServingImages
                                                     : PlacementRule::BestFit;
}

/// The score of a worker for the task; the worker with the highest score is chosen. Nothing if the
/// task cannot run there.
std::optional<double> Scheduler::scoreOf(const ScheduledWorker &worker, const ScheduledTask &task,
                                         Time now) const
{
    if (obstacleOn(worker, task, now) != Obstacle::None)
        return std::nullopt;
    const StepSpec &step = stepOf(task);
    const WorkerEntry &entry = worker.entry;
    const auto cpu = static_cast<std::int64_t>(step.cpu.value);
    double score = 0;
    switch (placementRuleOf(step)) {
    case PlacementRule::BestEffortGain:
        score = bestEffortCpuGain(worker, task, now);
        if (score <= 0)
            return std::nullopt;
        // Workers that tolerate most images are kept for tasks that few other workers tolerate.
        score -= ImagePacePenalty * outlookOf(worker, now).averageImagePace
                 * static_cast<double>(cpu);
        break;
    case PlacementRule::ServingImages:
        score = servingScore(worker, task);
        break;
    case PlacementRule::BestFit:
        score = static_cast<double>(worker.reservedCpu) - static_cast<double>(entry.cpu.value);
        break;
    }
    if (isSuspect(task))
        return isolationScore(worker, task, now) - (hasFailedOn(task, worker) ? FailurePenalty : 0);
    if (!step.affinity.empty() && hasLabel(entry, step.affinity))
        score += AffinityBonus;
    if (hasFailedOn(task, worker))
        score -= FailurePenalty;
    if (worker.speedFactor < 1 && !step.longRunning)
        score -= SlowPenalty / worker.speedFactor;
    return score;
}

ScheduledWorker *Scheduler::chooseWorker(const ScheduledTask &task, Time now) const
{
    ScheduledWorker *best = nullptr;
    double bestScore = 0;
    for (const auto &[id, worker] : workers_) {
        const std::optional<double> score = scoreOf(*worker, task, now);
        if (score && (!best || *score > bestScore)) {
            best = worker.get();
            bestScore = *score;
        }
    }
    return best;
}

/// The workers that can run the tasks of the given task's step. Only those that have changed in the
/// planning pass `sincePass` or later are tried.
std::vector<Scheduler::Candidate> Scheduler::candidatesFor(const ScheduledTask &task,
                                                           std::uint64_t sincePass, Time now) const
{
    std::vector<Candidate> candidates;
    for (const auto &[id, worker] : workers_) {
        if (worker->changedInPass < sincePass)
            continue;
        if (worker->speedFactor < 1 && !stepOf(task).longRunning)
            continue; // tried by assignToSlow(), once no other worker has room
        if (const std::optional<double> score = scoreOf(*worker, task, now))
            candidates.push_back({*score, worker.get()});
    }
    return candidates;
}

/// Assigns the task to the best candidate. Then updates this candidate's score for the next task of
/// the step, or removes it if it cannot take one more. Returns false if there is no candidate.
bool Scheduler::assignToBest(ScheduledTask &task, std::vector<Candidate> &candidates, Time now)
{
    const auto best = std::max_element(
            candidates.begin(), candidates.end(),
            [](const Candidate &a, const Candidate &b) { return a.score < b.score; });
    if (best == candidates.end())
        return false;
    assign(task, *best->worker);
    if (const std::optional<double> score = scoreOf(*best->worker, task, now))
        best->score = *score;
    else
        candidates.erase(best);
    return true;
}

/// Logs one record for all tasks of a job that are assigned together: one for each task would cost
/// the coordinator more than the decisions.
void Scheduler::logAssigned(const ScheduledJob &job,
                            const std::vector<const ScheduledTask *> &tasks, Time now) const
{
    if (tasks.empty())
        return;
    std::string list; // "occurrence.step.index#run@worker", separated by spaces
    Duration oldestReport{};
    for (const ScheduledTask *task : tasks) {
        list += std::to_string(task->ref.occurrence) + '.' + std::to_string(task->ref.step) + '.'
                + std::to_string(task->ref.index) + '#' + std::to_string(task->progress.run.value)
                + '@' + task->progress.worker.str() + ' ';
        if (task->worker)
            oldestReport = std::max(oldestReport, now - task->worker->lastReport);
    }
    list.pop_back();
    const auto millis = [](Duration duration) { return std::to_string(duration.count() / 1000); };
    log_({LogLevel::Info,
          "tasks-assigned",
          "tasks of the job have been assigned to workers",
          {{"job", job.spec.id.str()},
           {"tasks", list},
           {"waitedMs", millis(now - tasks.front()->waitingSince)},
           {"objectiveInMs", millis(objectiveOf(job) - now)},
           {"oldestReportMs", millis(oldestReport)}}});
}

void Scheduler::assign(ScheduledTask &task, ScheduledWorker &worker)
{
    ScheduledJob &job = *task.job;
    task.progress.phase = TaskPhase::Assigned;
    ++task.progress.run.value;
    task.progress.worker = worker.entry.id;
    task.progress.incarnation = worker.entry.incarnation;
    task.runState = RunState::AwaitingRecord;
    task.stopConfirmed = false;
    task.hasSurvivedStart = false;
    task.progress.startConfirmed = false;
    task.wasStarved = false;
    task.isTrial = awaitsTrial(worker);
    noteAssigned(task, worker);
    countWaiting(task, -1);
    reserve(worker, task);
    noteCapacityUse(task);
    markChanged(job);
    task.assignedInVersion = job.version;
}

} // namespace monsoonledge
