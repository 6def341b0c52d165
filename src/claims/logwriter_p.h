// The own claim log: group commit with one write in flight, read-back of unknown results, and
// detection of a log that was closed by another process.
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
    bool granted = false; // in peer mode, or taken over from mirrored claims of a former owner
    std::set<EntryId> sentTo; // peer mode
    std::set<EntryId> acknowledgedBy; // peer mode
};

class LogWriter
{
public:
    LogWriter(const ClaimSettings &settings, StorePort &store, TimerPort &timers);

    // Hooks.
    std::function<void(const std::vector<std::pair<std::uint64_t, PendingClaim>> &, Time)> recorded;
    std::function<void(Time)> closed; // the log was closed by another process
    std::function<void(Time)> unreachable; // writes have failed for storeDownAfter
    std::function<void(Time)> reachable; // called after every successful call, after `recorded`

    /// Numbers grow by one. Writing begins at once if the write interval allows it.
    std::uint64_t add(PendingClaim claim, Time now);
    void drop(std::uint64_t number);
    /// Pending claims by number.
    std::map<std::uint64_t, PendingClaim> &pending() { return pending_; }

    /// The note is written together with or after all claims that are pending now.
    void addNote(UnitNote note, Time now);
    /// Whether the last write, or one in flight, is without success.
    bool isFailing() const { return failingSince_.has_value(); }
    /// Records that the unit is given up; a later note of the unit begins a new ownership.
    void markLeft(int unit, Time now);
    /// Whether nothing of the unit waits to be written.
    bool unitWritten(int unit) const;

    /// Drops notes older than the retention period. Returns the key of an own segment, with its
    /// version, that holds no id for which `remembered` is true; the segment is forgotten then.
    std::optional<std::pair<std::string, Version>> expire(
            const std::function<bool(const RequestId &)> &remembered, Time now);

private:
    struct Note
    {
        UnitNote note;
        Time since{};
        std::uint64_t after = 0; // number of the last claim that has to be written before
        bool written = false;
    };
    struct OldSegment
    {
        std::uint64_t number;
        Version version;
        std::vector<RequestId> claims;
        Time lastWrite;
    };

    Note *latestNote(int unit);
    void kick(Time now);
    void attempt(Time now);
    void write(Time now);
    void readBack(Time now);
    void onWritten(const StoreValue &value, Time now);
    void onReadBack(const StoreValue &value, Time now);
    void succeed(Segment content, bool wholeBatch, Time now);
    void retry(void (LogWriter::*step)(Time));
    void checkDown(Time now);
    void giveUp(Time now);
    bool hasWork() const;
    void erase(std::map<std::uint64_t, PendingClaim>::iterator at);
    StoreDone guarded(void (LogWriter::*handler)(const StoreValue &, Time));
    void after(Duration delay, void (LogWriter::*step)(Time));

    const ClaimSettings &settings_;
    StorePort &store_;
    TimerPort &timers_;
    std::map<std::uint64_t, PendingClaim> pending_;
    std::array<int, UnitCount> pendingPerUnit_{};
    std::uint64_t lastNumber_ = 0;
    std::vector<std::uint64_t> batch_; // numbers in the write that is in flight
    std::vector<Note> notes_;
    bool notesChanged_ = false;
    Segment current_; // content of the current segment as far as it is known to be stored
    Segment writing_; // content of the write that is in flight
    std::uint64_t number_ = 0;
    Version version_;
    Time lastWrite_{};
    std::deque<OldSegment> old_;
    bool busy_ = false; // a store call is in flight or a retry is scheduled
    bool waiting_ = false; // for the write interval
    bool closed_ = false;
    bool down_ = false;
    bool checking_ = false; // a timer for checkDown() is scheduled
    std::optional<Time> failingSince_; // start of the oldest write without a success after it
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoonledge
