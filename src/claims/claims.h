// At-most-once claims of request ids, recorded before the request is sent to an endpoint.
//
// In store mode a claim is recorded once the compare-and-swap of a claim log segment has succeeded.
// In peer mode, which is used while the store is unreachable, it is recorded once every linked
// member of the failure domain has acknowledged it (see docs/design.md, section 5).
//
// Sections:
//   [1] Settings and results
//   [2] Claim log
#pragma once

#include "base/base.h"
#include "ports/ports.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace monsoonledge {

// [1] Settings and results

struct ClaimSettings
{
    DomainId domain;
    EntryRun self; // the run that owns this log
    Duration writeInterval = milliseconds(25); // minimum time between two writes of the log
    Duration storeDownAfter = seconds(2); // peer mode begins when writes have failed for so long
    Duration retention = minutes(10); // how long an id is remembered after its request finished
    Duration maxRequestRunTime = seconds(60); // maximum time from a claim to the end of its request
    std::size_t maxRememberedBytes = 8 * 1024 * 1024; // total size of remembered answer bodies
    int claimsPerSegment = 1024; // maximum number of claims in one segment of the log

    /// How long claims of other runs are remembered. Requests of a dead run may still be running on
    /// their endpoints when its claims are read, and finish up to `maxRequestRunTime` later.
    Duration foreignRetention() const { return retention + maxRequestRunTime; }
};

enum class ClaimStatus {
    Granted, // recorded; the request may be sent to an endpoint once
    Running, // duplicate of a request that is in progress here; waitFor() waits for its answer
    Finished, // duplicate of a finished request; `answer` holds its answer
    MayHaveRun, // duplicate, or perhaps claimed by a former owner; the outcome is "unknown"
    NotRecorded, // not recorded in time; nothing was sent for this claim, so "not run" is true
};

struct ClaimResult
{
    ClaimStatus status = ClaimStatus::NotRecorded;
    Answer answer; // for Finished
};

using ClaimDone = std::function<void(const ClaimResult &, Time now)>;

enum class ClaimMode { Store, Peer };

// [2] Claim log

class ClaimLog
{
public:
    ClaimLog(ClaimSettings settings, StorePort &store, TimerPort &timers, LogHook log);
    ~ClaimLog();
    ClaimLog(const ClaimLog &) = delete;
    ClaimLog &operator=(const ClaimLog &) = delete;

    /// Hook for peer mode: the members of the domain that must acknowledge a claim at present.
    std::function<std::vector<EntryId>()> requiredMirrors;
    /// Hook for peer mode: sends claims to a member. Returns false if the link is down.
    std::function<bool(const EntryId &, const ClaimMessage &)> sendClaimMessage;

    /// Claims an id whose home is `unit`. Calls back once, not later than `deadline` if the event
    /// loop is on time. If the unit is not ready, the result for an id that is not remembered is
    /// NotRecorded. An id whose claim ended with NotRecorded may be claimed again.
    void claim(const RequestId &id, int unit, Time deadline, Time now, ClaimDone done);
    /// Ends a granted claim with the endpoint's answer or an unknown outcome, and passes it to the
    /// callbacks of waitFor().
    void finish(const RequestId &id, const Answer &answer, Time now);
    /// Removes a granted claim whose request is known not to have run, so that a later attempt can
    /// claim the id again. Passes the answer to the callbacks of waitFor().
    void withdraw(const RequestId &id, const Answer &answer, Time now);
    /// Whether the id is remembered here, or a former owner of the unit may have claimed it. If
    /// false, the request has not run, and may be refused as "not run" without a claim.
    bool mayHaveRun(const RequestId &id, int unit, Time now) const;
    /// Calls back when the claim of this id, which is being recorded or running, ends. Does nothing
    /// if there is no such claim.
    void waitFor(const RequestId &id, std::function<void(const Answer &, Time now)> done);

    /// Makes a gained unit ready: closes the former owner's log, reads its claims, and then calls
    /// back. Retries until the store responds.
    /// `formerOwner`: if its entry is empty, or it is this run, nothing is read and the unit is
    /// ready at once.
    /// `released`: the former owner released the unit; its log is read but not closed.
    /// `claimsKnown`: this run knows all claims that the former owner made in peer mode. If false,
    /// an id of the unit gets MayHaveRun for foreignRetention(), unless this run issued it after
    /// the recovery.
    void recover(int unit, const EntryRun &formerOwner, bool released, bool claimsKnown, Time now,
                 std::function<void(Time now)> ready);
    bool isReady(int unit) const;
    /// Begins the release of a unit: new claims of it are no longer granted.
    void closeUnit(int unit, Time now);
    /// Whether the unit can be released: none of its claims is running or waits to be written, its
    /// ownership is stored in the log, and no recovery of it is in progress.
    bool unitIdle(int unit) const;

    /// A new request id, "<domain>~<issue time>-<entry hash>.<incarnation>-<n>", whose home is a
    /// ready unit of this domain. The time of issue and the run in it show that no former owner can
    /// have claimed it. Empty if no unit is ready.
    RequestId issueId(Time now);

    // Peer mode: inputs from other members of the domain.

    /// Keeps claims that another run has sent, for a later takeover of its units. Returns false if
    /// this process has closed the sender's log; the message must not be acknowledged then.
    bool receiveMirroredClaims(const EntryRun &from, const ClaimMessage &message, Time now);
    /// Handles a member's acknowledgement of the message with this sequence number.
    void receiveAcknowledgement(const EntryId &from, std::uint64_t sequence, Time now);
    /// To be called when the link to a member is up again. Discards its acknowledgements, and in
    /// peer mode sends it all claims that are not in the log.
    void peerLinked(const EntryId &entry, Time now);
    /// To be called when the result of requiredMirrors() may have changed, for instance because a
    /// member was dropped or died.
    void mirrorsChanged(Time now);

    /// Another process has closed the log: this process was declared dead and must give up all its
    /// units. No claim is granted any more.
    sigc::signal<void(Time)> fenced;

    /// Forgets ids that are older than the retention period and removes log segments that are no
    /// longer needed, at most one per call. To be called about once a second.
    void expire(Time now);

    /// Hook: whether a run that released units has left the domain, so that its log may be removed
    /// after the retention period. Without this hook only logs of dead runs are removed.
    std::function<bool(const EntryRun &)> hasLeftDomain;

    ClaimMode mode() const;
    /// The number of ids that are remembered, of running and of ended requests.
    std::size_t size() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace monsoonledge
