// Writes the claim log of this run: group commit with one write in flight, read-back after writes
// with an unknown result, and detection of a log that another process has closed.
#pragma once

#include "claims/claims.h"
#include "claims/segment_p.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace monsoonledge {

/// A claim that is not in the log yet.
struct PendingClaim
{
    RequestId id;
    int unit = 0;
    bool granted = false; // granted in peer mode, or a mirrored claim of a former owner
    std::set<EntryId> sentTo; // peer mode: members that the claim was sent to
    std::set<EntryId> acknowledgedBy; // peer mode: members that have acknowledged the claim
};

class LogWriter
{
public:
    LogWriter(const ClaimSettings &settings, StorePort &store, TimerPort &timers);

    // Hooks. All of them must be set before the first call.
    std::function<void(const std::vector<std::pair<std::uint64_t, PendingClaim>> &, Time)> recorded;
    std::function<void(Time)> closed; // another process has closed the log
    std::function<void(Time)> storeUnreachable; // no write has succeeded for storeDownAfter
    std::function<void(Time)> storeReachable; // a store call has succeeded; called after `recorded`

    /// Adds a claim to be written and returns its number; numbers are consecutive. Writes at once
    /// if the write interval has passed and no store call is in flight.
    std::uint64_t add(PendingClaim claim, Time now);
    /// Removes a pending claim, so that it need not be written.
    void drop(std::uint64_t number);
    /// Pending claims by number.
    std::map<std::uint64_t, PendingClaim> &pending() { return pending_; }

    /// Adds an ownership record. It is written together with the claims that are pending now, or
    /// after them, never before.
    void addOwnership(UnitOwnership ownership, Time now);
    /// Whether a write has not succeeded yet: it is in flight, or it failed and is being retried.
    bool isFailing() const { return failingSince_.has_value(); }
    /// Marks the latest ownership record of the unit as left. If this run gains the unit again, it
    /// adds a new record.
    void markLeft(int unit, Time now);
    /// Whether no claim and no ownership record of the unit waits to be written.
    bool isUnitWritten(int unit) const;

    /// Drops or reduces ownership records that are older than foreignRetention(). If the oldest
    /// full segment is older than the retention period and holds no id for which `remembered` is
    /// true, returns its key and version for removal, and no longer keeps track of it.
    std::optional<std::pair<std::string, Version>> expire(
            const std::function<bool(const RequestId &)> &remembered, Time now);

private:
    struct TrackedOwnership
    {
        UnitOwnership ownership;
        Time since{}; // when the record was added
        std::uint64_t afterClaim = 0; // written with or after the claims up to this number
        bool written = false;
    };
    /// A full segment of this log.
    struct OldSegment
    {
        std::uint64_t number;
        Version version;
        std::vector<RequestId> claims;
        Time lastWrite;
    };

    TrackedOwnership *latestOwnership(int unit);
    void scheduleWrite(Time now);
    void writeOrProbe(Time now);
    void write(Time now);
    void readBack(Time now);
    void onWritten(const StoreValue &value, Time now);
    void onReadBack(const StoreValue &value, Time now);
    void confirmStored(Segment content, bool wholeBatch, Time now);
    void retry(void (LogWriter::*step)(Time));
    void checkStoreDown(Time now);
    void handleClosedLog(Time now);
    bool hasUnwrittenChanges() const;
    void erase(std::map<std::uint64_t, PendingClaim>::iterator at);
    StoreDone guarded(void (LogWriter::*handler)(const StoreValue &, Time));
    void callAfter(Duration delay, void (LogWriter::*step)(Time));

    const ClaimSettings &settings_;
    StorePort &store_;
    TimerPort &timers_;
    std::map<std::uint64_t, PendingClaim> pending_;
    std::array<int, UnitCount> pendingPerUnit_{};
    std::uint64_t lastNumber_ = 0; // of the claim added last
    std::vector<std::uint64_t> batch_; // numbers of the claims in the write that is in flight
    std::vector<TrackedOwnership> ownerships_;
    bool ownershipsChanged_ = false; // the stored segment lacks a change of ownerships_
    Segment currentSegment_; // content of the current segment that is known to be stored
    Segment inFlightSegment_; // content of the write that is in flight
    std::uint64_t segmentNumber_ = 0; // of the current segment
    Version version_; // of the current segment in the store
    Time lastWrite_{}; // start of the last write
    std::deque<OldSegment> oldSegments_; // the oldest first
    bool busy_ = false; // a store call is in flight or a retry is scheduled
    bool writeScheduled_ = false; // a write is scheduled for the end of the write interval
    bool closed_ = false; // another process has closed the log
    bool storeDown_ = false; // the store counts as unreachable
    bool storeCheckScheduled_ = false; // a timer for checkStoreDown() is scheduled
    std::optional<Time> failingSince_; // start of the first write since the last success
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoonledge
