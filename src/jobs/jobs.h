// Jobs as submitted by clients, queues as configured by operators, and the stored records of jobs.
//
// A job consists of steps, a step of tasks. A task is executed by runs, numbered from 1; at most
// one run of a task exists at a time. The specification of a job never changes; its progress does,
// and only the coordinator changes it.
//
// Sections:
//   [1] Ids
//   [2] Specification
//   [3] Progress
//   [4] Queues
//   [5] Records
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoonledge {

// [1] Ids

/// A job, by the id that its client chose.
using JobId = StringId<struct JobTag>;
/// A queue, as named in the configuration.
using QueueId = StringId<struct QueueTag>;
/// A worker process. A restarted worker may keep its id; its incarnation then differs.
using WorkerId = StringId<struct WorkerTag>;
/// The number of a run of a task, which increases by one with each start.
using RunNumber = Number<struct RunTag>;
/// Distinguishes the starts of a worker: the Unix time of its start in milliseconds.
using WorkerIncarnation = Number<struct WorkerIncarnationTag>;

/// Milliseconds since 1970 by the time-of-day clock of a host, which may jump.
using WallMilliseconds = Number<struct WallTag>;

/// One task of a job.
struct TaskRef
{
    JobId job;
    int occurrence = 0; // from 0; always 0 for jobs that are not repeated
    int step = 0;
    int index = 0; // within the step

    friend bool operator==(const TaskRef &a, const TaskRef &b)
    {
        return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step
               && a.index == b.index;
    }
};

// [2] Specification

struct StepSpec
{
    int count = 1; // number of tasks
    MilliCores cpu; // of each task
    MebiBytes memory;
    int accelerators = 0;
    Duration estimate{}; // duration of one task, as estimated by the client
    std::vector<int> after; // steps that must be done before this one starts
    bool checkpointing = false; // a run that has ended leaves a checkpoint to resume from
    bool gang = false; // the tasks make progress only while all of them run
    bool colocated = false; // the tasks are slower if they run on several racks
    bool speculative = false; // a task may have several runs at the same time
    bool longRunning = false; // runs until the job is cancelled, and is restarted whenever it ends
    bool bestEffort = false; // uses only processor time that other tasks leave idle
    std::string requirement; // label that the worker must have; empty: none
    std::string affinity; // label of workers near the data, such as a rack; empty: none
    int antiAffinity = 0; // highest number of its tasks on one worker; 0: no limit
    std::string image; // tasks of the same image are assumed to behave alike
    Duration tailLatencyTarget{}; // limit of the tail latency of a serving task; 0: none
    int maxUnavailable = 0; // tasks that may be interrupted at the same time; 0: no limit
};

/// What the configuration of a queue means for its jobs.
struct QueueTerms
{
    ServiceId service; // whose workers run the tasks
    int priority = 0; // 0: the highest priority
    int maxAttempts = 1; // failed runs after which the task fails
    double slackFactor = 1; // multiple of the critical path that is allowed for the job
    Duration targetLatency{}; // added to that allowance
};

struct JobSpec
{
    JobId id;
    QueueId queue;
    QueueTerms terms; // of the queue at submission; apply once it has been removed
    std::string payload; // passed to workers unchanged
    std::vector<StepSpec> steps;
    int occurrences = 0; // 0: the steps run once, without waiting for firstDue
    WallMilliseconds firstDue; // of occurrence 0
    Duration interval{}; // between two occurrences
    WallMilliseconds submitted; // when the entry process received it
};

// Limits of what clients, workers and other writers may state. Larger values are errors; arithmetic
// on values within the limits cannot overflow.
constexpr std::int64_t MaxDurationMs = std::int64_t{366} * 24 * 3600 * 1000; // a year
constexpr std::uint64_t MaxTimestampMs = 4102444800000; // the year 2100 in Unix time
constexpr std::uint64_t MaxCapacity = 1000000000; // processor time in millicores, or memory in MiB
constexpr int MaxAccelerators = 100000;
constexpr double MaxQueueNumber = 1e6; // priorities and attempts of a queue
constexpr double MaxSlackFactor = 100; // of a queue
constexpr int MaxTasksOfAllOccurrences = 200000; // of a job; each task takes memory

/// Returns the reason why the job can never run, or an empty string. Clients see the reason.
std::string validateJob(const JobSpec &spec);

/// The duration of the longest chain of dependent steps, by the client's estimates.
Duration criticalPath(const JobSpec &spec);

/// The processor time of all tasks in core-seconds, by the client's estimates.
double estimatedCoreSeconds(const JobSpec &spec);

// [3] Progress

enum class JobState { Pending, Active, Completed, Failed, Cancelled };

enum class TaskPhase {
    Waiting, // no run exists
    Assigned, // a run is recorded for a worker; it may have been started there
    Done,
    Failed, // has used up its attempts
};

/// What is known of the end of a worker that was lost shortly after a start.
enum class LossEnd {
    Unknown, // it may still exist
    BeforeOrder, // it had ended before the start order was sent
    RightAfter, // it has ended, right after the start
    Later, // it has ended, possibly long after the start
    Removed, // its registry entry is gone
};

/// A start that was lost with its worker before it had proven to survive.
struct StartLoss
{
    RunNumber run;
    WorkerId worker;
    WorkerIncarnation incarnation; // of that worker
    std::string address; // of that worker; empty: not known
    std::string place; // failure domain and labels of that worker; empty: not known
    WallMilliseconds orderedAt; // when the start was assigned; 0: not known
    LossEnd end = LossEnd::Unknown;
    bool isConfirmed = false; // the worker has answered the start
    bool wasReachable = false; // the worker was heard shortly before the start order
    bool isOnlySuspect = false; // no other task or gang may have caused the loss
    bool isCorrelated = false; // other workers of its rack or failure domain were lost with it
};

struct TaskProgress
{
    TaskPhase phase = TaskPhase::Waiting;
    RunNumber run; // number of the last assigned run; 0: none
    int failures = 0; // runs that ended as failed
    WorkerId worker; // of the last run
    WorkerIncarnation incarnation; // of that worker
    std::string checkpoint; // to resume from; empty: none
    // Starts in a row that were lost with their worker before they had proven to survive.
    int lostStarts = 0;
    int crashes = 0; // those of them that nothing else can have caused
    bool startConfirmed = false; // the worker has begun the last run; kept after lost starts only
    WallMilliseconds orderedAt{}; // when the last run was assigned; kept after lost starts only
    std::vector<StartLoss> losses{}; // lost starts in a row, oldest first; a few of the latest
};

struct JobProgress
{
    JobState state = JobState::Pending;
    std::vector<TaskProgress> tasks; // by occurrence, step and index; grows with the occurrences
};

bool isFinal(JobState state);

// [4] Queues

struct QueueSpec : QueueTerms
{
    QueueId id;
    std::string httpHost; // HTTP host name of the requests that belong to the queue
    std::string pathPrefix;
    bool needsPlacementAdvice = false; // an external service decides which workers may run a step
};

struct ServiceSpec
{
    ServiceId id;
    bool hasAdmissionControl = true; // its workers refuse tasks that do not fit
    bool standby = false; // its hosts are switched off
};

struct QueueConfig
{
    std::uint64_t version = 0; // 0: no configuration received
    std::vector<QueueSpec> queues;
    std::vector<ServiceSpec> services;

    /// The queue of this host name with the longest matching path prefix, or null.
    const QueueSpec *route(const std::string &httpHost, const std::string &path) const;
    const QueueSpec *find(const QueueId &id) const;
};

/// Number of accepted jobs of which no task has started, as the coordinator publishes it.
struct BacklogReport
{
    std::uint64_t revision = 0; // of the store: jobs submitted up to it are counted
    std::map<QueueId, int> jobs; // by queue; queues without a backlog are left out
    // Input for admission, encoded by src/overload; empty: none, as in records of earlier code.
    std::string admission;
};

// [5] Records

/// Compact binary records for the store. Decoding returns nothing if the bytes are not a valid
/// record.
std::string encodeSpec(const JobSpec &spec);
std::optional<JobSpec> decodeSpec(const std::string &bytes);
std::string encodeProgress(const JobProgress &progress);
std::optional<JobProgress> decodeProgress(const std::string &bytes);
/// Decodes only the state, which is cheaper than decoding the tasks.
std::optional<JobState> decodeState(const std::string &progressBytes);
std::string encodeBacklog(const BacklogReport &report);
std::optional<BacklogReport> decodeBacklog(const std::string &bytes);

} // namespace monsoonledge
