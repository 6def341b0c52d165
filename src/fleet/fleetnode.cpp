#include "fleet/fleet.h"

#include "fleet/keys_p.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>

namespace monsoonledge {

namespace {

constexpr Duration ContactLimit = milliseconds(2600); // then the store counts as unreachable
constexpr Duration StoreCheckInterval = milliseconds(500);
constexpr Duration MaxStandDelay = milliseconds(250); // limit for a host with few cores
constexpr std::uint64_t StandJitterMs = 60;
constexpr Duration StandRetryDelay = milliseconds(300);
constexpr Duration ResignPause = seconds(5); // between resigning and standing for coordinator again

} // namespace

FleetNode::FleetNode(const FleetSettings &settings, const FleetPorts &ports, std::uint64_t seed,
                     Time now)
    : settings_(settings), ports_(ports), random_(seed), writer_(ports), lastContact_(now),
      contactSince_(now)
{
    configWatch_ = std::make_unique<PrefixWatch>(
            ports_, settings_.configPrefix, settings_.configWait, Duration::zero(),
            PrefixWatch::Hooks{
                    [this](const std::vector<KeyValue> &items, Time) { onConfigItems(items); },
                    [this](const std::vector<KeyValue> &items, Time) { onConfigItems(items); }});
    recordWatch_ = std::make_unique<PrefixWatch>(
            ports_, keys::Coordinator, settings_.watchWait, Duration::zero(),
            PrefixWatch::Hooks{[this](const std::vector<KeyValue> &items, Time later) {
                                   hasRecord_ = false;
                                   onRecordItems(items, later);
                               },
                               [this](const std::vector<KeyValue> &items, Time later) {
                                   onRecordItems(items, later);
                               }});
}

FleetNode::~FleetNode() = default;

void FleetNode::log(LogLevel level, const std::string &event, const std::string &message,
                    std::vector<std::pair<std::string, std::string>> fields)
{
    ports_.log({level, event, message, std::move(fields)});
}

void FleetNode::start()
{
    configWatch_->start();
    recordWatch_->start();
    followJobs();
    checkStore();
}

/// Checks repeatedly whether the store is reachable, logs each change, and challenges a weaker
/// coordinator.
void FleetNode::checkStore()
{
    ports_.timers.after(StoreCheckInterval, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (alive.expired())
            return;
        const bool isThere = reachesStore(now);
        if (isThere != hasStore_)
            log(isThere ? LogLevel::Info : LogLevel::Warning,
                isThere ? "store-regained" : "store-lost",
                isThere ? "the store answers again" : "the store has not answered for 2.6 s");
        if (!isThere || !hasStore_)
            contactSince_ = now;
        hasStore_ = isThere;
        challengeIfStronger(now);
        checkStore();
    });
}

void FleetNode::followJobs()
{
    const auto apply = [this](const std::vector<KeyValue> &items, Time) {
        for (const KeyValue &item : items) {
            if (!view_.apply(item))
                log(LogLevel::Error, "record-unreadable",
                    "a record of a job is malformed; its change is not shown to clients",
                    {{"key", item.key}});
        }
    };
    jobsWatch_ = std::make_unique<PrefixWatch>(
            ports_, keys::JobsPrefix, settings_.watchWait, settings_.followPause,
            PrefixWatch::Hooks{
                    [this](const std::vector<KeyValue> &items, Time) { view_.reset(items); },
                    apply});
    jobsWatch_->start();
}

void FleetNode::onConfigItems(const std::vector<KeyValue> &items)
{
    for (const KeyValue &item : items) {
        if (item.key != settings_.configKey || item.deleted)
            continue;
        const std::optional<QueueConfig> config = ports_.codecs.config(item.value);
        if (!config) {
            log(LogLevel::Error, "config-unreadable",
                "a new configuration is malformed; the one in force remains",
                {{"revision", std::to_string(item.revision.value)}});
            continue;
        }
        if (config->version <= config_.version)
            continue;
        config_ = *config;
        log(LogLevel::Info, "config-applied", "a new configuration is in force",
            {{"version", std::to_string(config_.version)},
             {"queues", std::to_string(config_.queues.size())}});
        if (coordinator_)
            coordinator_->onConfig();
    }
}

// Election

void FleetNode::onRecordItems(const std::vector<KeyValue> &items, Time now)
{
    for (const KeyValue &item : items)
        onRecordItem(item, now);
    if (!hasRecord_)
        standLater();
}

void FleetNode::onRecordItem(const KeyValue &item, Time now)
{
    if (item.key == keys::Challenge && !item.deleted)
        onChallenge(std::strtod(item.value.c_str(), nullptr));
    if (item.key != keys::Coordinator)
        return;
    hasRecord_ = !item.deleted;
    recordSince_ = now;
    recordCores_ = std::strtod(item.value.c_str(), nullptr); // the name follows after a space
}

/// Asks the coordinator to resign if this host has many more cores. After outages a weak host may
/// have become the coordinator, and with hundreds of workers it cannot keep up.
void FleetNode::challengeIfStronger(Time now)
{
    const bool isStronger = settings_.hostCores >= settings_.challengeFactor * recordCores_;
    if (!hasRecord_ || coordinator_ || isDraining_ || !isStronger || !isReady(now))
        return;
    if (now - std::max(recordSince_, contactSince_) < settings_.challengeAfter
        || (challengedAt_ && now - *challengedAt_ < settings_.challengePause))
        return;
    challengedAt_ = now;
    ports_.store.grantLease(settings_.challengeAfter, [this, alive = std::weak_ptr<int>(alive_)](
                                                              const KeyValueResult &result, Time) {
        if (alive.expired() || result.status != KeyValueStatus::Ok)
            return; // the next challenge follows after the pause
        Transaction transaction;
        transaction.conditions.push_back({keys::Challenge, StoreRevision{}});
        transaction.puts.push_back(
                {keys::Challenge, std::to_string(settings_.hostCores), result.lease});
        ports_.store.commit(transaction, [](const KeyValueResult &, Time) {});
    });
}

/// Resigns if the challenger's host is much stronger. All processes then stand for coordinator,
/// those on the strongest hosts first.
void FleetNode::onChallenge(double cores)
{
    if (!coordinator_ || cores < settings_.challengeFactor * settings_.hostCores)
        return;
    log(LogLevel::Info, "coordinator-resigned",
        "a process on a much stronger host has asked this coordinator to resign",
        {{"cores", std::to_string(settings_.hostCores)}, {"challenger", std::to_string(cores)}});
    const LeaseId lease = lease_;
    stepDown();
    // If this call fails, the lease expires later.
    ports_.store.endLease(lease, [](const KeyValueResult &, Time) {});
}

/// Stands for coordinator after a delay, which is shorter on stronger hosts, so that they usually
/// win.
void FleetNode::standLater()
{
    if (isStanding_ || isDraining_ || coordinator_)
        return;
    isStanding_ = true;
    const double weakness = 1 / (1 + 10 * settings_.hostCores);
    const Duration delay = std::chrono::duration_cast<Duration>(MaxStandDelay * weakness)
                           + milliseconds(static_cast<std::int64_t>(random_.below(StandJitterMs)));
    ports_.timers.after(delay, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (!alive.expired())
            stand(now);
    });
}

void FleetNode::stand(Time now)
{
    isStanding_ = false;
    if (hasRecord_ || isDraining_ || coordinator_)
        return;
    if (now < notBefore_ || config_.version == 0) {
        ports_.timers.after(StandRetryDelay, [this, alive = std::weak_ptr<int>(alive_)](Time) {
            if (!alive.expired() && !hasRecord_)
                standLater();
        });
        return;
    }
    isStanding_ = true;
    ports_.store.grantLease(settings_.leaseTtl,
                            [this, sentAt = now, alive = std::weak_ptr<int>(alive_)](
                                    const KeyValueResult &result, Time later) {
                                if (alive.expired())
                                    return;
                                if (result.status == KeyValueStatus::Ok) {
                                    onLeaseGranted(result.lease, sentAt);
                                    return;
                                }
                                isStanding_ = false;
                                notBefore_ = later + StandRetryDelay;
                                standLater();
                            });
}

void FleetNode::onLeaseGranted(LeaseId lease, Time sentAt)
{
    Transaction transaction;
    transaction.conditions.push_back({keys::Coordinator, StoreRevision{}});
    transaction.puts.push_back(
            {keys::Coordinator, std::to_string(settings_.hostCores) + ' ' + settings_.name, lease});
    ports_.store.commit(transaction, [this, lease, sentAt, alive = std::weak_ptr<int>(alive_)](
                                             const KeyValueResult &result, Time later) {
        if (alive.expired())
            return;
        isStanding_ = false;
        if (result.status == KeyValueStatus::Ok && !isDraining_) {
            lease_ = lease;
            becomeCoordinator(result.storeRevision, sentAt, later);
            return;
        }
        if (result.status == KeyValueStatus::Conflict)
            hasRecord_ = true; // the watch reports its removal
        // If this call fails, the lease expires later.
        ports_.store.endLease(lease, [](const KeyValueResult &, Time) {});
        notBefore_ = later + StandRetryDelay;
        if (!hasRecord_)
            standLater();
    });
}

void FleetNode::becomeCoordinator(StoreRevision record, Time sentAt, Time now)
{
    log(LogLevel::Info, "coordinator-elected", "this process is the coordinator",
        {{"token", std::to_string(record.value)}});
    hasRecord_ = true;
    jobsWatch_.reset(); // the coordinator updates the view of the jobs from now on
    coordinator_ = std::make_unique<Coordinator>(
            settings_, ports_, view_, record,
            Coordinator::Hooks{[this] { stepDown(); }, [this] { return config_; }}, now);
    coordinator_->onContact(sentAt);
    lastContact_ = now;
    keep();
}

void FleetNode::keep()
{
    ports_.timers.after(settings_.keepInterval, [this, lease = lease_,
                                                 alive = std::weak_ptr<int>(alive_)](Time sentAt) {
        if (alive.expired() || !coordinator_ || lease_ != lease)
            return;
        if (!coordinator_->reachesWorkers(sentAt)) {
            log(LogLevel::Warning, "coordinator-resigned",
                "most workers cannot be reached; another process has to take over");
            notBefore_ = sentAt + ResignPause;
            stepDown();
            // If this call fails, the lease expires later.
            ports_.store.endLease(lease, [](const KeyValueResult &, Time) {});
            return;
        }
        ports_.store.keepLease(
                lease, [this, lease, sentAt, alive](const KeyValueResult &result, Time now) {
                    if (alive.expired() || !coordinator_ || lease_ != lease)
                        return;
                    if (result.status == KeyValueStatus::NotFound) {
                        log(LogLevel::Warning, "coordinator-deposed",
                            "the lease of the coordinator record has ended");
                        stepDown();
                        return;
                    }
                    if (result.status == KeyValueStatus::Ok) {
                        coordinator_->onContact(sentAt);
                        lastContact_ = now;
                    }
                    keep();
                });
    });
}

void FleetNode::stepDown()
{
    if (!coordinator_)
        return;
    coordinator_.reset();
    lease_ = {};
    followJobs();
    // The watch may already have reported the removal of the coordinator record.
    if (!hasRecord_)
        standLater();
}

void FleetNode::drain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    if (!coordinator_)
        return;
    const LeaseId lease = lease_;
    stepDown();
    // If this call fails, the lease expires later.
    ports_.store.endLease(lease, [](const KeyValueResult &, Time) {});
}

// Clients

bool FleetNode::reachesStore(Time now) const
{
    Time last = std::max({lastContact_, configWatch_->lastContact(), recordWatch_->lastContact()});
    if (jobsWatch_)
        last = std::max(last, jobsWatch_->lastContact());
    return now - last < ContactLimit;
}

bool FleetNode::isReady(Time now) const
{
    return config_.version > 0 && !isDraining_ && reachesStore(now);
}

void FleetNode::submit(const JobSpec &spec, Time deadline,
                       std::function<void(JobAnswer, Time)> done, Time now)
{
    if (view_.contains(spec.id)) {
        done(JobAnswer::Accepted, now);
        return;
    }
    if (!reachesStore(now)) {
        done(JobAnswer::NotAccepted, now);
        return;
    }
    const auto answered = [this, id = spec.id, queue = spec.queue,
                           done = std::move(done)](CreateOutcome outcome, Time later) {
        switch (outcome) {
        case CreateOutcome::Created:
        case CreateOutcome::Exists:
            view_.setSpec(id, queue);
            done(JobAnswer::Accepted, later);
            return;
        case CreateOutcome::NotDone:
            done(JobAnswer::NotAccepted, later);
            return;
        case CreateOutcome::Unknown:
            done(JobAnswer::Unknown, later);
            return;
        }
    };
    writer_.create(keys::spec(spec.id), encodeSpec(spec), deadline, answered, now);
}

void FleetNode::cancel(const JobId &id, Time deadline, std::function<void(JobAnswer, Time)> done,
                       Time now)
{
    if (view_.isCancelled(id)) {
        done(JobAnswer::Accepted, now);
        return;
    }
    if (!view_.contains(id)) { // accepted just now by another process, or unknown
        ports_.store.get(keys::spec(id), [this, id, deadline, done = std::move(done),
                                          alive = std::weak_ptr<int>(alive_)](
                                                 const KeyValueResult &result, Time later) {
            if (alive.expired())
                return;
            if (result.status != KeyValueStatus::Ok) {
                done(result.status == KeyValueStatus::NotFound ? JobAnswer::NotFound
                                                               : JobAnswer::Unknown,
                     later);
                return;
            }
            if (const std::optional<JobSpec> spec = decodeSpec(result.items.front().value))
                view_.setSpec(id, spec->queue);
            else
                view_.setSpec(id, {});
            cancel(id, deadline, done, later);
        });
        return;
    }
    const auto answered = [this, id, done = std::move(done)](CreateOutcome outcome, Time later) {
        const bool isWritten =
                outcome == CreateOutcome::Created || outcome == CreateOutcome::Exists;
        if (isWritten)
            view_.setCancelled(id);
        done(isWritten ? JobAnswer::Accepted : JobAnswer::Unknown, later);
    };
    writer_.create(keys::cancel(id), settings_.name, deadline, answered, now);
}

/// Reads the state of a job that had not ended when last seen, so that clients see its end at once.
void FleetNode::readState(const JobId &id, JobState known, StateDone done)
{
    ports_.store.get(keys::progress(id), [this, id, known, done = std::move(done),
                                          alive = std::weak_ptr<int>(alive_)](
                                                 const KeyValueResult &result, Time now) {
        if (alive.expired())
            return;
        if (result.status == KeyValueStatus::Ok) {
            if (const std::optional<JobState> state = decodeState(result.items.front().value))
                view_.setState(id, *state);
        }
        // If the store does not answer, the last known state is returned.
        done(JobAnswer::Accepted, view_.state(id).value_or(known), now);
    });
}

void FleetNode::state(const JobId &id, StateDone done, Time now)
{
    if (const std::optional<JobState> known = view_.state(id)) {
        const bool isCurrent = isFinal(*known) || coordinator_;
        if (isCurrent || !reachesStore(now) || writer_.isStalled(now))
            done(JobAnswer::Accepted, *known, now);
        else
            readState(id, *known, std::move(done));
        return;
    }
    ports_.store.get(keys::spec(id),
                     [done = std::move(done)](const KeyValueResult &result, Time later) {
                         switch (result.status) {
                         case KeyValueStatus::Ok: // accepted just now by another process
                             done(JobAnswer::Accepted, JobState::Pending, later);
                             return;
                         case KeyValueStatus::NotFound:
                             done(JobAnswer::NotFound, JobState::Pending, later);
                             return;
                         default:
                             done(JobAnswer::Unknown, JobState::Pending, later);
                             return;
                         }
                     });
}

} // namespace monsoonledge
