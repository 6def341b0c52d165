// Evidence of crashes: how certain it is that a task has crashed the worker that was lost shortly
// after its start, and what follows for the next start of the task.
//
// The functions take plain values and keep no state. The losses of a task are kept in the record of
// its job (StartLoss), so that a successor of the coordinator reaches the same decision.
#pragma once

#include "jobs/jobs.h"

#include <vector>

namespace monsoonledge {

/// How certain it is that a loss was a crash that its task has caused.
enum class CrashCertainty {
    None, // the loss has another explanation, or none is needed
    Possible, // one of several possible causes
    Likely, // nothing else explains it, but the start is not known to have begun
    Proven, // the run had begun, and the worker ended right after it
};

/// Points of a loss. A task is given up at CrashPointLimit points: after two proven crashes or four
/// likely ones.
constexpr int PossibleCrashPoints = 1;
constexpr int LikelyCrashPoints = 2;
constexpr int ProvenCrashPoints = 4;
constexpr int CrashPointLimit = 8;
/// Losses with points after which a task is given up in any case: its next start would be the sixth
/// one, which breaks BUDGET.
constexpr int MaxSuspectLosses = 5;
/// Losses that are kept for a task; the oldest one is dropped.
constexpr std::size_t MaxKeptLosses = 8;

/// When the next process began to run that has the id or the address of a lost worker, relative to
/// the start order. Both times are of time-of-day clocks of different hosts.
enum class NextBirth {
    Unknown, // not stated, in the future, or not a Unix time in ms
    BeforeOrder, // the order cannot have reached the lost worker
    RightAfter, // the worker ended between the start order and that moment
    Later, // the worker may have ended long after the start
};
/// `window`: how long after the order a birth shows that the worker ended right after it.
NextBirth classifyBirth(WorkerIncarnation next, WallMilliseconds orderedAt, Duration window,
                        WallMilliseconds now);

/// Workers of one rack or failure domain around the moment of a loss.
struct LossSurroundings
{
    int workers = 0; // others that are known there
    int lost = 0; // those of them that were lost within moments of it
};
/// True if so many workers were lost with this one that the place explains the loss.
bool isCorrelated(const LossSurroundings &rack, const LossSurroundings &domain);

struct CrashVerdict
{
    CrashCertainty certainty = CrashCertainty::None;
    const char *evidence = ""; // name of what decided, for logs
};
/// `earlier` points to the losses of the same task before this one.
CrashVerdict assessLoss(const StartLoss &loss, const StartLoss *earlier, std::size_t earlierCount);

/// What follows from the losses of a task for its next start.
enum class CrashAction {
    StartAtOnce,
    StartIsolated, // apart from other unproven starts
    Delay, // isolated, and after a pause in which evidence may still arrive
    GiveUp, // fail the job
};
const char *crashActionName(CrashAction action);

/// The sum of points of a task's losses. `crashes` is the number of proven ones, which may include
/// ones that are not kept as losses.
int crashPoints(int crashes, const std::vector<StartLoss> &losses);
CrashAction decideNextStart(int crashes, const std::vector<StartLoss> &losses);

} // namespace monsoonledge
