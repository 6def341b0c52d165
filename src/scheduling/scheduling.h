// Scheduling of jobs: which task runs next, on which worker, and what is stopped or slowed down.
//
// The scheduler holds the state of all jobs and workers of one coordinator in memory. It does no
// I/O and reads no clock: events come in as calls, and decisions are taken out as lists of orders.
// A run is started in three steps, so that a successor knows of every run that may exist:
//   plan()         assigns a waiting task to a worker and marks its job as changed;
//   takeChanges()  hands out the records of changed jobs for the store;
//   onSaved()      releases the orders that depended on a record.
//
// Sections:
//   [1] Workers as reported
//   [2] Orders
//   [3] Settings
//   [4] Interference
//   [5] State
//   [6] Scheduler
#pragma once

#include "jobs/jobs.h"
#include "ports/ports.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonledge {

// [1] Workers as reported

/// What a worker says about itself in the service registry.
struct WorkerEntry
{
    WorkerId id;
    WorkerIncarnation incarnation;
    ServiceId service;
    Address address;
    DomainId domain;
    bool draining = false;
    Duration remaining{}; // while draining: it stays at least this long
    MilliCores cpu;
    MebiBytes memory;
    int accelerators = 0;
    std::vector<std::string> labels; // kind and rack
    std::uint64_t clock = 0; // its own clock in ms when it wrote the entry; 0: not said
};

enum class RunEnd {
    Done,
    Failed, // by its own fault or the worker's
    Stopped, // by an order
    Lapsed, // the worker's lease ran out
    Broken, // another member of the gang ended
    Alone, // the other members of the gang did not come in time
};

struct RunningTask
{
    TaskRef task;
    RunNumber run;
    std::string checkpoint;
    int percent = 0; // progress; of a task that lasts: 100 while it is at work
    double usage = 0; // tail in ms of a task that serves, otherwise thousandths of a core
};

struct FinishedTask
{
    std::uint64_t number = 0; // position in the worker's list of ends
    TaskRef task;
    RunNumber run;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// Answer of a worker to a renewal of its lease.
struct RunReport
{
    std::uint64_t clock = 0; // the worker's own clock in milliseconds
    WorkerIncarnation incarnation;
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished; // those after the acknowledged position
};

// [2] Orders

struct StartOrder
{
    TaskRef task;
    RunNumber run;
    WorkerId worker;
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
    int percent = 100; // share of its speed at which the task may work
};

enum class StartOutcome {
    Started,
    NoRoom, // refused; did not run and will not
    OldRun, // refused, because this or a higher run was stopped there
    Refused, // refused for another reason; did not run and will not
    Unknown, // no answer: it may run now or later
};

/// A record to be written.
struct JobChange
{
    JobId job;
    std::uint64_t version = 0; // counts the changes of the job in this process
    std::string record; // encoded JobProgress
    JobState state = JobState::Pending;
};

// [3] Settings

struct SchedulingSettings
{
    Duration reachableFor = milliseconds(2500); // without a report for longer, it gets no new task
    Duration longestLease = milliseconds(6400); // of a worker, by this host's clock
    Duration retryDelay = milliseconds(50); // after the second failed run, doubled with each more
    Duration maxRetryDelay = seconds(2);
    Duration startLag = milliseconds(300); // a run unseen for this long after its start is lost
    int failuresToSetAside = 3; // runs in a row that fail on a worker
    Duration setAsideFor = seconds(4);
    double maxSetAside = 0.34; // share of the workers
    Duration stallTime = seconds(4); // without progress, a task counts as stalled
    double stallFactor = 3; // of the estimate, without progress
    double idleShare = 0.5; // of a serving task's processors that filling tasks are expected to get
    double minFillShare = 0.6; // of its processors that must be idle before a filling task starts
    double plannedTail = 0.9; // of the tail target, that filling tasks may bring it up to
    double servingWeight = 2.7; // filling tasks that a serving task over its target outweighs
    double placementHarm =
            1.5; // the same at its placement; paces can avoid a part of the harm later
    Duration figureAge = milliseconds(300); // of usages and tails: they cover the last half second
    Duration paceInterval = milliseconds(250); // between two decisions on a worker's paces
    Duration paceHorizon = milliseconds(600); // loads are expected this far ahead
    Duration overToCrawl = milliseconds(600); // over the target for longer, filling tasks crawl
    Duration overToStandstill = milliseconds(1600); // and for longer than this, they stand still
    double minStartSpeed = 0.4; // of its full speed, that a filling task must get at its start
    int evictPace = 25; // percent; a task that has to be slower for a while is moved away
    Duration evictAfter = milliseconds(1500);
    double optimism = 0.85; // of its remaining work, that a job must be able to do by its objective
    double lateFactor = 3; // objectives after which the result of a job is worth nothing
    Duration preemptAfter = milliseconds(700); // wait of a lasting task before others make room
};

// [4] Interference

/// Position of an image in the tables of the model.
using ImageIndex = std::size_t;

/// Use of a worker by the filling tasks of one image.
struct FillLoad
{
    ImageIndex image = 0;
    double share = 0; // of the worker's processors
};

/// Usual load of a serving task, assumed before there are figures.
constexpr double UsualServingLoad = 0.5;

/// Load of a serving step over time. Its tasks share it, because the users of a service are spread
/// over all replicas; so each report of any replica improves the estimate for all of them. Level
/// and slope are fitted to the figures of the last seconds, and a rise is seen before it hurts.
class LoadTrend
{
public:
    /// One figure. `weight` is between 0 and 1; figures that say little about the load have less.
    void add(double load, double weight, Time when);
    /// The load expected at a time shortly before or after the last figure.
    double at(Time when) const;
    /// The highest load expected between two times.
    double highest(Time from, Time until) const;
    /// The load at the busy times of the last while.
    double busy() const { return busy_; }

private:
    // Sums over the figures, each with its weight; times are in seconds relative to `last_`.
    double weight_ = 0;
    double time_ = 0;
    double squaredTime_ = 0;
    double load_ = 0;
    double timeByLoad_ = 0;
    double busy_ = UsualServingLoad;
    Time last_{};
};

/// Learns how much filling tasks press on the serving tasks beside them. Some pairs of images press
/// hard, others not at all, so the estimate is kept for each pair.
///
/// A serving task behaves like a queue, whose tail is its service time / (1 - load x service time).
/// Each filling task stretches the service time, in proportion to the share of the worker that it
/// uses. The load is that of the serving step, for service times without filling tasks.
/// The utilization that a tail shows, 1 - unloaded tail / tail, is then the load plus
/// 1 - 1 / stretch.
class InterferenceModel
{
public:
    /// The index of an image, which is added if it is new.
    ImageIndex indexOf(const std::string &image);

    std::size_t imageCount() const { return names_.size(); }
    /// Utilization that a tail shows; `tail` is in relation to its target.
    static double utilizationOf(double tail);
    /// One figure of a serving task. `load` is the one of its step, and is updated. `when` is the
    /// time that the figure stands for.
    void observe(ImageIndex serving, double tail, const std::vector<FillLoad> &fills,
                 LoadTrend &load, Time when);
    /// Factor on service times that raises the utilization by so much, and back: the rise of the
    /// utilization by a rise of service times.
    static double stretchOf(double utilizationRise);
    static double utilizationRise(double serviceTimeRise);
    /// Rise of service times for a pair, per share of the worker used.
    double pressure(ImageIndex fill, ImageIndex serving) const
    {
        return victims_[serving].pressures[fill];
    }

private:
    /// What presses on one serving image: a least-squares estimate that is updated by each figure.
    struct Victim
    {
        std::vector<double> pressures; // by filling image
        std::vector<std::vector<double>> covariance; // of the estimates
    };

    std::vector<std::string> names_;
    std::vector<Victim> victims_; // by serving image
};

// [5] State

struct ScheduledJob;
struct ScheduledWorker;

/// How far the current run of a task is known to have got.
enum class RunKnowledge {
    None, // no current run
    Saving, // assigned; the record is not known to be stored
    Sent, // the start order is out
    Running, // the worker has confirmed it
    Uncertain, // the start order was not answered
    Inherited, // recorded by a former coordinator
    Stopping, // a stop order is out
};

struct ScheduledTask
{
    ScheduledJob *job = nullptr;
    TaskRef ref;
    TaskProgress progress;
    RunKnowledge knowledge = RunKnowledge::None;
    ScheduledWorker *worker = nullptr; // of the current run, if that worker is known
    std::uint64_t assignedIn = 0; // version of the job that first holds the current run
    Time sentAt{}; // of the start order or the last stop order
    bool stopAnswered = false; // the worker has carried out the stop order
    Time confirmedAt{}; // when the worker last showed the run
    Time startedAt{}; // when the run was confirmed first
    Time waitingSince{};
    Time notBefore{}; // earliest time of the next run
    Time progressAt{}; // when `percent` last changed
    int percent = 0;
    int pace = 100; // percent
    Time slowSince{}; // when the pace fell below the one for eviction
    double usage =
            0; // as reported: tail in ms of a task that serves, otherwise thousandths of a core
    std::optional<Time> overSince; // a task that serves: its tail has been over its target since
    std::vector<WorkerId> failedOn;
    ImageIndex image = 0;
};

struct ScheduledJob
{
    JobSpec spec;
    QueueSpec queue; // as configured when last seen
    JobState state = JobState::Pending;
    std::deque<ScheduledTask> tasks; // by occurrence, step and index; addresses stay valid
    std::vector<int> stepStart; // index of a step's first task within an occurrence
    int tasksPerOccurrence = 0;
    int waitingTasks = 0;
    Time submittedAt{};
    Duration chain{}; // the longest chain of estimates
    double work = 0; // estimated core-seconds
    std::uint64_t version = 0;
    std::uint64_t savedVersion = 0;
    std::uint64_t savingVersion = 0; // handed out and not answered; 0: none
    bool changed = false; // in the list of changes
    bool lasts = false; // has a step that runs until the job is cancelled
    std::vector<int> doneTasks; // by stepIndex()
    std::vector<LoadTrend> loads; // of serving steps, without filling tasks; by stepIndex()
    Time finalAt{};

    /// Position of a step of one occurrence in the tables above.
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

/// An end that may be acknowledged once the record of its job is stored.
struct PendingEnd
{
    std::uint64_t number = 0;
    JobId job;
    std::uint64_t version = 0;
};

struct ScheduledWorker
{
    WorkerEntry entry;
    bool listed = true; // in the registry
    bool known = false; // has answered in this incarnation
    bool suspect = false; // the last call to it failed
    Time lastReport{};
    Time lapseAt{}; // by then every lease that was given has run out
    std::uint64_t acknowledged = 0; // position in the list of ends that may be forgotten
    std::deque<PendingEnd> pendingEnds;
    std::uint64_t lastEnd = 0; // highest end that was applied
    std::vector<ScheduledTask *> tasks; // that have or may have a run here
    std::int64_t cpuUsed = 0; // thousandths, of tasks that do not fill
    std::int64_t memoryUsed = 0;
    int acceleratorsUsed = 0;
    double servingCpu = 0; // thousandths, part of cpuUsed that belongs to serving tasks
    double fillCpu = 0; // thousandths, asked for by filling tasks
    std::vector<int> servingByImage; // number of serving tasks
    std::vector<double> fillByImage; // thousandths, asked for by filling tasks
    int failuresInRow = 0; // of different jobs
    JobId lastFailedJob;
    Time setAsideUntil{};
    Duration setAsideFor{};
    Time noRoomUntil{}; // after a refusal
    std::uint64_t changedIn = 0; // pass of planning since which it may bear more than before
    Time pacedAt{}; // when the pace of its filling tasks was last decided
};

// [6] Scheduler

struct RefusedNeed;

class Scheduler
{
public:
    /// `lostLeaseAfter`: how long after the start of this coordinator the runs of a former one may
    /// still exist on a worker that cannot be reached.
    Scheduler(SchedulingSettings settings, Duration lostLeaseAfter, LogHook log, Time now);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void setConfig(const QueueConfig &config);

    /// Adds a job. `progress` is empty for a new one.
    void addJob(const JobSpec &spec, const std::optional<JobProgress> &progress, Time submittedAt,
                Time now);
    void cancelJob(const JobId &id, Time now);
    /// Forgets a job whose record was removed.
    void removeJob(const JobId &id);

    /// Replaces the list of workers.
    void setWorkers(const std::vector<WorkerEntry> &entries, Time now);
    /// A report that answers a renewal sent at `sentAt`.
    void onReport(const WorkerId &id, Time sentAt, const RunReport &report, Time now);
    /// A call to the worker failed; it gets no new task before its next report.
    void onUnreachable(const WorkerId &id);
    /// Nobody has renewed the leases of this life of the worker since before this coordinator
    /// began.
    void onNotRenewed(const WorkerId &id, WorkerIncarnation incarnation, Time now);
    /// All leases given to the worker end at `lapseAt`.
    void onLeaseGiven(const WorkerId &id, Time lapseAt);
    void onStartAnswered(const StartOrder &order, StartOutcome outcome, Time now);
    /// `stopped`: the worker has carried out the order.
    void onStopAnswered(const StopOrder &order, bool stopped, Time now);

    /// Decides. Call it after events, not more often than every few milliseconds.
    void plan(Time now);
    /// The time of day, by which repeated jobs become due.
    void setWallClock(WallMilliseconds wall, Time now);
    /// The steady time of a time of day in the past; `now` if the time of day is not known.
    Time timeOf(WallMilliseconds wall, Duration maxAge, Time now) const;

    /// At most `max` records to write. Each is answered by onSaved() or onSaveFailed().
    std::vector<JobChange> takeChanges(std::size_t max);
    void onSaved(const JobId &id, std::uint64_t version, Time now);
    /// The record was not written; the change is handed out again.
    void onSaveFailed(const JobId &id);

    std::vector<StartOrder> takeStarts();
    std::vector<StopOrder> takeStops();
    std::vector<PaceOrder> takePaces();

    /// Position in the worker's list of ends that may be acknowledged.
    std::uint64_t acknowledgeable(const WorkerId &id) const;
    /// True if filling tasks press a serving task there near its target, so that figures are wanted
    /// sooner than usual.
    bool isPressed(const WorkerId &id) const;
    /// True if ends wait for their records.
    bool hasPendingEnds(const WorkerId &id) const;
    /// Jobs that ended before `time`.
    std::vector<JobId> finalBefore(Time time) const;

    const std::unordered_map<JobId, std::unique_ptr<ScheduledJob>> &jobs() const { return jobs_; }
    const std::map<WorkerId, std::unique_ptr<ScheduledWorker>> &workers() const { return workers_; }
    bool hasChanges() const { return !changes_.empty(); }

private:
    ScheduledTask *findTask(const TaskRef &ref);
    const StepSpec &stepOf(const ScheduledTask &task) const;
    void addOccurrence(ScheduledJob &job, Time now);
    void addDueOccurrences(Time now);
    void finish(ScheduledJob &job, JobState state, Time now);
    void inherit(ScheduledTask &task, const TaskProgress &progress);
    void markChanged(ScheduledJob &job);
    void noteStarted(ScheduledTask &task, Time now);
    void updateState(ScheduledJob &job, Time now);
    bool isRunnable(const ScheduledJob &job, const ScheduledTask &task) const;

    void logListed(const WorkerEntry &entry);
    void beginLife(ScheduledWorker &worker, Time now);
    void reserve(ScheduledWorker &worker, ScheduledTask &task);
    void release(ScheduledTask &task);
    void noteChanged(ScheduledWorker &worker);
    void makeWaiting(ScheduledTask &task, Duration delay, Time now);
    void applyEnd(ScheduledWorker &worker, const FinishedTask &end, Time now);
    void endRun(ScheduledTask &task, RunEnd end, const std::string &checkpoint, Time now);
    void noteEnd(ScheduledWorker &worker, const JobId &job, RunEnd end, Time now);
    void applyRunning(ScheduledWorker &worker, const RunningTask &running, Time now);
    void findLostRuns(ScheduledWorker &worker, Time sentAt, Time now);
    void loseWorkerRuns(ScheduledWorker &worker, Time now);
    void stopRun(ScheduledTask &task, Time now);

    void checkWorkers(Time now);
    void checkStalled(ScheduledWorker &worker, Time now);
    void learnInterference(ScheduledWorker &worker, Time now);
    void paceFilling(ScheduledWorker &worker, Time now);
    void evictSlow(ScheduledWorker &worker, Time now);
    struct ServingSlack;
    /// The load of serving steps that a decision counts with.
    enum class LoadBasis {
        Expected, // until the next decision
        Busy, // at busy times, which a task that starts now may meet
    };
    std::vector<ServingSlack> servingSlack(const ScheduledWorker &worker, LoadBasis basis,
                                           Time now) const;
    double paceLimit(const ScheduledWorker &worker, const ScheduledTask &fill, Time now) const;
    struct FillOutlook;
    const FillOutlook &outlookOf(const ScheduledWorker &worker, Time now) const;
    double openness(const std::vector<ServingSlack> &servings) const;
    double fillUse(const ScheduledWorker &worker, double cpu,
                   const std::vector<ServingSlack> &servings) const;
    double paceOf(const ScheduledTask &fill, double cpu,
                  const std::vector<ServingSlack> &slack) const;
    bool isHard(const ScheduledTask &fill, double cpu,
                const std::vector<ServingSlack> &servings) const;
    double easyPace(const std::vector<ServingSlack> &servings, double easyTasks) const;
    double fillGain(const ScheduledWorker &worker, const ScheduledTask &fill, Time now) const;
    LoadTrend &loadOf(const ScheduledTask &serving);
    double servingScore(const ScheduledWorker &worker, const ScheduledTask &task) const;
    void learnDuration(const ScheduledTask &task, Time now);
    double durationFactor(const ScheduledJob &job) const;
    Time objectiveOf(const ScheduledJob &job) const;
    Duration remainingChain(const ScheduledJob &job) const;
    void drainWorker(ScheduledWorker &worker, Time now);
    bool isUsable(const ScheduledWorker &worker, Time now) const;
    std::vector<ScheduledJob *> orderJobs(Time now);
    void assignJob(ScheduledJob &job, Time now);
    void assignGang(ScheduledJob &job, int occurrence, int step, Time now);
    RefusedNeed *findRefused(const ScheduledTask &task) const;
    void noteRefused(const ScheduledTask &task);
    void beginPass(Time now);
    struct Candidate;
    std::optional<double> scoreOf(const ScheduledWorker &worker, const ScheduledTask &task,
                                  Time now) const;
    std::vector<Candidate> candidatesFor(const ScheduledTask &task, std::uint64_t since,
                                         Time now) const;
    bool assignToBest(ScheduledTask &task, std::vector<Candidate> &candidates, Time now);
    ScheduledWorker *choose(const ScheduledTask &task, Time now) const;
    void assign(ScheduledTask &task, ScheduledWorker &worker);
    void logAssigned(const ScheduledJob &job, const std::vector<const ScheduledTask *> &tasks,
                     Time now) const;
    void makeRoom(const ScheduledTask &task, Time now);

    SchedulingSettings settings_;
    Duration lostLeaseAfter_;
    LogHook log_;
    Time startedAt_;
    std::map<QueueId, double> durationFactors_; // real to estimated durations
    std::optional<std::int64_t> wallOffset_; // time of day less the steady clock, in ms
    QueueConfig config_;
    InterferenceModel interference_;
    std::unordered_map<JobId, std::unique_ptr<ScheduledJob>> jobs_;
    std::map<WorkerId, std::unique_ptr<ScheduledWorker>> workers_;
    std::vector<ScheduledJob *> active_; // not final
    std::deque<JobId> changes_;
    std::vector<StartOrder> starts_;
    std::vector<StopOrder> stops_;
    std::vector<PaceOrder> paces_;
    struct PlanPass;
    std::unique_ptr<PlanPass> pass_; // empty between two passes
};

/// "job.occurrence.step.index", for logs.
std::string describe(const TaskRef &ref);

/// Share of a worker's idle processors that a task which fills would get there, at most 1.
double expectedFillShare(const ScheduledWorker &worker, const StepSpec &step,
                         const SchedulingSettings &settings);

} // namespace monsoonledge
