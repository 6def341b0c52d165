// Batch tasks of one failure domain: states, placement on workers, leases of tasks, eviction.
//
// Only the domain's batch leader, the owner of share unit 0, schedules tasks. The whole state is
// one record in the store. A start or an eviction is written to it before the worker is told, so
// that a new leader knows of it and does not do it twice.
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
    Claimed, // assigned to a worker; the start may have been sent
    Running,
    Evicting, // chosen for eviction; checkpoint and stop may have been sent
    Done,
    Failed, // failed on MaxTaskFailures different workers
};

const char *taskStateName(TaskState state);

/// A task that has failed on this many different workers becomes Failed: the fault is then taken to
/// be its own, not a worker's.
constexpr int MaxTaskFailures = 3;

struct BatchTask
{
    TaskId id; // "<sheet name>.<job>.<index>"
    std::string job;
    TaskState state = TaskState::Queued;
    Generation generation{1};
    HostId worker; // set while Claimed, Running or Evicting
    std::string checkpoint; // from which the next start resumes; empty: from the beginning
    std::set<HostId> failedOn;
    int evictions = 0;

    // Not stored: a new leader starts with the defaults.
    Time leaseSentAt{}; // when the last start or renewal was sent, or the leader loaded the state
    Time nextRenewal{};
    Time runningSince{}; // when this leader saw its start confirmed
    int failedRenewals = 0; // consecutive renewals without a confirmation
    bool throttled = false;
    Duration progressAtCheckpoint{};
    Duration progress{};
    std::string waitReason; // why a queued task is not placed; shown to clients
};

struct BatchState
{
    std::string writer; // EntryRun::str() of the leader that wrote the record
    std::uint64_t changes = 0; // change counter of the scheduler at the time of writing
    std::map<TaskId, BatchTask> tasks;
};

std::string encodeBatchState(const BatchState &state);
/// Throws std::runtime_error if the text is not a valid batch state.
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

/// Workers ordered by free cores, so that a placement examines only a few of them.
class CapacityIndex
{
public:
    void set(const HostId &worker, const Capacity &free);
    void erase(const HostId &worker);
    /// Returns at most `limit` workers with enough free capacity, those with the fewest free cores
    /// first. Examines a bounded number of workers, so it may miss some that fit.
    std::vector<HostId> findCandidates(const Capacity &need, std::size_t limit) const;
    const Capacity *find(const HostId &worker) const;
    std::size_t size() const { return free_.size(); }

private:
    std::map<HostId, Capacity> free_;
    std::set<std::pair<std::int64_t, HostId>> byFreeCores_;
};

// [3] Scheduler

struct BatchSettings
{
    DomainId domain;
    EntryRun self;
    std::vector<DomainId> domains; // all configured failure domains
    Duration lease = seconds(10); // duration of a task's lease on its worker
    Duration leaseMargin = seconds(5); // added to the lease for renewals delayed in transit
    Duration hostGone = seconds(30); // absence from the host list after which a worker is dead
    Duration writeInterval = milliseconds(100); // minimum time between two writes of the state
    Duration reportInterval = seconds(1); // time between two report requests to a worker
    int maxStartsBetweenReports = 2; // limit per worker: real use may differ much from declared use
    double maxEjectedFraction = 0.2; // largest fraction of the workers that may be ejected at once
    int failuresToEject = 3; // different tasks that fail on a worker without a success in between
    Duration probeInterval = seconds(30); // time until an ejected worker may get another task
    std::size_t maxCandidates = 8; // most workers compared for one placement
};

/// Returns the cost of interference if a task of the job is placed on the worker, 0 for none. The
/// worker with the lowest cost is chosen.
using InterferenceHook = std::function<double(const std::string &job, const HostId &worker)>;

class BatchScheduler
{
public:
    BatchScheduler(BatchSettings settings, StorePort &store, WorkerPort &workers, TimerPort &timers,
                   LogHook log);

    /// Makes this process the batch leader: loads the state from the store, then schedules. Has no
    /// effect while it leads already.
    void becomeLeader(Time now);
    /// Ends the leadership. Responses to earlier orders and store calls are then ignored.
    void resign(Time now);
    bool leading() const { return leading_; }
    /// Returns whether no order and no write is in flight, so that another process may lead.
    bool hasNoCallsInFlight() const { return ordersInFlight_ == 0 && !writeInFlight_; }

    void applySheet(const Sheet &sheet, Time now);
    void applyHosts(const HostListing &listing, Time now);
    /// Runs all periodic work: report requests, lease expiry, placement, writes, orders to workers
    /// and lease renewal. Call every few milliseconds.
    void tick(Time now);

    InterferenceHook interference;

    const BatchState &state() const { return state_; }
    std::map<TaskState, int> counts() const;

private:
    struct Worker
    {
        HostInfo host;
        bool listed = true;
        Time unlistedSince{}; // when it left the host list; valid while not listed
        WorkerReport report; // last successful report
        Time reportedAt{};
        Time nextReport{};
        Time reportRequestedAt{}; // time of the last report request
        bool reportInFlight = false;
        int startsSinceReport = 0;
        std::set<TaskId> failedTasks; // tasks that failed on it since the last success
        bool ejected = false;
        Time probeAt{};
        std::set<TaskId> tasks; // Claimed, Running or Evicting on this worker
    };

    // batch.cpp
    void loadState(Time now);
    void applyLoadedState(const StoreValue &value, Time now);
    void createTasks();
    void dropObsoleteTasks();
    void markChanged(const BatchTask &task);
    bool isDurable(const BatchTask &task) const;
    void writeState(Time now);
    void resolveUncertainWrite();
    void requeue(BatchTask &task, const char *cause);
    void removeFromWorker(BatchTask &task);
    BatchTask *findTask(const TaskId &id, Generation generation);
    void log(LogLevel level, const char *event, const BatchTask &task,
             const std::string &message) const;

    // placement.cpp
    void placeQueuedTasks(Time now);
    void placeTask(BatchTask &task, const BatchJob &job, Time now);
    bool withinQuota(const BatchJob &job) const;
    void updateCapacity(Worker &worker, Time now);
    Capacity batchCapacity(const Worker &worker) const;
    int yieldRank(const std::string &job) const;

    // workers.cpp
    void sendOrder(const BatchTask &task, const TaskOrder &order,
                   std::function<void(BatchTask &, OrderStatus, const std::string &, Time)> done);
    void sendStarts(Time now);
    void sendStart(BatchTask &task, const BatchJob &job, Time now);
    void sendRenewals(Time now);
    void requestReports(Time now);
    void applyReport(const HostId &id, const WorkerReport &report, Time now);
    void applyTaskReport(Worker &worker, const WorkerTask &seen, Time now);
    void recordTaskFailure(BatchTask &task, Worker &worker, Time now);
    void recordWorkerFailure(const TaskId &task, Worker &worker, Time now);
    void expireLeases(Time now);
    bool leaseExpiredBy(const BatchTask &task, Time time) const;
    void applyGuards(Worker &worker, Time now);
    BatchTask *selectTaskToYield(const Worker &worker, bool skipThrottled);
    void setThrottle(BatchTask &task, bool throttled);
    void beginEviction(BatchTask &task, Time now);
    void sendEvictions(Time now);
    void sendStop(BatchTask &task);

    BatchSettings settings_;
    StorePort &store_;
    WorkerPort &workerPort_;
    TimerPort &timers_;
    LogHook log_;
    Sheet sheet_;
    BatchState state_;
    Version version_;
    std::map<HostId, Worker> workers_;
    CapacityIndex capacityIndex_;
    std::map<TaskId, std::uint64_t> changeNumbers_; // value of changes_ at the task's last change
    std::set<TaskId> startsToSend_; // Claimed, start not sent yet
    std::set<TaskId> evictionsToSend_; // Evicting, checkpoint order not sent yet
    std::set<TaskId> activeTasks_; // Claimed, Running or Evicting
    std::set<TaskId> queuedTasks_;
    std::vector<Time> recentEvictions_; // times of evictions in the last minute
    /// Incremented by becomeLeader() and resign(). Responses to calls of an earlier epoch are
    /// ignored.
    std::uint64_t epoch_ = 0;
    std::uint64_t changes_ = 0; // counts the changes of the state
    std::uint64_t durableChanges_ = 0; // value of changes_ in the last confirmed write
    int ordersInFlight_ = 0;
    Time nextWrite_{};
    Time nextPlacement_{};
    bool leading_ = false;
    bool stateLoaded_ = false;
    bool writeInFlight_ = false;
};

} // namespace monsoonledge
