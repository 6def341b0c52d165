// The coordinator's use of the store: loads the records of jobs and workers, watches what clients
// and workers write, and writes the progress of jobs. Its calls to workers are in orders.cpp, the
// removal of old records is in cleanup.cpp.
//
// Sections:
//   [1] Loading
//   [2] Changes by clients, workers and operators
//   [3] Progress records
#include "fleet/fleet.h"

#include "fleet/coordinator_p.h"
#include "fleet/keys_p.h"
#include "fleet/unreachable_p.h"

#include <algorithm>
#include <cassert>

namespace monsoonledge {

namespace {

constexpr Duration TickInterval = milliseconds(100); // for decisions that depend on time alone
constexpr Duration WriteRetryDelay = milliseconds(60);
constexpr std::size_t ChangesPerWrite = (MaxTransactionEntries - 1) / 2;
constexpr Duration MaxJobAge = seconds(600); // older submissions count as this old

/// True if the record has all tasks of each occurrence that it begins, as records are written.
bool coversAllTasks(const JobSpec &spec, const JobProgress &progress)
{
    std::size_t tasks = 0;
    for (const StepSpec &step : spec.steps)
        tasks += static_cast<std::size_t>(step.count);
    return spec.occurrences == 0 ? progress.tasks.size() == tasks
                                 : progress.tasks.size() % tasks == 0;
}

} // namespace

// [1] Loading

Coordinator::Coordinator(const FleetSettings &settings, const FleetPorts &ports, JobView &jobView,
                         UnreachableView &unreachable, StoreRevision recordRevision, Hooks hooks,
                         Time storeContact, Time now)
    : settings_(settings), ports_(ports), jobView_(jobView), unreachable_(unreachable),
      recordRevision_(recordRevision), token_{recordRevision.value}, hooks_(std::move(hooks)),
      startedAt_(now), lastStoreContact_(storeContact), lastCleanup_(now)
{
    assert(settings_.renewalGrace < settings_.maxLeaseWithoutStore);
    unreachableWriter_ = std::make_unique<UnreachableWriter>(
            token_, [this](const Transaction &transaction, KeyValueCallback done, Time sentAt) {
                commitUnreachable(transaction, std::move(done), sentAt);
            });
    jobsLoader_ = std::make_unique<PrefixWatch>(
            ports_, keys::JobsPrefix, settings_.watchWait, Duration::zero(),
            PrefixWatch::Hooks{[this](const std::vector<KeyValue> &items, Time eventTime) {
                                   onJobsLoaded(items, eventTime);
                               },
                               {}});
    registryWatch_ = std::make_unique<PrefixWatch>(
            ports_, settings_.workerPrefix, settings_.watchWait, settings_.registryWatchPause,
            PrefixWatch::Hooks{[this](const std::vector<KeyValue> &items, Time eventTime) {
                                   onWorkersLoaded(items, eventTime);
                               },
                               [this](const std::vector<KeyValue> &events, Time eventTime) {
                                   onWorkerEvents(events, eventTime);
                               }});
    unreachableLoader_ = std::make_unique<PrefixWatch>(
            ports_, keys::Unreachable, settings_.watchWait, Duration::zero(),
            PrefixWatch::Hooks{[this](const std::vector<KeyValue> &items, Time eventTime) {
                                   onUnreachableLoaded(items, eventTime);
                               },
                               {}});
    jobsLoader_->start();
    registryWatch_->start();
    unreachableLoader_->start();
}

Coordinator::~Coordinator() = default;

void Coordinator::onJobsLoaded(const std::vector<KeyValue> &items, Time now)
{
    jobView_.reset(items);
    loadedJobItems_ = items;
    areJobsLoaded_ = true;
    jobInputWatch_ = std::make_unique<PrefixWatch>(
            ports_, keys::JobInputPrefix, settings_.watchWait, Duration::zero(),
            PrefixWatch::Hooks{[this](const std::vector<KeyValue> &all, Time eventTime) {
                                   onJobInput(all, eventTime);
                               },
                               [this](const std::vector<KeyValue> &events, Time eventTime) {
                                   onJobInput(events, eventTime);
                               }});
    jobInputWatch_->startAfter(jobsLoader_->revision());
    startScheduling(now);
    // The loader may be destroyed here: calling this function is the last thing that it does.
    jobsLoader_.reset();
}

void Coordinator::onWorkersLoaded(const std::vector<KeyValue> &items, Time now)
{
    registryEntries_.clear();
    areWorkersLoaded_ = true;
    onWorkerEvents(items, now);
    startScheduling(now);
}

void Coordinator::onUnreachableLoaded(const std::vector<KeyValue> &items, Time now)
{
    for (const KeyValue &item : items) {
        if (!unreachable_.receive(item, now))
            ports_.log({LogLevel::Error,
                        "record-unreadable",
                        "the record of unreachable workers is malformed; their runs count as lost "
                        "only when all possible leases of a former coordinator have expired",
                        {{"key", item.key}}});
    }
    unreachableWriter_->start(unreachable_);
    areUnreachableLoaded_ = true;
    startScheduling(now);
    // The loader may be destroyed here: calling this function is the last thing that it does.
    unreachableLoader_.reset();
}

void Coordinator::startScheduling(Time now)
{
    if (scheduler_ || !areJobsLoaded_ || !areWorkersLoaded_ || !areUnreachableLoaded_)
        return;
    // The last contact of a former coordinator to the store was while its record existed, and so
    // before this coordinator was elected.
    const Time formerLeaseExpiry = startedAt_ + longestDurationOf(settings_.maxLeaseWithoutStore);
    settings_.scheduling.maxLeaseDuration = longestDurationOf(settings_.maxWorkerLease);
    scheduler_ =
            std::make_unique<Scheduler>(settings_.scheduling, formerLeaseExpiry, ports_.log, now);
    schedulingSince_ = now;
    scheduler_->setConfig(hooks_.config());
    scheduler_->setWallClock(ports_.wallNow(), now);
    updateSchedulerWorkers(now);
    scheduler_->setClosedDomains(hooks_.closedDomains(), now);
    std::unordered_map<JobId, JobProgress> progress;
    for (const KeyValue &item : loadedJobItems_) {
        const std::optional<JobId> id = keys::parse(keys::ProgressPrefix, item.key);
        if (!id)
            continue;
        progressRevisions_[*id] = item.revision;
        if (std::optional<JobProgress> decoded = decodeProgress(item.value))
            progress.emplace(*id, std::move(*decoded));
        else
            setAside(*id);
    }
    for (const KeyValue &item : loadedJobItems_) {
        const std::optional<JobId> id = keys::parse(keys::SpecPrefix, item.key);
        if (!id)
            continue;
        const auto found = progress.find(*id);
        addJobFromSpec(item,
                       found == progress.end() ? std::nullopt
                                               : std::optional<JobProgress>(found->second),
                       now);
    }
    for (const KeyValue &item : loadedJobItems_) {
        if (const std::optional<JobId> id = keys::parse(keys::CancelPrefix, item.key))
            applyCancellation(*id, now);
    }
    for (const auto &[id, worker] : unreachable_.workers()) {
        scheduler_->limitLeaseExpiry(id, worker.incarnation, worker.leaseExpiry);
        scheduler_->setFormerAddress(id, worker.incarnation, worker.address);
    }
    ports_.log({LogLevel::Info,
                "coordinator-ready",
                "jobs and workers are loaded; scheduling starts",
                {{"token", std::to_string(token_.value)},
                 {"jobs", std::to_string(scheduler_->jobs().size())},
                 {"workers", std::to_string(scheduler_->workers().size())},
                 {"loadMs", std::to_string(wholeMilliseconds(now - startedAt_))}}});
    loadedJobItems_.clear();
    scheduleTick();
}

/// Excludes a job with an unreadable progress record from scheduling. If it started from its
/// beginning, work that is done or still going on would run a second time.
void Coordinator::setAside(const JobId &id)
{
    jobsSetAside_.insert(id);
    ports_.log({LogLevel::Error,
                "record-unreadable",
                "the progress record of a job is malformed; no run of the job is started",
                {{"key", keys::progress(id)},
                 {"revision", std::to_string(progressRevisions_[id].value)}}});
}

// [2] Changes by clients, workers and operators

void Coordinator::addJobFromSpec(const KeyValue &item, const std::optional<JobProgress> &progress,
                                 Time now)
{
    const std::optional<JobSpec> spec = decodeSpec(item.value);
    if (!spec) {
        ports_.log({LogLevel::Error,
                    "record-unreadable",
                    "the specification of a job is malformed; the job is not run",
                    {{"key", item.key}}});
        return;
    }
    jobView_.setSpec(spec->id, spec->queue);
    if (progress && !coversAllTasks(*spec, *progress))
        setAside(spec->id);
    if (jobsSetAside_.count(spec->id) > 0)
        return;
    scheduler_->addJob(*spec, progress, scheduler_->toSteadyTime(spec->submitted, MaxJobAge, now),
                       now);
    // A cancellation may be stored before the job. Reloaded keys arrive in alphabetical order, so
    // cancellations always come first then.
    unknownCancellations_.erase(spec->id);
    if (jobView_.isCancelled(spec->id))
        scheduler_->cancelJob(spec->id, now);
}

void Coordinator::applyCancellation(const JobId &id, Time now)
{
    if (scheduler_->jobs().count(id) == 0)
        unknownCancellations_.emplace(id, now);
    scheduler_->cancelJob(id, now);
}

void Coordinator::onJobInput(const std::vector<KeyValue> &events, Time now)
{
    for (const KeyValue &item : events) {
        if (item.deleted)
            continue;
        if (const std::optional<JobId> id = keys::parse(keys::CancelPrefix, item.key)) {
            jobView_.setCancelled(*id);
            if (scheduler_)
                applyCancellation(*id, now);
            else
                loadedJobItems_.push_back(item);
        } else if (scheduler_) {
            addJobFromSpec(item, std::nullopt, now);
        } else {
            loadedJobItems_.push_back(item);
        }
    }
    schedulePass();
}

void Coordinator::onWorkerEvents(const std::vector<KeyValue> &events, Time now)
{
    for (const KeyValue &item : events) {
        if (item.deleted) {
            registryEntries_.erase(item.key);
            continue;
        }
        if (const std::optional<WorkerEntry> entry = ports_.decoders.worker(item.key, item.value)) {
            if (entry->isWarmupUnreadable && settings_.scheduling.warmupOverage > 0)
                ports_.log({LogLevel::Warning,
                            "worker-warmup-unreadable",
                            "the registry entry of a worker has a malformed time to warm up; the "
                            "worker is used as a warm one",
                            {{"key", item.key}}});
            registryEntries_[item.key] = *entry;
            continue;
        }
        ports_.log({LogLevel::Warning,
                    "worker-entry-unreadable",
                    "the registry entry of a worker is malformed; the worker is not used",
                    {{"key", item.key}}});
        registryEntries_.erase(item.key);
    }
    updateSchedulerWorkers(now);
    schedulePass();
}

void Coordinator::updateSchedulerWorkers(Time now)
{
    if (!scheduler_)
        return;
    std::vector<WorkerEntry> entries;
    entries.reserve(registryEntries_.size());
    for (const auto &[key, entry] : registryEntries_)
        entries.push_back(entry);
    scheduler_->setWorkers(entries, now);
    nextLinkCheckAt_ = now;
    for (auto it = links_.begin(); it != links_.end();) {
        const bool isGone =
                scheduler_->workers().count(it->first) == 0 && !it->second.isRenewalInFlight;
        if (isGone)
            logCallsEnded(it->first, it->second, false, now);
        it = isGone ? links_.erase(it) : std::next(it);
    }
}

void Coordinator::onConfigChanged()
{
    if (!scheduler_)
        return;
    scheduler_->setConfig(hooks_.config());
    schedulePass();
}

// [3] Progress records

void Coordinator::schedulePass()
{
    if (isPassScheduled_ || isDeposed_)
        return;
    isPassScheduled_ = true;
    ports_.timers.after(settings_.planDelay, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (alive.expired())
            return;
        isPassScheduled_ = false;
        runPass(now);
    });
}

void Coordinator::scheduleTick()
{
    ports_.timers.after(TickInterval, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (alive.expired() || isDeposed_)
            return;
        scheduler_->setWallClock(ports_.wallNow(), now);
        runPass(now);
        removeFinishedJobs(now);
        removeUnknownCancellations(now);
        publishBacklog(now);
        scheduleTick();
    });
}

void Coordinator::runPass(Time now)
{
    if (!scheduler_ || isDeposed_)
        return;
    updateStartsPaused(now);
    if (isWithinRenewalGrace(now)) {
        const WorkMeter::Scope scope(ports_.workMeter, WorkKind::Planning);
        scheduler_->plan(now);
    }
    writeChanges(WriteScope::Urgent, now);
    sendOrders(now);
    renewLeases(now);
}

/// Writes changed records. If none of them is urgent, they wait a little for others to be written
/// with.
void Coordinator::writeChanges(WriteScope records, Time now)
{
    if (!isWithinRenewalGrace(now))
        return; // until the coordinator record has been seen in the store again
    if (records == WriteScope::Urgent && !scheduler_->hasUrgentChanges()) {
        scheduleDeferredWrite();
        return;
    }
    while (scheduler_->hasChanges() && writesInFlight_ < settings_.maxWritesInFlight
           && now >= writeNotBefore_) {
        auto write = std::make_shared<ProgressWrite>();
        {
            const WorkMeter::Scope scope(ports_.workMeter, WorkKind::Encoding);
            write->changes = scheduler_->takeChanges(ChangesPerWrite);
        }
        if (write->changes.empty()) // each changed job still has a write in flight
            return;
        write->transaction.conditions.push_back({keys::Coordinator, recordRevision_});
        for (const JobChange &change : write->changes) {
            const std::string key = keys::progress(change.job);
            write->transaction.conditions.push_back({key, progressRevisions_[change.job]});
            write->transaction.puts.push_back({key, change.record, LeaseId{}});
        }
        ++writesInFlight_;
        sendProgressWrite(write, now);
    }
}

void Coordinator::scheduleDeferredWrite()
{
    if (isDeferredWriteScheduled_ || !scheduler_->hasChanges())
        return;
    isDeferredWriteScheduled_ = true;
    ports_.timers.after(settings_.maxRecordDelay,
                        [this, alive = std::weak_ptr<int>(alive_)](Time now) {
                            if (alive.expired() || isDeposed_)
                                return;
                            isDeferredWriteScheduled_ = false;
                            writeChanges(WriteScope::All, now);
                        });
}

void Coordinator::sendProgressWrite(const std::shared_ptr<ProgressWrite> &write, Time now)
{
    commit(
            write->transaction,
            [this, write](const KeyValueResult &result, Time eventTime) {
                onWritten(write, result, eventTime);
            },
            now);
}

/// Sends a transaction that requires the coordinator record. If it takes effect, the record existed
/// after `sentAt`, so no other coordinator was elected before. Answers that arrive after this
/// coordinator was deposed are dropped.
void Coordinator::commit(const Transaction &transaction, KeyValueCallback done, Time sentAt)
{
    ports_.store.commit(transaction,
                        [this, sentAt, done = std::move(done), alive = std::weak_ptr<int>(alive_)](
                                const KeyValueResult &result, Time now) {
                            if (alive.expired() || isDeposed_)
                                return;
                            if (result.status == KeyValueStatus::Ok)
                                onStoreContact(sentAt, now);
                            done(result, now);
                        });
}

/// Repeats a write whose outcome is unknown. During an outage it waits until the coordinator record
/// has been seen in the store again.
void Coordinator::scheduleRepetition(const std::shared_ptr<ProgressWrite> &write)
{
    ports_.timers.after(WriteRetryDelay,
                        [this, write, alive = std::weak_ptr<int>(alive_)](Time now) {
                            if (alive.expired() || isDeposed_)
                                return;
                            if (isWithinRenewalGrace(now))
                                sendProgressWrite(write, now);
                            else
                                scheduleRepetition(write);
                        });
}

void Coordinator::onWritten(const std::shared_ptr<ProgressWrite> &write,
                            const KeyValueResult &result, Time now)
{
    updateStartsPaused(now);
    switch (result.status) {
    case KeyValueStatus::Ok:
        for (const JobChange &change : write->changes) {
            progressRevisions_[change.job] = result.storeRevision;
            jobView_.setState(change.job, change.state);
            scheduler_->onSaved(change.job, change.version, now);
        }
        break;
    case KeyValueStatus::Conflict:
        onWriteConflict(write, result, now);
        break;
    case KeyValueStatus::Unknown:
        // Repeats the same write. If the first attempt took effect, the repetition ends in a
        // conflict, whose current values show that.
        scheduleRepetition(write);
        return;
    default:
        writeNotBefore_ = now + WriteRetryDelay;
        for (const JobChange &change : write->changes)
            scheduler_->onSaveFailed(change.job);
        break;
    }
    --writesInFlight_;
    if (result.status != KeyValueStatus::Ok) {
        schedulePass();
        return;
    }
    // A stored record frees no room, so there is nothing to plan.
    writeChanges(WriteScope::Urgent, now);
    sendOrders(now);
    renewLeases(now);
}

void Coordinator::onWriteConflict(const std::shared_ptr<ProgressWrite> &write,
                                  const KeyValueResult &result, Time now)
{
    const auto find = [&](const std::string &key) {
        return std::find_if(result.items.begin(), result.items.end(),
                            [&](const KeyValue &item) { return item.key == key; });
    };
    if (!isRecordCurrent(result)) {
        deposeByConflict();
        return;
    }
    for (const JobChange &change : write->changes) {
        const auto current = find(keys::progress(change.job));
        progressRevisions_[change.job] =
                current == result.items.end() ? StoreRevision{} : current->revision;
        if (current != result.items.end() && current->value == change.record) {
            // An earlier attempt, whose answer was lost, has written the record.
            jobView_.setState(change.job, change.state);
            scheduler_->onSaved(change.job, change.version, now);
        } else {
            scheduler_->onSaveFailed(change.job);
        }
    }
}

/// True if the result of a failed transaction shows that this process is still the coordinator.
bool Coordinator::isRecordCurrent(const KeyValueResult &result) const
{
    return std::any_of(result.items.begin(), result.items.end(), [this](const KeyValue &item) {
        return item.key == keys::Coordinator && item.revision == recordRevision_;
    });
}

/// True once each registered worker has answered this coordinator or has had the time to. Before,
/// workers that are not heard from yet would be missing from the capacity, and jobs be refused that
/// there is capacity for.
bool Coordinator::knowsCapacity(Time now) const
{
    if (!scheduler_)
        return false;
    if (now - schedulingSince_ >= settings_.scheduling.maxReportAge)
        return true;
    const auto &workers = scheduler_->workers();
    return std::all_of(workers.begin(), workers.end(), [](const auto &entry) {
        const ScheduledWorker &worker = *entry.second;
        return !worker.listed || worker.hasEnded || worker.hasReported;
    });
}

/// Writes the backlog for the other processes. If the call fails, the next report replaces it.
void Coordinator::publishBacklog(Time now)
{
    if (now < nextBacklogAt_ || !isWithinRenewalGrace(now))
        return;
    nextBacklogAt_ = now + settings_.backlogInterval;
    BacklogReport report;
    report.revision = jobInputWatch_->revision().value;
    for (const auto &[queue, jobs] : jobView_.backlogs()) {
        if (jobs > 0)
            report.jobs[queue] = jobs;
    }
    if (settings_.admitsUnderShortage && knowsCapacity(now)) {
        const WorkMeter::Scope scope(ports_.workMeter, WorkKind::Planning);
        forecast_.update(scheduler_->capacitySnapshot(now));
        report.admission = encodeAdmissionReport(forecast_.report());
    }
    jobView_.forgetSubmissions(jobInputWatch_->revision());
    Transaction transaction;
    transaction.conditions.push_back({keys::Coordinator, recordRevision_});
    transaction.puts.push_back({keys::Backlog, encodeBacklog(report), LeaseId{}});
    commit(
            transaction,
            [this](const KeyValueResult &result, Time) {
                if (result.status == KeyValueStatus::Conflict)
                    deposeByConflict();
            },
            now);
}

void Coordinator::deposeByConflict()
{
    depose("the coordinator record has changed; another process may hold it");
}

void Coordinator::depose(const std::string &reason)
{
    if (isDeposed_)
        return;
    isDeposed_ = true;
    ports_.log({LogLevel::Warning,
                "coordinator-deposed",
                reason,
                {{"token", std::to_string(token_.value)}}});
    // Deferred, because the owner destroys this object, and the caller is one of its functions.
    ports_.timers.after(Duration::zero(), [this, alive = std::weak_ptr<int>(alive_)](Time) {
        if (!alive.expired())
            hooks_.deposed();
    });
}

} // namespace monsoonledge
