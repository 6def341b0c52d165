// Workers that restart under their id. Orders name the id alone, so what was meant for one
// incarnation of a worker may reach the next one: its reports, which name the incarnation, decide
// what counts for it.
#include "scheduling/planpass_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

// How long after it was sent a worker may still carry out an order that it has not answered.
constexpr Duration MaxUnansweredAge = seconds(15);

} // namespace

/// True if the task's run was assigned to a former incarnation of its worker, and no report of the
/// present one has listed it.
bool Scheduler::isOfFormerIncarnation(const ScheduledTask &task)
{
    return task.worker && task.progress.phase == TaskPhase::Assigned
           && task.runState != RunState::AwaitingRecord
           && task.progress.incarnation < task.worker->entry.incarnation;
}

/// Resets the state of a worker that has restarted as this incarnation: its list of ended runs
/// starts from the beginning, and runs that a former one has reported no longer exist. Of the
/// others, the start order may have reached this incarnation or may yet do so, because orders name
/// the worker's id alone. Its reports decide about them.
void Scheduler::resetWorker(ScheduledWorker &worker, WorkerIncarnation incarnation, Time now)
{
    noteSilence(worker, now);
    markSharedLosses(worker);
    const std::vector<ScheduledTask *> tasks = worker.tasks; // the loop changes the original
    for (ScheduledTask *task : tasks) {
        if (task->progress.phase != TaskPhase::Assigned || task->progress.incarnation >= incarnation
            || task->runState == RunState::AwaitingRecord)
            continue;
        if (task->hasSurvivedStart)
            endRun(*task, RunOutcome::LeaseExpired, {}, now);
        else if (task->runState == RunState::Stopping)
            stopRun(*task, now); // a former incarnation's confirmation does not count
    }
    log_({LogLevel::Info,
          "worker-restarted",
          "the worker has restarted; its first report decides about runs that were just started",
          {{"worker", worker.entry.id.str()},
           {"incarnation", std::to_string(incarnation.value)},
           {"formerIncarnation", std::to_string(worker.entry.incarnation.value)},
           {"undecidedRuns", std::to_string(worker.tasks.size())}}});
    worker.hasReported = false;
    worker.unstableSince = now;
    worker.entry.incarnation = incarnation;
    refuseUnansweredStarts(worker, now);
    worker.leaseExpiry =
            std::max(worker.leaseExpiry, now + settings_.maxLeaseDuration + MaxOrderDelay);
    worker.hasEnded = false;
    worker.acknowledgedPosition = 0;
    worker.lastProcessedPosition = 0;
    worker.pendingAcknowledgements.clear();
    worker.consecutiveFailures = 0;
}

/// Ends the runs of a restarted worker's former incarnations that are not in its report and cannot
/// begin any more. Runs whose start order may still arrive are left to handleMissingRuns().
void Scheduler::loseRunsOfFormerIncarnations(ScheduledWorker &worker, Time sentAt, Time now)
{
    std::vector<ScheduledTask *> lost;
    for (ScheduledTask *task : worker.tasks) {
        // The worker refuses orders of former coordinators from its first report on.
        const bool isStartAnswered =
                task->runState == RunState::Restored
                || (task->runState == RunState::Running && sentAt >= task->startedAt);
        if (isOfFormerIncarnation(*task) && isStartAnswered)
            lost.push_back(task);
    }
    loseRuns(worker, lost, WorkerLoss::Crashed, now);
}

/// Remembers that the worker may yet carry out the order.
void Scheduler::rememberUnansweredStart(const StartOrder &order, Time now)
{
    for (auto it = unansweredStarts_.begin(); it != unansweredStarts_.end();)
        it = it->second.back().until < now ? unansweredStarts_.erase(it) : std::next(it);
    unansweredStarts_[order.worker].push_back(
            {order.task, order.run, order.incarnation, {}, now + MaxUnansweredAge});
}

/// Has a restarted worker told to refuse what its former incarnations were told to refuse: start
/// orders that may still arrive.
void Scheduler::refuseUnansweredStarts(const ScheduledWorker &worker, Time now)
{
    const auto found = unansweredStarts_.find(worker.entry.id);
    if (found == unansweredStarts_.end())
        return;
    std::vector<UnansweredStart> &starts = found->second;
    starts.erase(std::remove_if(starts.begin(), starts.end(),
                                [now](const UnansweredStart &start) { return start.until < now; }),
                 starts.end());
    for (UnansweredStart &start : starts) {
        const ScheduledTask *task = findTask(start.task);
        const bool isCurrent = task && task->progress.phase == TaskPhase::Assigned
                               && task->progress.run == start.run && task->worker == &worker;
        if (isCurrent || start.refusedBy == worker.entry.incarnation
            || now - start.stopSentAt < StopRetryDelay)
            continue;
        start.stopSentAt = now;
        stops_.push_back({start.task, start.run, worker.entry.id});
    }
    if (starts.empty())
        unansweredStarts_.erase(found);
}

} // namespace monsoonledge
