// Workers that warm up after their start: they run tasks more slowly for a while and get work in
// proportion. A restarted domain would otherwise make all short jobs late that are started there.
#include "scheduling/planpass_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr Duration MaxWarmup = std::chrono::minutes(10); // longer statements count as this long

} // namespace

/// Notes what a new entry of the worker says about its warming up. `worker.entry` is the former
/// one.
void Scheduler::updateWarmup(ScheduledWorker &worker, const WorkerEntry &entry, Time now) const
{
    if (settings_.warmupOverage <= 0 && !settings_.avoidsSlowWorkers)
        return;
    const WorkerEntry &former = worker.entry;
    // The list of workers is delivered as a whole; an entry that was not written again is as old as
    // before.
    const bool isSame = former.id == entry.id && former.incarnation == entry.incarnation
                        && former.clockMs == entry.clockMs && former.warmupLeft == entry.warmupLeft;
    if (!isSame)
        worker.coldUntil = entry.warmupLeft > Duration::zero()
                                   ? now + std::min(entry.warmupLeft, MaxWarmup)
                                   : Time{};
}

WorkerSpeed Scheduler::speedOf(const ScheduledWorker &worker, Time now) const
{
    const bool isCold = now < worker.coldUntil;
    const double coldFactor = isCold ? 1 / std::max(settings_.warmupOverage, 1.0) : 1;
    if (worker.speedFactor < coldFactor)
        return {worker.entry.id, worker.speedFactor, now, EstimateSource::Measured};
    return {worker.entry.id, coldFactor, now,
            isCold ? EstimateSource::Reported : EstimateSource::Assumed};
}

/// True if the task would give a worker that warms up more than its share of work: its speed times
/// the processors that long-running tasks leave. Long-running tasks are not limited, since their
/// absence costs more than a slow start, and one task is always taken.
bool Scheduler::exceedsColdShare(const ScheduledWorker &worker, const StepSpec &step,
                                 Time now) const
{
    if (settings_.warmupOverage <= 0 || now >= worker.coldUntil || step.longRunning)
        return false;
    const double usedByServing =
            worker.reservedServingCpu * (step.bestEffort ? 1 - settings_.servingIdleShare : 1);
    const double room = static_cast<double>(worker.entry.cpu.value) - usedByServing;
    const double used = static_cast<double>(worker.reservedCpu) - worker.reservedServingCpu
                        + worker.bestEffortCpu;
    return used > 0
           && used + static_cast<double>(step.cpu.value) > room * speedOf(worker, now).factor;
}

} // namespace monsoonledge
