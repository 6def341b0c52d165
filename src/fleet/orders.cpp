// The coordinator's calls to workers: orders and lease renewals.
//
// Sections:
//   [1] Orders
//   [2] Worker leases
#include "fleet/fleet.h"

#include "fleet/coordinator_p.h"
#include "fleet/keys_p.h"
#include "fleet/unreachable_p.h"

#include <algorithm>
#include <utility>

namespace monsoonledge {

namespace {

constexpr Duration RenewRetryDelay = milliseconds(250); // from the second failure in a row on
constexpr Duration LinkCheckInterval = milliseconds(100); // between two checks of all workers
constexpr Duration MaxStoredEndsWait = milliseconds(400); // that a renewal waits for stored records
// Long-poll waits of renewals, instead of the one in the settings: for a worker with interference
// near the target of a serving task, and for a worker without tasks.
constexpr Duration InterferenceRenewWait = milliseconds(350);
constexpr Duration IdleRenewWait = milliseconds(1900);
// A worker without a report for this long, on top of the wait of a renewal, counts as unreachable;
// its leases are not renewed.
constexpr Duration MaxWorkerSilence = milliseconds(1500);
constexpr double MinReachedShare = 0.4; // of registered workers; below it a coordinator resigns
// Maximum age of a worker's last report for this share; also the time that a new coordinator has to
// reach the workers.
constexpr Duration WorkerReachTimeout = seconds(4);

/// What an answer to a start order says of the run.
StartOutcome startOutcomeOf(WorkerCallStatus status)
{
    switch (status) {
    case WorkerCallStatus::Ok:
        return StartOutcome::Started;
    case WorkerCallStatus::NoRoom:
        return StartOutcome::NoRoom;
    case WorkerCallStatus::OldRun:
        return StartOutcome::OldRun;
    case WorkerCallStatus::Unknown:
        return StartOutcome::Unknown;
    case WorkerCallStatus::Fenced:
    case WorkerCallStatus::Refused:
    case WorkerCallStatus::NotSent:
    case WorkerCallStatus::OtherIncarnation:
        break;
    }
    return StartOutcome::Refused;
}

} // namespace

// [1] Orders

void Coordinator::sendOrders(Time now)
{
    for (const StartOrder &order : scheduler_->takeStarts())
        sendStart(order, now);
    for (const StopOrder &order : scheduler_->takeStops()) {
        const auto worker = scheduler_->workers().find(order.worker);
        const bool isLeftAlone =
                jobsSetAside_.count(order.task.job) > 0 && !jobView_.isCancelled(order.task.job);
        if (worker == scheduler_->workers().end() || isLeftAlone)
            continue;
        const WorkerEntry &entry = worker->second->entry;
        ports_.workers.stop(
                entry, order, token_,
                onAnswer(entry, [this, order, incarnation = entry.incarnation](
                                        const WorkerCallResult &callResult, Time eventTime) {
                    const bool isStopped = callResult.status == WorkerCallStatus::Ok
                                           && isPresentIncarnation(order.worker, incarnation);
                    scheduler_->onStopAnswered(order, isStopped, eventTime);
                    if (isStopped)
                        requestReport(order.worker, eventTime);
                    schedulePass();
                }));
    }
    for (const WorkerId &id : scheduler_->takeReportRequests(now))
        requestReport(id, now);
    for (const PaceOrder &order : scheduler_->takePaces()) {
        const auto worker = scheduler_->workers().find(order.worker);
        if (worker == scheduler_->workers().end())
            continue;
        // The answer is not needed: the next change of the pace makes up for a lost order.
        ports_.workers.pace(worker->second->entry, order, token_,
                            [](const WorkerCallResult &, Time) {});
    }
}

void Coordinator::sendStart(const StartOrder &order, Time now)
{
    const auto found = scheduler_->workers().find(order.worker);
    const bool isAllowed =
            found != scheduler_->workers().end() && scheduler_->mayStartOn(*found->second);
    const std::uint64_t end = isAllowed ? grantWorkerLease(order.worker, now) : 0;
    if (end == 0) {
        scheduler_->onStartAnswered(order, StartOutcome::Refused, now);
        return;
    }
    const WorkerEntry &entry = found->second->entry;
    ports_.workers.start(
            entry, order, token_, end,
            onAnswer(entry, [this, order](const WorkerCallResult &callResult, Time eventTime) {
                const StartOutcome outcome = startOutcomeOf(callResult.status);
                if (outcome != StartOutcome::Started) {
                    ports_.log({LogLevel::Info,
                                "start-not-confirmed",
                                callResult.detail,
                                {{"job", order.task.job.str()},
                                 {"worker", order.worker.str()},
                                 {"run", std::to_string(order.run.value)}}});
                }
                scheduler_->onStartAnswered(order, outcome, eventTime);
                if (scheduler_->isConfirmedSuspect(order.task))
                    writeChanges(WriteScope::Urgent, eventTime);
                if (outcome == StartOutcome::Unknown) {
                    logCallFailed(order.worker, "start", callResult.detail, eventTime);
                    requestReport(order.worker, eventTime);
                }
                schedulePass();
            }));
}

/// Wraps the handler of a worker's answer. Answers that arrive after this coordinator was deposed
/// are dropped. What any answer can show is handled here: that another process is the coordinator,
/// and that the called worker has ended. `worker` is its entry when the call is sent.
WorkerCallback Coordinator::onAnswer(const WorkerEntry &worker, WorkerCallback handle)
{
    return [this, id = worker.id, incarnation = worker.incarnation, handle = std::move(handle),
            alive = std::weak_ptr<int>(alive_)](const WorkerCallResult &callResult, Time now) {
        if (alive.expired() || isDeposed_)
            return;
        if (callResult.status == WorkerCallStatus::Fenced) {
            depose("a worker has seen a higher fencing token; another process is the coordinator");
            return;
        }
        if (callResult.status == WorkerCallStatus::OtherIncarnation) {
            scheduler_->onWorkerEnded(id, incarnation, now);
            schedulePass();
        }
        handle(callResult, now);
    };
}

/// True if this is the latest known incarnation of the worker.
bool Coordinator::isPresentIncarnation(const WorkerId &id, WorkerIncarnation incarnation) const
{
    const auto worker = scheduler_->workers().find(id);
    return worker != scheduler_->workers().end()
           && worker->second->entry.incarnation == incarnation;
}

// [2] Worker leases

/// True if the last report is so old that the worker gets no lease.
bool Coordinator::isSilent(const ScheduledWorker &worker, Time now) const
{
    return now - worker.lastReport > MaxWorkerSilence + settings_.renewWait;
}

/// Grants a worker a new lease. Returns its end in ms on the worker's clock, or 0 if the worker may
/// get no lease now.
std::uint64_t Coordinator::grantWorkerLease(const WorkerId &id, Time now)
{
    const auto worker = scheduler_->workers().find(id);
    const auto link = links_.find(id);
    if (worker == scheduler_->workers().end() || link == links_.end() || !isWithinRenewalGrace(now))
        return 0;
    const WorkerLink &workerLink = link->second;
    if (unreachableWriter_->mayList(id))
        return 0;
    if (workerLink.clock == 0 || workerLink.incarnation != worker->second->entry.incarnation
        || isSilent(*worker->second, now))
        return 0;
    const auto elapsed =
            static_cast<std::uint64_t>(wholeMilliseconds(now - workerLink.clockReceivedAt));
    const Duration longest = lastStoreContact_ + settings_.maxLeaseWithoutStore - now;
    const auto lease = static_cast<std::uint64_t>(
            wholeMilliseconds(std::min(settings_.requestedWorkerLease, longest)));
    const std::uint64_t end = workerLink.clock + elapsed + lease;
    const Duration sinceReading = milliseconds(static_cast<std::int64_t>(end - workerLink.clock));
    scheduler_->onLeaseGranted(id, workerLink.clockReceivedAt + longestDurationOf(sinceReading));
    return end;
}

/// Renews the leases that are due. In between two checks of all workers, only those are checked
/// whose last renewal was answered, or whose ended runs had to be stored first.
void Coordinator::renewLeases(Time now)
{
    const std::vector<WorkerId> due = std::exchange(linksToCheck_, {});
    if (now < nextLinkCheckAt_) {
        for (const WorkerId &id : due)
            checkLink(id, now);
        return;
    }
    nextLinkCheckAt_ = now + LinkCheckInterval;
    for (const auto &[id, worker] : scheduler_->workers())
        checkLink(id, now);
    updateUnreachable(now);
}

/// Renews the leases of all workers in parallel to the renewals that wait there for news. Used when
/// the store answers again: the last leases may end before those renewals do.
void Coordinator::renewAllLeases(Time now)
{
    if (!scheduler_)
        return;
    for (const auto &[id, worker] : scheduler_->workers()) {
        if (!worker->hasEnded && !worker->tasks.empty())
            requestReport(id, now, LeaseUse::Renew);
    }
}

void Coordinator::checkLink(const WorkerId &id, Time now)
{
    const auto worker = scheduler_->workers().find(id);
    if (worker == scheduler_->workers().end() || worker->second->hasEnded)
        return;
    WorkerLink &link = links_[id];
    if (link.awaitsStoredEnds && !scheduler_->hasPendingAcknowledgements(id)) {
        link.awaitsStoredEnds = false;
        link.nextRenewalAt = now;
    }
    // A renewal that waits on a connection to a former incarnation is not waited for.
    const bool isAwaited =
            link.isRenewalInFlight && link.renewedIncarnation == worker->second->entry.incarnation;
    if (!isAwaited && now >= link.nextRenewalAt)
        sendRenewal(worker->second->entry, link, now);
    else if (link.awaitsStoredEnds)
        linksToCheck_.push_back(id);
}

/// True if the worker has runs and gets no lease here, so that a successor should know until when
/// its leases may last. Before the worker's first report here, a failed call is needed: a new
/// coordinator has heard of no worker yet.
bool Coordinator::isUnreachable(const ScheduledWorker &worker, Time now) const
{
    const bool isKnownSilent = worker.hasReported || worker.lastCallFailed
                               || unreachableWriter_->mayList(worker.entry.id);
    return isKnownSilent && isSilent(worker, now) && !worker.hasEnded && !worker.tasks.empty();
}

/// Has unreachable workers listed in the store, and those that answer again removed, because they
/// get no lease before.
void Coordinator::updateUnreachable(Time now)
{
    if (!isWithinRenewalGrace(now))
        return;
    std::map<WorkerId, UnreachableWorker> unreachable;
    bool awaitsLease = false;
    for (const auto &[id, worker] : scheduler_->workers()) {
        if (isUnreachable(*worker, now))
            unreachable[id] = {worker->entry.incarnation, worker->entry.address,
                               worker->leaseExpiry};
        else if (unreachableWriter_->mayList(id) && !isSilent(*worker, now))
            awaitsLease = true;
    }
    unreachableWriter_->update(std::move(unreachable), awaitsLease, now);
}

void Coordinator::commitUnreachable(const Transaction &transaction, KeyValueCallback done,
                                    Time sentAt)
{
    Transaction conditional = transaction;
    conditional.conditions.push_back({keys::Coordinator, recordRevision_});
    commit(
            conditional,
            [this, done = std::move(done)](const KeyValueResult &result, Time now) {
                if (result.status == KeyValueStatus::Conflict && !isRecordCurrent(result))
                    deposeByConflict();
                else
                    done(result, now);
            },
            sentAt);
}

void Coordinator::sendRenewal(const WorkerEntry &worker, WorkerLink &link, Time now)
{
    const auto found = scheduler_->workers().find(worker.id);
    const bool isFirst = link.clock == 0 || link.incarnation != worker.incarnation;
    Duration wait = found->second->tasks.empty() ? IdleRenewWait : settings_.renewWait;
    if (scheduler_->isServingNearTarget(worker.id))
        wait = InterferenceRenewWait;
    if (isFirst || found->second->lastCallFailed)
        wait = Duration::zero();
    // A lease that does not arrive only prolongs the time after which the worker's runs count as
    // ended. If the worker accepts connections again, it gets its lease with the call after this.
    const std::uint64_t leaseEnd = link.isRefusing ? 0 : grantWorkerLease(worker.id, now);
    // After a failed call, another incarnation of the worker may answer, whose list of ended runs
    // starts again at 1. A position in the former list would make it forget ends that no
    // coordinator has seen.
    const bool isSameIncarnation = link.isConfirmed && link.incarnation == worker.incarnation;
    const std::uint64_t acknowledged =
            isSameIncarnation ? scheduler_->acknowledgeablePosition(worker.id) : 0;
    link.isRenewalInFlight = true;
    link.renewedIncarnation = worker.incarnation;
    link.renewalNumber = ++lastRenewalNumber_;
    ports_.workers.renew(
            worker, token_, leaseEnd, acknowledged, wait,
            onAnswer(worker, [this, id = worker.id, number = link.renewalNumber,
                              sentAt = now](const WorkerCallResult &callResult, Time eventTime) {
                const auto renewed = links_.find(id);
                if (renewed != links_.end() && renewed->second.renewalNumber == number)
                    onRenewed(id, sentAt, callResult, eventTime);
            }));
}

/// Requests a worker's lists of runs at once, in parallel to a renewal that may be waiting there.
/// Used when a task waits for them: after a stop, after a start whose outcome is unknown, and while
/// a suspect is isolated. Ended runs are left for the renewals to acknowledge.
void Coordinator::requestReport(const WorkerId &id, Time now, LeaseUse lease)
{
    const auto worker = scheduler_->workers().find(id);
    const auto link = links_.find(id);
    if (worker == scheduler_->workers().end() || link == links_.end() || !link->second.isConfirmed)
        return;
    const WorkerEntry &entry = worker->second->entry;
    const bool isRenewed = lease == LeaseUse::Renew && !link->second.isRefusing;
    const std::uint64_t leaseEnd = isRenewed ? grantWorkerLease(id, now) : 0;
    ports_.workers.renew(
            entry, token_, leaseEnd, 0, Duration::zero(),
            onAnswer(entry,
                     [this, id, sentAt = now](const WorkerCallResult &callResult, Time eventTime) {
                         // After a failure, the waiting renewal returns the same lists later.
                         if (callResult.status != WorkerCallStatus::Ok)
                             return;
                         takeReport(id, sentAt, callResult.report, eventTime);
                         schedulePass();
                     }));
}

void Coordinator::onRenewed(const WorkerId &id, Time sentAt, const WorkerCallResult &callResult,
                            Time now)
{
    WorkerLink &link = links_[id];
    link.isRenewalInFlight = false;
    link.isRefusing = callResult.status == WorkerCallStatus::NotSent;
    linksToCheck_.push_back(id);
    if (callResult.status != WorkerCallStatus::Ok) {
        // The first failure is retried at once, because only the answer may have been lost.
        const bool isFirstFailure = std::exchange(link.isConfirmed, false);
        logCallFailed(id, "renewal", callResult.detail, now);
        if (scheduler_->workers().count(id) == 0) // removed while the call was in flight
            logCallsEnded(id, link, false, now);
        link.nextRenewalAt = isFirstFailure ? now : now + RenewRetryDelay;
        scheduler_->onUnreachable(id, now);
        schedulePass();
        return;
    }
    logCallsEnded(id, link, true, now);
    link.isConfirmed = true;
    link.nextRenewalAt = now;
    takeReport(id, sentAt, callResult.report, now);
    if (scheduler_->hasPendingAcknowledgements(id)) {
        link.awaitsStoredEnds = true;
        link.nextRenewalAt = now + MaxStoredEndsWait;
    }
    schedulePass();
}

/// Logs the first of several failed calls in a row. The line of the next renewal that is answered,
/// or of the worker's removal, counts them.
void Coordinator::logCallFailed(const WorkerId &id, const std::string &call,
                                const std::string &error, Time now)
{
    WorkerLink &link = links_[id];
    if (++link.failuresInARow > 1)
        return;
    link.failingSince = now;
    std::vector<std::pair<std::string, std::string>> fields{
            {"worker", id.str()}, {"call", call}, {"error", error}};
    const auto worker = scheduler_->workers().find(id);
    if (worker != scheduler_->workers().end()) {
        fields.emplace_back("address", worker->second->entry.address.str());
        if (worker->second->hasReported)
            fields.emplace_back("lastReportMs", std::to_string(wholeMilliseconds(
                                                        now - worker->second->lastReport)));
        if (!worker->second->tasks.empty()) // which wait for this before they start elsewhere
            fields.emplace_back("leaseLeftMs", std::to_string(wholeMilliseconds(
                                                       worker->second->leaseExpiry - now)));
    }
    ports_.log({LogLevel::Info, "worker-unreachable", "a call to the worker failed; it is repeated",
                std::move(fields)});
}

void Coordinator::logCallsEnded(const WorkerId &id, WorkerLink &link, bool isAnswering, Time now)
{
    if (link.failuresInARow == 0)
        return;
    std::vector<std::pair<std::string, std::string>> fields{
            {"worker", id.str()},
            {"failures", std::to_string(link.failuresInARow)},
            {"forMs", std::to_string(wholeMilliseconds(now - link.failingSince))}};
    link.failuresInARow = 0;
    if (isAnswering)
        ports_.log({LogLevel::Info, "worker-answers", "the worker answers renewals again",
                    std::move(fields)});
    else
        ports_.log({LogLevel::Info, "worker-given-up",
                    "the worker is no longer called; it has not answered again",
                    std::move(fields)});
}

void Coordinator::takeReport(const WorkerId &id, Time sentAt, const RunReport &report, Time now)
{
    const WorkMeter::Scope scope(ports_.workMeter, WorkKind::Reports);
    WorkerLink &link = links_[id];
    if (report.incarnation >= link.incarnation) { // else a late answer of a former one
        link.incarnation = report.incarnation;
        link.clock = report.clockMs;
        link.clockReceivedAt = now;
    }
    scheduler_->onReport(id, sentAt, report, now);
}

void Coordinator::onStoreContact(Time sentAt, Time now)
{
    const bool wasWithinGrace = isWithinRenewalGrace(now);
    lastStoreContact_ = std::max(lastStoreContact_, sentAt);
    if (wasWithinGrace || !isWithinRenewalGrace(now))
        return;
    renewAllLeases(now);
    schedulePass();
}

bool Coordinator::reachesMostWorkers(Time now) const
{
    if (!scheduler_ || now - startedAt_ < WorkerReachTimeout)
        return true;
    std::size_t listed = 0;
    std::size_t reached = 0;
    for (const auto &[id, worker] : scheduler_->workers()) {
        const bool isUsable = worker->listed && !worker->hasEnded;
        listed += isUsable ? 1 : 0;
        reached += isUsable && now - worker->lastReport < WorkerReachTimeout ? 1 : 0;
    }
    return static_cast<double>(reached) >= MinReachedShare * static_cast<double>(listed);
}

} // namespace monsoonledge
