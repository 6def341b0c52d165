#include "batch/batch.h"

#include <nlohmann/json.hpp>

namespace monsoonledge {

namespace {

using Json = nlohmann::json;

constexpr Duration LoadRetryDelay = milliseconds(500);

TaskState taskStateFromName(const std::string &name)
{
    for (const TaskState state : {TaskState::Queued, TaskState::Claimed, TaskState::Running,
                                  TaskState::Evicting, TaskState::Done, TaskState::Failed}) {
        if (name == taskStateName(state))
            return state;
    }
    throw std::runtime_error("cannot decode the batch state: unknown task state '" + name + "'");
}

std::string batchKey(const DomainId &domain)
{
    return "batch/" + domain.str();
}

bool isActive(TaskState state)
{
    return state == TaskState::Claimed || state == TaskState::Running
           || state == TaskState::Evicting;
}

} // namespace

const char *taskStateName(TaskState state)
{
    switch (state) {
    case TaskState::Queued:
        return "queued";
    case TaskState::Claimed:
        return "claimed";
    case TaskState::Running:
        return "running";
    case TaskState::Evicting:
        return "evicting";
    case TaskState::Done:
        return "done";
    case TaskState::Failed:
        return "failed";
    }
    return "queued";
}

std::string encodeBatchState(const BatchState &state)
{
    Json tasks = Json::array();
    for (const auto &item : state.tasks) {
        const BatchTask &task = item.second;
        Json json{{"id", task.id.str()},
                  {"job", task.job},
                  {"state", taskStateName(task.state)},
                  {"generation", task.generation.value}};
        if (!task.worker.isEmpty())
            json["worker"] = task.worker.str();
        if (!task.checkpoint.empty())
            json["checkpoint"] = task.checkpoint;
        if (task.evictions > 0)
            json["evictions"] = task.evictions;
        for (const HostId &host : task.failedOn)
            json["failedOn"].push_back(host.str());
        tasks.push_back(std::move(json));
    }
    return Json{{"writer", state.writer}, {"changes", state.changes}, {"tasks", std::move(tasks)}}
            .dump();
}

BatchState decodeBatchState(const std::string &text)
{
    BatchState state;
    try {
        const Json json = Json::parse(text);
        state.writer = json.at("writer").get<std::string>();
        state.changes = json.at("changes").get<std::uint64_t>();
        for (const Json &item : json.at("tasks")) {
            BatchTask task;
            task.id = TaskId(item.at("id").get<std::string>());
            task.job = item.at("job").get<std::string>();
            task.state = taskStateFromName(item.at("state").get<std::string>());
            task.generation.value = item.at("generation").get<std::uint64_t>();
            task.worker = HostId(item.value("worker", ""));
            task.checkpoint = item.value("checkpoint", "");
            task.evictions = item.value("evictions", 0);
            for (const Json &host : item.value("failedOn", Json::array()))
                task.failedOn.insert(HostId(host.get<std::string>()));
            state.tasks.emplace(task.id, task);
        }
    } catch (const Json::exception &error) {
        throw std::runtime_error(std::string("cannot decode the batch state: ") + error.what());
    }
    return state;
}

void CapacityIndex::set(const HostId &worker, const Capacity &free)
{
    erase(worker);
    free_[worker] = free;
    byFreeCores_.emplace(free.milliCores, worker);
}

void CapacityIndex::erase(const HostId &worker)
{
    const auto found = free_.find(worker);
    if (found == free_.end())
        return;
    byFreeCores_.erase({found->second.milliCores, worker});
    free_.erase(found);
}

std::vector<HostId> CapacityIndex::findCandidates(const Capacity &need, std::size_t limit) const
{
    std::vector<HostId> result;
    // Workers with enough cores may lack memory or accelerators. The bound on examined workers
    // limits the cost when many do.
    std::size_t examined = 0;
    for (auto item = byFreeCores_.lower_bound({need.milliCores, HostId()});
         item != byFreeCores_.end() && result.size() < limit && examined < 4 * limit;
         ++item, ++examined) {
        if (free_.at(item->second).fits(need))
            result.push_back(item->second);
    }
    return result;
}

const Capacity *CapacityIndex::find(const HostId &worker) const
{
    const auto found = free_.find(worker);
    return found == free_.end() ? nullptr : &found->second;
}

BatchScheduler::BatchScheduler(BatchSettings settings, StorePort &store, WorkerPort &workers,
                               TimerPort &timers, LogHook log)
    : settings_(std::move(settings)), store_(store), workerPort_(workers), timers_(timers),
      log_(std::move(log))
{ }

void BatchScheduler::log(LogLevel level, const char *event, const BatchTask &task,
                         const std::string &message) const
{
    if (!log_)
        return;
    log_({level,
          event,
          message,
          {{"task", task.id.str()},
           {"generation", std::to_string(task.generation.value)},
           {"worker", task.worker.str()}}});
}

void BatchScheduler::becomeLeader(Time now)
{
    if (leading_)
        return;
    leading_ = true;
    stateLoaded_ = false;
    ++epoch_;
    loadState(now);
}

void BatchScheduler::resign(Time)
{
    leading_ = false;
    stateLoaded_ = false;
    ++epoch_;
}

void BatchScheduler::loadState(Time)
{
    const std::uint64_t epoch = epoch_;
    store_.get(batchKey(settings_.domain), [this, epoch](const StoreValue &value, Time now) {
        if (epoch == epoch_)
            applyLoadedState(value, now);
    });
}

void BatchScheduler::applyLoadedState(const StoreValue &value, Time now)
{
    if (value.status != StoreStatus::Ok && value.status != StoreStatus::NotFound) {
        const std::uint64_t epoch = epoch_;
        timers_.after(LoadRetryDelay, [this, epoch](Time later) {
            if (epoch == epoch_)
                loadState(later);
        });
        return;
    }
    try {
        state_ = value.status == StoreStatus::Ok ? decodeBatchState(value.value) : BatchState();
    } catch (const std::runtime_error &error) {
        // An empty state would run finished tasks again. The leader therefore schedules nothing
        // until an operator has repaired the record and a process starts to lead again.
        if (log_)
            log_({LogLevel::Error, "batch-state-unreadable", error.what(), {}});
        return;
    }
    version_ = value.status == StoreStatus::Ok ? value.version : Version();
    changes_ = durableChanges_ = state_.changes;
    changeNumbers_.clear();
    startsToSend_.clear();
    evictionsToSend_.clear();
    activeTasks_.clear();
    queuedTasks_.clear();
    for (auto &item : workers_)
        item.second.tasks.clear();
    for (auto &item : state_.tasks) {
        BatchTask &task = item.second;
        if (task.state == TaskState::Queued)
            queuedTasks_.insert(task.id);
        if (!isActive(task.state))
            continue;
        activeTasks_.insert(task.id);
        workers_[task.worker].tasks.insert(task.id);
        // The previous leader may have sent a start or a renewal just before, so the lease is
        // counted from now.
        task.leaseSentAt = now;
        task.nextRenewal = now;
        if (task.state == TaskState::Evicting)
            evictionsToSend_.insert(task.id);
    }
    stateLoaded_ = true;
    if (!sheet_.name.empty())
        dropObsoleteTasks();
    createTasks();
}

void BatchScheduler::createTasks()
{
    if (!stateLoaded_)
        return;
    for (const BatchJob &job : sheet_.jobs) {
        for (int index = 0; index < job.count; ++index) {
            const TaskId id(sheet_.name + '.' + job.name + '.' + std::to_string(index));
            const bool assignedHere = rendezvous(id.str(), settings_.domains) == settings_.domain;
            if (!assignedHere || state_.tasks.count(id) > 0)
                continue;
            BatchTask &task = state_.tasks[id];
            task.id = id;
            task.job = job.name;
            queuedTasks_.insert(id);
            markChanged(task);
        }
    }
}

void BatchScheduler::dropObsoleteTasks()
{
    const std::string prefix = sheet_.name + '.';
    for (auto item = state_.tasks.begin(); item != state_.tasks.end();) {
        const BatchTask &task = item->second;
        const bool ofThisSheet = task.id.str().rfind(prefix, 0) == 0;
        const bool ended = task.state == TaskState::Done || task.state == TaskState::Failed;
        const bool jobMissing = task.state == TaskState::Queued && !sheet_.findJob(task.job);
        if (ofThisSheet || (!ended && !jobMissing)) {
            ++item;
            continue;
        }
        if (jobMissing)
            log(LogLevel::Warning, "task-dropped", task,
                "the queued task is dropped: the sheet in force does not contain its job");
        queuedTasks_.erase(task.id);
        changeNumbers_.erase(task.id);
        ++changes_;
        item = state_.tasks.erase(item);
    }
}

void BatchScheduler::applySheet(const Sheet &sheet, Time)
{
    sheet_ = sheet;
    if (!stateLoaded_)
        return;
    dropObsoleteTasks();
    createTasks();
}

void BatchScheduler::markChanged(const BatchTask &task)
{
    changeNumbers_[task.id] = ++changes_;
}

bool BatchScheduler::isDurable(const BatchTask &task) const
{
    const auto found = changeNumbers_.find(task.id);
    return found == changeNumbers_.end() || found->second <= durableChanges_;
}

void BatchScheduler::writeState(Time now)
{
    if (writeInFlight_ || changes_ == durableChanges_ || now < nextWrite_)
        return;
    writeInFlight_ = true;
    nextWrite_ = now + settings_.writeInterval;
    state_.writer = settings_.self.str();
    state_.changes = changes_;
    const std::uint64_t written = changes_;
    const std::uint64_t epoch = epoch_;
    store_.compareAndSwap(batchKey(settings_.domain), version_, encodeBatchState(state_),
                          [this, written, epoch](const StoreValue &value, Time) {
                              writeInFlight_ = false;
                              if (epoch != epoch_)
                                  return;
                              if (value.status == StoreStatus::Ok) {
                                  version_ = value.version;
                                  durableChanges_ = written;
                              } else if (value.status != StoreStatus::Refused) {
                                  resolveUncertainWrite();
                              }
                          });
}

void BatchScheduler::resolveUncertainWrite()
{
    writeInFlight_ = true;
    const std::uint64_t epoch = epoch_;
    store_.get(batchKey(settings_.domain), [this, epoch](const StoreValue &value, Time now) {
        writeInFlight_ = false;
        if (epoch != epoch_)
            return;
        if (value.status == StoreStatus::NotFound) {
            version_ = Version();
            return;
        }
        if (value.status != StoreStatus::Ok || value.version == version_)
            return; // the next write expects the same version, so at most one of the two applies
        try {
            const BatchState found = decodeBatchState(value.value);
            if (found.writer == settings_.self.str()) {
                version_ = value.version;
                durableChanges_ = found.changes;
                return;
            }
        } catch (const std::runtime_error &) {
            version_ = value.version;
        }
        if (log_)
            log_({LogLevel::Error,
                  "batch-leader-replaced",
                  "another process wrote the batch state; this process resigns as batch leader",
                  {}});
        resign(now);
    });
}

void BatchScheduler::removeFromWorker(BatchTask &task)
{
    const auto worker = workers_.find(task.worker);
    if (worker != workers_.end())
        worker->second.tasks.erase(task.id);
    activeTasks_.erase(task.id);
    startsToSend_.erase(task.id);
    evictionsToSend_.erase(task.id);
}

void BatchScheduler::requeue(BatchTask &task, const char *cause)
{
    log(LogLevel::Info, "task-requeued", task, cause);
    removeFromWorker(task);
    task.state = TaskState::Queued;
    ++task.generation.value;
    task.worker = HostId();
    task.throttled = false;
    task.progress = Duration::zero();
    task.progressAtCheckpoint = Duration::zero();
    queuedTasks_.insert(task.id);
    markChanged(task);
}

BatchTask *BatchScheduler::findTask(const TaskId &id, Generation generation)
{
    const auto found = state_.tasks.find(id);
    const bool matches = found != state_.tasks.end() && found->second.generation == generation;
    return matches ? &found->second : nullptr;
}

void BatchScheduler::tick(Time now)
{
    if (!leading_ || !stateLoaded_)
        return;
    requestReports(now);
    expireLeases(now);
    placeQueuedTasks(now);
    writeState(now);
    sendStarts(now);
    sendEvictions(now);
    sendRenewals(now);
}

std::map<TaskState, int> BatchScheduler::counts() const
{
    std::map<TaskState, int> counts;
    for (const auto &item : state_.tasks)
        ++counts[item.second.state];
    return counts;
}

} // namespace monsoonledge
