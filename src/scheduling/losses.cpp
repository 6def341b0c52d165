// The losses of starts as the scheduler records them: what was known of the worker's end when it
// was lost, what becomes known later, and what follows for the next start. How certain a crash is,
// is decided in crashevidence.cpp.
#include "scheduling/crashevidence_p.h"
#include "scheduling/planpass_p.h"

#include <algorithm>
#include <set>

namespace monsoonledge {

namespace {

// Renewals wait up to 1.9 s and fail 0.9 s later, so workers that are lost together are noticed
// within this time.
constexpr Duration SameMoment = seconds(3);
constexpr Duration MaxSilenceAge = seconds(30); // of notes on silent workers
// A worker whose last report before a start is older was silent already: renewals are answered
// within 1.9 s.
constexpr Duration MaxReportAgeAtOrder = milliseconds(2000);
constexpr std::size_t MaxLoggedSuspects = 8; // of one lost worker
constexpr Duration LossReviewInterval = milliseconds(50);
// The registry removes the entry of a worker that has ended some seconds after its last heartbeat,
// mostly after its leases have expired. A task that waits longer than 3 s breaks LOST.
constexpr Duration EvidenceDelay = milliseconds(2500);

const char *certaintyName(CrashCertainty certainty)
{
    switch (certainty) {
    case CrashCertainty::None:
        return "none";
    case CrashCertainty::Possible:
        return "possible";
    case CrashCertainty::Likely:
        return "likely";
    case CrashCertainty::Proven:
        break;
    }
    return "proven";
}

CrashVerdict assessLast(const std::vector<StartLoss> &losses)
{
    return assessLoss(losses.back(), losses.data(), losses.size() - 1);
}

} // namespace

std::string placeOf(const WorkerEntry &worker)
{
    std::string place = worker.domain.str();
    for (const std::string &label : worker.labels)
        place += '/' + label;
    return place;
}

/// The time of day, or 0 if it is not known.
WallMilliseconds Scheduler::wallAt(Time time) const
{
    if (!wallOffset_)
        return {};
    const std::int64_t wall = *wallOffset_ + wholeMilliseconds(time.time_since_epoch());
    return {static_cast<std::uint64_t>(std::max<std::int64_t>(wall, 0))};
}

bool Scheduler::hasUnprovenStart(const ScheduledWorker &worker)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const ScheduledTask *task) {
        return task->progress.phase == TaskPhase::Assigned && !task->hasSurvivedStart
               && task->runState != RunState::AwaitingRecord;
    });
}

/// Notes that an incarnation of a worker does not answer or has ended.
void Scheduler::noteSilence(const ScheduledWorker &worker, Time now)
{
    while (!silences_.empty() && now - silences_.front().since > MaxSilenceAge)
        silences_.pop_front();
    const bool isNoted =
            std::any_of(silences_.begin(), silences_.end(), [&](const WorkerSilence &silence) {
                return silence.worker == worker.entry.id
                       && silence.incarnation == worker.entry.incarnation;
            });
    if (!isNoted)
        silences_.push_back({worker.entry.id, worker.entry.incarnation, worker.entry.domain,
                             placeOf(worker.entry), hasUnprovenStart(worker), now});
}

/// The incarnation of the worker answers again.
void Scheduler::endSilence(const ScheduledWorker &worker)
{
    silences_.erase(std::remove_if(silences_.begin(), silences_.end(),
                                   [&](const WorkerSilence &silence) {
                                       return silence.worker == worker.entry.id
                                              && silence.incarnation == worker.entry.incarnation;
                                   }),
                    silences_.end());
}

/// True if so many workers of the same rack or failure domain were lost with the run's worker that
/// the place explains the loss. Workers of members of its gang do not count: they start together.
/// Nor do workers that a task of their own may have crashed: many crashing tasks at once would
/// otherwise explain each other's losses.
bool Scheduler::isLostWithItsPlace(const ScheduledWorker &worker, const ScheduledTask &task,
                                   Time now) const
{
    const WorkerIncarnation incarnation = task.progress.incarnation;
    std::set<WorkerId> workersOfGang;
    if (stepOf(task).gang) {
        for (const ScheduledTask &other : task.job->tasks) {
            if (startTogether(task, other))
                workersOfGang.insert(other.progress.worker);
        }
    }
    const std::string place = placeOf(worker.entry);
    const DomainId &domain = worker.entry.domain;
    Time since = now;
    for (const WorkerSilence &silence : silences_) {
        if (silence.worker == worker.entry.id && silence.incarnation == incarnation)
            since = silence.since;
    }
    LossSurroundings rack;
    LossSurroundings zone;
    std::set<WorkerId> lostInRack;
    std::set<WorkerId> lostInZone;
    for (const auto &[id, other] : workers_) {
        const bool isOther = other.get() != &worker;
        rack.workers += isOther && placeOf(other->entry) == place ? 1 : 0;
        zone.workers += isOther && other->entry.domain == domain ? 1 : 0;
    }
    for (const WorkerSilence &silence : silences_) {
        if (silence.worker == worker.entry.id || silence.hadUnprovenStart
            || workersOfGang.count(silence.worker) > 0 || silence.since < since - SameMoment
            || silence.since > since + SameMoment)
            continue;
        if (silence.place == place)
            lostInRack.insert(silence.worker);
        if (silence.domain == domain)
            lostInZone.insert(silence.worker);
    }
    rack.lost = static_cast<int>(lostInRack.size());
    zone.lost = static_cast<int>(lostInZone.size());
    return isCorrelated(rack, zone);
}

/// What is known by now of the end of the worker's incarnation that was lost.
LossEnd Scheduler::endOf(const StartLoss &loss, Time now) const
{
    const auto same = workers_.find(loss.worker);
    WorkerIncarnation next; // the earliest later one
    const auto consider = [&](const ScheduledWorker &worker) {
        const WorkerIncarnation incarnation = worker.entry.incarnation;
        if (incarnation > loss.incarnation && (next.value == 0 || incarnation < next))
            next = incarnation;
    };
    if (same != workers_.end())
        consider(*same->second);
    for (const auto &[id, worker] : workers_) {
        if (!loss.address.empty() && worker->listed && worker->entry.address.str() == loss.address)
            consider(*worker);
    }
    if (next.value == 0)
        return same != workers_.end() && same->second->listed ? LossEnd::Unknown : LossEnd::Removed;
    switch (classifyBirth(next, loss.orderedAt, settings_.maxCrashAge, wallAt(now))) {
    case NextBirth::RightAfter:
        return LossEnd::RightAfter;
    case NextBirth::BeforeOrder: // clocks may differ: an answer to the start order counts more
        return loss.isConfirmed ? LossEnd::Later : LossEnd::BeforeOrder;
    case NextBirth::Later:
    case NextBirth::Unknown:
        break;
    }
    return LossEnd::Later;
}

/// Notes what a later loss of the assigned run depends on.
void Scheduler::noteAssigned(ScheduledTask &task, const ScheduledWorker &worker)
{
    const Time now = planCache_->startedAt;
    task.assignedAt = now;
    task.progress.orderedAt = wallAt(now);
    task.wasWorkerHeard = now - worker.lastReport <= MaxReportAgeAtOrder;
    task.hasSharedLoss = false;
}

/// Notes which unproven starts of a worker that has restarted were lost together: they end one by
/// one, as the present incarnation refuses them.
void Scheduler::markSharedLosses(const ScheduledWorker &worker)
{
    std::vector<ScheduledTask *> unproven;
    std::copy_if(worker.tasks.begin(), worker.tasks.end(), std::back_inserter(unproven),
                 [](const ScheduledTask *task) {
                     return task->progress.phase == TaskPhase::Assigned && !task->hasSurvivedStart
                            && task->runState != RunState::AwaitingRecord;
                 });
    for (ScheduledTask *task : unproven) {
        const bool isShared =
                std::any_of(unproven.begin(), unproven.end(), [&](const ScheduledTask *other) {
                    return !startTogether(*task, *other);
                });
        // A suspect is started only where all other starts are proven; records of a former
        // coordinator do not say so of the others.
        const bool isIsolated = task->runState == RunState::Restored && isSuspect(*task);
        task->hasSharedLoss = task->hasSharedLoss || (isShared && !isIsolated);
    }
}

/// Ends a run whose stop order was confirmed. If the start order was meant for a former incarnation
/// of the worker, the run may have been lost with it.
void Scheduler::endStoppedRun(ScheduledWorker &worker, ScheduledTask &task, Time now)
{
    if (isOfFormerIncarnation(task) && !task.hasSurvivedStart && !isFinal(task.job->state))
        loseRuns(worker, {&task}, WorkerLoss::Crashed, now);
    else
        endRun(task, RunOutcome::Stopped, {}, now);
}

/// True if the loss is known so soon after the start that the run cannot have ended with its lease.
bool Scheduler::isLossKnownSoon(const ScheduledTask &task, Time now) const
{
    if (task.runState == RunState::Restored) // started some time before this one was elected
        return now - startedAt_ < settings_.maxCrashAge / 2;
    const Time start = task.runState == RunState::Running ? task.startedAt : task.assignedAt;
    return now - start < settings_.maxCrashAge;
}

/// Describes the loss of the task's present run with its worker.
StartLoss Scheduler::describeLoss(const ScheduledWorker &worker, const ScheduledTask &task,
                                  bool isOnlySuspect, WorkerLoss how, Time now) const
{
    StartLoss loss;
    loss.run = task.progress.run;
    loss.worker = worker.entry.id;
    loss.incarnation = task.progress.incarnation;
    if (!worker.entry.address.ip.empty())
        loss.address = worker.entry.address.str();
    loss.place = placeOf(worker.entry);
    loss.orderedAt = task.progress.orderedAt;
    const bool isRestored = task.runState == RunState::Restored;
    loss.isConfirmed =
            task.runState == RunState::Running || (isRestored && task.progress.startConfirmed);
    loss.wasReachable = isRestored || task.wasWorkerHeard;
    loss.isOnlySuspect = isOnlySuspect;
    loss.isCorrelated = isLostWithItsPlace(worker, task, now);
    loss.end = endOf(loss, now);
    const bool hasEnded = how == WorkerLoss::Crashed;
    if (hasEnded && loss.end != LossEnd::RightAfter && loss.end != LossEnd::BeforeOrder)
        loss.end = isLossKnownSoon(task, now) ? LossEnd::RightAfter : LossEnd::Later;
    return loss;
}

/// Adds the loss to those of the task. Returns how certain it is that it was a crash.
CrashVerdict Scheduler::addLoss(ScheduledTask &task, const StartLoss &loss)
{
    TaskProgress &progress = task.progress;
    setLostStarts(task, progress.lostStarts + 1);
    if (progress.losses.size() >= MaxKeptLosses)
        progress.losses.erase(progress.losses.begin());
    progress.losses.push_back(loss);
    const CrashVerdict verdict = assessLast(progress.losses);
    progress.crashes += verdict.certainty == CrashCertainty::Proven ? 1 : 0;
    return verdict;
}

/// Counts the loss of the worker against the suspects, and logs it.
void Scheduler::countLoss(const ScheduledWorker &worker,
                          const std::vector<ScheduledTask *> &suspects, WorkerLoss how, Time now)
{
    if (suspects.empty())
        return;
    const ScheduledTask &first = *suspects.front();
    const bool isOnlySuspect =
            std::all_of(suspects.begin(), suspects.end(), [&](const ScheduledTask *task) {
                return startTogether(first, *task) && !task->hasSharedLoss;
            });
    CrashVerdict verdict; // the strongest one
    CrashAction action = CrashAction::StartAtOnce;
    std::string list; // "task:lost starts:crashes:points", separated by spaces
    for (std::size_t i = 0; i < suspects.size(); ++i) {
        ScheduledTask &task = *suspects[i];
        const CrashVerdict own = addLoss(task, describeLoss(worker, task, isOnlySuspect, how, now));
        if (i == 0 || own.certainty > verdict.certainty)
            verdict = own;
        const TaskProgress &progress = task.progress;
        action = std::max(action, decideNextStart(progress.crashes, progress.losses));
        if (i < MaxLoggedSuspects)
            list += (i > 0 ? " " : "") + formatTaskRef(task.ref) + ':'
                    + std::to_string(progress.lostStarts) + ':' + std::to_string(progress.crashes)
                    + ':' + std::to_string(crashPoints(progress.crashes, progress.losses));
    }
    const bool isNamed = verdict.certainty == CrashCertainty::Proven;
    log_({LogLevel::Warning,
          "crash-suspected",
          "the worker was lost before runs had survived their start; their tasks are started again "
          "apart from others",
          {{"worker", worker.entry.id.str()},
           {"loss", how == WorkerLoss::Crashed ? "crashed" : "unreachable"},
           {"suspects", std::to_string(suspects.size())},
           {"job", isNamed ? first.ref.job.str() : ""},
           {"tasks", list},
           {"evidence", verdict.evidence},
           {"certainty", certaintyName(verdict.certainty)},
           {"action", crashActionName(action)}}});
}

/// The delay of the next start of a task that was lost with its worker.
Duration Scheduler::delayAfterLoss(const ScheduledTask &task) const
{
    const Duration delay = retryDelayAfter(task.progress.lostStarts - 1);
    const CrashAction action = decideNextStart(task.progress.crashes, task.progress.losses);
    // Interrupted long-running tasks have to be back within 6 s of their last run.
    return action == CrashAction::Delay && !stepOf(task).longRunning
                   ? std::max(delay, EvidenceDelay)
                   : delay;
}

/// Looks for evidence that has arrived since the losses of suspects were counted.
void Scheduler::reviewLosses(Time now)
{
    if (now < nextLossReviewAt_)
        return;
    nextLossReviewAt_ = now + LossReviewInterval;
    const std::vector<ScheduledJob *> jobs = activeJobs_; // jobs that are given up are removed
    for (ScheduledJob *job : jobs) {
        if (job->suspectTasks == 0)
            continue;
        for (ScheduledTask &task : job->tasks) {
            if (!task.progress.losses.empty() && !isFinal(job->state))
                reviewLossesOf(task, now);
        }
    }
}

void Scheduler::reviewLossesOf(ScheduledTask &task, Time now)
{
    std::vector<StartLoss> &losses = task.progress.losses;
    bool hasChanged = false;
    for (std::size_t i = 0; i < losses.size();) {
        if (hasSurvived(losses[i], now)) {
            logEvidence(task, losses[i], {CrashCertainty::None, "worker-is-back"});
            losses.erase(losses.begin() + static_cast<std::ptrdiff_t>(i));
            hasChanged = true;
            continue;
        }
        const bool isOpen = losses[i].end == LossEnd::Unknown || losses[i].end == LossEnd::Removed;
        const LossEnd end = isOpen ? endOf(losses[i], now) : losses[i].end;
        if (end != losses[i].end) {
            losses[i].end = end;
            const CrashVerdict verdict = assessLoss(losses[i], losses.data(), i);
            task.progress.crashes += verdict.certainty == CrashCertainty::Proven ? 1 : 0;
            logEvidence(task, losses[i], verdict);
            hasChanged = true;
        }
        ++i;
    }
    if (!hasChanged)
        return;
    markChanged(*task.job);
    if (task.progress.phase == TaskPhase::Waiting)
        task.earliestStart = // without the part of the delay that waited for this evidence
                std::min(task.earliestStart, task.waitingSince + delayAfterLoss(task));
    giveUpDeadly({&task}, now);
}

/// True if the incarnation of the worker answers, although it was counted as lost.
bool Scheduler::hasSurvived(const StartLoss &loss, Time now) const
{
    const auto found = workers_.find(loss.worker);
    if (found == workers_.end() || loss.end == LossEnd::RightAfter || loss.end == LossEnd::Later)
        return false;
    const ScheduledWorker &worker = *found->second;
    return worker.entry.incarnation == loss.incarnation && worker.hasReported
           && !worker.lastCallFailed && !worker.hasEnded
           && now - worker.lastReport < settings_.maxReportAge;
}

/// Removes the loss of a run whose start order was refused: it never began.
void Scheduler::withdrawLoss(const StartOrder &order)
{
    ScheduledTask *task = findTask(order.task);
    if (!task)
        return;
    std::vector<StartLoss> &losses = task->progress.losses;
    const auto found = std::find_if(losses.begin(), losses.end(), [&](const StartLoss &loss) {
        return loss.run == order.run && loss.worker == order.worker && !loss.isConfirmed;
    });
    if (found == losses.end())
        return;
    logEvidence(*task, *found, {CrashCertainty::None, "start-refused"});
    losses.erase(found);
    markChanged(*task->job);
}

void Scheduler::logEvidence(const ScheduledTask &task, const StartLoss &loss,
                            const CrashVerdict &verdict) const
{
    const TaskProgress &progress = task.progress;
    log_({LogLevel::Info,
          "crash-evidence",
          "more is known of the end of a worker that was lost at the start of a task",
          {{"task", formatTaskRef(task.ref)},
           {"run", std::to_string(loss.run.value)},
           {"worker", loss.worker.str()},
           {"evidence", verdict.evidence},
           {"certainty", certaintyName(verdict.certainty)},
           {"crashes", std::to_string(progress.crashes)},
           {"points", std::to_string(crashPoints(progress.crashes, progress.losses))}}});
}

} // namespace monsoonledge
