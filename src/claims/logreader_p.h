// Reads the claim logs of former owners and closes the logs of dead runs.
#pragma once

#include "claims/claims.h"
#include "claims/segment_p.h"

#include <deque>
#include <functional>
#include <map>

namespace monsoonledge {

class LogReader
{
public:
    struct Result
    {
        std::vector<RequestId> claims; // of the requested units; may hold duplicates
        UnitMask incomplete = 0; // units for which claims of former owners may be missing
    };
    using Done = std::function<void(const Result &, Time now)>;

    LogReader(const ClaimSettings &settings, StorePort &store, TimerPort &timers, LogHook log);

    /// Reads the claims of the units from the log of a run, and from the logs of earlier owners
    /// that its ownership records name. Store calls are made one at a time, and failed ones are
    /// repeated without a limit. Must not be called while isBusy().
    /// `close`: the run is dead; its log is closed first, so that its late writes fail.
    void read(const EntryRun &run, bool close, UnitMask units, Done done);
    bool isBusy() const { return static_cast<bool>(done_); }

private:
    void startNextRun(Time now);
    void listSegments(Time now);
    void onListed(const StoreListing &listing, Time now);
    void closeLog(const std::string &key, Version version, const Segment &last);
    void readSegment(Time now);
    void onSegment(const StoreValue &value, Time now);
    void queueRun(const EntryRun &run, UnitMask units);
    void finishRun(Time now);
    void retry();

    const ClaimSettings &settings_;
    StorePort &store_;
    TimerPort &timers_;
    LogHook log_;
    Done done_;
    Result result_;
    std::deque<std::pair<EntryRun, UnitMask>> runsToRead_; // the front is the current one
    std::map<EntryRun, UnitMask> visited_; // units for which a run was read or is in runsToRead_
    bool mustClose_ = false; // only the log of the first run is closed
    bool readingFirstRun_ = true;
    std::vector<std::string> unreadKeys_; // segments of the current run that are still to be read
    bool atLastSegment_ = true; // the next segment to be read is the last one of the log
    std::vector<UnitOwnership> ownerships_; // ownership records of the current run
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoonledge
