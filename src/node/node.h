// One entry process: joins membership, claims, admission and routing, and owns all their state.
//
// A Node does no I/O of its own. Everything that happens outside reaches it through the ports or
// the functions below, each with the present time.
//
// Sections:
//   [1] Ports and status
//   [2] Node
#pragma once

#include "admission/admission.h"
#include "base/base.h"
#include "batch/batch.h"
#include "claims/claims.h"
#include "membership/membership.h"
#include "ports/ports.h"
#include "routing/routing.h"
#include "settings/settings.h"
#include "sheet/sheet.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoonledge {

// [1] Ports and status

struct NodePorts
{
    StorePort &store;
    TimerPort &timers;
    HostListPort &hosts;
    EndpointPort &endpoints;
    WorkerPort &workers;
    PeerPort &peers;
    LogHook log;
};

using Respond = std::function<void(const Answer &, Time now)>;

/// What a caller asked for, before the sheet has been looked up.
struct CallerRequest
{
    RequestId id; // empty: the caller gave none; allowed for idempotent classes only
    CallerId caller;
    ServiceId service;
    ClassId requestClass; // "service/class"
    Duration deadline{}; // zero: the class's default
    std::string body;
};

struct PeerStatus
{
    EntryId entry;
    DomainId domain;
    bool up = false;
    Incarnation incarnation;
    Revision sheetRevision;
    UnitMask units = 0;
};

/// A sheet with the circumstances of its acceptance.
struct SheetVersion
{
    Revision revision;
    std::string author;
    std::string text;
};

enum class PutStatus {
    Accepted,
    Conflict, // another sheet won; the result names it
    Invalid, // the sheet has findings
    StoreDown, // certainly not accepted
    Unknown, // may have been accepted; show the sheet to find out
};

struct PutResult
{
    PutStatus status = PutStatus::Unknown;
    Revision revision; // accepted, or the winner of a conflict
    std::string author; // the winner's
    Findings findings;
};

using PutDone = std::function<void(const PutResult &, Time now)>;

/// Counts of answered requests of one class since the start.
struct ClassCounts
{
    std::uint64_t done = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t forwarded = 0;
};

// [2] Node

class Node
{
public:
    Node(Settings settings, Incarnation incarnation, NodePorts ports, std::uint64_t seed);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start(Time now);

    /// Runs a request. The answer arrives exactly once, at the latest shortly after the deadline.
    void handle(const CallerRequest &request, Respond respond, Time now);
    /// A new request id homed in this process's failure domain. Empty if none can be issued now.
    RequestId issueId(Time now);

    /// Accepts a sheet if `expect` is the revision in force.
    void putSheet(const std::string &text, const std::string &author, Revision expect,
                  const PutDone &done, Time now);
    /// Peers that are up and have not reported this sheet revision yet, and peers that are down.
    std::vector<EntryId> notInForce() const;

    /// Planned stop: new requests go to other entry processes, those in flight end here.
    void drain(Time now);
    /// Whether the planned stop is complete.
    bool drained() const;
    /// Whether the balancer should send requests here.
    bool ready() const;
    bool draining() const { return draining_; }

    EntryRun self() const { return self_; }
    const Settings &settings() const { return settings_; }
    const SheetVersion &sheetVersion() const { return sheetVersion_; }
    const Sheet &sheet() const { return sheet_; }
    Membership &membership() { return membership_; }
    const Membership &membership() const { return membership_; }
    const EndpointTable &endpoints() const { return endpoints_; }
    const Admission &admission() const { return admission_; }
    const ClaimLog &claims() const { return claims_; }
    const BatchScheduler &batch() const { return batch_; }
    std::vector<PeerStatus> peerStatus() const;
    const std::map<ClassId, ClassCounts> &counts() const { return counts_; }
    /// Requests that have not been answered, or still run on an endpoint.
    std::size_t pending() const { return pending_.size(); }

    /// Answered requests: class, caller, outcome, time from arrival to answer.
    sigc::signal<void(const ClassId &, const CallerId &, Outcome, Duration)> answered;
    /// Another process was given this process's units; this process must end.
    sigc::signal<void(Time)> expelled;

private:
    enum class Stage {
        HomeWait, // the home is not known or not linked now
        Claiming, // the claim is being recorded
        Joined, // a duplicate that waits for the answer of the running one
        Queued,
        Running,
        Forwarded,
    };

    struct Pending
    {
        Request request; // `remaining` is filled in when it is sent on
        Respond respond;
        Time arrived{};
        Time deadline{};
        Stage stage = Stage::HomeWait;
        bool responded = false;
        bool fromPeer = false; // forwarded to this process; it is not forwarded again
        bool claimed = false; // holds a granted claim
        int unit = 0; // home unit, if claimed
        int attempts = 0; // sent to an endpoint
        std::set<HostId> tried;
        HostId endpoint; // while running
        Time startedAt{}; // while running
        EntryId forwardedTo; // while forwarded
    };

    struct Peer
    {
        DomainId domain;
        Address address;
        Incarnation recorded; // in the domain record; 0: not a member
        bool up = false;
        bool heard = false; // a heartbeat came on the present link
        Heartbeat last; // of the present link
        Time lastHeard{}; // on any link
        Time nextHeartbeat{};
        std::uint64_t sent = 0; // heartbeats sent
        std::uint64_t received = 0; // last heartbeat sequence received
        std::map<std::uint64_t, Time> sentAt; // unacknowledged heartbeats
        Time acknowledgedSentAt{}; // when the last acknowledged heartbeat was sent
        int outstanding = 0; // forwards since its last heartbeat
    };

    struct SheetWrite
    {
        SheetVersion version;
        Version storeVersion; // that the write replaces
        int attemptsLeft = 0;
    };

    // node.cpp
    void connectPeers();
    void connectMembership();
    void connectClaims();
    void tick(Time now);
    void readHosts(Time now);
    void sampleEndpoints(Time now);
    void syncUnits(Time now);
    void gainUnit(const GainedUnit &gained, Time now);
    bool knowsClaimsOf(const EntryRun &run, Time now) const;
    bool mayFreeUnit(int unit);
    void syncBatchLeader(Time now);
    bool hasLocalWork() const;
    std::vector<EntryId> requiredMirrors(Time now) const;
    void log(LogLevel level, const char *event, const std::string &message,
             std::vector<std::pair<std::string, std::string>> fields = {}) const;

    // peers.cpp
    void addRecordMembers(Time now);
    void peerUp(const EntryId &entry, Incarnation incarnation, Time now);
    void peerDown(const EntryId &entry, LinkLoss loss, Time now);
    void heartbeat(const EntryId &entry, const Heartbeat &message, Time now);
    void sendHeartbeat(const EntryId &entry, Peer &peer, Time now);
    void announce(Time now);
    LoadReport loadReport() const;

    // requests.cpp
    RequestClass classOf(const CallerRequest &request) const;
    void submit(Token token, Time now);
    void submitIdempotent(Token token, Time now);
    void submitToHome(Token token, Time now);
    void claimHere(Token token, int unit, Time now);
    void claimed(Token token, const ClaimResult &result, Time now);
    void refuseClaimed(Token token, Time now);
    void enqueue(Token token, Time now);
    void dispatch(Time now);
    bool dispatchNext(const ServiceId &service, Time now);
    void runOn(Token token, const HostId &host, Time now);
    void ran(Token token, const RunResult &result, Time now);
    bool retry(Token token, const RunResult &result, Time now);
    void complete(Token token, const Answer &answer, Time now);
    void refuse(Token token, const std::string &reason, const std::string &detail, Time now);
    void respond(Pending &pending, const Answer &answer, Time now);
    void erase(Token token);
    void expireRequests(Time now);
    void deadlinePassed(Token token, Time now);
    void retryHomeWaits(Time now);

    // forwarding.cpp
    EntryId choosePeer(const Pending &pending, Duration localWait, Time now);
    EntryId homePeer(const DomainId &domain, int unit) const;
    bool forward(Token token, const EntryId &peer, bool asHome, Time now);
    void forwardReceived(const EntryId &from, const ForwardMessage &message, Time now);
    void answerReceived(const EntryId &from, const AnswerMessage &message, Time now);
    void forwardLost(const EntryId &peer, Time now);

    // sheets.cpp
    void watchSheet();
    void sheetRead(const StoreValue &value, Time now);
    bool adoptSheet(const SheetVersion &version, const char *source, Time now);
    void restoreSheet(Version storeVersion, Time now);
    void writeSheet(const SheetWrite &write, const PutDone &done);
    void confirmSheet(const SheetWrite &write, const PutDone &done);

    Settings settings_;
    EntryRun self_;
    NodePorts ports_;
    Random random_;
    Membership membership_;
    ClaimLog claims_;
    EndpointTable endpoints_;
    Admission admission_;
    RetryBudget retries_;
    BatchScheduler batch_;
    Sheet sheet_;
    SheetVersion sheetVersion_;
    Version sheetStoreVersion_;
    std::map<EntryId, Peer> peers_;
    std::map<EntryRun, Time> diedAt_;
    std::unordered_map<Token, Pending> pending_;
    std::set<std::pair<Time, Token>> deadlines_;
    std::map<HostId, Time> nextSample_;
    std::set<HostId> sampling_; // endpoints with a status call in flight
    std::map<ClassId, ClassCounts> counts_;
    Token nextToken_ = 1;
    Time started_{};
    Time lastTick_{};
    Time nextExpire_{};
    bool hostsRead_ = false;
    bool draining_ = false;
    bool dispatching_ = false;
    UnitMask announcedUnits_ = 0;
};

} // namespace monsoonledge
