// BatchScheduler: orders to workers, their reports, lease expiry, throttling and eviction.

#include "batch/batch.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr int ThrottledPercent = 50;
constexpr int MaxFailedRenewals = 2;
// Throttling ends when use falls this far below the throttling guard. The gap prevents a task from
// alternating between full and throttled speed.
constexpr double ThrottleHysteresis = 0.1;
constexpr Duration EvictionRateWindow = minutes(1);

} // namespace

void BatchScheduler::sendOrder(
        const BatchTask &task, const TaskOrder &order,
        std::function<void(BatchTask &, OrderStatus, const std::string &, Time)> done)
{
    const HostInfo &host = workers_.at(task.worker).host;
    if (host.id.isEmpty())
        return; // no address until the worker is listed; lease expiry ends the run
    const TaskId id = task.id;
    const Generation generation = task.generation;
    const std::uint64_t epoch = epoch_;
    ++ordersInFlight_;
    workerPort_.order(host.address, order,
                      [this, id, generation, epoch, done = std::move(done)](
                              OrderStatus status, const std::string &checkpoint, Time now) {
                          --ordersInFlight_;
                          BatchTask *found = findTask(id, generation);
                          if (epoch == epoch_ && found)
                              done(*found, status, checkpoint, now);
                      });
}

void BatchScheduler::sendStarts(Time now)
{
    for (auto item = startsToSend_.begin(); item != startsToSend_.end();) {
        BatchTask &task = state_.tasks.at(*item);
        if (!isDurable(task)) {
            ++item;
            continue;
        }
        item = startsToSend_.erase(item);
        if (const BatchJob *job = sheet_.findJob(task.job))
            sendStart(task, *job, now);
        else
            requeue(task, "the job was removed from the sheet before the task was started");
    }
}

void BatchScheduler::sendStart(BatchTask &task, const BatchJob &job, Time now)
{
    TaskOrder message;
    message.task = task.id;
    message.generation = task.generation;
    message.command = TaskCommand::Start;
    message.lease = settings_.lease;
    message.cores = job.cores;
    message.memory = job.memory;
    message.accelerators = job.accelerators;
    message.runTime = job.runTime;
    message.checkpoint = task.checkpoint;
    task.leaseSentAt = now;
    sendOrder(task, message,
              [this](BatchTask &found, OrderStatus status, const std::string &, Time at) {
                  if (found.state != TaskState::Claimed)
                      return;
                  if (status == OrderStatus::Ok) {
                      found.state = TaskState::Running;
                      found.runningSince = at;
                      found.nextRenewal = found.leaseSentAt + settings_.lease / 3;
                      markChanged(found);
                      log(LogLevel::Info, "task-started", found, "the worker confirmed the start");
                  } else if (status == OrderStatus::Refused) {
                      requeue(found, "the worker refused to start the task");
                  }
                  // Without a response the outcome is unknown until a report or the lease expiry.
              });
}

void BatchScheduler::sendRenewals(Time now)
{
    for (const TaskId &id : activeTasks_) {
        BatchTask &task = state_.tasks.at(id);
        // A worker whose responses are lost may still receive renewals. The leader stops sending
        // them after repeated failures, so that the lease expires unless a report shows the task.
        const bool unresponsive = task.failedRenewals >= MaxFailedRenewals;
        if (task.state != TaskState::Running || now < task.nextRenewal || unresponsive)
            continue;
        task.nextRenewal = now + settings_.lease / 3;
        task.leaseSentAt = now;
        TaskOrder message;
        message.task = task.id;
        message.generation = task.generation;
        message.command = TaskCommand::Renew;
        message.lease = settings_.lease;
        sendOrder(
                task, message, [](BatchTask &found, OrderStatus status, const std::string &, Time) {
                    found.failedRenewals = status == OrderStatus::Ok ? 0 : found.failedRenewals + 1;
                });
    }
}

void BatchScheduler::requestReports(Time now)
{
    for (auto &item : workers_) {
        Worker &worker = item.second;
        if (worker.reportInFlight || now < worker.nextReport || worker.host.id.isEmpty())
            continue;
        worker.reportInFlight = true;
        worker.reportRequestedAt = now;
        worker.nextReport = now + settings_.reportInterval;
        const HostId id = item.first;
        workerPort_.report(worker.host.address, [this, id](const WorkerReport &report, Time later) {
            applyReport(id, report, later);
        });
    }
}

void BatchScheduler::applyReport(const HostId &id, const WorkerReport &report, Time now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
        return;
    Worker &worker = found->second;
    worker.reportInFlight = false;
    if (!report.ok || !leading_ || !stateLoaded_)
        return;
    worker.report = report;
    worker.reportedAt = now;
    worker.startsSinceReport = 0;
    std::set<TaskId> seen;
    for (const WorkerTask &task : report.tasks) {
        if (findTask(task.task, task.generation))
            seen.insert(task.task);
        applyTaskReport(worker, task, now);
    }
    const std::set<TaskId> tasks = worker.tasks;
    for (const TaskId &taskId : tasks) {
        BatchTask &task = state_.tasks.at(taskId);
        // A report requested before the start was confirmed may not contain the task yet.
        const bool expected = task.state == TaskState::Running
                              && worker.reportRequestedAt > task.runningSince
                              && task.runningSince > Time();
        const bool unseen = seen.count(taskId) == 0;
        if (unseen && (expected || leaseExpiredBy(task, worker.reportRequestedAt)))
            requeue(task, "the worker's report does not contain the task");
    }
    applyGuards(worker, now);
    updateCapacity(worker, now);
}

void BatchScheduler::applyTaskReport(Worker &worker, const WorkerTask &seen, Time now)
{
    BatchTask *task = findTask(seen.task, seen.generation);
    const bool isCurrent =
            task && task->worker == worker.host.id
            && (task->state == TaskState::Claimed || task->state == TaskState::Running
                || task->state == TaskState::Evicting);
    if (!isCurrent) {
        if (seen.state == WorkerTaskState::Running) {
            // A start by a previous leader, or a run that has been requeued meanwhile. It is
            // stopped, because the task may be started on another worker.
            BatchTask stale;
            stale.id = seen.task;
            stale.generation = seen.generation;
            stale.worker = worker.host.id;
            sendStop(stale);
        }
        return;
    }
    if (!seen.checkpoint.empty() && seen.checkpoint != task->checkpoint) {
        task->checkpoint = seen.checkpoint;
        task->progressAtCheckpoint = seen.progress;
        markChanged(*task);
    }
    task->progress = seen.progress;
    switch (seen.state) {
    case WorkerTaskState::Running:
        task->failedRenewals = 0;
        if (task->state == TaskState::Claimed) {
            task->state = TaskState::Running;
            task->nextRenewal = now;
            markChanged(*task);
        }
        if (task->runningSince == Time())
            task->runningSince = now;
        return;
    case WorkerTaskState::Done:
        log(LogLevel::Info, "task-done", *task, "the task finished");
        removeFromWorker(*task);
        task->state = TaskState::Done;
        worker.failedTasks.clear();
        worker.ejected = false;
        markChanged(*task);
        return;
    case WorkerTaskState::Failed:
        recordTaskFailure(*task, worker, now);
        return;
    case WorkerTaskState::Stopped:
        // While an eviction is in progress, the response to its stop order requeues the task with
        // the newest checkpoint; a report does so only after the lease has expired.
        if (task->state != TaskState::Evicting || leaseExpiredBy(*task, now))
            requeue(*task, "the worker reported the task as stopped");
        return;
    }
}

void BatchScheduler::recordTaskFailure(BatchTask &task, Worker &worker, Time now)
{
    task.failedOn.insert(worker.host.id);
    recordWorkerFailure(task.id, worker, now);
    if (static_cast<int>(task.failedOn.size()) >= MaxTaskFailures) {
        log(LogLevel::Warning, "task-failed", task,
            "the task failed on too many different workers and is not started again");
        removeFromWorker(task);
        task.state = TaskState::Failed;
        markChanged(task);
    } else {
        requeue(task, "the task failed on the worker");
    }
}

void BatchScheduler::recordWorkerFailure(const TaskId &task, Worker &worker, Time now)
{
    worker.failedTasks.insert(task);
    const auto ejected = std::count_if(workers_.begin(), workers_.end(),
                                       [](const auto &item) { return item.second.ejected; });
    const double limit = settings_.maxEjectedFraction * static_cast<double>(workers_.size());
    const bool tooManyFailures =
            static_cast<int>(worker.failedTasks.size()) >= settings_.failuresToEject;
    if (tooManyFailures && !worker.ejected && static_cast<double>(ejected + 1) <= limit) {
        worker.ejected = true;
        worker.probeAt = now + settings_.probeInterval;
        if (log_)
            log_({LogLevel::Warning,
                  "worker-ejected",
                  "different tasks failed in a row on the worker; until one succeeds there, only "
                  "idempotent tasks are placed on it",
                  {{"worker", worker.host.id.str()}}});
    }
}

bool BatchScheduler::leaseExpiredBy(const BatchTask &task, Time time) const
{
    // A task whose start has not been sent has no lease yet.
    return startsToSend_.count(task.id) == 0
           && time >= task.leaseSentAt + settings_.lease + settings_.leaseMargin;
}

void BatchScheduler::expireLeases(Time now)
{
    const std::set<TaskId> active = activeTasks_;
    for (const TaskId &id : active) {
        BatchTask &task = state_.tasks.at(id);
        if (!leaseExpiredBy(task, now))
            continue;
        // The task no longer runs, but it may have finished before the lease expired. Only an
        // idempotent task may run again without a report from the worker; others wait until the
        // worker counts as dead.
        const BatchJob *job = sheet_.findJob(task.job);
        const Worker &worker = workers_.at(task.worker);
        const bool workerDead = !worker.listed && now >= worker.unlistedSince + settings_.hostGone;
        if (workerDead || (job && job->idempotent))
            requeue(task, "the task's lease on the worker expired");
    }
}

BatchTask *BatchScheduler::selectTaskToYield(const Worker &worker, bool skipThrottled)
{
    BatchTask *first = nullptr;
    for (const TaskId &id : worker.tasks) {
        BatchTask &task = state_.tasks.at(id);
        if (task.state != TaskState::Running || (skipThrottled && task.throttled))
            continue;
        const auto key = [this](const BatchTask &item) {
            return std::make_pair(yieldRank(item.job), item.progress - item.progressAtCheckpoint);
        };
        if (!first || key(task) < key(*first))
            first = &task;
    }
    return first;
}

void BatchScheduler::applyGuards(Worker &worker, Time now)
{
    const auto fraction = [](std::uint64_t used, std::uint64_t total) {
        return total == 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(total);
    };
    const double utilization =
            std::max(fraction(worker.report.usedCores.value, worker.host.cores.value),
                     fraction(worker.report.usedMemory.value, worker.host.memory.value));
    if (utilization >= sheet_.guards.evictAt) {
        if (BatchTask *task = selectTaskToYield(worker, false))
            beginEviction(*task, now);
    } else if (utilization >= sheet_.guards.throttleAt) {
        if (BatchTask *task = selectTaskToYield(worker, true))
            setThrottle(*task, true);
    } else if (utilization < sheet_.guards.throttleAt - ThrottleHysteresis) {
        const auto throttled =
                std::find_if(worker.tasks.begin(), worker.tasks.end(),
                             [this](const TaskId &id) { return state_.tasks.at(id).throttled; });
        if (throttled != worker.tasks.end())
            setThrottle(state_.tasks.at(*throttled), false);
    }
}

void BatchScheduler::setThrottle(BatchTask &task, bool throttled)
{
    task.throttled = throttled;
    TaskOrder message;
    message.task = task.id;
    message.generation = task.generation;
    message.command = TaskCommand::Throttle;
    message.throttlePercent = throttled ? ThrottledPercent : 100;
    sendOrder(task, message, [](BatchTask &, OrderStatus, const std::string &, Time) {});
}

void BatchScheduler::beginEviction(BatchTask &task, Time now)
{
    recentEvictions_.erase(
            std::remove_if(recentEvictions_.begin(), recentEvictions_.end(),
                           [now](Time at) { return now - at >= EvictionRateWindow; }),
            recentEvictions_.end());
    if (static_cast<int>(recentEvictions_.size()) >= sheet_.guards.maxEvictionsPerMinute)
        return;
    recentEvictions_.push_back(now);
    task.state = TaskState::Evicting;
    ++task.evictions;
    evictionsToSend_.insert(task.id);
    markChanged(task);
    log(LogLevel::Info, "task-evicted", task,
        "the worker's use of cores or memory reached the eviction guard");
}

void BatchScheduler::sendEvictions(Time)
{
    for (auto item = evictionsToSend_.begin(); item != evictionsToSend_.end();) {
        BatchTask &task = state_.tasks.at(*item);
        if (!isDurable(task)) {
            ++item;
            continue;
        }
        item = evictionsToSend_.erase(item);
        TaskOrder message;
        message.task = task.id;
        message.generation = task.generation;
        message.command = TaskCommand::Checkpoint;
        sendOrder(task, message,
                  [this](BatchTask &found, OrderStatus, const std::string &checkpoint, Time) {
                      // Without a new checkpoint, the task resumes from the last reported one.
                      if (!checkpoint.empty())
                          found.checkpoint = checkpoint;
                      sendStop(found);
                  });
    }
}

void BatchScheduler::sendStop(BatchTask &task)
{
    TaskOrder message;
    message.task = task.id;
    message.generation = task.generation;
    message.command = TaskCommand::Stop;
    sendOrder(task, message,
              [this](BatchTask &found, OrderStatus status, const std::string &checkpoint, Time) {
                  if (found.state != TaskState::Evicting || status != OrderStatus::Ok)
                      return; // a later report or the lease expiry ends the eviction
                  if (!checkpoint.empty())
                      found.checkpoint = checkpoint;
                  requeue(found, "evicted");
              });
}

} // namespace monsoonledge
