// The next tasks and their workers.
//
// Load patterns that the decisions here answer:
// - More work than fits: jobs whose objective can still be met come first, by their objective; late
//   jobs take what is left; jobs whose result is worth nothing any more come last. Without this
//   order, a flood makes every job late.
// - Floods of filling work: a filling task starts only where idle processors are left for it. More
//   would slow down all filling tasks of the worker, and end none of them earlier.
// - Filling beside serving work is in interference.cpp. Serving tasks of one image share workers,
//   because then most images of filling tasks find workers where all serving tasks bear them.
// - Lasting jobs that reserve nearly all processors: tasks of a lasting job that already runs are
//   restarted before everything else and may stop others, because their users see each second. A
//   new one takes only what jobs with an objective leave, because it stays for long.
#include "scheduling/planpass_p.h"

#include <algorithm>
#include <tuple>

namespace monsoonledge {

namespace {

constexpr double OpennessWeight = 0.3; // of a task's processors
constexpr double AffinityScore = 1e6; // outweighs all that is said about processors
constexpr double FailureScore = 1e7; // and this outweighs the affinity
constexpr Duration RefusalMemory = milliseconds(200); // then all workers are tried again

bool contains(const std::vector<std::string> &labels, const std::string &label)
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

/// True if a run of the task has failed or stalled on the worker.
bool hasFailedOn(const ScheduledTask &task, const ScheduledWorker &worker)
{
    return std::find(task.failedOn.begin(), task.failedOn.end(), worker.entry.id)
           != task.failedOn.end();
}

int countOfStep(const ScheduledWorker &worker, const TaskRef &ref)
{
    return static_cast<int>(
            std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const ScheduledTask *task) {
                return task->ref.job == ref.job && task->ref.occurrence == ref.occurrence
                       && task->ref.step == ref.step;
            }));
}

/// The classes in which jobs are served, most urgent first.
enum class Urgency { LastingRestart, OnTime, LastingNew, Late, Worthless };

/// `doneBy`: when the job would be done if it was served at once.
Urgency urgencyOf(const ScheduledJob &job, Time objective, Time doneBy, double maxLatenessFactor)
{
    if (job.hasLongRunningStep)
        return job.state == JobState::Pending ? Urgency::LastingNew : Urgency::LastingRestart;
    const Duration allowed = objective - job.submittedAt;
    const auto worthFor = std::chrono::duration_cast<Duration>(allowed * maxLatenessFactor);
    if (doneBy > job.submittedAt + worthFor)
        return Urgency::Worthless;
    return doneBy > objective ? Urgency::Late : Urgency::OnTime;
}

} // namespace

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

bool Scheduler::isRunnable(const ScheduledJob &job, const ScheduledTask &task) const
{
    if (task.progress.phase != TaskPhase::Waiting)
        return false;
    const std::vector<int> &after = stepOf(task).after;
    return std::all_of(after.begin(), after.end(), [&](int step) {
        return job.doneTaskCounts[job.stepIndex(task.ref.occurrence, step)]
               >= job.spec.steps[static_cast<std::size_t>(step)].count;
    });
}

bool Scheduler::isUsable(const ScheduledWorker &worker, Time now) const
{
    if (!worker.listed || !worker.hasReported || worker.lastCallFailed || worker.entry.draining)
        return false;
    if (now - worker.lastReport > settings_.maxReportAge || now < worker.startBackoffUntil)
        return false;
    if (now < worker.quarantinedUntil)
        return false;
    // After it was set aside, a worker is tried with one task.
    return worker.consecutiveFailures < settings_.failuresToQuarantine || worker.tasks.empty();
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

std::vector<ScheduledJob *> Scheduler::orderJobs(Time now)
{
    using Key = std::tuple<Urgency, int, Time>;
    std::vector<std::pair<Key, ScheduledJob *>> keyed;
    for (ScheduledJob *job : activeJobs_) {
        if (job->waitingTasks == 0)
            continue;
        const Time objective = objectiveOf(*job);
        const Time doneBy = now
                            + std::chrono::duration_cast<Duration>(remainingCriticalPath(*job)
                                                                   * settings_.remainingTimeFactor);
        const Urgency urgency = urgencyOf(*job, objective, doneBy, settings_.maxLatenessFactor);
        keyed.emplace_back(Key{urgency, job->queue.priority, objective}, job);
    }
    std::sort(keyed.begin(), keyed.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<ScheduledJob *> jobs;
    jobs.reserve(keyed.size());
    for (const auto &[key, job] : keyed)
        jobs.push_back(job);
    return jobs;
}

void Scheduler::plan(Time now)
{
    checkWorkers(now);
    addDueOccurrences(now);
    beginPass(now);
    for (ScheduledJob *job : orderJobs(now))
        assignJob(*job, now);
}

void Scheduler::assignJob(ScheduledJob &job, Time now)
{
    std::vector<const ScheduledTask *> assigned;
    std::vector<Candidate> candidates; // for the tasks of one step, which need the same
    std::ptrdiff_t candidateStep = -1;
    std::ptrdiff_t refusedStep = -1;
    for (ScheduledTask &task : job.tasks) {
        const auto step = static_cast<std::ptrdiff_t>(job.stepIndex(task.ref));
        if (step == refusedStep || task.earliestStart > now || !isRunnable(job, task))
            continue;
        if (stepOf(task).gang) {
            if (task.ref.index == 0)
                assignGang(job, task.ref.occurrence, task.ref.step, now);
            continue;
        }
        if (step != candidateStep) {
            const UnplacedRequest *need = findRefused(task);
            const bool isHopeless = need && need->lastTriedInPass == planCache_->passNumber;
            candidates.clear();
            if (!isHopeless)
                candidates = candidatesFor(task, need ? need->lastTriedInPass : 0, now);
            candidateStep = step;
        }
        if (!task.failedOn.empty()) { // it ranks the workers in another way
            if (ScheduledWorker *worker = candidates.empty() ? nullptr : choose(task, now)) {
                assign(task, *worker);
                assigned.push_back(&task);
                candidateStep = -1;
                continue;
            }
        } else if (assignToBest(task, candidates, now)) {
            assigned.push_back(&task);
            continue;
        }
        noteRefused(task);
        refusedStep = step;
        if (stepOf(task).longRunning && task.progress.run.value > 0
            && now - task.waitingSince > settings_.preemptAfter)
            makeRoom(task, now);
    }
    logAssigned(job, assigned, now);
}

/// The need of a task that found no worker and needed no more than this one, or null. A filling
/// task that needs less of the processor than another one of its image does less harm, so it is as
/// welcome.
UnplacedRequest *Scheduler::findRefused(const ScheduledTask &task) const
{
    const StepSpec &step = stepOf(task);
    const auto it =
            std::find_if(planCache_->unplacedRequests.begin(), planCache_->unplacedRequests.end(),
                         [&](const UnplacedRequest &need) {
                             return step.cpu.value >= need.cpu && step.memory.value >= need.memory
                                    && step.accelerators >= need.accelerators
                                    && step.fills == need.bestEffort
                                    && (!step.fills || task.image == need.image)
                                    && step.requirement == need.requirement
                                    && task.job->queue.service == need.service;
                         });
    return it == planCache_->unplacedRequests.end() ? nullptr : &*it;
}

/// Notes that the task found no worker among those that have changed since the need was refused
/// last, or among all.
void Scheduler::noteRefused(const ScheduledTask &task)
{
    const StepSpec &step = stepOf(task);
    if (step.antiAffinity > 0) // others are not bound by the rule of this step
        return;
    if (UnplacedRequest *need = findRefused(task)) {
        need->lastTriedInPass = planCache_->passNumber;
        return;
    }
    planCache_->unplacedRequests.push_back({task.job->queue.service, step.fills, task.image,
                                            step.requirement, step.cpu.value, step.memory.value,
                                            step.accelerators, planCache_->passNumber});
}

/// Tries the workers for a step anew: loads and times change what workers bear without an event.
void Scheduler::beginPass(Time now)
{
    ++planCache_->passNumber;
    if (now - planCache_->clearedAt < RefusalMemory)
        return;
    planCache_->clearedAt = now;
    planCache_->unplacedRequests.clear();
    planCache_->outlooks.clear();
}

/// Assigns all tasks of a gang, or none.
void Scheduler::assignGang(ScheduledJob &job, int occurrence, int step, Time now)
{
    std::vector<ScheduledTask *> members;
    for (ScheduledTask &task : job.tasks) {
        if (task.ref.occurrence != occurrence || task.ref.step != step)
            continue;
        if (task.progress.phase != TaskPhase::Waiting || task.earliestStart > now)
            return; // runs of the last attempt have not all ended
        members.push_back(&task);
    }
    std::vector<ScheduledTask *> reserved;
    std::vector<ScheduledWorker *> chosen;
    for (ScheduledTask *task : members) {
        ScheduledWorker *worker = choose(*task, now);
        if (!worker)
            break;
        reserve(*worker, *task);
        reserved.push_back(task);
        chosen.push_back(worker);
    }
    for (ScheduledTask *task : reserved)
        release(*task);
    if (reserved.size() < members.size())
        return;
    RunNumber run{0}; // all members carry the same run number and checkpoint
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
    logAssigned(job, {members.begin(), members.end()}, now);
}

/// How well a worker suits the task; the highest score wins. Nothing if the task cannot run there.
std::optional<double> Scheduler::scoreOf(const ScheduledWorker &worker, const ScheduledTask &task,
                                         Time now) const
{
    const StepSpec &step = stepOf(task);
    const WorkerEntry &entry = worker.entry;
    if (!isUsable(worker, now) || entry.service != task.job->queue.service)
        return std::nullopt;
    const auto memory = static_cast<std::int64_t>(step.memory.value);
    const auto cpu = static_cast<std::int64_t>(step.cpu.value);
    if (worker.reservedMemory + memory > static_cast<std::int64_t>(entry.memory.value)
        || worker.reservedAccelerators + step.accelerators > entry.accelerators)
        return std::nullopt;
    if (!step.fills && worker.reservedCpu + cpu > static_cast<std::int64_t>(entry.cpu.value))
        return std::nullopt;
    if (!step.requirement.empty() && !contains(entry.labels, step.requirement))
        return std::nullopt;
    if (step.antiAffinity > 0 && countOfStep(worker, task.ref) >= step.antiAffinity)
        return std::nullopt;
    double score = 0;
    if (step.fills) {
        score = fillGain(worker, task, now);
        if (score <= 0)
            return std::nullopt;
        // Workers that bear most images are kept for the tasks that few others bear.
        score -= OpennessWeight * outlookOf(worker, now).fullPaceImageShare
                 * static_cast<double>(cpu);
    } else if (step.tailTarget > Duration::zero()) {
        score = servingScore(worker, task);
    } else {
        // Best fit: large gaps are kept for large tasks.
        score = static_cast<double>(worker.reservedCpu) - static_cast<double>(entry.cpu.value);
    }
    if (!step.affinity.empty() && contains(entry.labels, step.affinity))
        score += AffinityScore;
    if (hasFailedOn(task, worker))
        score -= FailureScore;
    return score;
}

ScheduledWorker *Scheduler::choose(const ScheduledTask &task, Time now) const
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

/// The workers for the tasks of one step. Only workers that have changed since `since` are tried.
std::vector<Scheduler::Candidate> Scheduler::candidatesFor(const ScheduledTask &task,
                                                           std::uint64_t since, Time now) const
{
    std::vector<Candidate> candidates;
    for (const auto &[id, worker] : workers_) {
        if (worker->changedInPass < since)
            continue;
        if (const std::optional<double> score = scoreOf(*worker, task, now))
            candidates.push_back({*score, worker.get()});
    }
    return candidates;
}

/// Assigns the task to the best candidate, and updates that candidate for the next task of the
/// step.
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

/// One line for all tasks of a job that are assigned at once: a line for each would cost a
/// coordinator more than the decisions.
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
          "tasks are to run on workers",
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
    --job.waitingTasks;
    reserve(worker, task);
    markChanged(job);
    task.assignedInVersion = job.version;
}

/// Stops the tasks on one worker that cost least and make room for a lasting task.
void Scheduler::makeRoom(const ScheduledTask &task, Time now)
{
    const StepSpec &step = stepOf(task);
    ScheduledWorker *best = nullptr;
    std::vector<ScheduledTask *> bestVictims;
    for (const auto &[id, worker] : workers_) {
        if (!isUsable(*worker, now) || worker->entry.service != task.job->queue.service)
            continue;
        if (step.antiAffinity > 0 && countOfStep(*worker, task.ref) >= step.antiAffinity)
            continue;
        if (!step.requirement.empty() && !contains(worker->entry.labels, step.requirement))
            continue;
        std::int64_t cpuShort = worker->reservedCpu + static_cast<std::int64_t>(step.cpu.value)
                                - static_cast<std::int64_t>(worker->entry.cpu.value);
        std::int64_t memoryShort = worker->reservedMemory
                                   + static_cast<std::int64_t>(step.memory.value)
                                   - static_cast<std::int64_t>(worker->entry.memory.value);
        std::vector<ScheduledTask *> victims;
        bool isStopping = false;
        for (ScheduledTask *other : worker->tasks) {
            const StepSpec &otherStep = stepOf(*other);
            isStopping = isStopping || other->runState == RunState::Stopping;
            if (cpuShort <= 0 && memoryShort <= 0)
                break;
            if (otherStep.longRunning || other->runState != RunState::Running)
                continue;
            if (memoryShort <= 0 && otherStep.fills)
                continue;
            if (!otherStep.fills)
                cpuShort -= static_cast<std::int64_t>(otherStep.cpu.value);
            memoryShort -= static_cast<std::int64_t>(otherStep.memory.value);
            victims.push_back(other);
        }
        if (isStopping) // room is being made already
            return;
        if (cpuShort > 0 || memoryShort > 0)
            continue;
        if (!best || victims.size() < bestVictims.size()) {
            best = worker.get();
            bestVictims = victims;
        }
    }
    if (!best)
        return;
    for (ScheduledTask *victim : bestVictims) {
        log_({LogLevel::Info,
              "run-preempted",
              "the run makes room for a task that lasts",
              {{"job", victim->ref.job.str()},
               {"worker", best->entry.id.str()},
               {"for", task.ref.job.str()}}});
        stopRun(*victim, now);
    }
}

} // namespace monsoonledge
