// Workers: registry updates, reports of runs, quarantine, draining and the loss of workers.
#include "scheduling/planpass_p.h"

#include <algorithm>
#include <set>

namespace monsoonledge {

namespace {

constexpr Duration StopRetryDelay = milliseconds(600);
constexpr std::size_t MaxListedEnds = 500; // longer lists of ended runs are truncated by the worker

/// Returns the table's value for an image; extends the table if it is too short.
template<typename Value> Value &at(std::vector<Value> &table, ImageIndex image)
{
    if (table.size() <= image)
        table.resize(image + 1);
    return table[image];
}

} // namespace

void Scheduler::setWorkers(const std::vector<WorkerEntry> &entries, Time now)
{
    std::set<WorkerId> wasListed;
    for (auto &[id, worker] : workers_) {
        if (std::exchange(worker->listed, false))
            wasListed.insert(id);
    }
    for (const WorkerEntry &entry : entries) {
        std::unique_ptr<ScheduledWorker> &worker = workers_[entry.id];
        if (!worker) {
            worker = std::make_unique<ScheduledWorker>();
            worker->lapseAt = startedAt_ + lostLeaseAfter_;
        } else if (entry.incarnation < worker->entry.incarnation) {
            worker->listed = true; // the registry entry is older than the worker's last report
            continue;
        } else if (entry.incarnation != worker->entry.incarnation) {
            beginLife(*worker, now);
            worker->hasReported = false;
        }
        const bool isNew = worker->entry.id.isEmpty();
        if (isNew || entry.draining != worker->entry.draining
            || entry.incarnation != worker->entry.incarnation)
            logListed(entry);
        const bool isNewlyUsable =
                wasListed.count(entry.id) == 0 || worker->entry.draining != entry.draining;
        worker->entry = entry;
        worker->listed = true;
        if (isNewlyUsable)
            noteChanged(*worker);
    }
    for (const auto &[id, worker] : workers_) {
        if (wasListed.count(id) > 0 && !worker->listed)
            log_({LogLevel::Info,
                  "worker-unlisted",
                  "the worker is no longer in the registry and gets no new tasks",
                  {{"worker", id.str()}, {"runs", std::to_string(worker->tasks.size())}}});
    }
    for (auto it = workers_.begin(); it != workers_.end();) {
        const bool isObsolete = !it->second->listed && it->second->tasks.empty();
        if (isObsolete)
            pass_->outlooks.erase(it->second.get());
        it = isObsolete ? workers_.erase(it) : std::next(it);
    }
}

/// Resets the state of a restarted worker: its former runs no longer exist, and its list of ended
/// runs starts from the beginning.
void Scheduler::beginLife(ScheduledWorker &worker, Time now)
{
    loseWorkerRuns(worker, now);
    worker.acknowledgedPosition = 0;
    worker.lastEnd = 0;
    worker.pendingEnds.clear();
    worker.failuresInRow = 0;
}

void Scheduler::logListed(const WorkerEntry &entry)
{
    log_({LogLevel::Info,
          "worker-listed",
          entry.draining ? "the worker is draining and gets no new tasks"
                         : "the worker is available for tasks",
          {{"worker", entry.id.str()},
           {"incarnation", std::to_string(entry.incarnation.value)},
           {"state", entry.draining ? "draining" : "ready"}}});
}

void Scheduler::reserve(ScheduledWorker &worker, ScheduledTask &task)
{
    const StepSpec &step = stepOf(task);
    task.worker = &worker;
    worker.tasks.push_back(&task);
    pass_->outlooks.erase(&worker);
    worker.memoryUsed += static_cast<std::int64_t>(step.memory.value);
    worker.acceleratorsUsed += step.accelerators;
    const auto cpu = static_cast<double>(step.cpu.value);
    if (step.fills) {
        worker.fillCpu += cpu;
        at(worker.fillByImage, task.image) += cpu;
        return;
    }
    worker.cpuUsed += static_cast<std::int64_t>(step.cpu.value);
    if (step.longRunning)
        worker.servingCpu += cpu;
    if (step.tailTarget > Duration::zero())
        ++at(worker.servingByImage, task.image);
}

/// Marks that the worker may have more free capacity than before.
void Scheduler::noteChanged(ScheduledWorker &worker)
{
    worker.changedIn = pass_->number;
    pass_->outlooks.erase(&worker);
}

void Scheduler::release(ScheduledTask &task)
{
    ScheduledWorker *worker = std::exchange(task.worker, nullptr);
    if (!worker)
        return;
    const StepSpec &step = stepOf(task);
    noteChanged(*worker);
    worker->tasks.erase(std::remove(worker->tasks.begin(), worker->tasks.end(), &task),
                        worker->tasks.end());
    worker->memoryUsed -= static_cast<std::int64_t>(step.memory.value);
    worker->acceleratorsUsed -= step.accelerators;
    const auto cpu = static_cast<double>(step.cpu.value);
    if (step.fills) {
        worker->fillCpu -= cpu;
        at(worker->fillByImage, task.image) -= cpu;
        return;
    }
    worker->cpuUsed -= static_cast<std::int64_t>(step.cpu.value);
    if (step.longRunning)
        worker->servingCpu -= cpu;
    if (step.tailTarget > Duration::zero())
        --at(worker->servingByImage, task.image);
}

void Scheduler::onNotRenewed(const WorkerId &id, WorkerIncarnation incarnation, Time now)
{
    const auto it = workers_.find(id);
    if (it != workers_.end() && it->second->entry.incarnation == incarnation)
        it->second->lapseAt = std::min(it->second->lapseAt, now + settings_.longestLease);
}

void Scheduler::onLeaseGiven(const WorkerId &id, Time lapseAt)
{
    const auto it = workers_.find(id);
    if (it != workers_.end())
        it->second->lapseAt = std::max(it->second->lapseAt, lapseAt);
}

void Scheduler::onUnreachable(const WorkerId &id)
{
    const auto it = workers_.find(id);
    if (it != workers_.end())
        it->second->suspect = true;
}

void Scheduler::onReport(const WorkerId &id, Time sentAt, const RunReport &report, Time now)
{
    const auto it = workers_.find(id);
    if (it == workers_.end())
        return;
    ScheduledWorker &worker = *it->second;
    if (report.incarnation != worker.entry.incarnation) {
        if (report.incarnation < worker.entry.incarnation)
            return; // a late response of a former incarnation
        beginLife(worker, now);
        worker.entry.incarnation = report.incarnation;
    }
    // The worker has seen the current fencing token, so it now refuses renewals by former
    // coordinators.
    if (!worker.hasReported)
        worker.lapseAt = now + settings_.longestLease;
    if (!worker.hasReported || worker.suspect)
        noteChanged(worker);
    worker.hasReported = true;
    worker.suspect = false;
    worker.lastReport = now;
    for (const FinishedTask &finished : report.finished)
        applyEnd(worker, finished, now);
    for (const RunningTask &activeRun : report.running)
        applyRunning(worker, activeRun, now);
    if (report.finished.size() < MaxListedEnds)
        findLostRuns(worker, sentAt, now);
    checkStalled(worker, now);
    learnInterference(worker, now);
    paceFilling(worker, now);
}

void Scheduler::applyEnd(ScheduledWorker &worker, const FinishedTask &finished, Time now)
{
    if (finished.position <= worker.lastEnd)
        return; // already processed
    worker.lastEnd = finished.position;
    PendingEnd pending{finished.position, finished.task.job, 0};
    ScheduledTask *task = findTask(finished.task);
    noteEnd(worker, finished.task.job, finished.outcome, now);
    if (task) {
        const bool isCurrent = task->progress.phase == TaskPhase::Assigned
                               && task->progress.run == finished.run
                               && task->progress.worker == worker.entry.id;
        if (task->job->state == JobState::Pending) { // the run ended before its start was confirmed
            task->job->state = JobState::Active;
            markChanged(*task->job);
        }
        if (isCurrent) {
            endRun(*task, finished.outcome, finished.checkpoint, now);
        } else if (finished.outcome == RunEnd::Done && task->progress.phase == TaskPhase::Waiting
                   && finished.run == task->progress.run) {
            // The run was considered lost, but it succeeded and no other run has been assigned
            // since, so its result counts.
            --task->job->waitingTasks;
            task->progress.phase = TaskPhase::Assigned;
            endRun(*task, finished.outcome, finished.checkpoint, now);
        }
        pending.version = task->job->version;
    }
    worker.pendingEnds.push_back(pending);
}

/// Counts a run's result for its worker, and quarantines a worker after consecutive failed runs of
/// different jobs.
void Scheduler::noteEnd(ScheduledWorker &worker, const JobId &job, RunEnd outcome, Time now)
{
    if (outcome == RunEnd::Done) {
        worker.failuresInRow = 0;
        worker.setAsideFor = {};
        return;
    }
    if (outcome != RunEnd::Failed || job == worker.lastFailedJob)
        return;
    worker.lastFailedJob = job;
    ++worker.failuresInRow;
    if (worker.failuresInRow < settings_.failuresToSetAside || now < worker.setAsideUntil)
        return;
    worker.setAsideFor = worker.setAsideFor == Duration::zero()
                                 ? settings_.setAsideFor
                                 : std::min(worker.setAsideFor * 2, settings_.setAsideFor * 4);
    worker.setAsideUntil = now + worker.setAsideFor;
    log_({LogLevel::Warning,
          "worker-set-aside",
          "the worker is quarantined after consecutive failed runs of different jobs",
          {{"worker", worker.entry.id.str()},
           {"failures", std::to_string(worker.failuresInRow)},
           {"forMs", std::to_string(worker.setAsideFor.count() / 1000)}}});
}

void Scheduler::applyRunning(ScheduledWorker &worker, const RunningTask &activeRun, Time now)
{
    ScheduledTask *task = findTask(activeRun.task);
    const bool isCurrent = task && task->progress.phase == TaskPhase::Assigned
                           && task->progress.run == activeRun.run
                           && task->progress.worker == worker.entry.id;
    if (!isCurrent) {
        stops_.push_back({activeRun.task, activeRun.run, worker.entry.id});
        return;
    }
    task->confirmedAt = now;
    task->usage = activeRun.usage;
    if (!activeRun.checkpoint.empty())
        task->progress.checkpoint = activeRun.checkpoint;
    if (activeRun.percent != task->percent) {
        task->percent = activeRun.percent;
        task->progressAt = now;
    }
    // A former coordinator may have recorded the end of the job without stopping all of its runs.
    if (isFinal(task->job->state) && task->knowledge != RunKnowledge::Stopping) {
        stopRun(*task, now);
        return;
    }
    switch (task->knowledge) {
    case RunKnowledge::Sent:
    case RunKnowledge::Uncertain:
    case RunKnowledge::Inherited:
        noteStarted(*task, now);
        break;
    case RunKnowledge::Stopping:
        if (now - task->orderSentAt > StopRetryDelay)
            stopRun(*task, now);
        break;
    case RunKnowledge::None:
    case RunKnowledge::Saving:
    case RunKnowledge::Running:
        break;
    }
}

/// Handles runs that are assigned to the worker but missing in its report.
void Scheduler::findLostRuns(ScheduledWorker &worker, Time sentAt, Time now)
{
    const std::vector<ScheduledTask *> tasks = worker.tasks; // the loop changes the original
    for (ScheduledTask *task : tasks) {
        if (task->confirmedAt == now || task->progress.phase != TaskPhase::Assigned)
            continue;
        switch (task->knowledge) {
        case RunKnowledge::None:
        case RunKnowledge::Saving:
        case RunKnowledge::Sent:
            break;
        case RunKnowledge::Running:
            if (sentAt > task->startedAt)
                endRun(*task, RunEnd::Lapsed, {}, now);
            break;
        case RunKnowledge::Uncertain:
            // The start order may still arrive. A stop order makes the worker refuse it.
            if (sentAt > task->orderSentAt)
                stopRun(*task, now);
            break;
        case RunKnowledge::Inherited:
            // The run cannot appear later: the worker now refuses orders of former coordinators.
            endRun(*task, RunEnd::Lapsed, {}, now);
            break;
        case RunKnowledge::Stopping:
            if (task->stopAnswered && sentAt > task->orderSentAt)
                endRun(*task, RunEnd::Stopped, {}, now);
            else if (!task->stopAnswered && now - task->orderSentAt > StopRetryDelay)
                stopRun(*task, now);
            break;
        }
    }
}

void Scheduler::onStartAnswered(const StartOrder &order, StartOutcome outcome, Time now)
{
    ScheduledTask *task = findTask(order.task);
    const bool isCurrent =
            task && task->progress.phase == TaskPhase::Assigned && task->progress.run == order.run;
    if (!isCurrent || task->knowledge != RunKnowledge::Sent)
        return; // a report or a stop order was processed first
    switch (outcome) {
    case StartOutcome::Started:
        noteStarted(*task, now);
        return;
    case StartOutcome::Unknown:
        task->knowledge = RunKnowledge::Uncertain;
        task->orderSentAt = now;
        if (task->worker)
            task->worker->suspect = true;
        return;
    case StartOutcome::NoRoom:
        if (task->worker)
            task->worker->noRoomUntil = now + settings_.startLag;
        break;
    case StartOutcome::OldRun:
    case StartOutcome::Refused:
        break;
    }
    makeWaiting(*task, settings_.retryDelay, now);
}

void Scheduler::onStopAnswered(const StopOrder &order, bool stopped, Time now)
{
    ScheduledTask *task = findTask(order.task);
    const bool isCurrent = task && task->progress.phase == TaskPhase::Assigned
                           && task->progress.run == order.run
                           && task->knowledge == RunKnowledge::Stopping;
    if (!isCurrent)
        return;
    // The next report shows whether the run existed. If the order was not confirmed, it is repeated
    // when that report is processed.
    task->stopAnswered = stopped;
    if (stopped)
        task->orderSentAt = now;
}

void Scheduler::loseWorkerRuns(ScheduledWorker &worker, Time now)
{
    const std::vector<ScheduledTask *> tasks = worker.tasks; // the loop changes the original
    for (ScheduledTask *task : tasks) {
        if (task->progress.phase == TaskPhase::Assigned && task->knowledge != RunKnowledge::Saving)
            endRun(*task, RunEnd::Lapsed, {}, now);
    }
}

void Scheduler::checkWorkers(Time now)
{
    for (auto &[id, worker] : workers_) {
        const bool isSilent = now - worker->lastReport > settings_.reachableFor;
        if (isSilent && !worker->tasks.empty() && now > worker->lapseAt) {
            log_({LogLevel::Warning,
                  "worker-lost",
                  "the worker is unreachable and its lease has expired; its runs are treated as "
                  "ended",
                  {{"worker", id.str()},
                   {"runs", std::to_string(worker->tasks.size())},
                   {"listed", worker->listed ? "yes" : "no"}}});
            loseWorkerRuns(*worker, now);
        }
        if (worker->entry.draining && !isSilent)
            drainWorker(*worker, now);
        // The load estimate of a serving step may change between two reports of this worker,
        // because reports of the step's other workers update it.
        if (!isSilent && now - worker->pacedAt >= settings_.paceInterval)
            paceFilling(*worker, now);
    }
}

/// Stops runs on a draining worker that would not finish before it shuts down: long-running ones,
/// and those that can resume elsewhere from a checkpoint.
void Scheduler::drainWorker(ScheduledWorker &worker, Time now)
{
    const std::vector<ScheduledTask *> tasks = worker.tasks;
    for (ScheduledTask *task : tasks) {
        if (task->knowledge != RunKnowledge::Running)
            continue;
        const StepSpec &step = stepOf(*task);
        const Duration remaining = step.estimate - (now - task->startedAt);
        if (step.longRunning || (step.checkpointing && remaining > worker.entry.minRemainingTime))
            stopRun(*task, now);
    }
}

void Scheduler::checkStalled(ScheduledWorker &worker, Time now)
{
    for (ScheduledTask *task : std::vector<ScheduledTask *>(worker.tasks)) {
        const StepSpec &step = stepOf(*task);
        if (task->knowledge != RunKnowledge::Running || step.longRunning || step.gang
            || task->pace < 100)
            continue;
        const auto estimateLimit =
                std::chrono::duration_cast<Duration>(step.estimate * settings_.stallFactor / 10);
        if (now - task->progressAt < std::max(settings_.stallTime, estimateLimit))
            continue;
        log_({LogLevel::Warning,
              "run-stalled",
              "the run reports no progress; it is stopped and the task is queued again",
              {{"job", task->ref.job.str()},
               {"worker", worker.entry.id.str()},
               {"percent", std::to_string(task->percent)}}});
        noteEnd(worker, task->ref.job, RunEnd::Failed, now);
        task->failedOn.push_back(worker.entry.id);
        stopRun(*task, now);
    }
}

std::uint64_t Scheduler::acknowledgeable(const WorkerId &id) const
{
    const auto it = workers_.find(id);
    if (it == workers_.end())
        return 0;
    ScheduledWorker &worker = *it->second;
    while (!worker.pendingEnds.empty()) {
        const PendingEnd &pending = worker.pendingEnds.front();
        const auto job = jobs_.find(pending.job);
        if (job != jobs_.end() && job->second->savedVersion < pending.version)
            break;
        worker.acknowledgedPosition = pending.position;
        worker.pendingEnds.pop_front();
    }
    return worker.acknowledgedPosition;
}

bool Scheduler::hasPendingEnds(const WorkerId &id) const
{
    acknowledgeable(id); // removes those whose records are stored
    const auto it = workers_.find(id);
    return it != workers_.end() && !it->second->pendingEnds.empty();
}

} // namespace monsoonledge
