// At-most-once claims of request ids, recorded before the request is sent to an endpoint.
//
// In store mode a claim counts as recorded when the compare-and-swap of the claim log segment has
// succeeded. In peer mode, when the store cannot be reached, it counts as recorded when every
// linked member of the failure domain has acknowledged it (see docs/design.md, section 5).
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
    EntryRun self;
    Duration writeInterval = milliseconds(25); // minimum time between two writes of the log
    Duration storeDownAfter = seconds(2); // failing writes before peer mode
    Duration retention = minutes(10); // how long an id is remembered after it finished
    Duration longestRun = seconds(60); // a request may run for so long after its claim
    std::size_t maxRememberedBytes = 8 * 1024 * 1024; // bodies of remembered answers
    int segmentClaims = 1024; // claims in one segment of the log

    /// How long claims of other runs are remembered. Requests of a dead run may still run on their
    /// endpoints when its claims are read, and end later.
    Duration foreignRetention() const { return retention + longestRun; }
};

enum class ClaimStatus {
    Granted, // recorded; the request may be sent to an endpoint, once
    Running, // a duplicate of a request that is running here; join it with waitFor()
    Finished, // a duplicate; the remembered answer is in `answer`
    MaybeRun, // a duplicate, or an id that the former owner may have claimed: answer "unknown"
    NotRecorded, // not recorded in time; nothing was sent, so "not run" is true
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

    /// Hook, peer mode: the members of the domain whose acknowledgement a claim needs now.
    std::function<std::vector<EntryId>()> requiredMirrors;
    /// Hook, peer mode: sends to a member; false if the link is down.
    std::function<bool(const EntryId &, const ClaimMessage &)> sendMirror;

    /// Claims an id that is homed at `unit`, which must be ready. Calls back once, at the latest at
    /// `deadline`. An id that timed out with NotRecorded may be claimed again here.
    void claim(const RequestId &id, int unit, Time deadline, Time now, ClaimDone done);
    /// The endpoint's answer, or an unknown outcome, of a granted claim. Waiters are called.
    void finish(const RequestId &id, const Answer &answer, Time now);
    /// Gives up a granted claim that certainly has not run; a later attempt may claim the id again.
    /// Waiters are called with the answer.
    void withdraw(const RequestId &id, const Answer &answer, Time now);
    /// Whether the id is remembered, or may have been claimed by a former owner of the unit. If
    /// not, it has certainly not run, so that a request may be refused as "not run" without a
    /// claim.
    bool mayHaveRun(const RequestId &id, int unit, Time now) const;
    /// Calls back when the running request with this id ends. Without such a request: never.
    void waitFor(const RequestId &id, std::function<void(const Answer &, Time now)> done);

    /// Makes a gained unit ready: closes the former owner's log, reads what it claimed, and then
    /// calls back. `released`: the former owner released the unit; its log is read but not closed.
    /// `claimsKnown`: all claims that the former owner made in peer mode are known here; if false,
    /// ids of the unit that were not issued by this run get MaybeRun for the retention period and
    /// the longest run. An empty formerOwner makes the unit ready at once. Retries until the store
    /// answers.
    void recover(int unit, const EntryRun &formerOwner, bool released, bool claimsKnown, Time now,
                 std::function<void(Time now)> ready);
    bool isReady(int unit) const;
    /// The unit is being released: no new claim is taken for it.
    void closeUnit(int unit, Time now);
    /// Whether no claim of the unit is running or waiting to be written, and no recovery of it is
    /// in progress.
    bool unitIdle(int unit) const;

    /// A new request id, "<domain>~<issue time>-<entry hash>.<incarnation>-<n>", that is homed in
    /// this domain at a ready unit, and carries its time of issue and this run, so that it cannot
    /// have been claimed by a former owner. Empty if no unit is ready.
    RequestId issueId(Time now);

    /// Peer mode: inputs from other members of the domain.
    /// False: this process has closed the sender's log, so the message must not be acknowledged.
    bool mirrored(const EntryRun &from, const ClaimMessage &message, Time now);
    void acknowledged(const EntryId &from, std::uint64_t sequence, Time now);
    /// The link to a member is up again: unacknowledged claims are sent once more.
    void peerLinked(const EntryId &entry, Time now);
    /// requiredMirrors() may have changed, because a member was dropped or died.
    void mirrorsChanged(Time now);

    /// The log was closed by another process: this process was declared dead and must give up all
    /// its units. No claim is granted from then on.
    sigc::signal<void(Time)> fenced;

    /// Forgets what is older than the retention and removes log segments. Call about once a second.
    void expire(Time now);

    /// Hook: whether a run that released units has left the domain, so that its log may be removed
    /// after the retention period. Without it only logs of dead runs are removed.
    std::function<bool(const EntryRun &)> runEnded;

    ClaimMode mode() const;
    /// Ids remembered, running or not.
    std::size_t size() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace monsoonledge
