// State of a ClaimLog.
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
        Writing, // waits to be recorded
        Running,
        Finished,
        Unknown, // known from the log or the messages of a former owner
    };
    struct Entry
    {
        State state = State::Writing;
        int unit = 0;
        std::uint64_t number = 0; // of the pending claim
        Time deadline{};
        TimerId timer = 0;
        ClaimDone done; // while Writing
        bool answerKnown = false;
        Answer answer;
        Time endedAt{}; // for Finished and Unknown
        std::vector<std::function<void(const Answer &, Time now)>> waiters;
    };
    struct Recovery
    {
        int unit = 0;
        EntryRun former;
        bool released = true;
        bool claimsKnown = true;
        std::function<void(Time now)> ready;
    };
    struct Barrier // ids of a unit whose former claims are not all known
    {
        Time until{};
        std::uint64_t issued = 0; // ids issued by this run after this number are safe
    };

    Private(ClaimLog *claimLog, ClaimSettings claimSettings, StorePort &storePort,
            TimerPort &timerPort, LogHook logHook);

    /// Runs the action in the next pass of the loop, unless the ClaimLog is gone by then.
    void soon(std::function<void(Time now)> action);
    void log(LogLevel level, const char *event, const std::string &message) const;

    void onRecorded(const std::vector<std::pair<std::uint64_t, PendingClaim>> &claims, Time now);
    void onClosed(Time now);
    void onUnreachable(Time now);
    void onReachable(Time now);
    void leavePeerMode();
    void settle(const RequestId &id, std::uint64_t number, bool recorded, Time now);
    void end(const RequestId &id, const Answer &answer, bool keep, Time now);
    void remember(const RequestId &id, Entry &entry, Time now);
    bool isBlocked(const RequestId &id, int unit, Time now) const;

    void mirror(const EntryId &to, const std::vector<std::uint64_t> &numbers);
    void checkMirrored(std::uint64_t number, Time now);

    void startRecovery();
    void finishRecovery(const std::vector<Recovery> &batch, const LogReader::Result &result,
                        Time now);
    void forget(std::deque<std::pair<Time, RequestId>> &list, Time now);
    void expireMirrored(Time now);
    void cleanUp(Time now);
    void listForRemoval(const EntryRun &run, bool olderRunsOfEntry);

    ClaimLog *q;
    ClaimSettings settings;
    StorePort &store;
    TimerPort &timers;
    LogHook logHook;
    LogWriter writer;
    LogReader reader;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    ClaimMode mode = ClaimMode::Store;
    bool fenced = false;
    std::unordered_map<RequestId, Entry> entries;
    std::array<int, UnitCount> active{}; // entries that are Writing or Running
    std::deque<std::pair<Time, RequestId>> ended; // in the order of their end
    std::deque<std::pair<Time, RequestId>> endedElsewhere; // claims of former owners, likewise
    std::deque<RequestId> bodies; // finished with a remembered answer
    std::size_t bodyBytes = 0;

    UnitMask ready = 0;
    UnitMask closing = 0; // closeUnit() was called
    std::array<Barrier, UnitCount> barriers;
    std::deque<Recovery> recoveries; // not begun
    std::array<int, UnitCount> recovering{}; // recoveries not finished

    std::uint64_t issued = 0;

    // Peer mode.
    std::uint64_t lastMessage = 0;
    std::map<std::uint64_t, std::pair<EntryId, std::vector<std::uint64_t>>> messages; // not acked
    std::map<EntryRun, std::map<RequestId, Time>> mirrored; // claims of other runs, time of receipt
    std::set<EntryRun> closedRuns; // runs whose log this run has closed or is closing

    // Removal of logs that are older than the retention period.
    std::map<EntryRun, std::pair<Time, bool>> formerRuns; // last recovery; bool: dead
    std::deque<std::pair<std::string, Version>> removals;
    std::optional<Time> startedAt;
    bool ownLogsListed = false;
};

} // namespace monsoonledge
