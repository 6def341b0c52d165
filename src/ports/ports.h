// The interfaces between the deciding modules and the outside.
//
// A port is an abstract class. Calls return at once; the result arrives later in a callback that
// carries the present time, always from the event loop and never from inside the call. Adapters
// implement the ports on real connections, fakes implement them in tests.
//
// Sections:
//   [1] Timers
//   [2] Store
//   [3] Host list
//   [4] Endpoints
//   [5] Workers
//   [6] Peers
//   [7] Log events
#pragma once

#include "base/base.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace monsoonledge {

// [1] Timers

using TimerId = std::uint64_t;

class TimerPort
{
public:
    virtual ~TimerPort() = default;
    /// Calls back once after the delay. A delay of zero means the next pass of the loop.
    virtual TimerId after(Duration delay, std::function<void(Time now)> callback) = 0;
    /// Cancels a timer. An id that has fired or does not exist is ignored.
    virtual void cancel(TimerId id) = 0;
};

// [2] Store

enum class StoreStatus {
    Ok,
    Conflict, // compare-and-swap: the key has another version; nothing was written
    NotFound, // get: the key is absent
    Refused, // nothing was written: rate limit, value too large, connection refused
    Unknown, // time-out or lost connection: a write may have taken effect
};

struct StoreValue
{
    StoreStatus status = StoreStatus::Unknown;
    Version version; // the current version for Ok and Conflict; 0 if the key is absent
    std::string value; // for Ok of get and watch
};

struct StoreListing
{
    StoreStatus status = StoreStatus::Unknown;
    std::vector<std::pair<std::string, Version>> keys; // sorted by key
};

using StoreDone = std::function<void(const StoreValue &, Time now)>;
using StoreListDone = std::function<void(const StoreListing &, Time now)>;

/// The platform's key-value store. Values are at most MaxStoreValueBytes long.
class StorePort
{
public:
    virtual ~StorePort() = default;
    virtual void get(const std::string &key, StoreDone done) = 0;
    /// Lists the keys with a prefix, without values.
    virtual void list(const std::string &prefix, StoreListDone done) = 0;
    /// Writes if the key's version is `expected` (0: absent). Ok carries the new version.
    virtual void compareAndSwap(const std::string &key, Version expected, const std::string &value,
                                StoreDone done) = 0;
    /// Removes the key if its version is `expected`.
    virtual void remove(const std::string &key, Version expected, StoreDone done) = 0;
    /// Answers as soon as the key's version differs from `known`. Answers Conflict with `known` as
    /// the version when nothing changed within the adapter's waiting time; call it again then.
    virtual void watch(const std::string &key, Version known, StoreDone done) = 0;
};

constexpr std::size_t MaxStoreValueBytes = 1024 * 1024;

// [3] Host list

enum class HostKind { Worker, Entry };
enum class HostState { Live, Leaving };

struct HostInfo
{
    HostId id;
    HostKind kind = HostKind::Worker;
    HostState state = HostState::Live;
    Address address; // endpoint and worker interface, or peer address of an entry host
    DomainId domain;
    std::string rack;
    ServiceId service; // the service that the worker's endpoint runs
    int slots = 0; // requests that the endpoint runs at the same time
    int connections = 0; // connections that the endpoint accepts
    MilliCores cores;
    MebiBytes memory;
    int accelerators = 0;
};

struct HostListing
{
    bool ok = false; // false: the list could not be read; hosts is empty
    std::vector<HostInfo> hosts;
};

class HostListPort
{
public:
    virtual ~HostListPort() = default;
    /// Reads the whole list once.
    virtual void read(std::function<void(const HostListing &, Time now)> done) = 0;
};

// [4] Endpoints

/// One request as it passes through the system. Times are relative so that they survive a hop.
struct Request
{
    RequestId id; // never empty: the entry process issues one if the caller gave none
    CallerId caller;
    ServiceId service;
    ClassId requestClass;
    bool idempotent = true; // from the sheet's entry for the class
    Duration remaining{}; // time left until the caller's deadline
    std::string body;
};

enum class RunStatus {
    Answered, // the whole answer to this request arrived
    NotRun, // certain: no byte was sent, or the endpoint refused before running
    Unknown, // sent, and no usable answer: late, short, crossed or connection lost
};

struct RunResult
{
    RunStatus status = RunStatus::Unknown;
    int httpStatus = 0; // for Answered
    std::string contentType; // for Answered
    std::string body; // for Answered
    bool leaving = false; // the endpoint said that it is leaving
    std::string detail; // reason of NotRun or Unknown, for logs
};

struct EndpointStatus
{
    bool ok = false;
    int slots = 0;
    int running = 0;
    std::map<std::string, int> runningByEntry; // EntryRun::str() of the sender -> running requests
    Duration sampleAge{}; // how old the sample was when the endpoint answered
    bool leaving = false;
};

class EndpointPort
{
public:
    virtual ~EndpointPort() = default;
    /// Sends one request and never sends it a second time. `sender` goes into X-Entry. The
    /// callback arrives exactly once, at the latest shortly after `timeout`.
    virtual void run(const Address &endpoint, const EntryRun &sender, const Request &request,
                     Duration timeout, std::function<void(const RunResult &, Time now)> done) = 0;
    virtual void status(const Address &endpoint,
                        std::function<void(const EndpointStatus &, Time now)> done) = 0;
};

// [5] Workers

enum class TaskCommand { Start, Renew, Throttle, Checkpoint, Stop };

struct TaskOrder
{
    TaskId task;
    Generation generation;
    TaskCommand command = TaskCommand::Renew;
    // For Start and Renew:
    Duration lease{}; // the worker stops the task when the lease runs out
    // For Start:
    MilliCores cores;
    MebiBytes memory;
    int accelerators = 0;
    Duration runTime{}; // declared run time
    std::string checkpoint; // where to resume; empty: from the beginning
    // For Throttle:
    int throttlePercent = 100; // processor share that the task may still use
};

enum class OrderStatus {
    Ok,
    Refused, // the worker did not carry it out and will not (409, 503 or connection refused)
    Unknown, // no answer: it may or may not have been carried out
};

enum class WorkerTaskState { Running, Done, Failed, Stopped };

struct WorkerTask
{
    TaskId task;
    Generation generation;
    WorkerTaskState state = WorkerTaskState::Running;
    std::string checkpoint; // the last checkpoint; empty: none
    Duration progress{};
};

struct WorkerReport
{
    bool ok = false;
    std::vector<WorkerTask> tasks;
    MilliCores usedCores;
    MebiBytes usedMemory;
    Duration sampleAge{}; // age of the usage figures
};

class WorkerPort
{
public:
    virtual ~WorkerPort() = default;
    virtual void order(
            const Address &worker, const TaskOrder &order,
            std::function<void(OrderStatus, const std::string &checkpoint, Time now)> done) = 0;
    virtual void report(const Address &worker,
                        std::function<void(const WorkerReport &, Time now)> done) = 0;
};

// [6] Peers

enum class Outcome { Done, NotRun, Unknown };

/// The result of a request as the caller sees it.
struct Answer
{
    Outcome outcome = Outcome::Unknown;
    int httpStatus = 504;
    std::string contentType; // of a done answer
    std::string body; // the endpoint's body if done
    std::string reason; // machine-readable word for a refusal, such as "home-unreachable"
    std::string detail; // one sentence for a refusal
    bool attemptNotRun = false; // for Unknown: this attempt did not run, an earlier one may have
};

/// Load of one entry process, sent in heartbeats.
struct LoadReport
{
    int ownSlots = 0; // slots of its own units over all usable endpoints
    int running = 0; // requests running in these slots
    int queued = 0;
    Duration predictedWait{}; // for a request of the least urgent class
};

struct Heartbeat
{
    DomainId domain;
    EntryId entry;
    Incarnation incarnation;
    std::uint64_t sequence = 0; // counts the heartbeats sent to this peer
    std::uint64_t acknowledged = 0; // last sequence received from this peer; 0: none
    Revision sheetRevision;
    std::uint32_t units = 0; // bit u: owns share unit u of its domain
    bool storeReachable = false;
    bool draining = false;
    LoadReport load;
};

struct ForwardMessage
{
    std::uint64_t correlation = 0;
    Request request;
    bool asHome = false; // true: non-idempotent, the receiver must be the home of the id
};

struct AnswerMessage
{
    std::uint64_t correlation = 0;
    Answer answer;
};

/// One claim: the request id must never be run again.
struct Claim
{
    RequestId id;
    bool finished = false; // the endpoint's answer is known to the home
};

struct ClaimMessage
{
    std::uint64_t sequence = 0;
    std::vector<Claim> claims;
};

struct ClaimAckMessage
{
    std::uint64_t sequence = 0;
};

struct SheetMessage
{
    Revision revision;
    std::string author;
    std::string text;
};

struct SheetRequestMessage
{ };

/// Why a link to a peer is down.
enum class LinkLoss {
    Refused, // the host answered that nobody listens at the address: the process is dead
    Closed, // the connection was closed or reset
    TimedOut, // nothing received for a while, or no answer to a connection attempt
};

/// Links to the other entry processes. Messages to one peer arrive in order and at most once; those
/// in flight when a link is lost may be lost.
class PeerPort
{
public:
    virtual ~PeerPort() = default;

    /// Keeps a link to this peer from now on, with reconnection. The link is up after both sides
    /// have exchanged hello messages, which carry their incarnations.
    virtual void addPeer(const EntryId &entry, const Address &address) = 0;
    virtual void removePeer(const EntryId &entry) = 0;

    /// Each send returns false if the link is down; nothing was sent then.
    virtual bool send(const EntryId &to, const Heartbeat &message) = 0;
    virtual bool send(const EntryId &to, const ForwardMessage &message) = 0;
    virtual bool send(const EntryId &to, const AnswerMessage &message) = 0;
    virtual bool send(const EntryId &to, const ClaimMessage &message) = 0;
    virtual bool send(const EntryId &to, const ClaimAckMessage &message) = 0;
    virtual bool send(const EntryId &to, const SheetMessage &message) = 0;
    virtual bool send(const EntryId &to, const SheetRequestMessage &message) = 0;

    sigc::signal<void(const EntryId &, Incarnation, Time)> linkUp;
    /// Also emitted for each failed attempt to connect.
    sigc::signal<void(const EntryId &, LinkLoss, Time)> linkDown;
    sigc::signal<void(const EntryId &, const Heartbeat &, Time)> heartbeatReceived;
    sigc::signal<void(const EntryId &, const ForwardMessage &, Time)> forwardReceived;
    sigc::signal<void(const EntryId &, const AnswerMessage &, Time)> answerReceived;
    sigc::signal<void(const EntryId &, const ClaimMessage &, Time)> claimReceived;
    sigc::signal<void(const EntryId &, const ClaimAckMessage &, Time)> claimAckReceived;
    sigc::signal<void(const EntryId &, const SheetMessage &, Time)> sheetReceived;
    sigc::signal<void(const EntryId &, const SheetRequestMessage &, Time)> sheetRequested;
};

// [7] Log events

enum class LogLevel { Debug, Info, Warning, Error };

/// One structured log line. The adapter adds time, failure domain and entry id.
struct LogEvent
{
    LogLevel level = LogLevel::Info;
    std::string event; // fixed word with dashes, such as "unit-taken-over"
    std::string message;
    std::vector<std::pair<std::string, std::string>> fields; // such as {"request", id}
};

using LogHook = std::function<void(const LogEvent &)>;

} // namespace monsoonledge
