// Which runs to move off closed domains now.
#include "evacuation/evacuation.h"

#include <algorithm>
#include <tuple>

namespace monsoonledge {

namespace {

// Assumed time for which a moved run does no useful work: a serving task has to load and warm up, a
// checkpointing one only reads its checkpoint.
constexpr double LongRunningRestartSeconds = 2;
constexpr double CheckpointRestartSeconds = 0.2;

using StepKey = std::tuple<JobId, int, int>;

StepKey stepKeyOf(const TaskRef &task)
{
    return {task.job, task.occurrence, task.step};
}

/// Cost of moving the run, in core-milliseconds of lost work.
double costOf(const MovableRun &run)
{
    if (!run.isWorking)
        return 0;
    return static_cast<double>(run.need.cpu)
           * (run.longRunning ? LongRunningRestartSeconds : CheckpointRestartSeconds);
}

bool fits(const MoveTarget &target, const MoveNeed &need)
{
    const std::int64_t cpu = need.bestEffort ? target.idleCpu : target.cpu;
    return target.service == need.service && cpu >= need.cpu && target.memory >= need.memory
           && target.accelerators >= need.accelerators
           && (need.requirement.empty()
               || std::find(target.labels.begin(), target.labels.end(), need.requirement)
                          != target.labels.end());
}

/// Takes room for a run from the fullest target that has it. Returns false if none has.
bool place(std::vector<MoveTarget> &targets, const MoveNeed &need)
{
    MoveTarget *best = nullptr;
    for (MoveTarget &target : targets) {
        if (fits(target, need) && (!best || target.cpu < best->cpu))
            best = &target;
    }
    if (!best)
        return false;
    best->memory -= need.memory;
    best->accelerators -= need.accelerators;
    best->idleCpu -= need.cpu;
    if (!need.bestEffort)
        best->cpu -= need.cpu;
    return true;
}

/// True if the run may not take the last free processors of the open domains.
bool exceedsFreeShare(const std::vector<MoveTarget> &targets, const MovableRun &run)
{
    if (!run.longRunning)
        return false;
    std::int64_t total = 0;
    std::int64_t free = 0;
    for (const MoveTarget &target : targets) {
        if (target.service != run.need.service)
            continue;
        total += target.totalCpu;
        free += target.cpu;
    }
    return static_cast<double>(free - run.need.cpu) < MinFreeShare * static_cast<double>(total);
}

} // namespace

std::vector<TaskRef> chooseMoves(MoveInput input, std::size_t maxMoves)
{
    // Small requests must not take the room for which a larger stopped run waits. One that asks for
    // a label may wait for workers that no move concerns.
    std::set<ServiceId> shortServices;
    for (const MoveNeed &claim : input.claims) {
        if (!place(input.targets, claim) && claim.requirement.empty())
            shortServices.insert(claim.service);
    }
    std::stable_sort(
            input.runs.begin(), input.runs.end(),
            [](const MovableRun &a, const MovableRun &b) { return costOf(a) < costOf(b); });
    std::vector<TaskRef> chosen;
    std::map<StepKey, int> movedOfStep; // working ones, which become unavailable
    std::set<StepKey> spreadSteps;
    for (const MovableRun &run : input.runs) {
        if (chosen.size() >= maxMoves)
            break;
        if (shortServices.count(run.need.service) > 0
            || (!run.longRunning && run.remaining < MinRemainingToMove))
            continue;
        const StepKey step = stepKeyOf(run.task);
        const int others = run.unavailable - (run.isWorking ? 0 : 1) + movedOfStep[step];
        if (run.maxUnavailable > 0 && others >= run.maxUnavailable)
            continue;
        if (run.isSpread && spreadSteps.count(step) > 0)
            continue;
        if (exceedsFreeShare(input.targets, run) || !place(input.targets, run.need))
            continue;
        movedOfStep[step] += run.isWorking ? 1 : 0;
        if (run.isSpread)
            spreadSteps.insert(step);
        chosen.push_back(run.task);
    }
    return chosen;
}

} // namespace monsoonledge
