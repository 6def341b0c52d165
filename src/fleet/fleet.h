// The entry processes of a deployment as one system: they accept jobs, elect a coordinator through
// the store, and answer for the state of every job.
//
// Every process accepts and cancels jobs by writing to the store, and follows the records of all
// jobs. One process at a time is the coordinator: it holds a record under a lease of the store,
// schedules all jobs, and gives orders to the workers under a fencing token, which is the revision
// of that record. Each of its writes has the record as a condition, so a former coordinator cannot
// assign a run.
//
// Keys in the store:
//   coordinator            cores and name of the coordinator's process, under its lease
//   coordinator/challenge  cores of a process on a much stronger host, which asks the coordinator
//                          to give its record up; goes by itself after some seconds
//   jobs/in/spec/ID        specification of a job; written once, by the process that accepts it
//   jobs/in/cancel/ID      the job is cancelled; written once
//   jobs/progress/ID       progress of the job; written by the coordinator
//   unreached/ID           the coordinator does not renew the leases of this worker; its successor
//                          has to wait for one lease only
//
// Sections:
//   [1] Store
//   [2] Workers
//   [3] Settings
//   [4] Following a prefix of the store
//   [5] Writing a key once
//   [6] Jobs as known to a process
//   [7] Coordinator
//   [8] Process
#pragma once

#include "scheduling/scheduling.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonledge {

// [1] Store

/// Revision of the whole store; each change has a higher one.
using StoreRevision = Number<struct StoreRevisionTag>;
/// A lease of the store. 0: none.
using LeaseId = Number<struct LeaseTag>;

struct KeyValue
{
    std::string key;
    std::string value;
    StoreRevision revision; // of the last change; 0: the key is absent
    bool deleted = false; // in events: the key was removed
};

struct Condition
{
    std::string key;
    StoreRevision revision; // 0: the key must be absent
};

struct PutOperation
{
    std::string key;
    std::string value;
    LeaseId lease; // the key is removed when the lease ends; 0: it stays
};

/// All or nothing. At most MaxTransactionEntries conditions, puts and removals in sum.
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
    Conflict, // a condition does not hold; `items` are the keys of the conditions as they are
    Compacted, // watch: the history no longer reaches back to the revision
    NotDone, // certainly nothing was done
    Unknown, // no answer: the call may have taken effect, or take effect later
};

struct KeyValueResult
{
    KeyValueStatus status = KeyValueStatus::Unknown;
    std::vector<KeyValue> items; // or events of a watch
    StoreRevision at; // the store's revision; of a transaction: its own
    bool hasMore = false; // range: continue after the last key
    LeaseId lease; // of grantLease
    std::string detail; // reason of NotDone and Unknown, for logs
};

using KeyValueDone = std::function<void(const KeyValueResult &, Time now)>;

/// The platform's store: linearizable, with transactions, leases and watches.
class KeyValuePort
{
public:
    virtual ~KeyValuePort() = default;
    virtual void get(const std::string &key, KeyValueDone done) = 0;
    /// One page of the keys with the prefix that come after `afterKey`.
    virtual void range(const std::string &prefix, const std::string &afterKey,
                       KeyValueDone done) = 0;
    /// The events after the revision, as soon as there is one or `wait` has passed.
    virtual void watch(const std::string &prefix, StoreRevision after, Duration wait,
                       KeyValueDone done) = 0;
    virtual void commit(const Transaction &transaction, KeyValueDone done) = 0;
    virtual void grantLease(Duration ttl, KeyValueDone done) = 0;
    virtual void keepLease(LeaseId lease, KeyValueDone done) = 0;
    virtual void endLease(LeaseId lease, KeyValueDone done) = 0;
};

// [2] Workers

using FencingToken = Number<struct FencingTokenTag>;

enum class CallStatus {
    Ok,
    NoRoom,
    OldRun, // this or a higher run was stopped or ended there
    Fenced, // the worker has seen a higher fencing token
    Refused, // another reason; nothing was done
    OtherIncarnation, // another process answers at the address
    Unknown, // no answer: it may be carried out, also later
};

struct WorkerCall
{
    CallStatus status = CallStatus::Unknown;
    RunReport report; // of renew(); `clock` of every answered call
    std::string detail;
};

using WorkerDone = std::function<void(const WorkerCall &, Time now)>;

/// Calls to one worker, addressed as it was registered.
class RunPort
{
public:
    virtual ~RunPort() = default;
    /// `leaseEnd`: on the worker's clock in ms; the leases of all its runs reach at least there.
    virtual void start(const WorkerEntry &worker, const StartOrder &order, FencingToken token,
                       std::uint64_t leaseEnd, WorkerDone done) = 0;
    virtual void stop(const WorkerEntry &worker, const StopOrder &order, FencingToken token,
                      WorkerDone done) = 0;
    virtual void pace(const WorkerEntry &worker, const PaceOrder &order, FencingToken token,
                      WorkerDone done) = 0;
    /// Renews the lease of everything that runs there (`leaseEnd` 0: not), lets the worker forget
    /// ends up to `acknowledged`, and returns its lists, at the latest after `wait`.
    virtual void renew(const WorkerEntry &worker, FencingToken token, std::uint64_t leaseEnd,
                       std::uint64_t acknowledged, Duration wait, WorkerDone done) = 0;
};

// [3] Settings

struct FleetSettings
{
    std::string name; // of this process, unique in the deployment
    std::string configKey; // of the configuration in the store
    std::string configPrefix; // what the operator writes
    std::string workerPrefix; // of the workers' own entries
    double cpuShare = 1; // cores of this host; stronger hosts become coordinator sooner
    Duration leaseTtl = seconds(2); // of the coordinator's record
    double challengeFactor = 1.5; // a process with so many times the coordinator's cores asks for
                                  // the record
    Duration challengeAfter = seconds(3); // of contact to the store and of the same coordinator
    Duration challengePause = seconds(10); // between two challenges of one process
    Duration keepInterval = milliseconds(600); // between two renewals of it
    Duration extendFor = seconds(3); // after its last contact to the store, a coordinator
                                     // renews the leases of workers for this long
    Duration maxWorkerLease = seconds(6); // longer leases are shortened by the worker
    Duration workerLease = milliseconds(5500); // asked for
    Duration renewWait = seconds(1); // of a renewal without news
    Duration followPause = milliseconds(700); // between two watches of the jobs' records; the end
                                              // of a job is read when a client asks for it
    Duration workerPause = milliseconds(400); // between two watches of the registry
    Duration watchWait = seconds(1); // a silent connection is found after this and a time-out
    Duration configWait = milliseconds(600); // the same for the configuration, which has to be in
                                             // force within two seconds
    Duration planDelay = milliseconds(10); // collects events that come together
    Duration keepFinished = seconds(125); // records of ended jobs
    int writesInFlight = 4; // of the coordinator's records
    SchedulingSettings scheduling;
};

/// Translations of what others write to the store. Each returns nothing if it cannot be read.
struct FleetCodecs
{
    std::function<std::optional<QueueConfig>(const std::string &value)> config;
    std::function<std::optional<WorkerEntry>(const std::string &key, const std::string &value)>
            worker;
};

struct FleetPorts
{
    KeyValuePort &store;
    RunPort &workers;
    TimerPort &timers;
    FleetCodecs codecs;
    std::function<WallMilliseconds()> wallNow; // the time of day of this host, which may jump
    LogHook log;
};

// [4] Following a prefix of the store

/// Keeps up with the keys under a prefix: loads them, then watches, and loads again if the history
/// was lost.
class PrefixWatch
{
public:
    struct Hooks
    {
        std::function<void(const std::vector<KeyValue> &items, Time now)> loaded;
        // Unset: the keys are loaded once and not watched.
        std::function<void(const std::vector<KeyValue> &events, Time now)> changed;
    };

    PrefixWatch(const FleetPorts &ports, std::string prefix, Duration wait, Duration pause,
                Hooks hooks);
    ~PrefixWatch();
    PrefixWatch(const PrefixWatch &) = delete;
    PrefixWatch &operator=(const PrefixWatch &) = delete;

    void start();
    /// Continues behind a revision that the owner has loaded itself.
    void startAfter(StoreRevision revision);
    bool isLoaded() const { return isLoaded_; }
    /// The revision up to which the owner knows everything.
    StoreRevision revision() const { return revision_; }
    /// When the last answer came.
    Time lastContact() const { return lastContact_; }

private:
    void loadPage(const std::string &afterKey);
    void onPage(const KeyValueResult &result, Time now);
    void watchNext();
    void onEvents(const KeyValueResult &result, Time now);
    void later(Duration delay, void (PrefixWatch::*step)());
    void restart();

    FleetPorts ports_;
    std::string prefix_;
    Duration wait_;
    Duration pause_;
    Hooks hooks_;
    bool isLoaded_ = false;
    StoreRevision revision_; // events up to here were delivered
    std::vector<KeyValue> pages_;
    Time lastContact_{};
    std::shared_ptr<int> alive_ = std::make_shared<int>(); // callbacks check it
};

// [5] Writing a key once

enum class CreateOutcome {
    Created,
    Exists, // another write of the key came first
    NotDone, // certainly not written, and it will not be
    Unknown, // not known by the deadline
};

/// Writes keys that must not exist yet, several in one transaction. After a lost answer it writes
/// again, so that a late effect of the first attempt changes nothing.
class OnceWriter
{
public:
    using Done = std::function<void(CreateOutcome, Time now)>;

    explicit OnceWriter(const FleetPorts &ports);
    ~OnceWriter();
    OnceWriter(const OnceWriter &) = delete;
    OnceWriter &operator=(const OnceWriter &) = delete;

    void create(const std::string &key, const std::string &value, Time deadline, Done done,
                Time now);
    /// True if a write waits for its answer for so long that the store seems to be away. Nothing
    /// that is handed in now would be answered soon.
    bool isStalled(Time now) const;

private:
    struct Item
    {
        std::string key;
        std::string value;
        Time deadline;
        Done done;
        bool maybeWritten = false;
        int attempts = 0;
    };
    struct Batch
    {
        std::vector<Item> items;
        Time sentAt;
    };

    void flush(Time now);
    void onAnswer(const std::shared_ptr<Batch> &batch, const KeyValueResult &result, Time now);
    void retry(Item item, bool maybeWritten, Time now);
    void refuseUnsent(Time now);
    void flushLater(Duration delay);

    FleetPorts ports_;
    std::vector<Item> queue_;
    std::vector<std::shared_ptr<Batch>> inFlight_; // transactions that are not answered
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

// [6] Jobs as known to a process

/// What each process knows of all jobs, for the answers to clients.
class JobView
{
public:
    void setSpec(const JobId &id, const QueueId &queue);
    void setCancelled(const JobId &id);
    void setState(const JobId &id, JobState state);
    void remove(const JobId &id);
    /// Applies one key under "jobs/". Returns false if it cannot be read.
    bool apply(const KeyValue &item);
    /// Replaces everything by what was loaded.
    void reset(const std::vector<KeyValue> &items);

    bool contains(const JobId &id) const;
    bool isCancelled(const JobId &id) const;
    /// The state to be shown, or nothing if the job is not known.
    std::optional<JobState> state(const JobId &id) const;
    /// Accepted jobs of the queue of which no task has been started.
    int backlog(const QueueId &queue) const;

private:
    struct Entry
    {
        QueueId queue;
        bool hasSpec = false;
        bool cancelled = false;
        JobState state = JobState::Pending;
    };
    static bool isWaiting(const Entry &entry);
    template<typename Change> void change(const JobId &id, Change apply);

    std::unordered_map<JobId, Entry> entries_;
    std::unordered_map<QueueId, int> waiting_;
};

// [7] Coordinator

/// Schedules all jobs while this process holds the coordinator's record.
class Coordinator
{
public:
    struct Hooks
    {
        std::function<void()> deposed; // another process is the coordinator, or may become it
        std::function<QueueConfig()> config;
    };

    /// `record`: revision of the coordinator's record, which is also the fencing token.
    Coordinator(const FleetSettings &settings, const FleetPorts &ports, JobView &view,
                StoreRevision record, Hooks hooks, Time now);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// The lease of the record was renewed by a call sent at `sentAt`.
    void onContact(Time sentAt);
    void onConfig();
    /// False if most workers cannot be reached from here.
    bool reachesWorkers(Time now) const;
    /// The scheduler, or null while the records are loaded.
    const Scheduler *scheduler() const { return scheduler_.get(); }

private:
    /// State of the record that says that a worker's leases are not renewed.
    enum class Unreached { No, Writing, Yes, Removing };
    /// The connection to one worker: its clock, and the renewal that is under way.
    struct Link
    {
        bool inFlight = false;
        Time nextAt{};
        WorkerIncarnation incarnation; // whose clock it is
        std::uint64_t clock = 0; // ms; 0: not known
        Time clockAt{};
        Unreached unreached = Unreached::No;
        bool isConfirmed = false; // the last renewal was answered by that incarnation
        bool awaitsSave = false; // the next renewal can acknowledge more once records are stored
    };
    struct Write
    {
        std::vector<JobChange> changes;
        Transaction transaction;
    };

    void onJobsLoaded(const std::vector<KeyValue> &items, Time now);
    void onWorkersLoaded(const std::vector<KeyValue> &items, Time now);
    void onInput(const std::vector<KeyValue> &events, Time now);
    void onWorkerEvents(const std::vector<KeyValue> &events, Time now);
    void startScheduling(Time now);
    void addSpec(const KeyValue &item, const std::optional<JobProgress> &progress, Time now);
    void publishWorkers(Time now);

    void planSoon();
    void tick();
    void run(Time now);
    void writeChanges(Time now);
    void sendWrite(const std::shared_ptr<Write> &write);
    void onWritten(const std::shared_ptr<Write> &write, const KeyValueResult &result, Time now);
    void onWriteConflict(const std::shared_ptr<Write> &write, const KeyValueResult &result,
                         Time now);
    void removeFinished(Time now);
    void sendOrders(Time now);
    void sendStart(const StartOrder &order, Time now);
    void renewLeases(Time now);
    void renew(const WorkerEntry &worker, Link &link, Time now);
    void look(const WorkerId &id, Time now);
    void updateUnreached(const ScheduledWorker &worker, Link &link, Time now);
    void writeUnreached(const WorkerId &id, bool isUnreached);
    void onUnreachedLoaded(const std::vector<KeyValue> &items, Time now);
    void onRenewed(const WorkerId &id, Time sentAt, const WorkerCall &call, Time now);
    std::uint64_t leaseEnd(const WorkerId &id, Time now);
    bool mayExtend(Time now) const { return now - lastContact_ < settings_.extendFor; }
    void depose(const std::string &reason);

    FleetSettings settings_;
    FleetPorts ports_;
    JobView &view_;
    StoreRevision record_;
    FencingToken token_;
    Hooks hooks_;
    Time startedAt_;
    Time lastContact_;
    std::unique_ptr<Scheduler> scheduler_;
    std::unique_ptr<PrefixWatch> jobsLoad_;
    std::unique_ptr<PrefixWatch> input_;
    std::unique_ptr<PrefixWatch> registry_;
    std::unique_ptr<PrefixWatch> unreachedLoad_;
    std::map<WorkerId, WorkerIncarnation> unreached_; // as left by the former coordinator
    std::map<std::string, WorkerEntry> entries_; // by key in the store
    std::unordered_map<JobId, StoreRevision> revisions_; // of the progress records
    std::map<WorkerId, Link> links_;
    std::vector<KeyValue> loadedJobs_;
    bool areJobsLoaded_ = false;
    bool areWorkersLoaded_ = false;
    bool areUnreachedLoaded_ = false;
    bool isPlanned_ = false;
    bool isDeposed_ = false;
    int writesInFlight_ = 0;
    Time writeNotBefore_{};
    Time lastCleanup_{};
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

// [8] Process

/// The answer to a submission or cancellation.
enum class JobAnswer {
    Accepted, // stored
    NotAccepted, // certainly not stored; come back later
    Unknown, // may be stored
    NotFound, // cancel and state: no such job
};

/// One entry process.
class FleetNode
{
public:
    FleetNode(const FleetSettings &settings, const FleetPorts &ports, std::uint64_t seed, Time now);
    ~FleetNode();
    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;

    void start();
    /// Gives up the coordinator's record and reports not ready. Requests are still answered.
    void drain();

    bool isReady(Time now) const;
    bool isCoordinator() const { return coordinator_ != nullptr; }
    /// Null in all processes but one.
    const Coordinator *coordinator() const { return coordinator_.get(); }
    /// The configuration in force. Version 0: none yet.
    const QueueConfig &config() const { return config_; }
    /// True if the store has answered lately.
    bool reachesStore(Time now) const;

    void submit(const JobSpec &spec, Time deadline, std::function<void(JobAnswer, Time)> done,
                Time now);
    void cancel(const JobId &id, Time deadline, std::function<void(JobAnswer, Time)> done,
                Time now);
    /// `state` is set with Accepted.
    using StateDone = std::function<void(JobAnswer, JobState state, Time now)>;
    void state(const JobId &id, StateDone done, Time now);
    int backlog(const QueueId &queue) const { return view_.backlog(queue); }

private:
    void onConfigItems(const std::vector<KeyValue> &items);
    void onRecordItems(const std::vector<KeyValue> &items, Time now);
    void checkStore();
    void readState(const JobId &id, JobState known, StateDone done);
    void followJobs();
    void onRecordItem(const KeyValue &item, Time now);
    void challengeIfStronger(Time now);
    void onChallenge(double cores);
    void standLater();
    void stand(Time now);
    void onLeaseGranted(LeaseId lease, Time sentAt);
    void becomeCoordinator(StoreRevision record, Time sentAt, Time now);
    void keep();
    void stepDown();
    void log(LogLevel level, const std::string &event, const std::string &message,
             std::vector<std::pair<std::string, std::string>> fields = {});

    FleetSettings settings_;
    FleetPorts ports_;
    Random random_;
    QueueConfig config_;
    JobView view_;
    OnceWriter writer_;
    std::unique_ptr<PrefixWatch> configWatch_;
    std::unique_ptr<PrefixWatch> recordWatch_;
    std::unique_ptr<PrefixWatch> jobsWatch_;
    std::unique_ptr<Coordinator> coordinator_;
    LeaseId lease_;
    bool hasStore_ = true; // as last logged
    bool hasRecord_ = false; // some process holds the coordinator's record
    double recordCores_ = 0; // of its host
    Time recordSince_{}; // when this process first saw the record
    bool isStanding_ = false; // this process tries to get it
    bool isDraining_ = false;
    Time lastContact_{}; // with the store
    Time contactSince_{}; // the store has answered all the time since
    std::optional<Time> challengedAt_; // last challenge by this process
    Time notBefore_{}; // earliest time to stand again
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

} // namespace monsoonledge
