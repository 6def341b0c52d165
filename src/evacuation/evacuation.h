// Evacuation of failure domains: which domains an operator has closed, and which runs to move off
// them now. No I/O, no clock, no access to the state of the scheduler.
//
// Sections:
//   [1] Closed domains
//   [2] Moves
#pragma once

#include "jobs/jobs.h"
#include "ports/ports.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoonledge {

// [1] Closed domains

/// A key by which an operator closes a failure domain, as read from the store. While the key exists
/// no task may be started in the domain.
struct EvacuationRequest
{
    std::string key; // in the store
    DomainId domain; // that the key names; empty: the key names none
    bool isReadable = true; // false: the key or its value is malformed
    bool isRemoved = false; // the key is gone: the request has ended
    std::uint64_t revision = 0; // of the store, of this change of the key
};

/// The failure domains that are closed, by the requests seen so far.
class ClosedDomains
{
public:
    explicit ClosedDomains(LogHook log);

    /// Replaces all requests by those of a complete load. Returns true if the set has changed.
    bool replace(const std::vector<EvacuationRequest> &requests, Time now);
    /// Applies changes in their order. A change that is older than what is known of its domain is
    /// left out: the store may deliver it again after a load. Returns true if the set has changed.
    bool apply(const std::vector<EvacuationRequest> &changes, Time now);

    const std::set<DomainId> &domains() const { return domains_; }

private:
    struct Request
    {
        std::uint64_t revision = 0;
        Time seenAt{}; // when this process learnt of it
    };
    void open(const DomainId &domain, Time now);
    void close(const EvacuationRequest &request, Time now);
    void reportUnreadable(const EvacuationRequest &request);

    LogHook log_;
    std::map<DomainId, Request> requests_;
    std::set<DomainId> domains_; // of requests_
    std::map<std::string, std::uint64_t> unreadable_; // revision of keys that were logged as such
};

// [2] Moves

/// What a run needs of a worker.
struct MoveNeed
{
    ServiceId service;
    std::int64_t cpu = 0; // millicores
    std::int64_t memory = 0; // MiB
    int accelerators = 0;
    std::string requirement; // label that the worker must have; empty: none
    bool bestEffort = false; // uses idle processors only, and reserves none
};

/// A worker in an open domain that accepts tasks.
struct MoveTarget
{
    ServiceId service;
    std::int64_t totalCpu = 0; // millicores that the worker offers
    std::int64_t cpu = 0; // millicores that are not reserved
    std::int64_t idleCpu = 0; // millicores that best-effort tasks can expect to use
    std::int64_t memory = 0; // MiB not reserved
    int accelerators = 0; // not reserved
    std::vector<std::string> labels;
};

/// A run in a closed domain that can be started again elsewhere.
struct MovableRun
{
    TaskRef task;
    MoveNeed need;
    bool longRunning = false;
    bool isWorking = false; // by a recent report
    bool isSpread = false; // its step limits the tasks on one worker: moved one at a time
    Duration remaining{}; // until it ends by itself; not used for long-running ones
    int maxUnavailable = 0; // of its step; 0: no limit
    int unavailable = 0; // tasks of its step that are not working, for any cause, itself included
};

struct MoveInput
{
    std::vector<MoveTarget> targets;
    std::vector<MoveNeed> claims; // of stopped runs that start again first
    std::vector<MovableRun> runs;
};

/// A run that ends by itself within this time is not moved: a restart gains less than it costs.
constexpr Duration MinRemainingToMove = seconds(3);

/// Share of the open domains' processors that moves of long-running runs leave free. Shorter work
/// needs room there too, and these runs would hold it for good while they work where they are.
constexpr double MinFreeShare = 0.1;

/// Returns the tasks whose runs to stop now, cheapest first, at most `maxMoves`. A run is chosen
/// only if an open domain has room for it beside the claims and the runs chosen before it, and if
/// its step then has at most `maxUnavailable` tasks that are not working.
std::vector<TaskRef> chooseMoves(MoveInput input, std::size_t maxMoves);

} // namespace monsoonledge
