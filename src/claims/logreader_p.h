// Reads the claim logs of former owners, and closes those of dead runs.
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
        std::vector<RequestId> claims; // of the units asked for, with repetitions
        UnitMask incomplete = 0; // units for which claims of former owners may be missing
    };
    using Done = std::function<void(const Result &, Time now)>;

    LogReader(const ClaimSettings &settings, StorePort &store, TimerPort &timers, LogHook log);

    /// Reads what the run and the runs named in its notes know about the units, one call at a time.
    /// `close`: the run is dead; its log is closed first, so that a late write of it fails. Store
    /// errors are retried without end.
    void read(const EntryRun &run, bool close, UnitMask units, Done done);
    bool isBusy() const { return static_cast<bool>(done_); }

private:
    void next(Time now);
    void list(Time now);
    void onListed(const StoreListing &listing, Time now);
    void close(const std::string &key, Version version, const Segment &last);
    void readSegment(Time now);
    void onSegment(const StoreValue &value, Time now);
    void addWork(const EntryRun &run, UnitMask units);
    void finishRun(Time now);
    void retry();

    const ClaimSettings &settings_;
    StorePort &store_;
    TimerPort &timers_;
    LogHook log_;
    Done done_;
    Result result_;
    std::deque<std::pair<EntryRun, UnitMask>> work_;
    std::map<EntryRun, UnitMask> visited_;
    bool mustClose_ = false; // concerns the first run only
    bool first_ = true;
    std::vector<std::string> keys_; // segments of the present run that are not read yet
    bool last_ = true; // the next one is the last segment
    std::vector<UnitNote> notes_; // of the present run
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoonledge
