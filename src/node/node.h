// One entry process: combines membership, claims, admission, routing and batch scheduling, and owns
// their state.
//
// A Node does no I/O of its own. External events reach it through the ports or the functions below,
// each with the current time.
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

using AnswerCallback = std::function<void(const Answer &, Time now)>;

/// A caller's request as received, without what the sheet says about its class.
struct CallerRequest
{
    RequestId id; // empty: none given; allowed for idempotent classes only
    CallerId caller;
    ServiceId service;
    ClassId requestClass; // "service/class"
    Duration deadline{}; // counted from the arrival; zero: the default of the class
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

/// The text of an accepted sheet with its revision and the operator who submitted it.
struct SheetVersion
{
    Revision revision;
    std::string author;
    std::string text;
};

enum class PutStatus {
    Accepted,
    Conflict, // another sheet is in force; the result holds its revision and author
    Invalid, // the sheet has findings
    StoreUnreachable, // the store is unreachable; the sheet was not accepted
    Unknown, // the sheet may have been accepted; reading the sheet in force shows whether it was
};

struct PutResult
{
    PutStatus status = PutStatus::Unknown;
    Revision revision; // of the submitted sheet, or for Conflict of the sheet in force
    std::string author; // for Conflict: the author of the sheet in force
    Findings findings; // for Invalid
};

using PutDone = std::function<void(const PutResult &, Time now)>;

/// Counters of the requests of one class since the start of this process.
struct ClassCounts
{
    std::uint64_t done = 0; // answered with this outcome, as are the next two
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0; // sent again to an endpoint of this failure domain
    std::uint64_t forwarded = 0; // sent to another entry process
};

// [2] Node

class Node
{
public:
    Node(Settings settings, Incarnation incarnation, NodePorts ports, std::uint64_t seed);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start(Time now);

    /// Runs a request. Calls `respond` exactly once, at the latest shortly after the deadline.
    void handle(const CallerRequest &request, AnswerCallback respond, Time now);
    /// Returns a new request id whose home is this process's failure domain, or an empty id if none
    /// can be issued now.
    RequestId issueId(Time now);

    /// Checks a sheet and puts it in force if `expect` is the revision in force. Calls `done` once.
    void putSheet(const std::string &text, const std::string &author, Revision expect,
                  const PutDone &done, Time now);
    /// Peers that have not reported the sheet in force or a newer one on the current link, and
    /// peers that are down.
    std::vector<EntryId> peersWithoutCurrentSheet() const;

    /// Starts the planned stop: this process forwards new requests to other entry processes or
    /// refuses them, and releases its share units once its accepted requests have ended.
    void drain(Time now);
    /// Whether the planned stop is complete.
    bool drained() const;
    /// Whether load balancers should send requests to this process.
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
    const std::map<ClassId, ClassCounts> &classCounts() const { return classCounts_; }
    /// The number of requests that have not been answered or still run on an endpoint.
    std::size_t pendingCount() const { return pendingRequests_.size(); }

    /// Emitted for each answer to a caller: class, caller, outcome, time from arrival to answer.
    sigc::signal<void(const ClassId &, const CallerId &, Outcome, Duration)> answered;
    /// This process was removed from the domain record, or another process closed its claim log.
    /// Other processes may own its share units; this process must end.
    sigc::signal<void(Time)> expelled;

private:
    enum class Stage {
        WaitingForHome, // until this process or a linked one owns the home unit of the request id
        Claiming, // the claim is being recorded
        WaitingForOriginal, // a duplicate; waits for the answer to the request with the claim
        Queued, // in the class queue, or waiting for its retry
        Running, // sent to an endpoint
        Forwarded, // sent to another entry process
    };

    struct PendingRequest
    {
        Request request; // `remaining` is set when the request is sent
        AnswerCallback respond;
        Time arrived{};
        Time deadline{};
        Stage stage = Stage::WaitingForHome;
        bool responded = false;
        bool fromPeer = false; // received from a peer, or refused by one; never forwarded again
        bool holdsClaim = false; // the claim of the id was granted to this request
        int unit = 0; // home unit, set when the claim is requested
        int attempts = 0; // number of times that it was sent to an endpoint
        std::set<HostId> triedHosts;
        HostId endpoint; // for Running
        Time startedAt{}; // for Running
        EntryId forwardedTo; // for Forwarded
    };

    struct Peer
    {
        DomainId domain;
        Address address;
        Incarnation recordedIncarnation; // in the domain record; 0: not a member
        bool up = false; // linked
        bool hasHeartbeat = false; // a heartbeat was received on the current link
        Heartbeat lastHeartbeat; // received on the current link
        Time lastHeardAt{}; // when a heartbeat last arrived, a link came up, or the peer was added
        Time nextHeartbeat{};
        std::uint64_t heartbeatsSent = 0; // also the sequence number of the last one
        std::uint64_t lastSequenceReceived = 0; // sequence number of the last heartbeat received
        std::map<std::uint64_t, Time> unacknowledgedSentAt; // heartbeats, by sequence number
        Time lastAcknowledgedSentAt{}; // when the last acknowledged heartbeat was sent
        int forwardsSinceHeartbeat = 0; // requests forwarded to it since its last heartbeat
    };

    /// One attempt to write a submitted sheet to the store.
    struct SheetWrite
    {
        SheetVersion version;
        Version expectedVersion; // the store's version that the write replaces
        int attemptsLeft = 0; // including this one
    };

    // node.cpp
    void connectPeers();
    void connectMembership();
    void connectClaims();
    void tick(Time now);
    void readHostList(Time now);
    void sampleEndpoints(Time now);
    /// Applies the current share units to routing and admission, and sends heartbeats if the usable
    /// units have changed.
    void updateUsableUnits(Time now);
    void onUnitGained(const GainedUnit &gained, Time now);
    /// Whether a dead run's claims made in peer mode are all known here: the last heartbeat that it
    /// acknowledged was sent less than `mirrorDropAfter` before it was proven dead.
    bool knowsClaimsOf(const EntryRun &run, Time now) const;
    /// Stops new claims of the unit and returns whether it can be released.
    bool prepareRelease(int unit);
    /// Starts or resigns the batch leadership, which belongs to the usable batch unit.
    void updateBatchLeadership(Time now);
    bool hasLocalWork() const;
    /// The members of this failure domain that must acknowledge a claim in peer mode.
    std::vector<EntryId> requiredMirrors(Time now) const;
    void log(LogLevel level, const char *event, const std::string &message,
             std::vector<std::pair<std::string, std::string>> fields = {}) const;

    // peers.cpp
    /// Adds or updates the peers that the domain record lists.
    void addPeersFromRecord(Time now);
    void onPeerUp(const EntryId &entry, Incarnation incarnation, Time now);
    void onPeerDown(const EntryId &entry, LinkLoss loss, Time now);
    void onHeartbeat(const EntryId &entry, const Heartbeat &message, Time now);
    void sendHeartbeat(const EntryId &entry, Peer &peer, Time now);
    /// Sends a heartbeat to all linked peers at once.
    void sendHeartbeats(Time now);
    LoadReport loadReport() const;

    // requests.cpp
    /// The class according to the sheet; a non-idempotent default class if the sheet has none.
    RequestClass findRequestClass(const CallerRequest &request) const;
    void submit(RequestToken token, Time now);
    void submitIdempotent(RequestToken token, Time now);
    void submitToHome(RequestToken token, Time now);
    void claimLocally(RequestToken token, int unit, Time now);
    void onClaimResult(RequestToken token, const ClaimResult &result, Time now);
    /// Answers a request whose id may have been run with an unknown outcome.
    void answerAlreadyClaimed(RequestToken token, Time now);
    void enqueue(RequestToken token, Time now);
    /// Sends queued requests to endpoints while there are free slots.
    void dispatch(Time now);
    bool dispatchNext(const ServiceId &service, Time now);
    void sendToEndpoint(RequestToken token, const HostId &host, Time now);
    void onRunResult(RequestToken token, const RunResult &result, Time now);
    /// Schedules another attempt if the request may run again and budget and time allow it.
    bool scheduleRetry(RequestToken token, const RunResult &result, Time now);
    /// Ends the claim, responds if that has not happened yet, and erases the request.
    void complete(RequestToken token, const Answer &answer, Time now);
    /// Completes a request that was not run.
    void refuse(RequestToken token, const std::string &reason, const std::string &detail, Time now);
    void respond(PendingRequest &pending, const Answer &answer, Time now);
    void eraseRequest(RequestToken token);
    void expireRequests(Time now);
    void onDeadlinePassed(RequestToken token, Time now);
    void retryWaitingForHome(Time now);

    // forwarding.cpp
    /// The peer that is expected to start an idempotent request at least MinForwardGain sooner than
    /// this process, where it would wait for `localWait`. Empty if there is none.
    EntryId choosePeer(const PendingRequest &pending, Duration localWait, Time now);
    /// The linked peer that reports the share unit as its own; empty if there is none.
    EntryId findHomePeer(const DomainId &domain, int unit) const;
    /// Returns false if nothing was sent.
    bool forward(RequestToken token, const EntryId &peer, bool asHome, Time now);
    void onForward(const EntryId &from, const ForwardMessage &message, Time now);
    void onAnswer(const EntryId &from, const AnswerMessage &message, Time now);
    /// Retries or ends the requests that were forwarded to a peer whose link is lost.
    void handleLostForwards(const EntryId &peer, Time now);

    // sheets.cpp
    void watchSheet();
    void onSheetRead(const StoreValue &value, Time now);
    /// Puts a sheet in force if it is newer than the current one and valid.
    bool adoptSheet(const SheetVersion &version, const char *source, Time now);
    /// Writes the sheet in force to a store that holds an older one or none.
    void restoreSheet(Version expectedVersion, Time now);
    void writeSheet(const SheetWrite &write, const PutDone &done);
    /// Reads the store to find the outcome of a write that did not succeed or was not confirmed.
    void confirmSheetWrite(const SheetWrite &write, const PutDone &done);

    Settings settings_;
    EntryRun self_;
    NodePorts ports_;
    Random random_;
    Membership membership_;
    ClaimLog claims_;
    EndpointTable endpoints_;
    Admission admission_;
    RetryBudget retryBudget_;
    BatchScheduler batch_;
    Sheet sheet_;
    SheetVersion sheetVersion_;
    Version sheetStoreVersion_;
    std::map<EntryId, Peer> peers_;
    std::map<EntryRun, Time> provenDeadAt_; // when members were proven dead
    std::unordered_map<RequestToken, PendingRequest> pendingRequests_;
    std::set<std::pair<Time, RequestToken>> deadlines_; // of requests whose deadline has not passed
    std::map<HostId, Time> nextSampleAt_;
    std::set<HostId> statusCallsInFlight_; // hosts of the endpoints with a status call in flight
    std::map<ClassId, ClassCounts> classCounts_;
    RequestToken nextToken_ = 1;
    Time started_{};
    Time lastTick_{};
    Time nextClaimExpiryAt_{};
    bool hostListRead_ = false;
    bool draining_ = false;
    bool dispatching_ = false; // guards dispatch() against recursion
    UnitMask announcedUnits_ = 0; // usable units when updateUsableUnits() last sent heartbeats
};

} // namespace monsoonledge
