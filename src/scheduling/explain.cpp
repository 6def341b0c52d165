// Answers where a new job would be placed now. The placement functions run on a copy of the
// workers, in a scheduler of its own that is discarded afterwards: placing a task changes its
// worker, the caches of the planning pass and the table of images, none of which a query may
// change.
#include "scheduling/explanation.h"
#include "scheduling/planpass_p.h"

#include <algorithm>
#include <array>

namespace monsoonledge {

namespace {

constexpr std::size_t MaxListedPlacements = 20; // of one step
constexpr int MaxExaminedTasks = 400; // of one job, to bound the time that the event loop stops

TaskPlacement describePlacement(const ScheduledTask &task, const ScheduledWorker &worker)
{
    const WorkerEntry &entry = worker.entry;
    TaskPlacement placement;
    placement.task = task.ref.index;
    placement.worker = entry.id;
    placement.domain = entry.domain;
    placement.labels = entry.labels;
    placement.freeCpu = static_cast<std::int64_t>(entry.cpu.value) - worker.reservedCpu;
    placement.freeMemory = static_cast<std::int64_t>(entry.memory.value) - worker.reservedMemory;
    return placement;
}

} // namespace

const char *Scheduler::placementRuleName(PlacementRule rule)
{
    switch (rule) {
    case PlacementRule::BestFit:
        return "bestFit";
    case PlacementRule::ServingImages:
        return "servingImages";
    case PlacementRule::BestEffortGain:
        return "bestEffortGain";
    }
    return "bestFit";
}

/// The number of workers by what keeps the task from running there.
std::vector<std::pair<const char *, int>> Scheduler::countObstacles(const ScheduledTask &task,
                                                                    Time now) const
{
    std::array<int, static_cast<std::size_t>(Obstacle::Count)> workers{};
    for (const auto &[id, worker] : workers_) {
        Obstacle obstacle = obstacleOn(*worker, task, now);
        if (obstacle == Obstacle::None && !scoreOf(*worker, task, now))
            obstacle = Obstacle::NoGain;
        ++workers.at(static_cast<std::size_t>(obstacle));
    }
    std::vector<std::pair<const char *, int>> counts;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (workers.at(i) > 0)
            counts.emplace_back(obstacleName(static_cast<Obstacle>(i)), workers.at(i));
    }
    return counts;
}

/// A scheduler with the given job and a copy of all workers. The runs on the workers are not
/// copied: they belong to the jobs of this scheduler and must not be changed.
std::unique_ptr<Scheduler> Scheduler::copyForQuery(const JobSpec &spec, Time now) const
{
    auto copy = std::make_unique<Scheduler>(
            settings_, formerLeaseExpiry_, [](const LogEvent &) {}, now);
    if (const QueueSpec *queue = config_.find(spec.queue))
        copy->config_.queues.push_back(*queue);
    copy->durationFactors_ = durationFactors_;
    copy->wallOffset_ = wallOffset_;
    copy->interference_ = interference_;
    copy->suspectTasks_ = suspectTasks_;
    copy->slowWorkers_ = slowWorkers_;
    copy->planCache_->startedAt = now;
    for (const auto &[id, worker] : workers_)
        copy->workers_.emplace(id, std::make_unique<ScheduledWorker>(*worker));
    copy->addJob(spec, std::nullopt, now, now);
    return copy;
}

PlacementExplanation Scheduler::explainPlacement(const JobSpec &spec, Time now) const
{
    PlacementExplanation explanation;
    explanation.areStartsPaused = areStartsPaused_;
    explanation.workers = static_cast<int>(workers_.size());
    JobSpec queriedJob = spec;
    queriedJob.id = JobId(); // no job has this id, so that its tasks are never taken for others
    const std::unique_ptr<Scheduler> copy = copyForQuery(queriedJob, now);
    ScheduledJob &job = *copy->jobs_.at(queriedJob.id);
    if (job.tasks.empty()) // the first occurrence is not due yet; it is placed as if it were
        copy->addOccurrence(job, now);
    int budget = MaxExaminedTasks;
    for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
        if (!isStepRunnable(job, 0, step))
            continue;
        explanation.steps.push_back(copy->placeStep(job, step, budget, now));
        budget -= explanation.steps.back().examinedTasks;
    }
    return explanation;
}

/// Places the tasks of a step as assignStep() does for tasks without a former run.
StepPlacement Scheduler::placeStep(ScheduledJob &job, int step, int maxTasks, Time now)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    StepPlacement result;
    result.step = step;
    result.tasks = spec.count;
    result.gang = spec.gang;
    result.rule = placementRuleName(placementRuleOf(spec));
    // A part of a gang says nothing about the whole.
    result.examinedTasks = spec.gang && spec.count > maxTasks ? 0 : std::min(spec.count, maxTasks);
    std::vector<ScheduledTask *> tasks;
    tasks.reserve(static_cast<std::size_t>(result.examinedTasks));
    for (int index = 0; index < result.examinedTasks; ++index)
        tasks.push_back(findTask({job.spec.id, 0, step, index}));
    if (spec.gang)
        placeGang(tasks, result, now);
    else
        placeTasks(tasks, result, now);
    return result;
}

void Scheduler::placeTasks(const std::vector<ScheduledTask *> &tasks, StepPlacement &result,
                           Time now)
{
    if (tasks.empty())
        return;
    std::vector<Candidate> candidates = candidatesFor(*tasks.front(), 0, now);
    for (ScheduledTask *task : tasks) {
        auto candidateCount = static_cast<int>(candidates.size());
        const bool isPlaced = assignToBest(*task, candidates, now);
        if (!isPlaced && assignToSlow(*task, candidates, now)) {
            candidateCount = static_cast<int>(candidates.size()) + 1; // the chosen one was removed
        } else if (!isPlaced) {
            for (const auto &[name, count] : countObstacles(*task, now))
                result.obstacles[name] = count;
            return;
        }
        ++result.placedTasks;
        if (result.placements.size() >= MaxListedPlacements)
            continue;
        TaskPlacement placement = describePlacement(*task, *task->worker);
        placement.candidates = candidateCount;
        // The worker has already reserved what the task takes.
        const StepSpec &step = stepOf(*task);
        placement.freeCpu += step.bestEffort ? 0 : static_cast<std::int64_t>(step.cpu.value);
        placement.freeMemory += static_cast<std::int64_t>(step.memory.value);
        result.placements.push_back(std::move(placement));
    }
}

void Scheduler::placeGang(const std::vector<ScheduledTask *> &members, StepPlacement &result,
                          Time now)
{
    const std::vector<ScheduledWorker *> chosen = reserveGang(members, now);
    const bool isComplete = chosen.size() == members.size();
    if (!isComplete) {
        for (const auto &[name, count] : countObstacles(*members[chosen.size()], now))
            result.obstacles[name] = count;
    }
    for (std::size_t i = 0; i < chosen.size(); ++i)
        release(*members[i]);
    if (!isComplete)
        return;
    result.placedTasks = static_cast<int>(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (i < MaxListedPlacements) {
            TaskPlacement placement = describePlacement(*members[i], *chosen[i]);
            placement.candidates = static_cast<int>(candidatesFor(*members[i], 0, now).size());
            result.placements.push_back(std::move(placement));
        }
        assign(*members[i], *chosen[i]);
    }
}

} // namespace monsoonledge
