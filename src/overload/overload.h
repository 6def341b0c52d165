// Admission under shortage: a forecast of the capacity of each service, made by the coordinator,
// and the decision of each entry process whether it admits a job.
//
// There is no I/O and no clock here. The scheduler describes its state as a CapacitySnapshot; the
// forecast turns snapshots into DomainRoom values and into the AdmissionReport, which reaches all
// entry processes with the coordinator's report of the backlog. A job is refused only if its result
// would be worthless when it is done, or if no worker of its service can run one of its tasks.
//
// Sections:
//   [1] Snapshot
//   [2] Report
//   [3] Forecast
//   [4] Decision
#pragma once

#include "capacity/capacity.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace monsoonledge {

// [1] Snapshot

/// Size of a worker and the labels that steps can require.
struct WorkerShape
{
    std::int64_t cpu = 0; // millicores
    std::int64_t memory = 0; // MiB
    int accelerators = 0;
    std::string label; // in reports: one label; empty: every worker of the service
};

struct WorkerUse
{
    ServiceId service;
    DomainId domain;
    WorkerShape shape; // without a label
    std::vector<std::string> labels;
    bool acceptsTasks = false; // false if draining, unreachable, quarantined or in a closed domain
    bool isInClosedDomain = false;
    std::int64_t reserved = 0; // millicores, by tasks other than best-effort ones
    std::int64_t reservedLongRunning = 0; // part of `reserved`
};

struct QueueUse
{
    QueueId id;
    ServiceId service;
    int priority = 0; // 0 comes first
    double durationFactor = 1; // learnt ratio of measured to estimated durations
    double submittedCoreSeconds = 0; // of all jobs accepted since the coordinator has started
};

/// A task that occupies a worker.
struct RunningTask
{
    std::size_t worker = 0; // index in CapacitySnapshot::workers
    std::size_t queue = 0; // index in CapacitySnapshot::queues
    std::int64_t cpu = 0; // millicores
    Duration elapsed{}; // since its start
    Duration estimate{}; // by the client
    bool bestEffort = false;
    bool longRunning = false;
};

/// Accepted tasks that wait, of one queue and kind.
struct WaitingWork
{
    std::size_t queue = 0; // index in CapacitySnapshot::queues
    bool bestEffort = false;
    bool isLate = false; // their jobs cannot meet their objective any more
    std::int64_t startableCpu = 0; // millicores of the tasks whose step has begun
    double startableCoreSeconds = 0; // of those tasks, with countedDuration()
    double laterCoreSeconds = 0; // of the tasks whose step has not begun
};

/// What the scheduler knows about capacity at one time.
struct CapacitySnapshot
{
    Time asOf{};
    std::vector<WorkerUse> workers;
    std::vector<QueueUse> queues;
    std::vector<RunningTask> running;
    std::vector<WaitingWork> waiting;
    std::map<ServiceId, std::int64_t> wantedByInterrupted; // millicores, of long-running tasks
    // Totals since the coordinator has started.
    std::map<ServiceId, std::int64_t> endedCpu; // millicores of ended tasks, best effort excluded
    std::map<ServiceId, double> bestEffortDone; // core-seconds
};

/// The duration that a task counts with. Without an estimate, a default; and at most half a minute,
/// so that one wrong estimate does not stop the admission of other jobs.
Duration countedDuration(Duration estimate);

// [2] Report

/// What waits before a newly submitted job of one priority, and the delays that result.
struct PriorityLoad
{
    int priority = 0;
    Duration delay{}; // until a task starts whose job can still be on time
    Duration lateDelay{}; // until one starts whose job is late
    double waitingCoreSeconds = 0; // of this and higher priorities, late jobs included
    Duration bestEffortDelay{}; // the same for best-effort tasks
    Duration bestEffortLateDelay{};
    double bestEffortCoreSeconds = 0;
};

struct ServiceLoad
{
    ServiceId service;
    std::int64_t total = 0; // millicores of the workers that accept tasks
    std::int64_t free = 0; // millicores that neither running nor waiting tasks use
    std::int64_t bestEffortFree = 0; // idle ones that no waiting best-effort task takes
    std::vector<PriorityLoad> priorities; // in ascending order
    // The largest workers for each label. Empty if there are too many to list.
    std::vector<WorkerShape> shapes;
};

struct QueueLoad
{
    QueueId queue;
    double durationFactor = 1;
    // Delay that makes up for the capacity which the queue took while another one, which had work
    // waiting, was below its share.
    Duration shareDelay{};
    bool isBelowShare = false; // and has little work waiting, so that nothing is refused
    // Share of new jobs that there is capacity for. The others would become late, and then
    // worthless behind those that can be on time.
    double admitShare = 1;
};

/// Input for the decision, as the coordinator publishes it once a second.
struct AdmissionReport
{
    std::vector<ServiceLoad> services;
    std::vector<QueueLoad> queues;

    const ServiceLoad *find(const ServiceId &service) const;
    const QueueLoad *find(const QueueId &queue) const;
};

/// Compact binary form. Decoding returns nothing if the bytes are not a valid report.
std::string encodeAdmissionReport(const AdmissionReport &report);
std::optional<AdmissionReport> decodeAdmissionReport(const std::string &bytes);

// [3] Forecast

/// Difference between the free processors that were predicted for now and those there are, as a
/// share of all processors of the service.
struct ForecastError
{
    std::optional<double> after1s; // empty: no prediction is that old yet
    std::optional<double> after3s;
};

/// Computes rooms and reports from snapshots. Keeps what has to be observed over time: completion
/// rates, use beyond a queue's share, and predictions to be compared with what comes.
class CapacityForecast
{
public:
    /// Takes in a snapshot. Snapshots should follow each other about once a second.
    void update(const CapacitySnapshot &snapshot);

    const std::vector<DomainRoom> &rooms() const { return rooms_; }
    const AdmissionReport &report() const { return report_; }
    const std::map<ServiceId, ForecastError> &errors() const { return errors_; }

private:
    struct Prediction
    {
        Time madeAt{};
        double freeAfter1s = 0; // millicores
        double freeAfter3s = 0;
    };
    struct ServiceHistory
    {
        double bestEffortRate = 0; // core-seconds a second while such tasks waited; 0: not known
        double bestEffortDone = 0; // total at the last snapshot
        bool hadBestEffortWaiting = false;
        std::int64_t endedCpu = 0; // total at the last snapshot
        std::int64_t reserved = 0;
        double startRate = 0; // millicores a second
        std::deque<Prediction> predictions;
        // When a worker of this size and label was last registered.
        std::map<std::tuple<std::string, std::int64_t, std::int64_t, int>, Time> shapes;
    };
    struct Totals;

    void buildRooms(const CapacitySnapshot &snapshot);
    Totals totalsOf(const CapacitySnapshot &snapshot, const ServiceId &service) const;
    void updateBestEffortRate(const CapacitySnapshot &snapshot, const Totals &totals,
                              ServiceHistory &history, Duration interval) const;
    void updateErrors(const CapacitySnapshot &snapshot, const Totals &totals,
                      ServiceHistory &history, Duration interval);
    void updateShares(const CapacitySnapshot &snapshot, const Totals &totals, Duration interval);
    void updateDemand(const CapacitySnapshot &snapshot, Duration interval);
    void updateAdmitShares(const CapacitySnapshot &snapshot, const Totals &totals,
                           const ServiceHistory &history);
    static double bestEffortCores(const Totals &totals, const ServiceHistory &history);
    std::vector<WorkerShape> shapesOf(const CapacitySnapshot &snapshot, const ServiceId &service,
                                      ServiceHistory &history) const;
    ServiceLoad loadOf(const CapacitySnapshot &snapshot, const Totals &totals,
                       const ServiceHistory &history) const;

    std::vector<DomainRoom> rooms_;
    AdmissionReport report_;
    std::map<ServiceId, ForecastError> errors_;
    std::map<ServiceId, ServiceHistory> histories_;
    /// Work that comes in for a queue, and the share of it that is admitted.
    struct Demand
    {
        double submitted = 0; // core-seconds, total at the last snapshot
        double lastRate = 0; // core-seconds a second, in the last interval
        double rate = 0; // the same, smoothed
        double admitShare = 1;
        bool isRefusing = false;
    };

    std::map<QueueId, double> overuse_; // core-seconds that a queue took beyond its allowance
    std::map<QueueId, Demand> demands_;
    std::optional<Time> updatedAt_;
};

// [4] Decision

struct AdmissionSettings
{
    Duration maxReportAge = seconds(3); // with an older report, all jobs are admitted
    // Multiple of the objective after which a result is worthless.
    double worthlessFactor = 3;
    // Share of that time at which refusal of a queue, once begun, ends.
    double endShare = 0.8;
    // Also refuses a part of the jobs that could each be done in time, if there is no capacity for
    // all of them. Without it, the order of the scheduler decides which of them are late: the jobs
    // that come back after such a refusal are mostly too late to be worth anything.
    bool refusesExcess = false;
    Duration maxRetryAfter = seconds(30);
    // How long refused jobs are remembered, and jobs that may be stored.
    Duration memory = seconds(60);
    std::size_t maxRemembered = 20000; // jobs; the oldest are forgotten first
};

enum class AdmissionReason {
    NoReport, // admitted: there is no recent report, or no worker in it that accepts tasks
    NeverRefused, // admitted: a long-running or repeated job
    MaybeStored, // admitted: an earlier attempt may have stored it
    FreeCapacity, // admitted
    BelowShare, // admitted: the queue is below its share
    InTime, // admitted: the result will be worth something
    Worthless, // refused
    OverShare, // refused: it would be worthless in the part that other queues leave
    NoSuchWorker, // refused: no worker of the service can run one of its tasks
};
/// Name in logs and metrics, such as "worthless".
const char *admissionReasonName(AdmissionReason reason);

struct AdmissionDecision
{
    bool isAdmitted = true;
    AdmissionReason reason = AdmissionReason::NoReport;
    Duration retryAfter{}; // of a refusal, in whole seconds
    Duration delay{}; // expected until the first task starts
    Duration reportAge{}; // of the report that the decision is based on
    std::int64_t free = 0; // millicores of the service, by the report
    std::int64_t total = 0;
};

/// Decides about submissions in one entry process.
class AdmissionPolicy
{
public:
    explicit AdmissionPolicy(AdmissionSettings settings = {}) : settings_(settings) { }

    /// `report`: null if there is none. `reportAge`: measured on the clock that continues while the
    /// host is suspended. The terms of the job are those of its queue.
    AdmissionDecision decide(const JobSpec &job, const AdmissionReport *report, Duration reportAge,
                             Time now);
    /// True if an attempt to store the job may have taken effect.
    bool mayBeStored(const JobId &job, Time now) const;
    /// What decide() would return for a new job now, without any effect on later decisions. The
    /// delay is also set for long-running jobs and those of a queue that is below its share. A job
    /// without an id takes the place of one whose id is not known yet.
    AdmissionDecision preview(const JobSpec &job, const AdmissionReport *report, Duration reportAge,
                              Time now) const;
    /// The client was told that the job is refused.
    void recordRefusal(const JobSpec &job, const AdmissionDecision &decision, Time now);
    /// An attempt to store the job has begun, or was not answered.
    void recordAttempt(const JobId &job, Time now);
    /// The refusals so far, by queue and reason.
    const std::map<std::pair<QueueId, AdmissionReason>, std::uint64_t> &refusals() const
    {
        return refusals_;
    }
    /// How long the client of a refused job was told to wait. Zero: no such job is remembered.
    Duration retryAfter(const JobId &job) const;

private:
    struct QueueState
    {
        bool isRefusing = false;
        Duration beganAt{}; // delay at which refusal began
        double meanPath = 0; // longest chain of steps of recent jobs, in seconds; 0: none yet
    };
    struct Remembered
    {
        Time firstRefusedAt{};
        Time mayReturnAt{};
        Duration retryAfter{};
        std::optional<Time> attemptedAt; // to store it
        Time lastUsedAt{}; // last refusal or attempt
    };

    bool isExcess(const JobId &job, double admitShare, bool hasWaited, Time now) const;
    AdmissionDecision decideWith(QueueState &state, const JobSpec &job,
                                 const AdmissionReport *report, Duration reportAge, Time now) const;
    AdmissionDecision decideByDelay(QueueState &state, const JobSpec &job,
                                    const ServiceLoad &service, const QueueLoad &queue,
                                    AdmissionDecision decision, Time now) const;
    Duration spreadRetryAfter(const JobId &job, Duration wait) const;
    Remembered &remember(const JobId &job, Time now);

    AdmissionSettings settings_;
    std::map<QueueId, QueueState> queues_;
    std::unordered_map<JobId, Remembered> remembered_;
    std::deque<std::pair<Time, JobId>> rememberedOrder_; // by the time of the first entry
    std::map<std::pair<QueueId, AdmissionReason>, std::uint64_t> refusals_;
};

} // namespace monsoonledge
