// Batch tasks of one failure domain: states, placement on workers, worker leases, eviction.
//
// Only the domain's batch leader runs a scheduler: the owner of share unit 0. All state is one
// value in the store; every step that must not happen twice is written before the worker is told.
//
// Sections:
//   [1] Tasks
//   [2] Capacity index
//   [3] Scheduler
#pragma once

#include "base/base.h"
#include "ports/ports.h"
#include "sheet/sheet.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoonledge {

// [1] Tasks

enum class TaskState {
    Queued,
    Claimed, // recorded for a worker; a start may have been sent
    Running,
    Evicting, // recorded; a stop may have been sent
    Done,
    Failed, // failed on MaxTaskFailures different workers
};

const char *taskStateWord(TaskState state);

/// A task that failed on this many different workers is at fault itself.
constexpr int MaxTaskFailures = 3;

struct BatchTask
{
    TaskId id; // "<sheet name>.<job>.<index>"
    std::string job;
    TaskState state = TaskState::Queued;
    Generation generation{1};
    HostId worker; // Claimed, Running and Evicting
    std::string checkpoint; // where the next start resumes; empty: at the beginning
    std::set<HostId> failedOn;
    int evictions = 0;

    // Not recorded; known to the present leader only.
    Time leaseSent{}; // when the last start or renewal was sent, or the leader took over
    Time nextRenew{};
    Time runningSince{}; // when its start was confirmed
    int renewFailures = 0; // in a row
    bool throttled = false;
    Duration progressAtCheckpoint{};
    Duration progress{};
    std::string waitReason; // why a queued task is not placed
};

struct BatchState
{
    std::string writer; // EntryRun::str() of the leader that wrote it
    std::uint64_t changes = 0; // the writer's change counter at the time of writing
    std::map<TaskId, BatchTask> tasks;
};

std::string encodeBatchState(const BatchState &state);
/// Throws std::runtime_error if the text is no batch state.
BatchState decodeBatchState(const std::string &text);

// [2] Capacity index

struct Capacity
{
    std::int64_t milliCores = 0;
    std::int64_t mebiBytes = 0;
    int accelerators = 0;

    bool fits(const Capacity &need) const
    {
        return milliCores >= need.milliCores && mebiBytes >= need.mebiBytes
               && accelerators >= need.accelerators;
    }
};

/// Workers ordered by free processor capacity, so that placement looks at a few workers only.
class CapacityIndex
{
public:
    void set(const HostId &worker, const Capacity &free);
    void erase(const HostId &worker);
    /// At most `limit` workers that fit the need, those with the least free cores first.
    std::vector<HostId> candidates(const Capacity &need, std::size_t limit) const;
    const Capacity *find(const HostId &worker) const;
    std::size_t size() const { return free_.size(); }

private:
    std::map<HostId, Capacity> free_;
    std::set<std::pair<std::int64_t, HostId>> byCores_;
};

// [3] Scheduler

struct BatchSettings
{
    DomainId domain;
    EntryRun self;
    std::vector<DomainId> domains; // all configured failure domains
    Duration lease = seconds(10); // of a task on its worker
    Duration leaseMargin = seconds(5); // for renewals that arrive late at the worker
    Duration hostGone = seconds(30); // absence from the host list before a worker counts as dead
    Duration writeInterval = milliseconds(100); // between two writes of the state
    Duration reportInterval = seconds(1); // between two reports of a worker
    int startsBetweenReports = 2; // of one worker: declared sizes may be far off
    double maxEjected = 0.2; // most of the workers that may be ejected at once
    int failuresToEject = 3; // failures of different tasks in a row
    Duration probeInterval = seconds(30); // before an ejected worker gets another task
    std::size_t candidates = 8; // workers compared for one placement
};

/// Cost of placing a job on a worker, 0 for none; used to compare workers that fit.
using InterferenceHook = std::function<double(const std::string &job, const HostId &worker)>;

class BatchScheduler
{
public:
    BatchScheduler(BatchSettings settings, StorePort &store, WorkerPort &workers, TimerPort &timers,
                   LogHook log);

    /// This process has become, or is no longer, the batch leader.
    void lead(Time now);
    void resign(Time now);
    bool leading() const { return leading_; }
    /// Whether no order and no write of this process is in flight, so that another may lead.
    bool isQuiet() const { return ordersInFlight_ == 0 && !writing_; }

    void applySheet(const Sheet &sheet, Time now);
    void applyHosts(const HostListing &listing, Time now);
    /// Places, renews, evicts and writes. Call every few milliseconds.
    void tick(Time now);

    InterferenceHook interference;

    const BatchState &state() const { return state_; }
    std::map<TaskState, int> counts() const;

private:
    struct Worker
    {
        HostInfo host;
        bool listed = true;
        Time unlistedSince{}; // when it left the host list
        WorkerReport report; // the last good one
        Time reportedAt{};
        Time nextReport{};
        Time requestedAt{}; // when the last report was requested
        bool reporting = false;
        int startsSinceReport = 0;
        std::set<TaskId> failures; // different tasks that failed in a row
        bool ejected = false;
        Time probeAt{};
        std::set<TaskId> tasks; // claimed, running or evicting on it
    };

    // batch.cpp
    void load(Time now);
    void loaded(const StoreValue &value, Time now);
    void createTasks();
    void dropOldTasks();
    void markChanged(const BatchTask &task);
    bool isDurable(const BatchTask &task) const;
    void write(Time now);
    void resolveWrite();
    void requeue(BatchTask &task, const char *cause);
    void detach(BatchTask &task);
    BatchTask *findTask(const TaskId &id, Generation generation);
    void log(LogLevel level, const char *event, const BatchTask &task,
             const std::string &message) const;

    // placement.cpp
    void place(Time now);
    void placeTask(BatchTask &task, const BatchJob &job, Time now);
    bool withinQuota(const BatchJob &job) const;
    void updateCapacity(Worker &worker, Time now);
    Capacity batchCapacity(const Worker &worker) const;
    int yieldRank(const std::string &job) const;

    // workers.cpp
    void order(const BatchTask &task, const TaskOrder &order,
               std::function<void(BatchTask &, OrderStatus, const std::string &, Time)> done);
    void sendStarts(Time now);
    void start(BatchTask &task, const BatchJob &job, Time now);
    void renew(Time now);
    void requestReports(Time now);
    void reported(const HostId &id, const WorkerReport &report, Time now);
    void taskReported(Worker &worker, const WorkerTask &seen, Time now);
    void taskFailed(BatchTask &task, Worker &worker, Time now);
    void countFailure(const TaskId &task, Worker &worker, Time now);
    void expireLeases(Time now);
    bool leaseEndedBefore(const BatchTask &task, Time time) const;
    void relieve(Worker &worker, Time now);
    BatchTask *firstToYield(const Worker &worker, bool skipThrottled);
    void setThrottle(BatchTask &task, bool throttled);
    void evict(BatchTask &task, Time now);
    void sendEvictions(Time now);
    void stop(BatchTask &task);

    BatchSettings settings_;
    StorePort &store_;
    WorkerPort &workersPort_;
    TimerPort &timers_;
    LogHook log_;
    Sheet sheet_;
    BatchState state_;
    Version version_;
    std::map<HostId, Worker> workers_;
    CapacityIndex index_;
    std::map<TaskId, std::uint64_t> changedAt_; // change counter that must be written first
    std::set<TaskId> toStart_;
    std::set<TaskId> toEvict_;
    std::set<TaskId> active_; // claimed, running or evicting
    std::set<TaskId> queued_;
    std::vector<Time> evictions_; // in the last minute
    std::uint64_t epoch_ =
            0; // grows with each lead() and resign(); answers of earlier ones are late
    std::uint64_t changes_ = 0;
    std::uint64_t durableChanges_ = 0;
    int ordersInFlight_ = 0;
    Time nextWrite_{};
    Time nextPlacement_{};
    bool leading_ = false;
    bool loaded_ = false;
    bool writing_ = false;
};

} // namespace monsoonledge
