// Closed failure domains: nothing is started there, and runs that would stay for long are moved
// off.
//
// A move is a stop order: the task waits again and is placed as any other. chooseMoves() selects
// the runs from values; here they are collected, and each choice is checked against the placement,
// so that nothing is stopped that finds no worker elsewhere.
#include "scheduling/planpass_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr Duration MoveCheckInterval = milliseconds(100);
constexpr std::size_t MaxMovesPerCheck = 16; // bounds the stop orders and writes of one pass

} // namespace

void Scheduler::setClosedDomains(const std::set<DomainId> &domains, Time now)
{
    for (auto it = evacuations_.begin(); it != evacuations_.end();)
        it = domains.count(it->first) == 0 ? evacuations_.erase(it) : std::next(it);
    for (const DomainId &domain : domains) {
        const auto [evacuation, isNew] = evacuations_.try_emplace(domain);
        if (isNew)
            evacuation->second.since = now;
    }
    for (auto &[id, worker] : workers_) {
        const bool isClosed = evacuations_.count(worker->entry.domain) > 0;
        if (worker->isDomainClosed == isClosed)
            continue;
        worker->isDomainClosed = isClosed;
        markWorkerChanged(*worker);
    }
    nextMoveCheckAt_ = {};
}

int Scheduler::tasksToMove() const
{
    int left = 0;
    for (const auto &[domain, evacuation] : evacuations_)
        left += evacuation.left;
    return left;
}

/// The time after which the run is expected to end by itself.
Duration Scheduler::remainingTime(const ScheduledTask &task, Time now) const
{
    const auto expected =
            std::chrono::duration_cast<Duration>(stepOf(task).estimate * durationFactor(*task.job));
    if (task.runState != RunState::Running)
        return expected;
    const Duration elapsed = now - task.startedAt;
    if (task.percent > 0)
        return elapsed * (100 - task.percent) / task.percent;
    // A run that exceeds its estimate without any progress may take as long again.
    return elapsed < expected ? expected - elapsed : expected;
}

/// True for a run that stays on its worker too long to wait for its end, and can start elsewhere
/// without losing its work. Gangs are not moved: one stopped member ends all of them.
bool Scheduler::isToBeMoved(const ScheduledTask &task, Time now) const
{
    const StepSpec &step = stepOf(task);
    if (task.progress.phase != TaskPhase::Assigned || isFinal(task.job->state) || step.gang)
        return false;
    if (step.longRunning || task.runState == RunState::Stopping)
        return step.longRunning || step.checkpointing;
    return step.checkpointing && remainingTime(task, now) >= MinRemainingToMove;
}

/// True if the task works, by a recent report.
bool Scheduler::isWorking(const ScheduledTask &task, Time now) const
{
    return task.progress.phase == TaskPhase::Assigned && task.runState == RunState::Running
           && task.worker && !task.worker->lastCallFailed
           && now - task.lastReportedAt <= settings_.maxReportAge
           && (!stepOf(task).longRunning || task.percent == 100);
}

/// True if a task of the same step has been stopped and is not assigned again.
bool Scheduler::isStepMoving(const ScheduledTask &task) const
{
    return std::any_of(task.job->tasks.begin(), task.job->tasks.end(),
                       [&](const ScheduledTask &other) {
                           return other.ref.occurrence == task.ref.occurrence
                                  && other.ref.step == task.ref.step
                                  && (other.progress.phase == TaskPhase::Waiting
                                      || other.runState == RunState::Stopping);
                       });
}

MoveNeed Scheduler::moveNeedOf(const ScheduledTask &task) const
{
    const StepSpec &step = stepOf(task);
    return {task.job->queue.service,
            static_cast<std::int64_t>(step.cpu.value),
            static_cast<std::int64_t>(step.memory.value),
            step.accelerators,
            step.requirement,
            step.bestEffort};
}

/// The values from which chooseMoves() decides.
MoveInput Scheduler::moveInput(Time now) const
{
    MoveInput input;
    for (const auto &[id, worker] : workers_) {
        if (!acceptsTasks(*worker, now))
            continue;
        const WorkerEntry &entry = worker->entry;
        const std::int64_t cpu = static_cast<std::int64_t>(entry.cpu.value) - worker->reservedCpu;
        const auto idle = static_cast<std::int64_t>(
                settings_.servingIdleShare * worker->reservedServingCpu - worker->bestEffortCpu);
        MoveTarget target;
        target.service = entry.service;
        target.totalCpu = static_cast<std::int64_t>(entry.cpu.value);
        target.cpu = cpu;
        target.idleCpu = cpu + idle;
        target.memory = static_cast<std::int64_t>(entry.memory.value) - worker->reservedMemory;
        target.accelerators = entry.accelerators - worker->reservedAccelerators;
        target.labels = entry.labels;
        input.targets.push_back(std::move(target));
    }
    std::map<std::pair<const ScheduledJob *, std::size_t>, int> unavailable; // by step
    for (const ScheduledJob *job : activeJobs_) {
        for (const ScheduledTask &task : job->tasks) {
            const StepSpec &step = stepOf(task);
            const bool isWaiting = isInterrupted(task) && task.progress.phase == TaskPhase::Waiting;
            const bool isStopping =
                    task.runState == RunState::Stopping && (step.longRunning || step.checkpointing);
            if (isWaiting || isStopping)
                input.claims.push_back(moveNeedOf(task));
            if (step.maxUnavailable > 0 && !isWorking(task, now)
                && task.progress.phase != TaskPhase::Done)
                ++unavailable[{job, job->stepIndex(task.ref)}];
        }
    }
    for (const auto &[id, worker] : workers_) {
        // The stop order could not reach an unreachable worker, and its leases end anyway.
        if (!worker->isDomainClosed || worker->lastCallFailed
            || now - worker->lastReport > settings_.maxReportAge)
            continue;
        for (const ScheduledTask *task : worker->tasks) {
            const StepSpec &step = stepOf(*task);
            if (task->runState != RunState::Running || !isToBeMoved(*task, now))
                continue;
            if (step.antiAffinity > 0 && isStepMoving(*task))
                continue;
            const auto count = unavailable.find({task->job, task->job->stepIndex(task->ref)});
            input.runs.push_back({task->ref, moveNeedOf(*task), step.longRunning,
                                  isWorking(*task, now), step.antiAffinity > 0,
                                  remainingTime(*task, now), step.maxUnavailable,
                                  count == unavailable.end() ? 0 : count->second});
        }
    }
    return input;
}

/// Counts what is left in each closed domain, and logs an unknown domain and the end of the moves.
void Scheduler::updateEvacuations(Time now)
{
    std::map<DomainId, int> otherRuns;
    std::set<DomainId> known;
    for (auto &[domain, evacuation] : evacuations_)
        evacuation.left = 0;
    for (const auto &[id, worker] : workers_) {
        known.insert(worker->entry.domain);
        const auto evacuation = evacuations_.find(worker->entry.domain);
        if (evacuation == evacuations_.end())
            continue;
        for (const ScheduledTask *task : worker->tasks)
            ++(isToBeMoved(*task, now) ? evacuation->second.left : otherRuns[evacuation->first]);
    }
    for (auto &[domain, evacuation] : evacuations_) {
        const bool isUnknown = known.count(domain) == 0;
        if (isUnknown && !evacuation.isChecked)
            log_({LogLevel::Warning,
                  "evacuation-domain-unknown",
                  "no worker is in the domain that the operator has closed; the request is kept",
                  {{"evacuated", domain.str()}}});
        evacuation.isChecked = true;
        if (isUnknown || evacuation.left > 0 || evacuation.isEmptied)
            continue;
        evacuation.isEmptied = true;
        log_({LogLevel::Info,
              "evacuation-emptied",
              "no run is left to be moved off the closed domain; shorter ones end there",
              {{"evacuated", domain.str()},
               {"moved", std::to_string(evacuation.moved)},
               {"shortRuns", std::to_string(otherRuns[domain])},
               {"forMs", std::to_string(wholeMilliseconds(now - evacuation.since))}}});
    }
}

/// Logs the first move off a domain.
void Scheduler::logMove(const ScheduledTask &task)
{
    Evacuation &evacuation = evacuations_[task.worker->entry.domain];
    if (++evacuation.moved > 1)
        return;
    log_({LogLevel::Info,
          "evacuation-first-move",
          "the first run is moved off the closed domain",
          {{"evacuated", task.worker->entry.domain.str()},
           {"task", formatTaskRef(task.ref)},
           {"worker", task.worker->entry.id.str()},
           {"left", std::to_string(evacuation.left)}}});
}

/// Stops runs in closed domains that find a worker in an open one.
void Scheduler::planMoves(Time now)
{
    if (evacuations_.empty() || now < nextMoveCheckAt_)
        return;
    nextMoveCheckAt_ = now + MoveCheckInterval;
    updateEvacuations(now);
    if (tasksToMove() == 0)
        return;
    for (const TaskRef &ref : chooseMoves(moveInput(now), MaxMovesPerCheck)) {
        ScheduledTask *task = findTask(ref);
        // The placement knows limits that chooseMoves() does not, such as interference.
        if (!task || !chooseWorker(*task, now))
            continue;
        logMove(*task);
        stopRun(*task, now);
    }
}

} // namespace monsoonledge
