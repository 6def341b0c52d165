// Jobs: what clients submit, what operators configure about queues, and the records of both.
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
/// Number of one run of a task; grows by one with each start.
using RunNumber = Number<struct RunTag>;
/// Distinguishes the lives of a worker: the Unix time in milliseconds of its start.
using WorkerIncarnation = Number<struct WorkerIncarnationTag>;

/// Milliseconds since 1970 by a host's time of day, which may jump.
using WallMilliseconds = Number<struct WallTag>;

/// One task of a job.
struct TaskRef
{
    JobId job;
    int occurrence = 0; // counts from 0; 0 for jobs that are not repeated
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
    Duration estimate{}; // the client's guess of one task's duration
    std::vector<int> after; // steps whose tasks must all be done before
    bool checkpointing = false; // an ended run leaves a checkpoint to resume from
    bool gang = false; // the tasks work only while all of them run
    bool colocated = false; // slower if the tasks run on several racks
    bool speculative = false; // several runs of one task are allowed at a time
    bool longRunning = false; // runs until the job is cancelled, and is restarted whenever it ends
    bool fills = false; // uses only processor time that other tasks leave idle
    std::string requirement; // label that the worker must have; empty: none
    std::string affinity; // rack where the data is; empty: none
    int antiAffinity = 0; // tasks of the step allowed on one worker; 0: any number
    std::string image; // tasks of the same image behave alike
    Duration tailTarget{}; // limit of the tail latency of a task that serves; 0: none
    int maxUnavailable = 0; // tasks that the system may interrupt at the same time; 0: no limit
};

struct JobSpec
{
    JobId id;
    QueueId queue;
    std::string payload; // passed to workers as it is
    std::vector<StepSpec> steps;
    int occurrences = 0; // 0: the steps run once, at once
    WallMilliseconds firstDue; // of occurrence 0
    Duration interval{}; // between two occurrences
    WallMilliseconds submitted; // when the entry process received it
};

/// Returns why the job can never be run, or an empty string.
std::string findJobFault(const JobSpec &spec);

/// The longest chain of estimates through the steps.
Duration criticalPath(const JobSpec &spec);

/// Processor time of all tasks by the client's estimates, in core-seconds.
double estimatedWork(const JobSpec &spec);

// [3] Progress

enum class JobState { Pending, Active, Completed, Failed, Cancelled };

enum class TaskPhase {
    Waiting, // no run exists
    Assigned, // a run is recorded for a worker; it may have been started there
    Done,
    Failed, // has used up its attempts
};

struct TaskProgress
{
    TaskPhase phase = TaskPhase::Waiting;
    RunNumber run; // the last one that was assigned; 0: none
    int failures = 0; // runs that ended as failed
    WorkerId worker; // of the last run
    WorkerIncarnation incarnation; // of that worker
    std::string checkpoint; // to resume from; empty: none
};

struct JobProgress
{
    JobState state = JobState::Pending;
    std::vector<TaskProgress> tasks; // by occurrence, step and index; grows with the occurrences
};

bool isFinal(JobState state);

// [4] Queues

struct QueueSpec
{
    QueueId id;
    std::string host; // of the requests that belong to the queue
    std::string pathPrefix;
    ServiceId service; // its workers run the tasks
    int priority = 0; // 0 comes first
    int maxAttempts = 1; // failed runs after which a task has failed
    double slackFactor = 1; // of the critical path, allowed for the whole job
    Duration targetLatency{}; // allowed on top
    bool needsAdvice = false; // an outside service decides which workers may run a step
};

struct ServiceSpec
{
    ServiceId id;
    bool guardsCapacity = true; // its workers refuse what does not fit
    bool standby = false; // its machines are switched off
};

struct QueueConfig
{
    std::uint64_t version = 0; // 0: none received
    std::vector<QueueSpec> queues;
    std::vector<ServiceSpec> services;

    /// The queue with the longest matching path prefix, or null.
    const QueueSpec *route(const std::string &host, const std::string &path) const;
    const QueueSpec *find(const QueueId &id) const;
};

// [5] Records

/// Compact binary forms for the store. Decoding returns nothing if the bytes are no valid record.
std::string encodeSpec(const JobSpec &spec);
std::optional<JobSpec> decodeSpec(const std::string &bytes);
std::string encodeProgress(const JobProgress &progress);
std::optional<JobProgress> decodeProgress(const std::string &bytes);
/// The state alone, without decoding the tasks.
std::optional<JobState> decodeState(const std::string &progressBytes);

} // namespace monsoonledge
