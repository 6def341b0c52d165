// Preemption: which runs are stopped to make room for a long-running task.
#include "scheduling/planpass_p.h"

namespace monsoonledge {

/// Preempts tasks to make room for a long-running task, on the worker where the fewest have to be
/// stopped.
void Scheduler::preemptFor(const ScheduledTask &task, Time now)
{
    const StepSpec &step = stepOf(task);
    ScheduledWorker *best = nullptr;
    std::vector<ScheduledTask *> bestVictims;
    for (const auto &[id, worker] : workers_) {
        if (!acceptsTasks(*worker, now) || worker->entry.service != task.job->queue.service)
            continue;
        if (step.antiAffinity > 0 && countTasksOfStep(*worker, task.ref) >= step.antiAffinity)
            continue;
        if (!step.requirement.empty() && !hasLabel(worker->entry, step.requirement))
            continue;
        std::int64_t cpuShort = worker->reservedCpu + static_cast<std::int64_t>(step.cpu.value)
                                - static_cast<std::int64_t>(worker->entry.cpu.value);
        std::int64_t memoryShort = worker->reservedMemory
                                   + static_cast<std::int64_t>(step.memory.value)
                                   - static_cast<std::int64_t>(worker->entry.memory.value);
        std::vector<ScheduledTask *> victims;
        bool isStopping = false;
        for (ScheduledTask *other : worker->tasks) {
            const StepSpec &otherStep = stepOf(*other);
            isStopping = isStopping || other->runState == RunState::Stopping;
            if (cpuShort <= 0 && memoryShort <= 0)
                break;
            if (otherStep.longRunning || other->runState != RunState::Running)
                continue;
            if (memoryShort <= 0 && otherStep.bestEffort)
                continue;
            if (!otherStep.bestEffort)
                cpuShort -= static_cast<std::int64_t>(otherStep.cpu.value);
            memoryShort -= static_cast<std::int64_t>(otherStep.memory.value);
            victims.push_back(other);
        }
        if (isStopping) // wait for the room that the stopped runs leave
            return;
        if (cpuShort > 0 || memoryShort > 0)
            continue;
        if (!best || victims.size() < bestVictims.size()) {
            best = worker.get();
            bestVictims = victims;
        }
    }
    if (!best)
        return;
    for (ScheduledTask *victim : bestVictims) {
        log_({LogLevel::Info,
              "run-preempted",
              "the run is stopped to make room for a long-running task",
              {{"job", victim->ref.job.str()},
               {"worker", best->entry.id.str()},
               {"for", task.ref.job.str()}}});
        stopRun(*victim, now);
    }
}

} // namespace monsoonledge
