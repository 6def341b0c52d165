// Implementation state of a ClaimLog.
#pragma once

#include "claims/claims.h"
#include "claims/logreader_p.h"
#include "claims/logwriter_p.h"

#include <array>
#include <deque>
#include <unordered_map>

namespace monsoonledge {

struct ClaimLog::Private
{
    enum class State {
        Recording, // not recorded yet
        Running, // granted
        Finished, // ended in this run
        Unknown, // claimed by a former owner; known from its log or its messages
    };
    /// An id that is remembered, with its claim.
    struct RememberedClaim
    {
        State state = State::Recording;
        int unit = 0;
        std::uint64_t pendingNumber = 0; // number of the claim in LogWriter::pending()
        Time deadline{};
        TimerId timer = 0; // fires at the deadline
        ClaimDone done; // only in state Recording
        bool answerKnown = false; // false for Finished: the answer was dropped to save memory
        Answer answer;
        Time endedAt{}; // for Finished and Unknown; the retention period begins here
        std::vector<std::function<void(const Answer &, Time now)>> waiters;
    };
    /// The recovery of one gained unit; see ClaimLog::recover().
    struct Recovery
    {
        int unit = 0;
        EntryRun formerOwner;
        bool released = true;
        bool claimsKnown = true;
        std::function<void(Time now)> ready;
    };
    /// Describes which ids of a unit may have claims of former owners that are not known here.
    struct IncompleteRecovery
    {
        Time until{}; // until then such a claim may exist
        std::uint64_t lastIssued = 0; // ids that this run issued later have no such claim
    };

    Private(ClaimLog *claimLog, ClaimSettings claimSettings, StorePort &storePort,
            TimerPort &timerPort, LogHook logHook);

    /// Runs the action in the next pass of the event loop, unless the ClaimLog has been destroyed.
    void defer(std::function<void(Time now)> action);
    void log(LogLevel level, const char *event, const std::string &message) const;

    void onRecorded(const std::vector<std::pair<std::uint64_t, PendingClaim>> &claims, Time now);
    void onClosed(Time now);
    void onStoreUnreachable(Time now);
    void onStoreReachable(Time now);
    void tryLeavePeerMode();
    void finishRecording(const RequestId &id, std::uint64_t number, bool recorded, Time now);
    void endClaim(const RequestId &id, const Answer &answer, bool keep, Time now);
    void rememberAnswer(const RequestId &id, RememberedClaim &claim, Time now);
    bool mayHaveUnknownClaim(const RequestId &id, int unit, Time now) const;

    void mirrorClaims(const EntryId &to, const std::vector<std::uint64_t> &numbers);
    void grantIfMirrored(std::uint64_t number, Time now);

    void startRecovery();
    void finishRecovery(const std::vector<Recovery> &batch, const LogReader::Result &result,
                        Time now);
    void forgetExpired(std::deque<std::pair<Time, RequestId>> &list, Time now);
    void forgetMirroredClaims(Time now);
    void removeExpiredSegments(Time now);
    void listSegmentsForRemoval(const EntryRun &run, bool olderRunsOfEntry);

    ClaimLog *q; // the object that owns this state
    ClaimSettings settings;
    StorePort &store;
    TimerPort &timers;
    LogHook logHook;
    LogWriter writer;
    LogReader reader;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); // expires with this object

    ClaimMode mode = ClaimMode::Store;
    bool fenced = false;
    std::unordered_map<RequestId, RememberedClaim> rememberedClaims;
    std::array<int, UnitCount> activeClaims{}; // claims in state Recording or Running
    // The ids of ended claims, each with its endedAt, in ascending order.
    std::deque<std::pair<Time, RequestId>> endedClaims; // claims of this run
    std::deque<std::pair<Time, RequestId>> formerOwnerClaims; // claims of former owners
    std::deque<RequestId> rememberedAnswers; // ids whose answer is remembered, the oldest first
    std::size_t rememberedBytes = 0; // total size of the bodies of these answers

    UnitMask readyUnits = 0;
    UnitMask closingUnits = 0; // units for which closeUnit() was called
    std::array<IncompleteRecovery, UnitCount> incompleteRecoveries;
    std::deque<Recovery> queuedRecoveries; // not started yet
    std::array<int, UnitCount> unfinishedRecoveries{}; // including queued ones

    std::uint64_t lastIssued = 0; // number in the last id that issueId() has made

    // Peer mode.
    std::uint64_t lastSequence = 0; // sequence number of the last message sent
    /// Messages without an acknowledgement, by sequence number: recipient, and numbers of claims.
    std::map<std::uint64_t, std::pair<EntryId, std::vector<std::uint64_t>>> unacknowledgedMessages;
    std::map<EntryRun, std::map<RequestId, Time>> mirroredClaims; // by sender; time of receipt
    std::set<EntryRun> closedRuns; // runs whose log this run has closed or is closing

    // Removal of logs that are older than the retention period.
    std::map<EntryRun, std::pair<Time, bool>> formerRuns; // time of the last recovery; dead or not
    std::deque<std::pair<std::string, Version>> segmentsToRemove; // keys and versions
    std::optional<Time> startedAt; // time of the first expire()
    bool olderLogsListed = false; // logs of older runs of this entry process are listed or removed
};

} // namespace monsoonledge
