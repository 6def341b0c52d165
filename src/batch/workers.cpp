// BatchScheduler: orders to workers, their reports, lease expiry, throttling and eviction.

#include "batch/batch.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr int ThrottledPercent = 50;
constexpr int MaxRenewFailures = 2;
// Throttling ends when use falls this far below the throttling guard. The gap prevents a task from
// alternating between full and throttled speed.
constexpr double ThrottleHysteresis = 0.1;
constexpr Duration EvictionPeriod = minutes(1);

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
    workersPort_.order(host.address, order,
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
    for (auto item = toStart_.begin(); item != toStart_.end();) {
        BatchTask &task = state_.tasks.at(*item);
        if (!isDurable(task)) {
            ++item;
            continue;
        }
        item = toStart_.erase(item);
        if (const BatchJob *job = sheet_.findJob(task.job))
            start(task, *job, now);
        else
            requeue(task, "the job was removed from the sheet before the task was started");
    }
}

void BatchScheduler::start(BatchTask &task, const BatchJob &job, Time now)
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
    task.leaseSent = now;
    sendOrder(task, message,
              [this](BatchTask &found, OrderStatus status, const std::string &, Time at) {
                  if (found.state != TaskState::Claimed)
                      return;
                  if (status == OrderStatus::Ok) {
                      found.state = TaskState::Running;
                      found.runningSince = at;
                      found.nextRenew = found.leaseSent + settings_.lease / 3;
                      markChanged(found);
                      log(LogLevel::Info, "task-started", found, "the worker confirmed the start");
                  } else if (status == OrderStatus::Refused) {
                      requeue(found, "the worker refused to start the task");
                  }
                  // Without a response the outcome is unknown until a report or the lease expiry.
              });
}

void BatchScheduler::renew(Time now)
{
    for (const TaskId &id : active_) {
        BatchTask &task = state_.tasks.at(id);
        // A worker whose responses are lost may still receive renewals. The leader stops sending
        // them after repeated failures, so that the lease expires unless a report shows the task.
        const bool silent = task.renewFailures >= MaxRenewFailures;
        if (task.state != TaskState::Running || now < task.nextRenew || silent)
            continue;
        task.nextRenew = now + settings_.lease / 3;
        task.leaseSent = now;
        TaskOrder message;
        message.task = task.id;
        message.generation = task.generation;
        message.command = TaskCommand::Renew;
        message.lease = settings_.lease;
        sendOrder(task, message,
                  [](BatchTask &found, OrderStatus status, const std::string &, Time) {
                      found.renewFailures = status == OrderStatus::Ok ? 0 : found.renewFailures + 1;
                  });
    }
}

void BatchScheduler::requestReports(Time now)
{
    for (auto &item : workers_) {
        Worker &worker = item.second;
        if (worker.reporting || now < worker.nextReport || worker.host.id.isEmpty())
            continue;
        worker.reporting = true;
        worker.requestedAt = now;
        worker.nextReport = now + settings_.reportInterval;
        const HostId id = item.first;
        workersPort_.report(worker.host.address,
                            [this, id](const WorkerReport &report, Time later) {
                                reported(id, report, later);
                            });
    }
}

void BatchScheduler::reported(const HostId &id, const WorkerReport &report, Time now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
        return;
    Worker &worker = found->second;
    worker.reporting = false;
    if (!report.ok || !leading_ || !loaded_)
        return;
    worker.report = report;
    worker.reportedAt = now;
    worker.startsSinceReport = 0;
    std::set<TaskId> seen;
    for (const WorkerTask &task : report.tasks) {
        if (findTask(task.task, task.generation))
            seen.insert(task.task);
        taskReported(worker, task, now);
    }
    const std::set<TaskId> tasks = worker.tasks;
    for (const TaskId &taskId : tasks) {
        BatchTask &task = state_.tasks.at(taskId);
        // A report requested before the start was confirmed may not contain the task yet.
        const bool expected = task.state == TaskState::Running
                              && worker.requestedAt > task.runningSince
                              && task.runningSince > Time();
        const bool unseen = seen.count(taskId) == 0;
        if (unseen && (expected || leaseEndedBefore(task, worker.requestedAt)))
            requeue(task, "the worker's report does not contain the task");
    }
    relieve(worker, now);
    updateCapacity(worker, now);
}

void BatchScheduler::taskReported(Worker &worker, const WorkerTask &seen, Time now)
{
    BatchTask *task = findTask(seen.task, seen.generation);
    const bool ours = task && task->worker == worker.host.id
                      && (task->state == TaskState::Claimed || task->state == TaskState::Running
                          || task->state == TaskState::Evicting);
    if (!ours) {
        if (seen.state == WorkerTaskState::Running) {
            // A start by a previous leader, or a run that has been requeued meanwhile. It is
            // stopped, because the task may be started on another worker.
            BatchTask stale;
            stale.id = seen.task;
            stale.generation = seen.generation;
            stale.worker = worker.host.id;
            stop(stale);
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
        task->renewFailures = 0;
        if (task->state == TaskState::Claimed) {
            task->state = TaskState::Running;
            task->nextRenew = now;
            markChanged(*task);
        }
        if (task->runningSince == Time())
            task->runningSince = now;
        return;
    case WorkerTaskState::Done:
        log(LogLevel::Info, "task-done", *task, "the task finished");
        detach(*task);
        task->state = TaskState::Done;
        worker.failures.clear();
        worker.ejected = false;
        markChanged(*task);
        return;
    case WorkerTaskState::Failed:
        taskFailed(*task, worker, now);
        return;
    case WorkerTaskState::Stopped:
        // While an eviction is in progress, the response to its stop order requeues the task with
        // the newest checkpoint; a report does so only after the lease has expired.
        if (task->state != TaskState::Evicting || leaseEndedBefore(*task, now))
            requeue(*task, "the worker reported the task as stopped");
        return;
    }
}

void BatchScheduler::taskFailed(BatchTask &task, Worker &worker, Time now)
{
    task.failedOn.insert(worker.host.id);
    countFailure(task.id, worker, now);
    if (static_cast<int>(task.failedOn.size()) >= MaxTaskFailures) {
        log(LogLevel::Warning, "task-failed", task,
            "the task failed on too many different workers and is not started again");
        detach(task);
        task.state = TaskState::Failed;
        markChanged(task);
    } else {
        requeue(task, "the task failed on the worker");
    }
}

void BatchScheduler::countFailure(const TaskId &task, Worker &worker, Time now)
{
    worker.failures.insert(task);
    const auto ejected = std::count_if(workers_.begin(), workers_.end(),
                                       [](const auto &item) { return item.second.ejected; });
    const double limit = settings_.maxEjected * static_cast<double>(workers_.size());
    const bool bad = static_cast<int>(worker.failures.size()) >= settings_.failuresToEject;
    if (bad && !worker.ejected && static_cast<double>(ejected + 1) <= limit) {
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

bool BatchScheduler::leaseEndedBefore(const BatchTask &task, Time time) const
{
    // A task whose start has not been sent has no lease yet.
    return toStart_.count(task.id) == 0
           && time >= task.leaseSent + settings_.lease + settings_.leaseMargin;
}

void BatchScheduler::expireLeases(Time now)
{
    const std::set<TaskId> active = active_;
    for (const TaskId &id : active) {
        BatchTask &task = state_.tasks.at(id);
        if (!leaseEndedBefore(task, now))
            continue;
        // The task no longer runs, but it may have finished before the lease expired. Only an
        // idempotent task may run again without a report from the worker; others wait until the
        // worker counts as dead.
        const BatchJob *job = sheet_.findJob(task.job);
        const Worker &worker = workers_.at(task.worker);
        const bool gone = !worker.listed && now >= worker.unlistedSince + settings_.hostGone;
        if (gone || (job && job->idempotent))
            requeue(task, "the task's lease on the worker expired");
    }
}

BatchTask *BatchScheduler::firstToYield(const Worker &worker, bool skipThrottled)
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

void BatchScheduler::relieve(Worker &worker, Time now)
{
    const auto part = [](std::uint64_t used, std::uint64_t total) {
        return total == 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(total);
    };
    const double use = std::max(part(worker.report.usedCores.value, worker.host.cores.value),
                                part(worker.report.usedMemory.value, worker.host.memory.value));
    if (use >= sheet_.guards.evictAt) {
        if (BatchTask *task = firstToYield(worker, false))
            evict(*task, now);
    } else if (use >= sheet_.guards.throttleAt) {
        if (BatchTask *task = firstToYield(worker, true))
            setThrottle(*task, true);
    } else if (use < sheet_.guards.throttleAt - ThrottleHysteresis) {
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

void BatchScheduler::evict(BatchTask &task, Time now)
{
    evictions_.erase(std::remove_if(evictions_.begin(), evictions_.end(),
                                    [now](Time at) { return now - at >= EvictionPeriod; }),
                     evictions_.end());
    if (static_cast<int>(evictions_.size()) >= sheet_.guards.maxEvictionsPerMinute)
        return;
    evictions_.push_back(now);
    task.state = TaskState::Evicting;
    ++task.evictions;
    toEvict_.insert(task.id);
    markChanged(task);
    log(LogLevel::Info, "task-evicted", task,
        "the worker's use of cores or memory reached the eviction guard");
}

void BatchScheduler::sendEvictions(Time)
{
    for (auto item = toEvict_.begin(); item != toEvict_.end();) {
        BatchTask &task = state_.tasks.at(*item);
        if (!isDurable(task)) {
            ++item;
            continue;
        }
        item = toEvict_.erase(item);
        TaskOrder message;
        message.task = task.id;
        message.generation = task.generation;
        message.command = TaskCommand::Checkpoint;
        sendOrder(task, message,
                  [this](BatchTask &found, OrderStatus, const std::string &checkpoint, Time) {
                      // Without a new checkpoint, the task resumes from the last reported one.
                      if (!checkpoint.empty())
                          found.checkpoint = checkpoint;
                      stop(found);
                  });
    }
}

void BatchScheduler::stop(BatchTask &task)
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
