// The entry processes of a deployment. They accept jobs, elect a coordinator through the store, and
// report the state of every job.
//
// Every process accepts and cancels jobs by writing to the store, and watches the records of all
// jobs. One process at a time is the coordinator. It holds the coordinator record under a store
// lease, schedules all jobs, and sends orders to the workers with a fencing token, which is the
// revision of that record. Each of its writes is conditional on that revision, so a former
// coordinator cannot assign a run.
//
// Keys in the store:
//   coordinator            the coordinator record: host cores and name of the process that holds
//                          it, under its lease
//   coordinator/challenge  host cores of a process on a much stronger host, which asks the
//                          coordinator to resign; under a lease of a few seconds
//   coordinator/backlog    number of jobs of each queue that have not started; written by the
//                          coordinator each second
//   jobs/in/spec/ID        specification of a job; written once, by the process that accepts it
//   jobs/in/cancel/ID      cancellation of a job; written once, also if there is no such job yet
//   jobs/progress/ID       progress of a job; written by the coordinator
//   coordinator/unreachable
//                          workers that get no leases because they do not answer, and when the
//                          last ones expire; written by the coordinator
//   entry/NAME             relay address and failure domain of an entry process
//
// Sections:
//   [1] Store
//   [2] Workers
//   [3] Settings
//   [4] Watching a key prefix
//   [5] Creating keys
//   [6] View of all jobs
//   [7] Coordinator
//   [8] Entry process
#pragma once

#include "overload/outage.h"
#include "overload/overload.h"
#include "scheduling/scheduling.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace monsoonledge {

class Handover;
class UnreachableView;
class UnreachableWriter;
struct SubmissionExplanation;
class RelayPort;

// [1] Store

/// Revision of the whole store. Each change increases it.
using StoreRevision = Number<struct StoreRevisionTag>;
/// A lease granted by the store. 0: no lease.
using LeaseId = Number<struct LeaseTag>;

struct KeyValue
{
    std::string key;
    std::string value;
    StoreRevision revision; // of the key's last change; 0: the key is absent
    bool deleted = false; // set in watch events that report the key's removal
};

/// Requires that the last change of a key has the given revision.
struct Condition
{
    std::string key;
    StoreRevision revision; // 0: the key must be absent
};

struct PutOperation
{
    std::string key;
    std::string value;
    LeaseId lease; // the store removes the key when the lease ends; 0: no lease
};

/// Applied atomically if all conditions hold. The conditions, puts and removals together are at
/// most MaxTransactionEntries.
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<PutOperation> puts;
    std::vector<std::string> removals;
};

constexpr std::size_t MaxTransactionEntries = 32;

enum class KeyValueStatus {
    Ok,
    NotFound, // get: the key is absent; renewals and puts under a lease: the lease has ended
    Conflict, // a condition does not hold; `items` are the current values of the conditions' keys
    Compacted, // watch: the store has discarded the history after the requested revision
    NotApplied, // the call has had no effect and will have none
    Unknown, // no answer: the call may have taken effect or may still do so
};

struct KeyValueResult
{
    KeyValueStatus status = KeyValueStatus::Unknown;
    std::vector<KeyValue> items; // keys that were read, or events of a watch
    StoreRevision storeRevision; // at the call; of a transaction: the revision that it created
    bool hasMore = false; // range: there are more keys after the last one in `items`
    LeaseId lease; // set by grantLease()
    std::string detail; // cause of NotApplied and Unknown, for logs
};

using KeyValueCallback = std::function<void(const KeyValueResult &, Time now)>;

/// Client of the platform's key-value store, which is linearizable and has transactions, leases and
/// watches.
class KeyValuePort
{
public:
    virtual ~KeyValuePort() = default;
    virtual void get(const std::string &key, KeyValueCallback done) = 0;
    /// Reads one page of the keys that have the prefix and sort after `afterKey`.
    virtual void range(const std::string &prefix, const std::string &afterKey,
                       KeyValueCallback done) = 0;
    /// Long poll: returns the events after the revision as soon as there is one, or none when
    /// `wait` has passed.
    virtual void watch(const std::string &prefix, StoreRevision after, Duration wait,
                       KeyValueCallback done) = 0;
    virtual void commit(const Transaction &transaction, KeyValueCallback done) = 0;
    virtual void grantLease(Duration ttl, KeyValueCallback done) = 0;
    virtual void renewLease(LeaseId lease, KeyValueCallback done) = 0;
    virtual void endLease(LeaseId lease, KeyValueCallback done) = 0;
};

// [2] Workers

using FencingToken = Number<struct FencingTokenTag>;

enum class WorkerCallStatus {
    Ok,
    NoRoom, // the worker lacks the resources for the task
    OldRun, // the worker has already stopped or ended this run or a later one of the task
    Fenced, // the worker has seen a higher fencing token
    Refused, // rejected for another reason; the call has had no effect
    NotSent, // no connection was made, for example because nothing listens at the address
    OtherIncarnation, // another worker answers at the address: the one that was called has ended
    Unknown, // no answer: the call may have taken effect or may still do so
};

struct WorkerCallResult
{
    WorkerCallStatus status = WorkerCallStatus::Unknown;
    RunReport report; // set by renew(); `clock` is also set by other calls that were answered
    std::string detail; // cause of a failure, for logs
};

using WorkerCallback = std::function<void(const WorkerCallResult &, Time now)>;

/// Client of the workers. Each call goes to one worker, at the address of its registry entry.
class RunPort
{
public:
    virtual ~RunPort() = default;
    /// Starts a run. `leaseEnd` is in ms on the worker's clock; the leases of all runs on the
    /// worker are extended to at least this time.
    virtual void start(const WorkerEntry &worker, const StartOrder &order, FencingToken token,
                       std::uint64_t leaseEnd, WorkerCallback done) = 0;
    virtual void stop(const WorkerEntry &worker, const StopOrder &order, FencingToken token,
                      WorkerCallback done) = 0;
    virtual void pace(const WorkerEntry &worker, const PaceOrder &order, FencingToken token,
                      WorkerCallback done) = 0;
    /// Renews the leases of all runs on the worker unless `leaseEnd` is 0, acknowledges the ended
    /// runs up to position `acknowledged`, which the worker then forgets, and returns the lists of
    /// running and ended runs. Long poll: without news, the worker answers when `wait` has passed.
    /// The position must not reach another incarnation than `worker.incarnation`, whose ends have
    /// other positions: if that is not certain, the call acknowledges nothing.
    virtual void renew(const WorkerEntry &worker, FencingToken token, std::uint64_t leaseEnd,
                       std::uint64_t acknowledged, Duration wait, WorkerCallback done) = 0;
};

// [3] Settings

struct FleetSettings
{
    std::string name; // of this process, unique in the deployment
    std::string configKey; // key of the configuration in the store
    std::string configPrefix; // prefix of the keys that the operator writes
    std::string workerPrefix; // prefix of the workers' registry entries
    // Prefix, under configPrefix, of the keys by which the operator closes failure domains; empty:
    // such keys are ignored.
    std::string evacuationPrefix;
    // After which nothing may start in a domain whose closing is stored; 0: such keys are ignored.
    Duration evacuationLimit{};
    double hostCores = 1; // hosts with more cores become candidates for coordinator sooner
    Duration coordinatorLeaseTtl = seconds(2); // time to live of the coordinator record's lease
    // A process whose host has at least this many times the cores of the coordinator's host
    // challenges the coordinator.
    double challengeFactor = 1.5;
    // A challenge requires that the process has been in contact with the store, and that the
    // coordinator has stayed the same, for this long. Also the time to live of the challenge.
    Duration challengeAfter = seconds(3);
    Duration challengeInterval = seconds(10); // minimum between two challenges by one process
    Duration leaseRenewalInterval = milliseconds(600); // of the coordinator record's lease
    // Until another renewal is sent if one has failed or is not answered. The end of an outage is
    // noticed within this time, and not when the last call has timed out. Shorter values would take
    // up more of the connections to a store that does not answer.
    Duration leaseRenewalRetry = milliseconds(250);
    // A coordinator that has lost contact with the store still plans and renews the workers' leases
    // for this long.
    Duration renewalGrace = seconds(3);
    Duration maxWorkerLease = seconds(6); // the workers shorten longer leases to this
    Duration requestedWorkerLease = milliseconds(5500); // requested at a start or renewal
    // No lease of a worker ends later than this after the coordinator's last contact with the
    // store. A successor waits for it before it starts the runs of unreachable workers again.
    Duration maxLeaseWithoutStore = seconds(7);
    Duration renewWait = seconds(1); // after which a worker without news answers a renewal
    // Between two watches of submitted jobs, whose backlog may be shown with a delay of 2 s.
    Duration jobWatchPause = milliseconds(1200);
    Duration backlogInterval = seconds(1); // between two reports of the backlog by the coordinator
    Duration registryWatchPause = milliseconds(400); // between two watches of the workers' entries
    // After which a watch without events returns. A dead connection is detected after this and the
    // timeout of the call.
    Duration watchWait = seconds(1);
    // The same for the configuration; shorter, because a new one must be in force within 2 seconds.
    Duration configWatchWait = milliseconds(600);
    // After an outage of up to this length, the coordinator repeats its watches only when its
    // record has been seen in the store again. After a longer one it repeats them in any case,
    // since the store may answer only reads.
    Duration maxWatchHold = seconds(15);
    Duration planDelay = milliseconds(10); // to handle events that arrive together in one pass
    // After which the records of an ended job are removed, and cancellations of unknown jobs: their
    // submissions may be held up in a suspended process or be written late by the store.
    Duration finishedJobRetention = seconds(125);
    // Cancellations of unknown jobs that may be stored at the same time; more are refused.
    std::size_t maxUnknownCancellations = 10000;
    // Where this process answers requests of others (relay.h). Port 0: none are answered or
    // forwarded.
    Address relayAddress;
    DomainId domain; // failure domain of this process
    int maxWritesInFlight = 4; // limit for the coordinator's writes of progress records
    // For records that nobody waits for. Writing more of them together costs fewer calls to the
    // store, but a worker's next ended run is reported only after the record of the last one.
    Duration maxRecordDelay = milliseconds(30);
    bool admitsUnderShortage = false; // true: jobs are refused by the report for admission
    AdmissionSettings admission;
    SchedulingSettings scheduling;
};

/// Decoders of values that operators and workers write to the store. Each returns nothing if the
/// value is malformed.
struct FleetDecoders
{
    std::function<std::optional<QueueConfig>(const std::string &value)> config;
    std::function<std::optional<WorkerEntry>(const std::string &key, const std::string &value)>
            worker;
    // Never fails: a request that cannot be read is marked as such.
    std::function<EvacuationRequest(const std::string &key, const std::string &value)> evacuation;
};

struct FleetPorts
{
    KeyValuePort &store;
    RunPort &workers;
    TimerPort &timers;
    FleetDecoders decoders;
    std::function<WallMilliseconds()> wallNow; // time of day on this host; it may jump
    LogHook log;
    WorkMeter *workMeter = nullptr; // null: the time of the work is not measured
    RelayPort *relay = nullptr; // null: no request is forwarded to other processes
    // Differs between processes, so that calls which failed together are not repeated together.
    std::uint64_t spreadSeed = 0;
    // True while a watch whose last call failed waits, so that the store answers more urgent calls
    // first. Null: never.
    std::function<bool(Time now)> holdsWatches = {};
};

// [4] Watching a key prefix

/// Loads the keys under a prefix and then watches them for changes. Loads them again if the store
/// has compacted its history past the watched revision.
class PrefixWatch
{
public:
    enum class Delivery {
        EveryChange,
        // Changes may be left out if newer ones of the same keys follow. A watch that is behind
        // then loads the keys, whose size does not grow with the number of changes.
        LatestState,
    };
    struct Hooks
    {
        std::function<void(const std::vector<KeyValue> &items, Time now)> loaded;
        // If unset, the keys are loaded once and not watched.
        std::function<void(const std::vector<KeyValue> &events, Time now)> changed;
    };
    /// A successful answer of the store.
    struct Answer
    {
        Time firstCallSentAt{}; // when the first call after the previous answer was sent
        Duration took{}; // since the call; of a watch, including the wait for an event
        std::size_t items = 0; // keys, or events of a watch
        std::size_t bytes = 0; // of their values
    };

    PrefixWatch(const FleetPorts &ports, std::string prefix, Duration wait, Duration pause,
                Hooks hooks, Delivery delivery = Delivery::EveryChange);
    ~PrefixWatch();
    PrefixWatch(const PrefixWatch &) = delete;
    PrefixWatch &operator=(const PrefixWatch &) = delete;

    void start();
    /// Watches for changes after a revision up to which the owner has loaded the keys itself.
    void startAfter(StoreRevision revision);
    bool isLoaded() const { return isLoaded_; }
    /// The revision up to which all changes were delivered to the owner.
    StoreRevision revision() const { return revision_; }
    /// Time of the store's last successful answer.
    Time lastStoreContact() const { return lastStoreContact_; }
    /// All changes that were stored before this time have been delivered to the owner.
    Time confirmedAt() const { return confirmedAt_; }
    /// The answer that is being delivered or was delivered last.
    const Answer &lastAnswer() const { return lastAnswer_; }
    /// Calls that were not answered successfully since this object was created.
    std::uint64_t failedCalls() const { return failedCalls_; }

private:
    void loadPage(Time now);
    void onPage(const KeyValueResult &result, Time now);
    void onLoaded(Time now);
    void scheduleWatch(bool isBehind, Duration delay);
    void watchNext(Time now);
    void onEvents(const KeyValueResult &result, Time now);
    void onCallFailed(const std::string &call, const KeyValueResult &result, Time now);
    void onCallAnswered(const KeyValueResult &result, Time now);
    void scheduleStep(Duration delay, void (PrefixWatch::*step)(Time now));
    Duration repetitionDelay() const;
    void scheduleRepetition(Duration delay, void (PrefixWatch::*step)(Time now));
    void reload(Time now);

    FleetPorts ports_;
    std::string prefix_;
    Duration wait_;
    Duration pause_;
    Hooks hooks_;
    Delivery delivery_;
    bool isLoaded_ = false;
    StoreRevision revision_; // events up to this revision were delivered
    StoreRevision newestItem_; // highest revision of a delivered key
    std::vector<KeyValue> loadedItems_; // items of the pages loaded so far
    std::string lastLoadedKey_; // the next page starts after it
    Time lastStoreContact_{};
    Time callSentAt_{}; // of the call in flight
    Time loadSentAt_{}; // of the first page of the last load
    Time confirmedAt_{};
    Answer lastAnswer_;
    std::uint64_t failedCalls_ = 0;
    std::uint64_t failuresInARow_ = 0;
    Time failingSince_{}; // when the first of the failures in a row was sent
    // Expires with this object. Pending callbacks check it before they use the object.
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

// [5] Creating keys

enum class CreateOutcome {
    Created,
    Exists, // another call has written the key first
    NotApplied, // this call has not written the key and will not
    Unknown, // this call may have written the key; the store has not answered in time
};

/// Writes keys that must not exist yet, several in one transaction. The writes are idempotent:
/// after a lost answer the same write is repeated, and if the first attempt still takes effect, it
/// changes nothing.
class OnceWriter
{
public:
    using CreateCallback = std::function<void(CreateOutcome, Time now)>;

    explicit OnceWriter(const FleetPorts &ports);
    ~OnceWriter();
    OnceWriter(const OnceWriter &) = delete;
    OnceWriter &operator=(const OnceWriter &) = delete;

    void create(const std::string &key, const std::string &value, Time deadline,
                CreateCallback done, Time now);
    /// True if a write has been unanswered for so long that the store is considered unreachable.
    /// New writes are then refused at once.
    bool isStalled(Time now) const;

private:
    struct Item
    {
        std::string key;
        std::string value;
        Time deadline;
        CreateCallback done;
        bool maybeWritten = false; // an earlier attempt was not answered
        std::uint64_t attempts = 0;
        Time notBefore{}; // of the next attempt
    };
    struct Batch
    {
        std::vector<Item> items;
        Time sentAt;
    };

    void flush(Time now);
    void onAnswer(const std::shared_ptr<Batch> &batch, const KeyValueResult &result, Time now);
    void retry(Item item, bool maybeWritten, Time now);
    void refuseQueued(Time now);
    void scheduleFlush(Duration delay);

    FleetPorts ports_;
    std::vector<Item> queue_;
    std::vector<std::shared_ptr<Batch>> inFlight_; // transactions that are not answered yet
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

// [6] View of all jobs

/// State of all jobs as this process has last seen it in the store, for answers to clients.
/// Processes other than the coordinator follow submissions and cancellations only. They read the
/// progress of a job when a client asks for it: following the progress of all jobs would take more
/// than a small host's link can carry.
class JobView
{
public:
    void setSpec(const JobId &id, const QueueId &queue);
    void setCancelled(const JobId &id);
    void setState(const JobId &id, JobState state);
    void remove(const JobId &id);
    /// Applies one change under "jobs/". Returns false if the key or value is malformed.
    bool apply(const KeyValue &item);
    /// Replaces the contents with the given records.
    void reset(const std::vector<KeyValue> &items);

    bool contains(const JobId &id) const;
    bool isCancelled(const JobId &id) const;
    /// Number of cancelled ids without a job.
    std::size_t unknownCancellations() const { return unknownCancellations_; }
    /// The state to report to clients, or nothing if the job is not known.
    std::optional<JobState> state(const JobId &id) const;
    /// Number of accepted jobs of each queue of which no task has been started. Valid only if the
    /// progress of all jobs is known.
    const std::unordered_map<QueueId, int> &backlogs() const { return backlogs_; }
    /// Number of watched submissions to the queue after the revision that were not cancelled.
    int submissionsAfter(StoreRevision revision, const QueueId &queue) const;
    /// Submissions up to the revision are not asked for by submissionsAfter() any more.
    void forgetSubmissions(StoreRevision upTo);

private:
    struct Entry
    {
        QueueId queue;
        bool hasSpec = false;
        bool cancelled = false;
        JobState state = JobState::Pending;
    };
    static bool isInBacklog(const Entry &entry);
    static bool isUnknownCancellation(const Entry &entry);
    template<typename Change> void updateEntry(const JobId &id, Change apply);

    std::unordered_map<JobId, Entry> entries_;
    std::unordered_map<QueueId, int> backlogs_;
    std::unordered_map<JobId, StoreRevision> submissions_; // watched and not forgotten yet
    std::size_t unknownCancellations_ = 0;
};

// [7] Coordinator

/// Schedules all jobs while this process holds the coordinator record.
class Coordinator
{
public:
    struct Hooks
    {
        std::function<void()> deposed; // another process is the coordinator or may become it
        std::function<QueueConfig()> config;
        std::function<std::set<DomainId>()> closedDomains;
        // False while a closed domain could be unknown here, so that no task may be started.
        std::function<bool(Time now)> knowsClosedDomains;
    };

    /// `recordRevision`: revision of the coordinator record, which is also the fencing token.
    /// `storeContact`: when the call was sent that granted the lease of the record.
    /// `unreachable`: what this process has received of the record of unreachable workers.
    Coordinator(const FleetSettings &settings, const FleetPorts &ports, JobView &jobView,
                UnreachableView &unreachable, StoreRevision recordRevision, Hooks hooks,
                Time storeContact, Time now);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// The coordinator's record still existed when the store carried out a call sent at `sentAt`.
    void onStoreContact(Time sentAt, Time now);
    StoreRevision recordRevision() const { return recordRevision_; }
    /// True during an outage, until the lease of the coordinator record has been renewed.
    bool awaitsStore(Time now) const
    {
        return !isWithinRenewalGrace(now) && now - lastStoreContact_ < settings_.maxWatchHold;
    }
    void onConfigChanged();
    void onClosedDomainsChanged(Time now);
    /// False if most of the registered workers cannot be reached from this process.
    bool reachesMostWorkers(Time now) const;
    /// Null until the records of jobs and workers have been loaded.
    const Scheduler *scheduler() const { return scheduler_.get(); }
    /// What was last published for admission.
    const CapacityForecast &forecast() const { return forecast_; }

private:
    /// State of the communication with one worker: its clock and the renewal in flight.
    struct WorkerLink
    {
        bool isRenewalInFlight = false;
        std::uint64_t renewalNumber = 0; // of the last renewal; earlier ones are not waited for
        WorkerIncarnation renewedIncarnation; // that the last renewal was sent to
        Time nextRenewalAt{};
        WorkerIncarnation incarnation; // that `clock` belongs to
        std::uint64_t clock = 0; // last reading of the worker's clock in ms; 0: not known
        Time clockReceivedAt{};
        bool isConfirmed = false; // `incarnation` has answered the last renewal
        bool isRefusing = false; // the last renewal was not sent for lack of a connection
        bool awaitsStoredEnds = false; // the next renewal is delayed until ended runs are stored,
                                       // so that it can acknowledge them
        std::uint64_t failuresInARow = 0; // of renewals and starts
        Time failingSince{}; // when the first of them was answered or timed out
    };
    struct ProgressWrite
    {
        std::vector<JobChange> changes;
        Transaction transaction;
    };

    void onJobsLoaded(const std::vector<KeyValue> &items, Time now);
    void onWorkersLoaded(const std::vector<KeyValue> &items, Time now);
    void onJobInput(const std::vector<KeyValue> &events, Time now);
    void onWorkerEvents(const std::vector<KeyValue> &events, Time now);
    void startScheduling(Time now);
    void addJobFromSpec(const KeyValue &item, const std::optional<JobProgress> &progress, Time now);
    void applyCancellation(const JobId &id, Time now);
    void setAside(const JobId &id);
    void updateSchedulerWorkers(Time now);
    void updateStartsPaused(Time now);

    void schedulePass();
    void scheduleTick();
    void runPass(Time now);
    enum class WriteScope { Urgent, All };
    void writeChanges(WriteScope records, Time now);
    void scheduleDeferredWrite();
    void sendProgressWrite(const std::shared_ptr<ProgressWrite> &write, Time now);
    void commit(const Transaction &transaction, KeyValueCallback done, Time sentAt);
    void scheduleRepetition(const std::shared_ptr<ProgressWrite> &write);
    void renewAllLeases(Time now);
    void onWritten(const std::shared_ptr<ProgressWrite> &write, const KeyValueResult &result,
                   Time now);
    void onWriteConflict(const std::shared_ptr<ProgressWrite> &write, const KeyValueResult &result,
                         Time now);
    void removeFinishedJobs(Time now);
    void removeUnknownCancellations(Time now);
    void onCancellationsRemoved(const std::vector<JobId> &ids, const KeyValueResult &result,
                                Time now);
    bool isRecordCurrent(const KeyValueResult &result) const;
    bool knowsCapacity(Time now) const;
    void publishBacklog(Time now);
    void sendOrders(Time now);
    void sendStart(const StartOrder &order, Time now);
    void renewLeases(Time now);
    void checkLink(const WorkerId &id, Time now);
    void sendRenewal(const WorkerEntry &worker, WorkerLink &link, Time now);
    enum class LeaseUse { None, Renew };
    void requestReport(const WorkerId &id, Time now, LeaseUse lease = LeaseUse::None);
    WorkerCallback onAnswer(const WorkerEntry &worker, WorkerCallback handle);
    bool isSilent(const ScheduledWorker &worker, Time now) const;
    bool isUnreachable(const ScheduledWorker &worker, Time now) const;
    void updateUnreachable(Time now);
    void commitUnreachable(const Transaction &transaction, KeyValueCallback done, Time sentAt);
    void onUnreachableLoaded(const std::vector<KeyValue> &items, Time now);
    void onRenewed(const WorkerId &id, Time sentAt, const WorkerCallResult &callResult, Time now);
    bool isPresentIncarnation(const WorkerId &id, WorkerIncarnation incarnation) const;
    void logCallFailed(const WorkerId &id, const std::string &call, const std::string &error,
                       Time now);
    void logCallsEnded(const WorkerId &id, WorkerLink &link, bool isAnswering, Time now);
    void takeReport(const WorkerId &id, Time sentAt, const RunReport &report, Time now);
    std::uint64_t grantWorkerLease(const WorkerId &id, Time now);
    bool isWithinRenewalGrace(Time now) const
    {
        return now - lastStoreContact_ < settings_.renewalGrace;
    }
    void depose(const std::string &reason);
    void deposeByConflict(); // of a transaction that requires the coordinator record

    FleetSettings settings_;
    FleetPorts ports_;
    JobView &jobView_;
    UnreachableView &unreachable_;
    std::unique_ptr<UnreachableWriter> unreachableWriter_;
    StoreRevision recordRevision_;
    FencingToken token_;
    Hooks hooks_;
    Time startedAt_;
    Time lastStoreContact_;
    std::unique_ptr<Scheduler> scheduler_;
    Time schedulingSince_{}; // when the scheduler was created
    std::unique_ptr<PrefixWatch> jobsLoader_;
    std::unique_ptr<PrefixWatch> jobInputWatch_;
    std::unique_ptr<PrefixWatch> registryWatch_;
    std::unique_ptr<PrefixWatch> unreachableLoader_;
    std::map<std::string, WorkerEntry> registryEntries_; // by key in the store
    std::unordered_map<JobId, StoreRevision> progressRevisions_; // of the records in the store
    // With an unreadable record. Which of their tasks have run is not known, so none is started,
    // and runs of a former coordinator are left alone unless the job is cancelled.
    std::unordered_set<JobId> jobsSetAside_;
    std::map<WorkerId, WorkerLink> links_;
    std::uint64_t lastRenewalNumber_ = 0;
    std::vector<WorkerId> linksToCheck_; // in the next pass; a renewal may be due
    Time nextLinkCheckAt_{}; // of all links
    std::vector<KeyValue> loadedJobItems_; // records of jobs, kept until the scheduler is created
    bool areJobsLoaded_ = false;
    bool areWorkersLoaded_ = false;
    bool areUnreachableLoaded_ = false;
    bool isPassScheduled_ = false;
    bool isDeposed_ = false;
    int writesInFlight_ = 0;
    Time writeNotBefore_{};
    bool isDeferredWriteScheduled_ = false;
    Time lastCleanup_{};
    std::map<JobId, Time> unknownCancellations_; // stored ones, and when they were first seen here
    Time nextCancellationCleanupAt_{};
    Time nextBacklogAt_{};
    CapacityForecast forecast_;
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

// [8] Entry process

/// Result of a submission, a cancellation or a query of a job's state.
enum class JobAnswer {
    Accepted, // stored
    NotAccepted, // not stored, and will not be; the client can repeat the request later
    // The same, for lack of capacity; retryAfter() says when to repeat a submission.
    Overloaded,
    Unknown, // may be stored
    NotFound, // only for cancel() and state(): no such job
};

/// One entry process: accepts jobs, reports their states, and takes part in the election of the
/// coordinator.
class FleetNode
{
public:
    FleetNode(const FleetSettings &settings, const FleetPorts &ports, std::uint64_t seed, Time now);
    ~FleetNode();
    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;

    void start();
    /// Reports not ready from now on, and resigns if this process is the coordinator. Requests are
    /// still answered.
    void drain();

    const std::string &name() const { return settings_.name; }
    bool isReady(Time now) const;
    bool isCoordinator() const { return coordinator_ != nullptr; }
    /// Null unless this process is the coordinator.
    const Coordinator *coordinator() const { return coordinator_.get(); }
    /// The configuration in force. Version 0: none was received yet.
    const QueueConfig &config() const { return config_; }
    /// True if the store has answered recently.
    bool reachesStore(Time now) const;
    /// True if the store has recently confirmed that the configuration in force is the newest.
    bool isConfigCurrent(Time now) const;
    /// The watch that delivers the configuration.
    const PrefixWatch &configWatch() const { return *configWatch_; }
    /// The failure domains that the operator has closed. Always empty if evacuations are off.
    const std::set<DomainId> &closedDomains() const { return closedDomains_.domains(); }

    void submit(const JobSpec &spec, Time deadline, std::function<void(JobAnswer, Time)> done,
                Time now);
    /// When the client of a job that was answered with Overloaded should repeat it.
    Duration retryAfter(const JobId &id) const { return admission_.retryAfter(id); }
    /// After how many seconds the client of a job that was answered with NotAccepted should repeat
    /// it.
    int outageRetryAfter(const OutageTerms &terms, const JobId &id, Time now) const
    {
        return monsoonledge::outageRetryAfter(now - lastStoreContact(), terms, id);
    }
    const AdmissionPolicy &admission() const { return admission_; }
    /// What submit() would answer for a new job now, and where the job would be placed
    /// (explain.cpp). Answers from the state in memory; asking has no effect on later submissions.
    /// The id of the job is ignored.
    SubmissionExplanation explainSubmission(const JobSpec &spec, Time now) const;
    void cancel(const JobId &id, Time deadline, std::function<void(JobAnswer, Time)> done,
                Time now);
    /// `state` is valid only if the answer is Accepted.
    using StateCallback = std::function<void(JobAnswer, JobState state, Time now)>;
    void state(const JobId &id, StateCallback done, Time now, Time deadline = Time::max());
    /// Number of accepted jobs of the queue of which no task has been started. Jobs that started
    /// since the coordinator's last report are still counted.
    int backlog(const QueueId &queue) const;
    /// Requests that this process has forwarded to others, by outcome.
    std::map<std::string, std::uint64_t> forwardedRequests() const;
    /// Requests that other processes have forwarded to this one.
    std::uint64_t answeredRequests() const;

private:
    // Calls of clients as this process serves them itself, from the store and its own view.
    void submitHere(const JobSpec &spec, Time deadline, std::function<void(JobAnswer, Time)> done,
                    Time now);
    void cancelHere(const JobId &id, Time deadline, std::function<void(JobAnswer, Time)> done,
                    Time now);
    void cancelUnknownJob(const JobId &id, Time deadline, std::function<void(JobAnswer, Time)> done,
                          Time now);
    void storeCancellation(const JobId &id, JobAnswer answer, Time deadline,
                           std::function<void(JobAnswer, Time)> done, Time now);
    void stateHere(const JobId &id, StateCallback done, Time now);
    void repeatSubmission(const JobSpec &spec, Time deadline,
                          std::function<void(JobAnswer, Time)> done, Time now);
    void forwardSubmission(const JobSpec &spec, bool maybeStored, Time deadline,
                           std::function<void(JobAnswer, Time)> done, Time now);
    void forwardCancellation(const JobId &id, Time deadline,
                             std::function<void(JobAnswer, Time)> done, Time now);
    void forwardStateQuery(const JobId &id, Time deadline, StateCallback done, Time now);
    bool hasRelayPeers() const;
    void makeHandover();
    JobSpec withTerms(const JobSpec &spec) const;
    Time lastStoreContact() const;
    void onConfigItems(const std::vector<KeyValue> &items);
    void applyConfig(const QueueConfig &config);
    bool followsEvacuations() const;
    void onEvacuationItems(const std::vector<KeyValue> &items, bool isCompleteLoad, Time now);
    bool knowsClosedDomains(Time now) const;
    void onCoordinatorItems(const std::vector<KeyValue> &items, bool isWatched, Time now);
    void scheduleStoreCheck();
    void readState(const JobId &id, JobState known, StateCallback done);
    /// True if this process is the coordinator and has loaded the progress of all jobs.
    bool knowsAllProgress() const { return coordinator_ && coordinator_->scheduler(); }
    void learnSpec(const JobId &id, const KeyValue &item);
    void watchJobs();
    void store(const JobSpec &job, Time deadline, std::function<void(JobAnswer, Time)> done,
               Time now);
    void refuseUnlessStored(const JobSpec &job, const AdmissionDecision &decision, Time deadline,
                            std::function<void(JobAnswer, Time)> done);
    void explainAdmission(const JobSpec &job, SubmissionExplanation &explanation, Time now) const;
    Duration reportAge(Time now) const;
    void takeAdmissionReport(const std::string &bytes, bool isWatched);
    void onBacklogItem(const KeyValue &item, bool isWatched);
    void onUnreachableItem(const KeyValue &item, Time now);
    void onCoordinatorItem(const KeyValue &item, bool isWatched, Time now);
    void challengeIfStronger(Time now);
    void onChallenge(double cores);
    void scheduleCandidacy();
    void requestCoordinatorLease(Time now);
    void onLeaseGranted(LeaseId lease, Time sentAt);
    void becomeCoordinator(StoreRevision recordRevision, Time sentAt, Time now);
    void scheduleLeaseRenewal(Duration delay);
    void renewCoordinatorLease();
    void checkCoordinatorRecord(Time sentAt);
    void onRecordGone(const std::string &reason, bool isReplaced);
    void resign();
    void stepDown();
    void log(LogLevel level, const std::string &event, const std::string &message,
             std::vector<std::pair<std::string, std::string>> fields = {});

    FleetSettings settings_;
    FleetPorts ports_;
    Random random_;
    QueueConfig config_;
    StoreRevision configRevision_; // of the item that was decoded last
    ClosedDomains closedDomains_;
    JobView jobView_;
    BacklogReport backlogReport_; // the coordinator's last one; revision 0: none was received yet
    AdmissionPolicy admission_;
    std::optional<AdmissionReport> admissionReport_; // the last one that can be read
    Time admissionReportSince_{}; // it was not written before this time
    OnceWriter writer_;
    std::unique_ptr<PrefixWatch> configWatch_;
    std::unique_ptr<PrefixWatch> coordinatorWatch_;
    std::unique_ptr<PrefixWatch> jobsWatch_;
    std::unique_ptr<UnreachableView> unreachable_;
    std::unique_ptr<Coordinator> coordinator_;
    std::unique_ptr<Handover> handover_; // null: no request is forwarded
    LeaseId lease_;
    bool isStoreReachable_ = true; // result of the last check whether the store is reachable
    bool isRecordPresent_ = false; // the coordinator record exists, so some process is coordinator
    double coordinatorCores_ = 0; // of the coordinator's host
    std::string coordinatorName_; // process that the coordinator record names
    Time recordReceivedAt_{}; // when this process last received the coordinator record
    bool isCandidate_ = false; // this process is trying to become the coordinator
    bool isDraining_ = false;
    Time lastStoreContact_{}; // last answer of the store to the election or to a lease renewal
    Time storeContactSince_{}; // start of the present uninterrupted contact with the store
    std::optional<Time> challengedAt_; // last challenge by this process
    Time nextCandidacyAt_{}; // earliest time of the next attempt to become the coordinator
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

} // namespace monsoonledge
