// Workers: registry updates, reports of runs, quarantine, draining and the loss of workers.
#include "scheduling/planpass_p.h"

#include <algorithm>
#include <set>

namespace monsoonledge {

namespace {

constexpr std::size_t MaxReportedFinishedRuns =
        500; // longer lists of ended runs are truncated by the worker

/// Returns the table's value for an image; extends the table if it is too short.
template<typename Value> Value &entryFor(std::vector<Value> &table, ImageIndex image)
{
    if (table.size() <= image)
        table.resize(image + 1);
    return table[image];
}

/// True if the worker can take the same tasks by either entry.
bool offersTheSame(const WorkerEntry &a, const WorkerEntry &b)
{
    return a.cpu.value == b.cpu.value && a.memory.value == b.memory.value
           && a.accelerators == b.accelerators && a.labels == b.labels && a.service == b.service;
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
            worker->leaseExpiry = formerLeaseExpiry_;
            worker->unstableSince = now;
        } else if (entry.incarnation < worker->entry.incarnation) {
            worker->listed = true; // the registry entry is older than the worker's last report
            continue;
        } else if (entry.incarnation != worker->entry.incarnation) {
            resetWorker(*worker, entry.incarnation, now);
        }
        const bool isNew = worker->entry.id.isEmpty();
        if (isNew || entry.draining != worker->entry.draining
            || entry.incarnation != worker->entry.incarnation)
            logRegistration(entry);
        // A change of what the worker offers invalidates what former passes have found out about
        // it, whether it can take more tasks now or fewer.
        const bool hasChanged = wasListed.count(entry.id) == 0
                                || worker->entry.draining != entry.draining
                                || !offersTheSame(worker->entry, entry);
        updateWarmup(*worker, entry, now);
        worker->entry = entry;
        worker->isDomainClosed = evacuations_.count(entry.domain) > 0;
        worker->listed = true;
        if (hasChanged)
            markWorkerChanged(*worker);
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
            forgetWorker(*it->second);
        it = isObsolete ? workers_.erase(it) : std::next(it);
    }
}

void Scheduler::logRegistration(const WorkerEntry &entry)
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
    planCache_->outlooks.erase(&worker);
    worker.reservedMemory += static_cast<std::int64_t>(step.memory.value);
    worker.reservedAccelerators += step.accelerators;
    const auto cpu = static_cast<double>(step.cpu.value);
    if (step.bestEffort) {
        worker.bestEffortCpu += cpu;
        entryFor(worker.bestEffortCpuByImage, task.image) += cpu;
        return;
    }
    worker.reservedCpu += static_cast<std::int64_t>(step.cpu.value);
    if (step.longRunning)
        worker.reservedServingCpu += cpu;
    if (step.tailLatencyTarget > Duration::zero())
        ++entryFor(worker.servingTasksByImage, task.image);
}

/// False if the worker holds more than it offers, because its capacity has shrunk since. Everything
/// that may run there counts: runs that are being stopped, those that may have started, and those
/// that are assigned.
bool Scheduler::isWithinCapacity(const ScheduledWorker &worker)
{
    const WorkerEntry &entry = worker.entry;
    return worker.reservedCpu <= static_cast<std::int64_t>(entry.cpu.value)
           && worker.reservedMemory <= static_cast<std::int64_t>(entry.memory.value)
           && worker.reservedAccelerators <= entry.accelerators;
}

/// Marks that the worker may have more free capacity than before.
void Scheduler::markWorkerChanged(ScheduledWorker &worker)
{
    worker.changedInPass = planCache_->passNumber;
    planCache_->outlooks.erase(&worker);
}

void Scheduler::release(ScheduledTask &task)
{
    ScheduledWorker *worker = std::exchange(task.worker, nullptr);
    if (!worker)
        return;
    const StepSpec &step = stepOf(task);
    markWorkerChanged(*worker);
    worker->tasks.erase(std::remove(worker->tasks.begin(), worker->tasks.end(), &task),
                        worker->tasks.end());
    worker->reservedMemory -= static_cast<std::int64_t>(step.memory.value);
    worker->reservedAccelerators -= step.accelerators;
    const auto cpu = static_cast<double>(step.cpu.value);
    if (step.bestEffort) {
        worker->bestEffortCpu -= cpu;
        entryFor(worker->bestEffortCpuByImage, task.image) -= cpu;
        return;
    }
    worker->reservedCpu -= static_cast<std::int64_t>(step.cpu.value);
    if (step.longRunning)
        worker->reservedServingCpu -= cpu;
    if (step.tailLatencyTarget > Duration::zero())
        --entryFor(worker->servingTasksByImage, task.image);
}

void Scheduler::limitLeaseExpiry(const WorkerId &id, WorkerIncarnation incarnation,
                                 Time leaseExpiry)
{
    const auto it = workers_.find(id);
    if (it != workers_.end() && it->second->entry.incarnation == incarnation)
        it->second->leaseExpiry = std::min(it->second->leaseExpiry, leaseExpiry);
}

void Scheduler::setFormerAddress(const WorkerId &id, WorkerIncarnation incarnation,
                                 const Address &address)
{
    const auto it = workers_.find(id);
    const bool isMissing = it != workers_.end() && !it->second->listed
                           && it->second->entry.incarnation == incarnation;
    if (isMissing && !address.ip.empty())
        it->second->entry.address = address;
}

void Scheduler::onLeaseGranted(const WorkerId &id, Time leaseExpiry)
{
    const auto it = workers_.find(id);
    if (it != workers_.end())
        it->second->leaseExpiry = std::max(it->second->leaseExpiry, leaseExpiry);
}

void Scheduler::onUnreachable(const WorkerId &id, Time now)
{
    const auto it = workers_.find(id);
    if (it == workers_.end())
        return;
    if (!it->second->lastCallFailed)
        noteSilence(*it->second, now);
    it->second->lastCallFailed = true;
    it->second->unstableSince = now;
}

void Scheduler::onWorkerEnded(const WorkerId &id, WorkerIncarnation incarnation, Time now)
{
    const auto it = workers_.find(id);
    if (it == workers_.end())
        return;
    ScheduledWorker &worker = *it->second;
    if (worker.entry.incarnation != incarnation || worker.hasEnded)
        return;
    worker.hasEnded = true;
    noteSilence(worker, now);
    log_({LogLevel::Warning,
          "worker-ended",
          "another worker answers at the worker's address, so the worker and its runs have ended",
          {{"worker", id.str()},
           {"runs", std::to_string(worker.tasks.size())},
           {"reportAgeMs", std::to_string(wholeMilliseconds(now - worker.lastReport))}}});
    loseAllRuns(worker, WorkerLoss::Crashed, now);
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
        resetWorker(worker, report.incarnation, now);
    }
    // The worker has seen the current fencing token, so it now refuses renewals by former
    // coordinators.
    if (!worker.hasReported)
        worker.leaseExpiry = now + settings_.maxLeaseDuration + MaxOrderDelay;
    if (!worker.hasReported || worker.lastCallFailed)
        markWorkerChanged(worker);
    if (worker.lastCallFailed)
        endSilence(worker);
    worker.hasReported = true;
    worker.lastCallFailed = false;
    worker.lastReport = now;
    for (const FinishedRun &finished : report.finished)
        processFinishedRun(worker, finished, now);
    for (const ActiveRun &activeRun : report.running)
        processActiveRun(worker, activeRun, now);
    if (report.finished.size() < MaxReportedFinishedRuns) {
        loseRunsOfFormerIncarnations(worker, sentAt, now);
        handleMissingRuns(worker, sentAt, now);
    }
    measureSpeed(worker, sentAt, now);
    refuseUnansweredStarts(worker, now);
    stopStalledRuns(worker, now);
    learnInterference(worker, now);
    paceBestEffortTasks(worker, now);
}

void Scheduler::processFinishedRun(ScheduledWorker &worker, const FinishedRun &finished, Time now)
{
    if (finished.position <= worker.lastProcessedPosition)
        return; // already processed
    worker.lastProcessedPosition = finished.position;
    PendingAcknowledgement pending{finished.position, finished.task.job, 0};
    ScheduledTask *task = findTask(finished.task);
    updateQuarantine(worker, finished.task.job, finished.outcome, now);
    if (task) {
        const bool isCurrent = task->progress.phase == TaskPhase::Assigned
                               && task->progress.run == finished.run
                               && task->progress.worker == worker.entry.id;
        if (task->job->state == JobState::Pending) { // the run ended before its start was confirmed
            task->job->state = JobState::Active;
            markChanged(*task->job, RecordUrgency::Deferrable);
        }
        if (isCurrent) {
            if (finished.outcome == RunOutcome::Done)
                measureDoneRun(*task, now);
            endRun(*task, finished.outcome, finished.checkpoint, now);
        } else if (finished.outcome == RunOutcome::Done && !stepOf(*task).longRunning) {
            // The run was considered lost, but it succeeded. Its result counts unless another run
            // may have begun since.
            if (task->progress.phase == TaskPhase::Waiting)
                completeWaiting(*task, finished.checkpoint, now);
            else if (task->runState == RunState::AwaitingRecord)
                endRun(*task, RunOutcome::Done, finished.checkpoint, now);
        }
        pending.version = task->job->version;
    }
    worker.pendingAcknowledgements.push_back(pending);
}

/// Counts a run's result for its worker, and quarantines a worker after consecutive failed runs of
/// different jobs.
void Scheduler::updateQuarantine(ScheduledWorker &worker, const JobId &job, RunOutcome outcome,
                                 Time now)
{
    if (outcome == RunOutcome::Done) {
        countSuccess(worker);
        return;
    }
    if (outcome != RunOutcome::Failed || job == worker.lastFailedJob)
        return;
    worker.lastFailedJob = job;
    ++worker.consecutiveFailures;
    if (worker.consecutiveFailures < settings_.failuresToQuarantine
        || now < worker.quarantinedUntil)
        return;
    if (worker.quarantineDuration == Duration::zero())
        worker.quarantineDuration = settings_.quarantineDuration;
    else
        worker.quarantineDuration =
                std::min(worker.quarantineDuration * 2, settings_.maxQuarantineDuration);
    const Duration duration =
            areManyQuarantined(now) ? settings_.shortQuarantineDuration : worker.quarantineDuration;
    worker.quarantinedUntil = now + duration;
    log_({LogLevel::Warning,
          "worker-set-aside",
          "the worker is quarantined after consecutive failed runs of different jobs",
          {{"worker", worker.entry.id.str()},
           {"failures", std::to_string(worker.consecutiveFailures)},
           {"forMs", std::to_string(wholeMilliseconds(duration))}}});
}

/// True if another long quarantine would set aside more than the allowed share of the workers.
bool Scheduler::areManyQuarantined(Time now) const
{
    std::size_t listed = 0;
    std::size_t quarantined = 0;
    for (const auto &[id, worker] : workers_) {
        if (!worker->listed || worker->hasEnded)
            continue;
        ++listed;
        quarantined += now < worker->quarantinedUntil ? 1 : 0;
    }
    return static_cast<double>(quarantined + 1)
           > settings_.maxQuarantinedShare * static_cast<double>(listed);
}

/// True from the worker's quarantine on until a run has succeeded there.
bool Scheduler::awaitsTrial(const ScheduledWorker &worker) const
{
    return worker.consecutiveFailures >= settings_.failuresToQuarantine;
}

/// Notes that a run has succeeded on the worker.
void Scheduler::countSuccess(ScheduledWorker &worker)
{
    if (awaitsTrial(worker)) {
        markWorkerChanged(worker);
        for (ScheduledTask *task : worker.tasks)
            task->isTrial = false;
    }
    worker.consecutiveFailures = 0;
    worker.quarantineDuration = {};
}

void Scheduler::processActiveRun(ScheduledWorker &worker, const ActiveRun &activeRun, Time now)
{
    ScheduledTask *task = findTask(activeRun.task);
    const bool isCurrent = task && task->progress.phase == TaskPhase::Assigned
                           && task->progress.run == activeRun.run
                           && task->progress.worker == worker.entry.id;
    if (!isCurrent) {
        stops_.push_back({activeRun.task, activeRun.run, worker.entry.id});
        return;
    }
    if (isOfFormerIncarnation(*task)) { // its start order has reached this incarnation
        task->progress.incarnation = worker.entry.incarnation;
        markChanged(*task->job);
    }
    task->lastReportedAt = now;
    task->usage = activeRun.usage;
    if (!activeRun.checkpoint.empty())
        task->progress.checkpoint = activeRun.checkpoint;
    // A long-running task is not finished when it ends: being at work is its success.
    if (task->isTrial && stepOf(*task).longRunning && activeRun.percent == 100)
        countSuccess(worker);
    if (activeRun.percent != task->percent) {
        task->percent = activeRun.percent;
        task->progressChangedAt = now;
    }
    // A former coordinator may have recorded the end of the job without stopping all of its runs.
    if (isFinal(task->job->state) && task->runState != RunState::Stopping) {
        stopRun(*task, now);
        return;
    }
    switch (task->runState) {
    case RunState::StartSent:
    case RunState::StartOutcomeUnknown:
    case RunState::Restored:
        markRunning(*task, now);
        break;
    case RunState::Stopping:
        if (now - task->orderSentAt > StopRetryDelay)
            stopRun(*task, now);
        break;
    case RunState::None:
    case RunState::AwaitingRecord:
    case RunState::Running:
        break;
    }
    noteReported(*task, now);
}

/// Handles runs that are assigned to the worker but missing in its report.
void Scheduler::handleMissingRuns(ScheduledWorker &worker, Time sentAt, Time now)
{
    const std::vector<ScheduledTask *> tasks = worker.tasks; // the loop changes the original
    for (ScheduledTask *task : tasks) {
        if (task->lastReportedAt == now || task->progress.phase != TaskPhase::Assigned)
            continue;
        switch (task->runState) {
        case RunState::None:
        case RunState::AwaitingRecord:
        case RunState::StartSent:
            break;
        case RunState::Running:
            if (sentAt > task->startedAt)
                endRun(*task, RunOutcome::LeaseExpired, {}, now);
            break;
        case RunState::StartOutcomeUnknown:
            // The start order may still arrive. A stop order makes the worker refuse it.
            if (sentAt > task->orderSentAt)
                stopRun(*task, now);
            break;
        case RunState::Restored:
            // The run cannot appear later: the worker now refuses orders of former coordinators.
            endRun(*task, RunOutcome::LeaseExpired, {}, now);
            break;
        case RunState::Stopping:
            if (task->stopConfirmed && sentAt > task->orderSentAt)
                endStoppedRun(worker, *task, now);
            else if (!task->stopConfirmed && now - task->orderSentAt > StopRetryDelay)
                stopRun(*task, now);
            break;
        }
    }
}

void Scheduler::onStartAnswered(const StartOrder &order, StartOutcome outcome, Time now)
{
    if (outcome == StartOutcome::Unknown)
        rememberUnansweredStart(order, now);
    ScheduledTask *task = findTask(order.task);
    const bool isCurrent =
            task && task->progress.phase == TaskPhase::Assigned && task->progress.run == order.run;
    if (!isCurrent && outcome != StartOutcome::Started && outcome != StartOutcome::Unknown)
        withdrawLoss(order);
    if (!isCurrent || task->runState != RunState::StartSent)
        return; // a report or a stop order was processed first
    switch (outcome) {
    case StartOutcome::Started:
        markRunning(*task, now);
        return;
    case StartOutcome::Unknown:
        task->runState = RunState::StartOutcomeUnknown;
        task->orderSentAt = now;
        onUnreachable(order.worker, now);
        return;
    case StartOutcome::NoRoom:
        if (task->worker)
            task->worker->startBackoffUntil = now + settings_.startBackoff;
        break;
    case StartOutcome::OldRun:
    case StartOutcome::Refused:
        break;
    }
    requeueTask(*task, settings_.retryDelay, now);
}

void Scheduler::onStopAnswered(const StopOrder &order, bool stopped, Time now)
{
    const auto worker = workers_.find(order.worker);
    const auto unanswered = unansweredStarts_.find(order.worker);
    if (stopped && worker != workers_.end() && unanswered != unansweredStarts_.end()) {
        for (UnansweredStart &start : unanswered->second) {
            if (start.task == order.task && start.run <= order.run)
                start.refusedBy = worker->second->entry.incarnation;
        }
    }
    ScheduledTask *task = findTask(order.task);
    const bool isCurrent = task && task->progress.phase == TaskPhase::Assigned
                           && task->progress.run == order.run
                           && task->runState == RunState::Stopping;
    if (!isCurrent)
        return;
    // The next report shows whether the run existed. If the order was not confirmed, it is repeated
    // when that report is processed.
    task->stopConfirmed = stopped;
    if (stopped)
        task->orderSentAt = now;
}

void Scheduler::checkWorkers(Time now)
{
    for (auto &[id, worker] : workers_) {
        const bool isSilent = now - worker->lastReport > settings_.maxReportAge;
        const bool hasRuns = !worker->hasEnded && !worker->tasks.empty();
        if (isSilent && hasRuns && now > worker->leaseExpiry) {
            log_({LogLevel::Warning,
                  "worker-lost",
                  "the worker is unreachable and its lease has expired; its runs are treated as "
                  "ended",
                  {{"worker", id.str()},
                   {"runs", std::to_string(worker->tasks.size())},
                   {"listed", worker->listed ? "yes" : "no"}}});
            const bool isReplaced = wasReplaced(*worker);
            loseAllRuns(*worker, isReplaced ? WorkerLoss::Crashed : WorkerLoss::Unreachable, now);
        }
        if (worker->speedFactor < 1)
            updateSpeed(*worker, now);
        if (worker->entry.draining && !isSilent)
            drainWorker(*worker, now);
        // The load estimate of a serving step may change between two reports of this worker,
        // because reports of the step's other workers update it.
        if (!isSilent && now - worker->pacedAt >= settings_.paceInterval)
            paceBestEffortTasks(*worker, now);
    }
}

/// Stops runs on a draining worker that would not finish before it shuts down: long-running ones,
/// and those that can resume elsewhere from a checkpoint.
void Scheduler::drainWorker(ScheduledWorker &worker, Time now)
{
    const std::vector<ScheduledTask *> tasks = worker.tasks;
    for (ScheduledTask *task : tasks) {
        if (task->runState != RunState::Running)
            continue;
        const StepSpec &step = stepOf(*task);
        const Duration remaining = step.estimate - (now - task->startedAt);
        if (step.longRunning || (step.checkpointing && remaining > worker.entry.minRemainingTime))
            stopRun(*task, now);
    }
}

void Scheduler::stopStalledRuns(ScheduledWorker &worker, Time now)
{
    for (ScheduledTask *task : std::vector<ScheduledTask *>(worker.tasks)) {
        const StepSpec &step = stepOf(*task);
        if (task->runState != RunState::Running || step.longRunning || step.gang
            || task->pace < 100)
            continue;
        const auto estimateLimit =
                std::chrono::duration_cast<Duration>(step.estimate * settings_.stallFactor / 10);
        if (now - task->progressChangedAt < std::max(settings_.minStallDuration, estimateLimit))
            continue;
        log_({LogLevel::Warning,
              "run-stalled",
              "the run reports no progress; it is stopped and the task is queued again",
              {{"job", task->ref.job.str()},
               {"worker", worker.entry.id.str()},
               {"percent", std::to_string(task->percent)}}});
        updateQuarantine(worker, task->ref.job, RunOutcome::Failed, now);
        task->failedOn.push_back(worker.entry.id);
        stopRun(*task, now);
    }
}

std::uint64_t Scheduler::acknowledgeablePosition(const WorkerId &id) const
{
    const auto it = workers_.find(id);
    if (it == workers_.end())
        return 0;
    ScheduledWorker &worker = *it->second;
    while (!worker.pendingAcknowledgements.empty()) {
        const PendingAcknowledgement &pending = worker.pendingAcknowledgements.front();
        const auto job = jobs_.find(pending.job);
        if (job != jobs_.end() && job->second->savedVersion < pending.version)
            break;
        worker.acknowledgedPosition = pending.position;
        worker.pendingAcknowledgements.pop_front();
    }
    return worker.acknowledgedPosition;
}

bool Scheduler::hasPendingAcknowledgements(const WorkerId &id) const
{
    acknowledgeablePosition(id); // removes those whose records are stored
    const auto it = workers_.find(id);
    return it != workers_.end() && !it->second->pendingAcknowledgements.empty();
}

} // namespace monsoonledge
