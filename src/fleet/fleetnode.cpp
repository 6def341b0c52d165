#include "fleet/fleet.h"

#include "fleet/handover_p.h"
#include "fleet/keys_p.h"
#include "fleet/unreachable_p.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace monsoonledge {

namespace {

constexpr Duration StoreContactTimeout = milliseconds(2600); // then the store counts as unreachable
constexpr Duration MaxConfigAge = seconds(2); // then a new configuration should be in force
constexpr Duration StoreCheckInterval = milliseconds(500);
constexpr Duration MaxCandidacyDelay = milliseconds(250); // limit for a host with few cores
constexpr std::uint64_t CandidacyJitterMs = 60;
constexpr Duration CandidacyRetryDelay = milliseconds(300);
constexpr Duration CandidacyPauseAfterResigning = seconds(5);

FleetPorts withSpreadSeed(FleetPorts ports, std::uint64_t seed)
{
    ports.spreadSeed = seed;
    return ports;
}

const char *removalReason(bool isReplaced)
{
    return isReplaced ? "another process has written the coordinator record"
                      : "the coordinator record was removed";
}

} // namespace

FleetNode::FleetNode(const FleetSettings &settings, const FleetPorts &ports, std::uint64_t seed,
                     Time now)
    : settings_(settings), ports_(withSpreadSeed(ports, seed)), random_(seed),
      closedDomains_(ports.log), admission_(settings.admission), writer_(ports_),
      unreachable_(std::make_unique<UnreachableView>()), lastStoreContact_(now),
      storeContactSince_(now)
{
    ports_.holdsWatches = [this](Time when) {
        return coordinator_ && coordinator_->awaitsStore(when);
    };
    configWatch_ = std::make_unique<PrefixWatch>(
            ports_, settings_.configPrefix, settings_.configWatchWait, Duration::zero(),
            PrefixWatch::Hooks{[this](const std::vector<KeyValue> &items, Time eventTime) {
                                   onEvacuationItems(items, true, eventTime);
                                   onConfigItems(items);
                               },
                               [this](const std::vector<KeyValue> &items, Time eventTime) {
                                   onEvacuationItems(items, false, eventTime);
                                   onConfigItems(items);
                               }},
            PrefixWatch::Delivery::LatestState);
    coordinatorWatch_ = std::make_unique<PrefixWatch>(
            ports_, keys::Coordinator, settings_.watchWait, Duration::zero(),
            PrefixWatch::Hooks{[this](const std::vector<KeyValue> &items, Time eventTime) {
                                   isRecordPresent_ = false;
                                   onCoordinatorItems(items, false, eventTime);
                                   if (!jobsWatch_ && !coordinator_)
                                       watchJobs();
                               },
                               [this](const std::vector<KeyValue> &items, Time eventTime) {
                                   onCoordinatorItems(items, true, eventTime);
                               }});
    makeHandover();
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
    coordinatorWatch_->start(); // the watch of the jobs follows when its keys are loaded
    scheduleStoreCheck();
    if (handover_)
        handover_->start();
}

/// Checks repeatedly whether the store is reachable, logs each change, and challenges a weaker
/// coordinator.
void FleetNode::scheduleStoreCheck()
{
    ports_.timers.after(StoreCheckInterval, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (alive.expired())
            return;
        const bool isThere = reachesStore(now);
        if (isThere != isStoreReachable_)
            log(isThere ? LogLevel::Info : LogLevel::Warning,
                isThere ? "store-regained" : "store-lost",
                isThere ? "the store answers again" : "the store has not answered for 2.6 s");
        if (!isThere || !isStoreReachable_)
            storeContactSince_ = now;
        isStoreReachable_ = isThere;
        challengeIfStronger(now);
        scheduleStoreCheck();
    });
}

/// Watches submissions and cancellations. Those that the last report of the backlog covers are left
/// out; the store has the rest in its history, or the watch loads them all.
void FleetNode::watchJobs()
{
    const auto apply = [this](const std::vector<KeyValue> &items, Time) {
        for (const KeyValue &item : items) {
            if (!jobView_.apply(item))
                log(LogLevel::Error, "record-unreadable",
                    "a record of a job is malformed; its change is not shown to clients",
                    {{"key", item.key}});
        }
    };
    jobsWatch_ = std::make_unique<PrefixWatch>(
            ports_, keys::JobInputPrefix, settings_.watchWait, settings_.jobWatchPause,
            PrefixWatch::Hooks{
                    [this](const std::vector<KeyValue> &items, Time) { jobView_.reset(items); },
                    apply});
    if (backlogReport_.revision > 0)
        jobsWatch_->startAfter({backlogReport_.revision});
    else
        jobsWatch_->start();
}

/// Applies the newest configuration among the items that can be decoded, if it is newer than the
/// one in force.
void FleetNode::onConfigItems(const std::vector<KeyValue> &items)
{
    for (auto item = items.rbegin(); item != items.rend(); ++item) {
        if (item->key != settings_.configKey || item->deleted)
            continue;
        if (item->revision <= configRevision_)
            return;
        const std::optional<QueueConfig> config = ports_.decoders.config(item->value);
        if (config) {
            configRevision_ = item->revision;
            applyConfig(*config);
            return;
        }
        log(LogLevel::Error, "config-unreadable",
            "a new configuration is malformed; the one in force remains",
            {{"revision", std::to_string(item->revision.value)}});
    }
}

void FleetNode::applyConfig(const QueueConfig &config)
{
    if (config.version <= config_.version)
        return;
    config_ = config;
    log(LogLevel::Info, "config-applied", "a new configuration is in force",
        {{"version", std::to_string(config_.version)},
         {"queues", std::to_string(config_.queues.size())},
         {"answerMs", std::to_string(wholeMilliseconds(configWatch_->lastAnswer().took))},
         {"answerItems", std::to_string(configWatch_->lastAnswer().items)},
         {"answerBytes", std::to_string(configWatch_->lastAnswer().bytes)}});
    if (coordinator_)
        coordinator_->onConfigChanged();
}

// Election

void FleetNode::onCoordinatorItems(const std::vector<KeyValue> &items, bool isWatched, Time now)
{
    for (const KeyValue &item : items)
        onCoordinatorItem(item, isWatched, now);
    if (!isRecordPresent_)
        scheduleCandidacy();
}

void FleetNode::onCoordinatorItem(const KeyValue &item, bool isWatched, Time now)
{
    if (item.key == keys::Challenge && !item.deleted)
        onChallenge(std::strtod(item.value.c_str(), nullptr));
    if (item.key == keys::Backlog && !item.deleted)
        onBacklogItem(item, isWatched);
    if (item.key == keys::Unreachable)
        onUnreachableItem(item, now);
    if (item.key != keys::Coordinator)
        return;
    isRecordPresent_ = !item.deleted;
    if (coordinator_ && item.revision > coordinator_->recordRevision())
        onRecordGone(removalReason(isRecordPresent_), isRecordPresent_);
    recordReceivedAt_ = now;
    coordinatorCores_ = std::strtod(item.value.c_str(), nullptr); // the name follows after a space
    const std::size_t space = item.value.find(' ');
    coordinatorName_ = space == std::string::npos ? std::string() : item.value.substr(space + 1);
}

void FleetNode::onBacklogItem(const KeyValue &item, bool isWatched)
{
    const std::optional<BacklogReport> report = decodeBacklog(item.value);
    if (!report) {
        log(LogLevel::Error, "record-unreadable",
            "the report of the backlog is malformed; the last one is used", {{"key", item.key}});
        return;
    }
    backlogReport_ = *report;
    jobView_.forgetSubmissions({report->revision});
    takeAdmissionReport(report->admission, isWatched);
}

void FleetNode::onUnreachableItem(const KeyValue &item, Time now)
{
    if (!unreachable_->receive(item, now))
        log(LogLevel::Error, "record-unreadable",
            "the record of unreachable workers is malformed; it is ignored", {{"key", item.key}});
}

/// Asks the coordinator to resign if this host has many more cores. After outages a weak host may
/// have become the coordinator, and with hundreds of workers it cannot keep up.
void FleetNode::challengeIfStronger(Time now)
{
    const bool isStronger = settings_.hostCores >= settings_.challengeFactor * coordinatorCores_;
    if (!isRecordPresent_ || coordinator_ || isDraining_ || !isStronger || !isReady(now)
        || !reachesStore(now))
        return;
    if (now - std::max(recordReceivedAt_, storeContactSince_) < settings_.challengeAfter
        || (challengedAt_ && now - *challengedAt_ < settings_.challengeInterval))
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

/// Resigns if the challenger's host is much stronger. All processes then become candidates, those
/// on the strongest hosts first.
void FleetNode::onChallenge(double cores)
{
    if (!coordinator_ || cores < settings_.challengeFactor * settings_.hostCores)
        return;
    log(LogLevel::Info, "coordinator-resigned",
        "a process on a much stronger host has asked this coordinator to resign",
        {{"cores", std::to_string(settings_.hostCores)}, {"challenger", std::to_string(cores)}});
    resign();
}

/// Tries to become the coordinator after a delay, which is shorter on stronger hosts, so that they
/// usually win.
void FleetNode::scheduleCandidacy()
{
    if (isCandidate_ || isDraining_ || coordinator_)
        return;
    isCandidate_ = true;
    const double delayFactor = 1 / (1 + 10 * settings_.hostCores);
    const Duration delay =
            std::chrono::duration_cast<Duration>(MaxCandidacyDelay * delayFactor)
            + milliseconds(static_cast<std::int64_t>(random_.below(CandidacyJitterMs)));
    ports_.timers.after(delay, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (!alive.expired())
            requestCoordinatorLease(now);
    });
}

void FleetNode::requestCoordinatorLease(Time now)
{
    isCandidate_ = false;
    if (isRecordPresent_ || isDraining_ || coordinator_)
        return;
    if (now < nextCandidacyAt_ || config_.version == 0) {
        ports_.timers.after(CandidacyRetryDelay, [this, alive = std::weak_ptr<int>(alive_)](Time) {
            if (!alive.expired() && !isRecordPresent_)
                scheduleCandidacy();
        });
        return;
    }
    isCandidate_ = true;
    ports_.store.grantLease(settings_.coordinatorLeaseTtl,
                            [this, sentAt = now, alive = std::weak_ptr<int>(alive_)](
                                    const KeyValueResult &result, Time eventTime) {
                                if (alive.expired())
                                    return;
                                if (result.status == KeyValueStatus::Ok) {
                                    onLeaseGranted(result.lease, sentAt);
                                    return;
                                }
                                isCandidate_ = false;
                                nextCandidacyAt_ = eventTime + CandidacyRetryDelay;
                                scheduleCandidacy();
                            });
}

void FleetNode::onLeaseGranted(LeaseId lease, Time sentAt)
{
    Transaction transaction;
    transaction.conditions.push_back({keys::Coordinator, StoreRevision{}});
    transaction.puts.push_back(
            {keys::Coordinator, std::to_string(settings_.hostCores) + ' ' + settings_.name, lease});
    ports_.store.commit(transaction, [this, lease, sentAt, alive = std::weak_ptr<int>(alive_)](
                                             const KeyValueResult &result, Time eventTime) {
        if (alive.expired())
            return;
        isCandidate_ = false;
        if (result.status == KeyValueStatus::Ok && !isDraining_) {
            lease_ = lease;
            becomeCoordinator(result.storeRevision, sentAt, eventTime);
            return;
        }
        if (result.status == KeyValueStatus::Conflict)
            isRecordPresent_ = true; // the watch reports its removal
        // If this call fails, the lease expires later.
        ports_.store.endLease(lease, [](const KeyValueResult &, Time) {});
        nextCandidacyAt_ = eventTime + CandidacyRetryDelay;
        if (!isRecordPresent_)
            scheduleCandidacy();
    });
}

void FleetNode::becomeCoordinator(StoreRevision recordRevision, Time sentAt, Time now)
{
    log(LogLevel::Info, "coordinator-elected", "this process is the coordinator",
        {{"token", std::to_string(recordRevision.value)}});
    isRecordPresent_ = true;
    jobsWatch_.reset(); // the coordinator updates the view of the jobs from now on
    coordinator_ = std::make_unique<Coordinator>(
            settings_, ports_, jobView_, *unreachable_, recordRevision,
            Coordinator::Hooks{[this] { stepDown(); }, [this] { return config_; },
                               [this] { return closedDomains_.domains(); },
                               [this](Time when) { return knowsClosedDomains(when); }},
            sentAt, now);
    lastStoreContact_ = now;
    scheduleLeaseRenewal(settings_.leaseRenewalInterval);
}

void FleetNode::scheduleLeaseRenewal(Duration delay)
{
    ports_.timers.after(delay,
                        [this, lease = lease_, alive = std::weak_ptr<int>(alive_)](Time now) {
                            if (alive.expired() || !coordinator_ || lease_ != lease)
                                return;
                            if (coordinator_->reachesMostWorkers(now)) {
                                renewCoordinatorLease();
                                return;
                            }
                            log(LogLevel::Warning, "coordinator-resigned",
                                "most workers cannot be reached; another process has to take over");
                            nextCandidacyAt_ = now + CandidacyPauseAfterResigning;
                            resign();
                        });
}

/// Renews the lease of the coordinator record, and schedules the next renewal: without an answer,
/// it does not wait until this call has timed out.
void FleetNode::renewCoordinatorLease()
{
    const auto isNextScheduled = std::make_shared<bool>(false);
    const auto scheduleNext = [this, isNextScheduled](Duration delay) {
        if (!std::exchange(*isNextScheduled, true))
            scheduleLeaseRenewal(delay);
    };
    const auto isPresent = [this, lease = lease_, alive = std::weak_ptr<int>(alive_)] {
        return !alive.expired() && coordinator_ && lease_ == lease;
    };
    ports_.store.renewLease(lease_, [this, isPresent, scheduleNext](const KeyValueResult &result,
                                                                    Time now) {
        if (!isPresent())
            return;
        if (result.status == KeyValueStatus::NotFound) {
            onRecordGone("the lease of the coordinator record has ended", false);
            return;
        }
        const bool isRenewed = result.status == KeyValueStatus::Ok;
        if (isRenewed) {
            lastStoreContact_ = now;
            checkCoordinatorRecord(now);
        }
        scheduleNext(isRenewed ? settings_.leaseRenewalInterval : settings_.leaseRenewalRetry);
    });
    ports_.timers.after(settings_.leaseRenewalRetry, [isPresent, scheduleNext](Time) {
        if (isPresent())
            scheduleNext(Duration::zero());
    });
}

/// Reads the coordinator record. A store may remove it before its lease has ended and still renew
/// the lease, so only the record itself shows that no other process was elected before `sentAt`.
void FleetNode::checkCoordinatorRecord(Time sentAt)
{
    ports_.store.get(
            keys::Coordinator, [this, sentAt, lease = lease_, alive = std::weak_ptr<int>(alive_)](
                                       const KeyValueResult &result, Time now) {
                if (alive.expired() || !coordinator_ || lease_ != lease)
                    return;
                const bool isRead = result.status == KeyValueStatus::Ok && !result.items.empty();
                if (isRead && result.items.front().revision == coordinator_->recordRevision())
                    coordinator_->onStoreContact(sentAt, now);
                else if (isRead || result.status == KeyValueStatus::NotFound)
                    onRecordGone(removalReason(isRead), isRead);
            });
}

/// The record of this coordinator no longer exists. `isReplaced`: another process has written its
/// own; if that is only not known yet, the next candidacy of this process shows it.
void FleetNode::onRecordGone(const std::string &reason, bool isReplaced)
{
    log(LogLevel::Warning, "coordinator-deposed", reason);
    isRecordPresent_ = isReplaced;
    resign();
}

void FleetNode::resign()
{
    const LeaseId lease = lease_;
    stepDown();
    // If this call fails, the lease expires later.
    ports_.store.endLease(lease, [](const KeyValueResult &, Time) {});
}

void FleetNode::stepDown()
{
    if (!coordinator_)
        return;
    coordinator_.reset();
    lease_ = {};
    watchJobs();
    // The watch may already have reported the removal of the coordinator record.
    if (!isRecordPresent_)
        scheduleCandidacy();
}

void FleetNode::drain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    if (handover_)
        handover_->drain();
    if (coordinator_)
        resign();
}

// Contact to the store

Time FleetNode::lastStoreContact() const
{
    Time last = std::max({lastStoreContact_, configWatch_->lastStoreContact(),
                          coordinatorWatch_->lastStoreContact()});
    if (jobsWatch_)
        last = std::max(last, jobsWatch_->lastStoreContact());
    return last;
}

bool FleetNode::reachesStore(Time now) const
{
    return now - lastStoreContact() < StoreContactTimeout;
}

bool FleetNode::isConfigCurrent(Time now) const
{
    return config_.version > 0 && now - configWatch_->lastStoreContact() < MaxConfigAge;
}

bool FleetNode::isReady(Time now) const
{
    return config_.version > 0 && !isDraining_
           && (reachesStore(now) || (handover_ && handover_->canForward(now)));
}

} // namespace monsoonledge
