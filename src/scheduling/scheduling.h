// Job scheduling: decides which task runs next and on which worker, and which runs are stopped or
// slowed down.
//
// The scheduler keeps the state of all jobs and workers of one coordinator in memory. It performs
// no I/O and reads no clock: callers pass events in and fetch the resulting orders as lists.
// A run is started in three steps, so that every run that may exist is recorded and therefore known
// to the next coordinator:
//   plan()         assigns a waiting task to a worker and marks its job as changed;
//   takeChanges()  returns the records of changed jobs, to be written to the store;
//   onSaved()      queues the start orders that depended on a stored record.
//
// Sections:
//   [1] Worker reports
//   [2] Orders
//   [3] Settings
//   [4] Interference
//   [5] State
//   [6] Scheduler
#pragma once

#include "capacity/capacity.h"
#include "evacuation/evacuation.h"
#include "jobs/jobs.h"
#include "ports/ports.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonledge {

// [1] Worker reports

/// A worker's entry in the service registry, written by the worker itself.
struct WorkerEntry
{
    WorkerId id;
    WorkerIncarnation incarnation;
    ServiceId service;
    Address address;
    DomainId domain;
    bool draining = false;
    Duration minRemainingTime{}; // while draining: minimum time until the worker shuts down
    MilliCores cpu;
    MebiBytes memory;
    int accelerators = 0;
    std::vector<std::string> labels; // hardware kind and rack, matched by steps
    std::uint64_t clockMs = 0; // worker's clock in ms when it wrote the entry; 0: not given
    Duration warmupLeft{}; // for which it is still slow when it writes the entry; 0: warm
    bool isWarmupUnreadable = false; // a malformed value, which counts as warm
};

/// How a run ended.
enum class RunOutcome {
    Done,
    Failed, // error of the task or of the worker
    Stopped, // stopped by an order
    LeaseExpired, // the worker's lease expired
    GangMemberEnded, // another member of the gang ended
    GangIncomplete, // the other members of the gang did not start in time
};

/// A run that a worker reports as active.
struct ActiveRun
{
    TaskRef task;
    RunNumber run;
    std::string checkpoint; // latest one; empty: none
    int percent = 0; // progress; for long-running tasks 100 once ready to work
    double usage = 0; // serving task: tail latency in ms; otherwise CPU use in millicores
};

/// A run that a worker reports as ended.
struct FinishedRun
{
    std::uint64_t position = 0; // in the worker's list of ended runs
    TaskRef task;
    RunNumber run;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint; // to resume from; empty: none
};

/// A worker's response to a lease renewal.
struct RunReport
{
    std::uint64_t clockMs = 0; // worker's clock in ms
    WorkerIncarnation incarnation;
    std::vector<ActiveRun> running;
    std::vector<FinishedRun> finished; // ended runs after the acknowledged position
};

// [2] Orders

struct StartOrder
{
    TaskRef task;
    RunNumber run;
    WorkerId worker;
    WorkerIncarnation incarnation; // that it is meant for; a later one may carry it out as well
    std::string payload;
    std::string checkpoint;
};

struct StopOrder
{
    TaskRef task;
    RunNumber run;
    WorkerId worker;
};

struct PaceOrder
{
    TaskRef task;
    RunNumber run;
    WorkerId worker;
    int percent = 100; // allowed speed, relative to full speed
};

/// Result of a start order.
enum class StartOutcome {
    Started,
    NoRoom, // refused for lack of capacity: did not run and will not
    OldRun, // refused: this run or one with a higher number was already stopped on the worker
    Refused, // refused for another reason: did not run and will not
    Unknown, // no response: the run may be active now or start later
};

/// A job record to be written to the store.
struct JobChange
{
    JobId job;
    std::uint64_t version = 0; // number of changes of the job in this process
    std::string record; // encoded JobProgress
    JobState state = JobState::Pending;
};

// [3] Settings

struct SchedulingSettings
{
    // Workers whose last report is older get no new tasks.
    Duration maxReportAge = milliseconds(2500);
    // Maximum duration of a worker's lease, measured on this host's clock.
    Duration maxLeaseDuration = milliseconds(6400);

    // Delay of a retry from the second failed run or the third lost start in a row on, doubled with
    // each further one.
    Duration retryDelay = milliseconds(50);
    Duration maxRetryDelay = seconds(2);
    // Delay of the next run of a long-running task that has ended as done before it was at work.
    Duration earlyEndDelay = seconds(1);
    // A worker that refused a run for lack of capacity gets no new tasks for this long.
    Duration startBackoff = milliseconds(300);

    // A report of a run counts as proof that its worker survives the start if it comes this long
    // after it. A task that crashes its worker does so within some tens of milliseconds.
    Duration startProofAge = milliseconds(100);
    // Crashes at starts of a task, with no other possible cause, after which its job is given up.
    // One may be a coincidence. Less certain ones count less (crashevidence_p.h).
    int maxCrashes = 2;
    // The end of a worker that is noticed later than this after a start proves nothing: the run may
    // have ended with its lease before. Shorter than any lease that a start carries.
    Duration maxCrashAge = milliseconds(5500);
    // Suspects are started on workers that have answered all calls for this long, if there are any.
    Duration stableAfter = seconds(10);
    // How long, and which share of the workers, is kept free of other starts for suspects.
    Duration maxHoldDuration = milliseconds(500);
    double maxHeldShare = 0.25;

    // Run times on a worker that warms up, relative to those on a warm one. 0: all workers are used
    // as warm ones.
    double warmupOverage = 0;

    // True: the speeds of workers are measured, and tasks are placed on a slow worker only if that
    // does their job no harm (slowworkers.cpp).
    bool avoidsSlowWorkers = false;
    // True: also a task whose job is late in either case, but not worthless. It leaves the other
    // workers to jobs that can be on time.
    bool usesSlowWorkersForLateJobs = false;

    // Consecutive failed runs of different jobs before a worker is quarantined.
    int failuresToQuarantine = 3;
    // Length of the first quarantine. Doubled each time until a run succeeds, up to the maximum.
    Duration quarantineDuration = seconds(4);
    Duration maxQuarantineDuration = seconds(6);
    // Share of the workers above which a quarantine is short: workers that fail together may also
    // work again together, and tasks must not wait for them with all room free.
    double maxQuarantinedShare = 0.34;
    Duration shortQuarantineDuration = milliseconds(1500);

    // A run is stalled if it makes no progress for `minStallDuration` and for `stallFactor` tenths
    // of its estimated duration.
    Duration minStallDuration = seconds(4);
    double stallFactor = 3;

    // Share of a serving task's CPU that is expected to be idle and left for best-effort tasks.
    double servingIdleShare = 0.5;
    // Share of its CPU request that must be idle on a worker before a best-effort task starts
    // there.
    double minBestEffortCpuShare = 0.6;
    // After which best-effort tasks that found no worker are tried again on those that have
    // changed.
    Duration bestEffortRetryInterval = milliseconds(60);
    // Share of the tail target up to which planned best-effort tasks may raise a serving task's
    // tail.
    double plannedTailRatio = 0.9;
    // Cost of one serving task over its target, in best-effort tasks that it outweighs: when
    // pacing, and when placing tasks, where it is lower because pacing can avoid part of the harm
    // later.
    double overTargetCost = 2.7;
    double placementOverTargetCost = 1.5;
    // Gain that another common pace must bring, in tasks for each task: each change costs a call to
    // the worker for every one of them.
    double minCommonPaceGain = 0.1;
    Duration measurementAge = milliseconds(300); // of usages and tails, which cover the last 0.5 s

    Duration workerCheckInterval = milliseconds(50); // for decisions that depend on time alone
    Duration paceInterval = milliseconds(250); // between two decisions on a worker's paces
    Duration paceHorizon = milliseconds(600); // how far ahead loads are predicted for pacing
    // Best-effort tasks get a very low pace, later pace 0, beside a serving task that has exceeded
    // its tail target for this long.
    Duration lowPaceAfter = milliseconds(600);
    Duration zeroPaceAfter = milliseconds(1600);
    // Speed, relative to full speed, that a best-effort task must be expected to get at its start.
    double minStartSpeed = 0.4;
    // While less than this share of its service's processors is reserved, a best-effort job of
    // which nothing has run for this long gets one task where it does the least harm, at whatever
    // pace: estimates of interference must not keep it waiting for good. Tried again after a pause.
    double idleServiceShare = 0.5;
    Duration maxBestEffortWait = milliseconds(1500);
    Duration starvedRetryDelay = milliseconds(200);
    // Best-effort tasks whose pace in percent stays below `evictBelowPace` for `evictAfter` are
    // evicted.
    int evictBelowPace = 25;
    Duration evictAfter = milliseconds(1500);
    Duration evictStarvedAfter = seconds(6); // of the only task of a job that no worker gains from

    // Share of a job's remaining critical path that must fit before its objective for the job to
    // count as still on time.
    double remainingTimeFactor = 0.85;
    // Multiple of the allowed latency after which the result of a job is worthless.
    double maxLatenessFactor = 3;
    // Among the jobs of one priority that can be on time, those that need little capacity come
    // first.
    bool prefersShortJobs = true;
    // How long short jobs of the same priority start before an interrupted long-running task. Must
    // not exceed preemptAfter.
    Duration maxRestartDelay{};
    // Waiting time of a long-running task before it preempts other tasks.
    Duration preemptAfter = milliseconds(700);
};

// [4] Interference

/// Index of an image in the tables of InterferenceModel.
using ImageIndex = std::size_t;

/// Use of a worker by all its best-effort tasks of one image.
struct BestEffortLoad
{
    ImageIndex image = 0;
    double share = 0; // of the worker's processors
};

/// Load of a serving task that is assumed before there are samples.
constexpr double DefaultServingLoad = 0.5;

/// Linear trend of the load of a serving step. One trend serves all tasks of the step: users are
/// spread over all replicas, so a report of any replica improves the estimate for all of them.
/// Level and slope are fitted to the samples of the last seconds, so that a rise of the load is
/// predicted before it does harm.
class LoadTrend
{
public:
    /// Adds a sample. `weight` is between 0 and 1, and low for a sample that says little about the
    /// load.
    void addSample(double load, double weight, Time when);
    /// The load expected at a time shortly before or after the last sample.
    double loadAt(Time when) const;
    /// The highest load that is expected between two times.
    double highestLoad(Time from, Time until) const;
    /// The highest load of late. Decreases slowly while the load is lower.
    double recentPeak() const { return recentPeak_; }

private:
    // Weighted sums over the samples, whose weights decrease with their age. Times are in seconds
    // relative to lastSampleAt_.
    double sumWeight_ = 0;
    double sumTime_ = 0;
    double sumSquaredTime_ = 0;
    double sumLoad_ = 0;
    double sumTimeLoad_ = 0;
    double recentPeak_ = DefaultServingLoad;
    Time lastSampleAt_{};
};

/// Estimates the interference of best-effort tasks with the serving tasks on the same worker. It is
/// strong for some pairs of images and absent for others, so each pair has an estimate of its own.
///
/// A serving task is modelled as a queue: tail latency = service time / (1 - load x service time).
/// Each best-effort task increases the service time in proportion to the share of the worker that
/// it uses. The load is that of the serving step; it refers to service times without best-effort
/// tasks, which count as 1. With the service time multiplied by a slowdown, the utilization that a
/// tail latency indicates, 1 - unloaded tail / tail, is the load plus 1 - 1 / slowdown.
class InterferenceModel
{
public:
    /// The index of an image, which is added if it is new.
    ImageIndex indexOf(const std::string &image);

    std::size_t imageCount() const { return images_.size(); }
    /// The utilization that a tail latency indicates. `tailRatio` is its ratio to the target.
    static double utilizationFromTail(double tailRatio);
    /// Updates the estimates and `load`, the trend of the task's step, by a sample of a serving
    /// task: the ratio of its tail latency to the target, beside these best-effort tasks. `when` is
    /// the time that the sample stands for.
    void observe(ImageIndex serving, double tailRatio,
                 const std::vector<BestEffortLoad> &bestEffortLoads, LoadTrend &load, Time when);
    /// The factor on service times that increases the utilization by this much, and the inverse:
    /// the increase of the utilization when service times increase by this share.
    static double slowdownFor(double utilizationIncrease);
    static double utilizationIncrease(double serviceTimeIncrease);
    /// Interference coefficient of a pair of images: the share by which service times increase, per
    /// share of the worker that the best-effort tasks use.
    double coefficient(ImageIndex bestEffort, ImageIndex serving) const
    {
        return estimates_[serving].coefficients[bestEffort];
    }

private:
    /// Interference coefficients of all images with one serving image: a least-squares estimate
    /// that each sample updates.
    struct ServingEstimates
    {
        std::vector<double> coefficients; // by image of the best-effort tasks
        std::vector<std::vector<double>> covariance; // of the errors of these estimates
    };

    std::vector<std::string> images_;
    std::vector<ServingEstimates> estimates_; // by image of the serving tasks
};

// [5] State

struct ScheduledJob;
struct ScheduledWorker;

/// What the coordinator knows about the current run of a task.
enum class RunState {
    None, // no current run
    AwaitingRecord, // assigned; its record is not confirmed as stored
    StartSent, // start order sent, no response yet
    Running, // confirmed by the worker
    StartOutcomeUnknown, // the start order got no response: the run may or may not exist
    Restored, // recorded by a former coordinator, not yet confirmed by the worker
    Stopping, // stop order sent
};

struct ScheduledTask
{
    ScheduledJob *job = nullptr;
    TaskRef ref;
    TaskProgress progress;
    RunState runState = RunState::None;
    ScheduledWorker *worker = nullptr; // that holds the current run; null: none
    std::uint64_t assignedInVersion = 0; // first version of the job's record with the current run
    Time orderSentAt{}; // time of the start order or the last stop order
    bool stopConfirmed = false; // by the worker, for the last stop order
    Time assignedAt{}; // when the current run was assigned
    bool wasWorkerHeard = false; // shortly before the current run was assigned
    bool hasSharedLoss = false; // its worker has restarted, and other starts were lost with it
    bool hasSurvivedStart = false; // the current run was reported well after its start
    bool wasStarved = false; // the current run was started although no worker gains from it
    bool isTrial = false; // the current run shows whether a quarantined worker works again
    Time lastReportedAt{}; // last report that contained the run
    Time startedAt{}; // when the run was first confirmed
    Time waitingSince{};
    Time waitLoggedAt{}; // last log line that said why no worker can take the task
    Time earliestStart{}; // of the next run
    Time progressChangedAt{}; // last change of `percent`
    int percent = 0; // progress as reported
    int pace = 100; // percent of full speed
    Time belowEvictPaceSince{}; // when the pace was last high enough
    double usage = 0; // serving task: tail latency in ms; otherwise CPU use in millicores
    std::optional<Time> overTargetSince; // serving task: its tail has exceeded its target since
    std::vector<WorkerId> failedOn; // where runs of the task failed or stalled
    ImageIndex image = 0;
};

struct ScheduledJob
{
    JobSpec spec;
    QueueSpec queue; // last known configuration; kept after the queue is removed
    JobState state = JobState::Pending;
    std::deque<ScheduledTask> tasks; // by occurrence, step and index; addresses stay valid
    std::vector<int> stepOffsets; // by step: offset of its first task within an occurrence
    int tasksPerOccurrence = 0;
    int waitingTasks = 0;
    int suspectTasks = 0; // whose last start was lost with its worker
    std::vector<int> waitingTaskCounts; // by stepIndex()
    Time submittedAt{};
    Duration criticalPathEstimate{}; // duration of the critical path by the estimates
    std::optional<Duration> remainingPathEstimate; // of the steps not done; empty: not known
    double estimatedCoreSeconds = 0;
    std::uint64_t version = 0; // incremented with each change of the record
    std::uint64_t savedVersion = 0; // latest stored version
    std::uint64_t inFlightVersion = 0; // version whose write is in flight; 0: none
    bool isChangeQueued = false; // listed for takeChanges()
    bool isChangeUrgent = false; // its listed change must not be deferred
    bool hasLongRunningStep = false; // a step that runs until the job is cancelled
    std::vector<int> doneTaskCounts; // by stepIndex()
    std::vector<LoadTrend> stepLoads; // of serving steps, best-effort load excluded; by stepIndex()
    std::optional<Time> idleSince; // a task was first seen to find no worker while nothing runs
    Time finalAt{};

    /// Index of a step of one occurrence in the tables that are kept by step.
    std::size_t stepIndex(int occurrence, int step) const
    {
        return static_cast<std::size_t>(occurrence) * spec.steps.size()
               + static_cast<std::size_t>(step);
    }
    std::size_t stepIndex(const TaskRef &task) const
    {
        return stepIndex(task.occurrence, task.step);
    }
};

/// A start order without an answer. The worker may carry it out much later, even in its next
/// incarnation, which has not been told to refuse it.
struct UnansweredStart
{
    TaskRef task;
    RunNumber run;
    WorkerIncarnation refusedBy; // last incarnation that has confirmed a stop order for the run
    Time stopSentAt{}; // last stop order to an incarnation that the order was not meant for
    Time until{}; // the order is too old to be carried out after this time
};

/// An ended run that may be acknowledged to the worker once the record of its job is stored.
struct PendingAcknowledgement
{
    std::uint64_t position = 0; // in the worker's list of ended runs
    JobId job;
    std::uint64_t version = 0; // of the job's record that must be stored
};

struct ScheduledWorker
{
    WorkerEntry entry;
    bool listed = true; // present in the registry
    bool hasReported = false; // in this incarnation
    bool lastCallFailed = false; // or got no response; reset by the next report
    bool hasEnded = false; // this incarnation is gone, although the registry may still list it
    Time unstableSince{}; // last failed call, restart or first registration
    Time lastReport{};
    Time leaseExpiry{}; // all leases granted to the worker have expired by then
    std::uint64_t acknowledgedPosition = 0; // ended runs up to this position may be forgotten
    std::deque<PendingAcknowledgement> pendingAcknowledgements;
    std::uint64_t lastProcessedPosition = 0; // in the worker's list of ended runs
    std::vector<ScheduledTask *> tasks; // tasks that have or may have a run on the worker
    std::int64_t reservedCpu = 0; // millicores reserved by tasks other than best-effort ones
    std::int64_t reservedMemory = 0; // MiB reserved
    int reservedAccelerators = 0;
    double reservedServingCpu = 0; // millicores, part of `reservedCpu` of long-running tasks
    double bestEffortCpu = 0; // millicores requested by best-effort tasks
    std::vector<int> servingTasksByImage;
    std::vector<double> bestEffortCpuByImage; // millicores requested by best-effort tasks
    int consecutiveFailures = 0; // each of another job than the one before
    JobId lastFailedJob;
    Time quarantinedUntil{}; // end of the last quarantine
    Duration quarantineDuration{}; // length of the last quarantine; 0 after a successful run
    Time startBackoffUntil{}; // no new tasks until then, after a refusal for lack of capacity
    std::uint64_t changedInPass = 0; // last planning pass in which free capacity may have grown
    Time pacedAt{}; // last decision on the paces of its best-effort tasks
    double commonPace = 1; // as last decided, of those that share one
    JobId heldFor; // whose suspect is to be started here apart from others; empty: none
    Time heldUntil{};
    bool isDomainClosed = false; // nothing may be started there
    Time coldUntil{}; // it is slow until then, because it warms up
    Time reportRequestedAt{}; // last time, to prove that starts are survived
    double speedFactor = 1; // below 1: classified as slow
    double measuredSpeed = 1; // as last measured, until it is known to have recovered
    bool isOnSpeedTrial = false; // it was slow, and it is not known whether it still is
    Time slowAt{}; // last time at which it was classified as slow
};

/// A worker that has stopped answering or has ended.
struct WorkerSilence
{
    WorkerId worker;
    WorkerIncarnation incarnation;
    DomainId domain;
    std::string place; // failure domain and labels
    // A run there had not proven to survive its start, so a task may have crashed this worker.
    bool hadUnprovenStart = false;
    Time since{};
};

// [6] Scheduler

class WorkerSpeeds;
struct SpeedChange;
struct UnplacedRequest;
struct CrashVerdict;
struct CapacitySnapshot;
struct PlacementExplanation;
struct StepPlacement;

class Scheduler
{
public:
    /// `formerLeaseExpiry`: when leases granted by a former coordinator have certainly expired, so
    /// that its runs on an unreachable worker have ended.
    Scheduler(SchedulingSettings settings, Time formerLeaseExpiry, LogHook log, Time now);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void setConfig(const QueueConfig &config);

    /// Adds a job. `progress` is the record of a former coordinator, empty for a new job.
    void addJob(const JobSpec &spec, const std::optional<JobProgress> &progress, Time submittedAt,
                Time now);
    void cancelJob(const JobId &id, Time now);
    /// Removes a job whose record was removed from the store.
    void removeJob(const JobId &id);

    /// Replaces the list of registered workers.
    void setWorkers(const std::vector<WorkerEntry> &entries, Time now);
    /// Replaces the set of failure domains in which nothing may be started.
    void setClosedDomains(const std::set<DomainId> &domains, Time now);
    /// While starts are paused, nothing is started anywhere. Runs go on.
    void setStartsPaused(bool arePaused) { areStartsPaused_ = arePaused; }
    bool areStartsPaused() const { return areStartsPaused_; }
    /// False if nothing may be started on the worker: a start order that waits is not to be sent.
    bool mayStartOn(const ScheduledWorker &worker) const
    {
        return !areStartsPaused_ && !worker.isDomainClosed;
    }
    /// Processes the response to a lease renewal sent at `sentAt`.
    void onReport(const WorkerId &id, Time sentAt, const RunReport &report, Time now);
    /// A call to the worker failed: it gets no new tasks until its next report.
    void onUnreachable(const WorkerId &id, Time now);
    /// This incarnation of the worker has certainly ended, and its runs with it, because another
    /// worker answers at its address.
    void onWorkerEnded(const WorkerId &id, WorkerIncarnation incarnation, Time now);
    /// All leases that former coordinators granted to this incarnation of the worker expire at
    /// `leaseExpiry` at the latest.
    void limitLeaseExpiry(const WorkerId &id, WorkerIncarnation incarnation, Time leaseExpiry);
    /// Where this incarnation of the worker was registered when a former coordinator lost contact
    /// with it. Whatever answers there shows whether it has ended. Ignored if it is registered.
    void setFormerAddress(const WorkerId &id, WorkerIncarnation incarnation,
                          const Address &address);
    /// A lease was granted to the worker; it expires at `leaseExpiry` at the latest.
    void onLeaseGranted(const WorkerId &id, Time leaseExpiry);
    /// The incarnation of the worker that has answered is not known: a report shows whether the run
    /// belongs to the present one.
    void onStartAnswered(const StartOrder &order, StartOutcome outcome, Time now);
    /// True if the task is a suspect whose present start a worker has confirmed: its record should
    /// be written at once, as the worker may crash next.
    bool isConfirmedSuspect(const TaskRef &ref) const;
    /// `stopped`: the worker has confirmed the order, which was sent to its present incarnation.
    void onStopAnswered(const StopOrder &order, bool stopped, Time now);

    /// Assigns waiting tasks and generates orders. Call it after events, but at most every few
    /// milliseconds.
    void plan(Time now);
    /// Sets the time of day, which determines when occurrences of repeated jobs are due.
    void setWallClock(WallMilliseconds wall, Time now);
    /// Converts a past time of day to the steady clock, limited to the last `maxAge`. Returns `now`
    /// if the time of day is not known.
    Time toSteadyTime(WallMilliseconds wall, Duration maxAge, Time now) const;

    /// Returns at most `max` records to write. For each of them, the caller must call onSaved() or
    /// onSaveFailed().
    std::vector<JobChange> takeChanges(std::size_t max);
    void onSaved(const JobId &id, std::uint64_t version, Time now);
    /// The record was not written: takeChanges() returns the job again.
    void onSaveFailed(const JobId &id);

    std::vector<StartOrder> takeStarts();
    std::vector<StopOrder> takeStops();
    std::vector<PaceOrder> takePaces();

    /// Returns the workers whose next report should not be waited for, because the isolation of a
    /// suspect ends with it.
    std::vector<WorkerId> takeReportRequests(Time now);

    /// Position in the worker's list of ended runs up to which they may be acknowledged.
    std::uint64_t acknowledgeablePosition(const WorkerId &id) const;
    /// Returns true if the worker runs best-effort tasks and one of its serving tasks is near or
    /// over its tail target, so that it should report more often than usual.
    bool isServingNearTarget(const WorkerId &id) const;
    /// Returns true if ended runs cannot be acknowledged before records of their jobs are stored.
    bool hasPendingAcknowledgements(const WorkerId &id) const;
    /// Returns the jobs that ended before `time` and whose final record is stored.
    std::vector<JobId> jobsEndedBefore(Time time) const;

    const std::unordered_map<JobId, std::unique_ptr<ScheduledJob>> &jobs() const { return jobs_; }
    const std::map<WorkerId, std::unique_ptr<ScheduledWorker>> &workers() const { return workers_; }
    /// Number of runs in closed domains that are still to be moved, as of the last check.
    int tasksToMove() const;
    bool hasChanges() const { return !changes_.empty(); }
    /// True if a start order or a client waits for a record that takeChanges() returns. The others
    /// may be written a little later, together with further changes.
    bool hasUrgentChanges() const { return urgentChanges_ > 0; }
    /// What the forecast of capacity needs to know (snapshot.cpp).
    CapacitySnapshot capacitySnapshot(Time now);
    /// Where a new job would be placed now if it were next, and why (explain.cpp). Asking has no
    /// effect on this object.
    PlacementExplanation explainPlacement(const JobSpec &spec, Time now) const;

private:
    ScheduledTask *findTask(const TaskRef &ref) const;
    const StepSpec &stepOf(const ScheduledTask &task) const;
    void addOccurrence(ScheduledJob &job, Time now);
    void addDueOccurrences(Time now);
    void finishJob(ScheduledJob &job, JobState state, Time now);
    void restoreTask(ScheduledTask &task, const TaskProgress &progress);
    enum class RecordUrgency { Immediate, Deferrable };
    void markChanged(ScheduledJob &job, RecordUrgency urgency = RecordUrgency::Immediate);
    void markRunning(ScheduledTask &task, Time now);
    void completeIfDone(ScheduledJob &job, Time now);
    static bool isStepRunnable(const ScheduledJob &job, int occurrence, int step);
    static void countWaiting(const ScheduledTask &task, int change);

    void logRegistration(const WorkerEntry &entry);
    void resetWorker(ScheduledWorker &worker, WorkerIncarnation incarnation, Time now);
    void reserve(ScheduledWorker &worker, ScheduledTask &task);
    void release(ScheduledTask &task);
    static bool isWithinCapacity(const ScheduledWorker &worker);
    void markWorkerChanged(ScheduledWorker &worker);
    bool isStartable(const ScheduledTask &task) const;
    void requeueTask(ScheduledTask &task, Duration delay, Time now);
    Duration retryDelayAfter(int attempts) const;
    void processFinishedRun(ScheduledWorker &worker, const FinishedRun &finished, Time now);
    void endRun(ScheduledTask &task, RunOutcome outcome, const std::string &checkpoint, Time now);
    void completeWaiting(ScheduledTask &task, const std::string &checkpoint, Time now);
    void updateQuarantine(ScheduledWorker &worker, const JobId &job, RunOutcome outcome, Time now);
    bool areManyQuarantined(Time now) const;
    bool awaitsTrial(const ScheduledWorker &worker) const;
    void countSuccess(ScheduledWorker &worker);
    void processActiveRun(ScheduledWorker &worker, const ActiveRun &activeRun, Time now);
    void handleMissingRuns(ScheduledWorker &worker, Time sentAt, Time now);
    static bool isOfFormerIncarnation(const ScheduledTask &task);
    void rememberUnansweredStart(const StartOrder &order, Time now);
    void refuseUnansweredStarts(const ScheduledWorker &worker, Time now);
    void stopRun(ScheduledTask &task, Time now);

    /// What is known of a worker whose runs are lost.
    enum class WorkerLoss {
        Crashed, // it has ended without draining
        Unreachable, // its leases have expired; it may still exist
    };
    void loseRuns(ScheduledWorker &worker, const std::vector<ScheduledTask *> &lost,
                  WorkerLoss loss, Time now);
    void loseAllRuns(ScheduledWorker &worker, WorkerLoss loss, Time now);
    void loseRunsOfFormerIncarnations(ScheduledWorker &worker, Time sentAt, Time now);
    std::vector<ScheduledTask *> suspectsAmong(const ScheduledWorker &worker,
                                               const std::vector<ScheduledTask *> &lost) const;
    void countLoss(const ScheduledWorker &worker, const std::vector<ScheduledTask *> &suspects,
                   WorkerLoss how, Time now);
    void giveUpDeadly(const std::vector<ScheduledTask *> &suspects, Time now);
    WallMilliseconds wallAt(Time time) const;
    static bool hasUnprovenStart(const ScheduledWorker &worker);
    void noteSilence(const ScheduledWorker &worker, Time now);
    void endSilence(const ScheduledWorker &worker);
    bool isLostWithItsPlace(const ScheduledWorker &worker, const ScheduledTask &task,
                            Time now) const;
    void noteAssigned(ScheduledTask &task, const ScheduledWorker &worker);
    void markSharedLosses(const ScheduledWorker &worker);
    void endStoppedRun(ScheduledWorker &worker, ScheduledTask &task, Time now);
    LossEnd endOf(const StartLoss &loss, Time now) const;
    bool isLossKnownSoon(const ScheduledTask &task, Time now) const;
    StartLoss describeLoss(const ScheduledWorker &worker, const ScheduledTask &task,
                           bool isOnlySuspect, WorkerLoss how, Time now) const;
    CrashVerdict addLoss(ScheduledTask &task, const StartLoss &loss);
    Duration delayAfterLoss(const ScheduledTask &task) const;
    void reviewLosses(Time now);
    void reviewLossesOf(ScheduledTask &task, Time now);
    bool hasSurvived(const StartLoss &loss, Time now) const;
    void withdrawLoss(const StartOrder &order);
    void logEvidence(const ScheduledTask &task, const StartLoss &loss,
                     const CrashVerdict &verdict) const;
    static void setLostStarts(ScheduledTask &task, int lostStarts);
    bool isSuspect(const ScheduledTask &task) const;
    void noteReported(ScheduledTask &task, Time now);
    void acquit(ScheduledTask &task);
    bool wasReplaced(const ScheduledWorker &worker) const;
    void beginIsolation(Time now);
    bool isKeptApart(const ScheduledWorker &worker, const ScheduledTask &task) const;
    double isolationScore(const ScheduledWorker &worker, const ScheduledTask &suspect,
                          Time now) const;
    void assignSuspects(ScheduledJob &job, int occurrence, int step,
                        std::vector<const ScheduledTask *> &assigned, Time now);
    bool hasSuspectStart(const ScheduledTask &task) const;
    void holdWorker(const ScheduledTask &suspect, Time now);
    void releaseHolds(const ScheduledJob &job);

    void checkWorkers(Time now);
    void stopStalledRuns(ScheduledWorker &worker, Time now);
    void learnInterference(ScheduledWorker &worker, Time now);
    void paceBestEffortTasks(ScheduledWorker &worker, Time now);
    void evictSlowTasks(ScheduledWorker &worker, Time now);
    struct ServingSlack;
    /// The load of serving steps that a decision assumes.
    enum class LoadBasis {
        Expected, // predicted load until the next decision
        Busy, // load at busy times, which a task that starts now may encounter
    };
    std::vector<ServingSlack> servingSlack(const ScheduledWorker &worker, LoadBasis basis,
                                           Time now) const;
    double paceLimit(const ScheduledWorker &worker, const ScheduledTask &bestEffort,
                     Time now) const;
    struct BestEffortOutlook;
    const BestEffortOutlook &outlookOf(const ScheduledWorker &worker, Time now) const;
    double averageImagePace(const std::vector<ServingSlack> &servings) const;
    double bestEffortCpuUse(const ScheduledWorker &worker, double cpu,
                            const std::vector<ServingSlack> &servings) const;
    double paceOf(const ScheduledTask &bestEffort, double cpu,
                  const std::vector<ServingSlack> &servings) const;
    bool needsOwnPace(const ScheduledTask &bestEffort, double cpu,
                      const std::vector<ServingSlack> &servings) const;
    double chooseCommonPace(const std::vector<ServingSlack> &servings, double commonPaceTasks,
                            double currentPace) const;
    struct BestEffortEstimate;
    std::optional<BestEffortEstimate> estimateBestEffort(const ScheduledWorker &worker,
                                                         const ScheduledTask &bestEffort,
                                                         Time now) const;
    double bestEffortCpuGain(const ScheduledWorker &worker, const ScheduledTask &bestEffort,
                             Time now) const;
    bool startStarvedTask(ScheduledTask &task, Time now);
    bool hasIdleService(const ScheduledJob &job) const;
    static int assignedTasks(const ScheduledJob &job);
    LoadTrend &loadTrendOf(const ScheduledTask &serving);
    double servingScore(const ScheduledWorker &worker, const ScheduledTask &task) const;
    void updateDurationFactor(const ScheduledTask &task, Time now);
    double durationFactor(const ScheduledJob &job) const;
    Time objectiveOf(const ScheduledJob &job) const;
    Duration remainingCriticalPath(ScheduledJob &job) const;
    static Duration estimateRemainingPath(const ScheduledJob &job);
    void drainWorker(ScheduledWorker &worker, Time now);
    WorkerSpeed speedOf(const ScheduledWorker &worker, Time now) const;
    void updateWarmup(ScheduledWorker &worker, const WorkerEntry &entry, Time now) const;
    bool exceedsColdShare(const ScheduledWorker &worker, const StepSpec &step, Time now) const;
    struct Candidate;
    bool isSpeedMeasured(const ScheduledTask &task) const;
    void measureSpeed(ScheduledWorker &worker, Time sentAt, Time now);
    void measureDoneRun(const ScheduledTask &task, Time now);
    void updateSpeed(ScheduledWorker &worker, Time now);
    void forgetWorker(const ScheduledWorker &worker);
    void logSpeedChange(const ScheduledWorker &worker, const SpeedChange &change) const;
    double usableSpeed(const ScheduledWorker &worker) const;
    bool mayRunAt(double speedFactor, const ScheduledTask &task, Time now) const;
    bool isTooSlowFor(const ScheduledWorker &worker, const ScheduledTask &task, Time now) const;
    bool isBetterElsewhere(double speedFactor, const ScheduledTask &task, Time now) const;
    struct ExpectedReleases;
    ExpectedReleases &expectedReleasesFor(const ScheduledTask &task, Time now) const;
    Duration waitForFasterWorker(const ScheduledTask &task, Time now) const;
    void reserveExpectedCapacity(const ScheduledTask &task, Time now);
    void noteCapacityUse(const ScheduledTask &task);
    bool assignToSlow(ScheduledTask &task, std::vector<Candidate> &candidates, Time now);
    void planMoves(Time now);
    bool isToBeMoved(const ScheduledTask &task, Time now) const;
    Duration remainingTime(const ScheduledTask &task, Time now) const;
    bool isWorking(const ScheduledTask &task, Time now) const;
    bool isStepMoving(const ScheduledTask &task) const;
    MoveNeed moveNeedOf(const ScheduledTask &task) const;
    MoveInput moveInput(Time now) const;
    void logMove(const ScheduledTask &task);
    void updateEvacuations(Time now);
    bool acceptsTasks(const ScheduledWorker &worker, Time now) const;
    DelayCost delayCostOf(ScheduledJob &job, Time now) const;
    static double remainingCoreSeconds(const ScheduledJob &job);
    static Duration longestWait(const ScheduledJob &job, Time now);
    std::vector<ScheduledJob *> orderJobs(Time now);
    void assignJob(ScheduledJob &job, Time now);
    void assignStep(ScheduledJob &job, int occurrence, int step,
                    std::vector<const ScheduledTask *> &assigned, Time now);
    void waitForRoom(ScheduledTask &task, Time now);
    bool isWorthAnotherTry(const UnplacedRequest &request, Time now) const;
    void assignGang(ScheduledJob &job, int occurrence, int step, Time now);
    std::vector<ScheduledWorker *> reserveGang(const std::vector<ScheduledTask *> &members,
                                               Time now);
    const UnplacedRequest *findUnplacedRequest(const ScheduledTask &task) const;
    bool isOfSameKind(const ScheduledTask &task, const UnplacedRequest &request) const;
    void recordUnplacedRequest(const ScheduledTask &task, Time now);
    void beginPass(Time now);
    enum class Obstacle;
    static const char *obstacleName(Obstacle obstacle);
    Obstacle obstacleToAll(const ScheduledWorker &worker, Time now) const;
    Obstacle obstacleOn(const ScheduledWorker &worker, const ScheduledTask &task, Time now) const;
    bool isInterrupted(const ScheduledTask &task) const;
    std::vector<std::pair<const char *, int>> countObstacles(const ScheduledTask &task,
                                                             Time now) const;
    void logWaiting(ScheduledTask &task, Time now);
    enum class PlacementRule;
    static PlacementRule placementRuleOf(const StepSpec &step);
    static const char *placementRuleName(PlacementRule rule);
    std::unique_ptr<Scheduler> copyForQuery(const JobSpec &spec, Time now) const;
    StepPlacement placeStep(ScheduledJob &job, int step, int maxTasks, Time now);
    void placeTasks(const std::vector<ScheduledTask *> &tasks, StepPlacement &result, Time now);
    void placeGang(const std::vector<ScheduledTask *> &members, StepPlacement &result, Time now);
    std::optional<double> scoreOf(const ScheduledWorker &worker, const ScheduledTask &task,
                                  Time now) const;
    std::vector<Candidate> candidatesFor(const ScheduledTask &task, std::uint64_t sincePass,
                                         Time now) const;
    bool assignToBest(ScheduledTask &task, std::vector<Candidate> &candidates, Time now);
    ScheduledWorker *chooseWorker(const ScheduledTask &task, Time now) const;
    void assign(ScheduledTask &task, ScheduledWorker &worker);
    void logAssigned(const ScheduledJob &job, const std::vector<const ScheduledTask *> &tasks,
                     Time now) const;
    void preemptFor(const ScheduledTask &task, Time now);
    void countSubmitted(const ScheduledJob &job);
    void countDone(const ScheduledTask &task);
    void addWaiting(ScheduledJob &job, std::size_t queue, CapacitySnapshot &snapshot,
                    Time now) const;

    SchedulingSettings settings_;
    Time formerLeaseExpiry_;
    LogHook log_;
    Time startedAt_;
    Time nextWorkerCheckAt_{};
    Time waitLoggedAt_{}; // last log line that said why a task waits
    std::map<QueueId, double> durationFactors_; // ratio of measured to estimated durations
    std::optional<std::int64_t> wallOffset_; // time of day minus the steady clock, in ms
    QueueConfig config_;
    InterferenceModel interference_;
    std::unique_ptr<WorkerSpeeds> speeds_; // null: not measured
    int slowWorkers_ = 0;
    std::unordered_map<JobId, std::unique_ptr<ScheduledJob>> jobs_;
    std::map<WorkerId, std::unique_ptr<ScheduledWorker>> workers_;
    std::vector<ScheduledJob *> activeJobs_; // jobs that have not ended
    int suspectTasks_ = 0; // of all active jobs, in the last planning pass
    int heldWorkers_ = 0; // for suspects
    std::deque<WorkerSilence> silences_; // of the last 30 s
    Time nextLossReviewAt_{};
    std::map<WorkerId, std::vector<UnansweredStart>> unansweredStarts_;
    /// The evacuation of one closed domain.
    struct Evacuation
    {
        Time since{}; // when this coordinator learnt of the request
        int left = 0; // runs still to be moved, as of the last check
        int moved = 0; // runs stopped for it by this coordinator
        bool isChecked = false; // at least once, so that an unknown domain was logged
        bool isEmptied = false; // it was logged that nothing is left to move
    };
    std::map<DomainId, Evacuation> evacuations_; // of the closed domains
    Time nextMoveCheckAt_{};
    bool areStartsPaused_ = false;
    std::deque<JobId> changes_; // jobs whose record has to be written
    int urgentChanges_ = 0; // those that must not be deferred
    std::vector<StartOrder> starts_;
    std::vector<StopOrder> stops_;
    std::vector<PaceOrder> paces_;
    struct PlanCache;
    /// Totals since this object was created, as CapacitySnapshot has them.
    struct WorkTotals
    {
        std::map<ServiceId, std::int64_t> endedCpu;
        std::map<ServiceId, double> bestEffortDone;
        std::map<QueueId, double> submitted;
    };
    WorkTotals workTotals_;
    std::unique_ptr<PlanCache> planCache_; // kept from one planning pass to the next
};

/// Formats a task as "job.occurrence.step.index", for logs.
std::string formatTaskRef(const TaskRef &ref);
/// Name of an outcome in logs, such as "lapsed".
const char *runOutcomeName(RunOutcome outcome);

/// Share of its requested CPU that a best-effort task would get from the worker's idle processors,
/// at most 1.
double expectedBestEffortShare(const ScheduledWorker &worker, const StepSpec &step,
                               const SchedulingSettings &settings);

} // namespace monsoonledge
