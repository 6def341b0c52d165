// What planning passes share: cached results, and types and helpers of placement. Private to
// src/scheduling.
//
// If the backlog far exceeds the capacity, a pass looks at tens of thousands of waiting tasks and
// starts only a few of them. Two caches keep that cheap: a resource request for which no worker was
// found is tried again only on workers that have changed since, and the best-effort load that a
// worker tolerates is computed again only when its tasks change.
#pragma once

#include "scheduling/scheduling.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace monsoonledge {

constexpr Duration StopRetryDelay = milliseconds(600); // of a stop order that was not confirmed
/// How long an order for a former incarnation of a worker may be on its way to the present one.
constexpr Duration MaxOrderDelay = milliseconds(500);

/// How much interference a serving task tolerates. Increases are those of its service time,
/// relative to the service time without best-effort tasks.
struct Scheduler::ServingSlack
{
    ImageIndex image = 0;
    double load = 0; // assumed load of its step
    double slack = 0; // increase at which the tail reaches SchedulingSettings::plannedTailRatio
    double increaseAtFullPace = 0; // if the worker's best-effort tasks run at full pace
};

/// How much best-effort load a worker tolerates at busy times of its serving tasks.
struct Scheduler::BestEffortOutlook
{
    std::vector<ServingSlack> servings;
    std::vector<double> overTargetProbabilities; // of each serving task exceeding its target now
    bool hasTaskWithOwnPace = false; // true for at least one best-effort task on the worker
    double averageImagePace = 0; // of a typical best-effort task, over all known images
};

/// Resource request for which no worker was found.
struct UnplacedRequest
{
    ServiceId service;
    bool bestEffort = false;
    ImageIndex image = 0; // compared for best-effort tasks only
    std::string requirement; // label that the worker must have; empty: none
    std::uint64_t cpu = 0; // millicores
    std::uint64_t memory = 0; // MiB
    int accelerators = 0;
    std::uint64_t lastTriedInPass = 0; // number of the planning pass
    Time lastTriedAt{};
};

/// Why a task cannot run on a worker now.
enum class Scheduler::Obstacle {
    None,
    ClosedDomain, // by the operator
    Unlisted, // gone from the registry, or its process has ended
    Draining,
    Unreachable, // no recent report
    RefusedStart, // refused a run a moment ago
    Quarantined,
    OnTrial, // after its quarantine, while it runs one task that shows whether it works again
    OtherService,
    Memory,
    Accelerators,
    Processors,
    Label,
    AntiAffinity,
    WarmingUp, // the worker is slow for now and has work in proportion
    Isolation, // of a task that may crash its worker: this one, or one that was started there
    Slow, // the worker is slow, and the task would make its job late there or be done earlier
          // elsewhere
    NoGain, // a best-effort task that would find too few idle processors, or disturb serving tasks
    Count
};

/// By what scoreOf() compares the workers that can run a task.
enum class Scheduler::PlacementRule {
    BestFit, // the fullest worker, which keeps large gaps for large tasks
    ServingImages, // of a serving task: beside serving tasks of the same image
    BestEffortGain, // of a best-effort task: idle processors and little interference
};

/// A worker that can run the tasks of a step.
struct Scheduler::Candidate
{
    double score = 0;
    ScheduledWorker *worker = nullptr;
};

/// True if the two tasks are the same or members of one gang, which start and end together.
bool startTogether(const ScheduledTask &a, const ScheduledTask &b);
/// Failure domain and labels of a worker, one of which names its rack.
std::string placeOf(const WorkerEntry &worker);
/// Processor time of one task, in core-seconds, by the client's estimate (countedDuration()).
double coreSecondsOf(const StepSpec &step);
bool hasLabel(const WorkerEntry &worker, const std::string &label);
/// The number of tasks on the worker that belong to the same step and occurrence of the job.
int countTasksOfStep(const ScheduledWorker &worker, const TaskRef &ref);

/// When runs on workers that are not slow are expected to end, of one service and either of
/// best-effort tasks or of others.
struct Scheduler::ExpectedReleases
{
    std::optional<Time> builtAt;
    std::vector<std::pair<Time, std::int64_t>> ends; // with the CPU in millicores, by time
    std::int64_t reserved = 0; // millicores that tasks of jobs before will take
    std::uint64_t reservedInPass = 0; // planning pass of `reserved`
    // The first `covered` ends free `freed` millicores. Kept from one look-up to the next, as the
    // tasks of a pass want later and later ones.
    std::size_t covered = 0;
    std::int64_t freed = 0;
};

struct Scheduler::PlanCache
{
    std::uint64_t passNumber = 1; // of the current planning pass
    Time startedAt{}; // of the current planning pass
    Time clearedAt{};
    std::vector<UnplacedRequest> unplacedRequests;
    std::unordered_map<const ScheduledWorker *, BestEffortOutlook> outlooks;
    std::map<std::pair<ServiceId, bool>, ExpectedReleases>
            expectedReleases; // true: of best-effort tasks
    int failedSlowScans = 0; // of this pass, for a slow worker with room
    std::optional<double> bestSlowSpeed; // in this pass, of the slow workers; empty: not known
};

} // namespace monsoonledge
