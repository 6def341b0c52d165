#include "scheduling/crashevidence_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

// Tolerated difference between the time-of-day clocks of two hosts.
constexpr std::uint64_t ClockToleranceMs = 500;
// A smaller incarnation is a counter or a time in another unit: 2001 in Unix time.
constexpr std::uint64_t MinBirthMs = 1000000000000;
// A loss is explained by its rack or failure domain if at least this many other workers there, and
// this share of them, were lost with it.
constexpr int MinLostInRack = 2;
constexpr int MinLostInDomain = 3;
constexpr int LostShareDivisor = 4; // at least a quarter of the others

bool mayHaveBegun(const StartLoss &loss)
{
    return loss.isConfirmed || loss.wasReachable;
}

/// The loss of a worker that has fallen silent after the start and whose end is certain or likely,
/// but not its moment.
CrashVerdict assessSilent(const StartLoss &loss, const StartLoss *earlier, std::size_t earlierCount)
{
    // Accidents repeat in one place. Losses in different places are independent of each other,
    // unless the task causes them.
    const bool isInNewPlace =
            std::none_of(earlier, earlier + earlierCount, [&](const StartLoss &other) {
                return other.place == loss.place && !other.isCorrelated;
            });
    const bool isSameWorker =
            std::any_of(earlier, earlier + earlierCount, [&](const StartLoss &other) {
                return other.worker == loss.worker && other.incarnation == loss.incarnation;
            });
    if (isSameWorker)
        return {CrashCertainty::None, "same-worker"};
    if (isInNewPlace)
        return {CrashCertainty::Likely, "lost-alone-in-another-place"};
    return {CrashCertainty::Possible, "lost-alone"};
}

/// The points that losses of workers which may still exist would get if the worst became known.
int pendingPoints(const std::vector<StartLoss> &losses)
{
    int points = 0;
    for (const StartLoss &loss : losses) {
        const bool isPending = loss.end == LossEnd::Unknown && loss.isOnlySuspect
                               && !loss.isCorrelated && mayHaveBegun(loss);
        if (isPending)
            points += loss.isConfirmed ? ProvenCrashPoints : LikelyCrashPoints;
    }
    return points;
}

} // namespace

NextBirth classifyBirth(WorkerIncarnation next, WallMilliseconds orderedAt, Duration window,
                        WallMilliseconds now)
{
    const bool isTime = next.value >= MinBirthMs && orderedAt.value >= MinBirthMs
                        && next.value <= now.value + ClockToleranceMs;
    if (!isTime)
        return NextBirth::Unknown;
    if (next.value + ClockToleranceMs < orderedAt.value)
        return NextBirth::BeforeOrder;
    const auto windowMs = static_cast<std::uint64_t>(wholeMilliseconds(window));
    return next.value <= orderedAt.value + windowMs ? NextBirth::RightAfter : NextBirth::Later;
}

bool isCorrelated(const LossSurroundings &rack, const LossSurroundings &domain)
{
    return (rack.lost >= MinLostInRack && rack.lost * LostShareDivisor >= rack.workers)
           || (domain.lost >= MinLostInDomain && domain.lost * LostShareDivisor >= domain.workers);
}

CrashVerdict assessLoss(const StartLoss &loss, const StartLoss *earlier, std::size_t earlierCount)
{
    switch (loss.end) {
    case LossEnd::Unknown:
        return {CrashCertainty::None, "unreachable"};
    case LossEnd::BeforeOrder:
        return {CrashCertainty::None, "ended-before-start"};
    case LossEnd::Removed:
    case LossEnd::Later:
        if (!loss.isOnlySuspect)
            return {CrashCertainty::None, "several-suspects"};
        if (loss.isCorrelated)
            return {CrashCertainty::None, "lost-with-its-place"};
        return mayHaveBegun(loss) ? assessSilent(loss, earlier, earlierCount)
                                  : CrashVerdict{CrashCertainty::None, "start-not-received"};
    case LossEnd::RightAfter:
        break;
    }
    if (!mayHaveBegun(loss))
        return {CrashCertainty::None, "start-not-received"};
    if (!loss.isOnlySuspect)
        return {CrashCertainty::Possible, "several-suspects"};
    if (loss.isCorrelated)
        return {CrashCertainty::Possible, "lost-with-its-place"};
    return loss.isConfirmed ? CrashVerdict{CrashCertainty::Proven, "ended-after-confirmed-start"}
                            : CrashVerdict{CrashCertainty::Likely, "ended-after-unanswered-start"};
}

const char *crashActionName(CrashAction action)
{
    switch (action) {
    case CrashAction::StartAtOnce:
        return "start-at-once";
    case CrashAction::StartIsolated:
        return "start-isolated";
    case CrashAction::Delay:
        return "delay";
    case CrashAction::GiveUp:
        break;
    }
    return "give-up";
}

int crashPoints(int crashes, const std::vector<StartLoss> &losses)
{
    int points = ProvenCrashPoints * crashes;
    for (std::size_t i = 0; i < losses.size(); ++i) {
        switch (assessLoss(losses[i], losses.data(), i).certainty) {
        case CrashCertainty::None:
        case CrashCertainty::Proven: // counted in `crashes`
            break;
        case CrashCertainty::Possible:
            points += PossibleCrashPoints;
            break;
        case CrashCertainty::Likely:
            points += LikelyCrashPoints;
            break;
        }
    }
    return points;
}

CrashAction decideNextStart(int crashes, const std::vector<StartLoss> &losses)
{
    if (losses.empty() && crashes == 0)
        return CrashAction::StartAtOnce;
    int suspectLosses = 0;
    for (std::size_t i = 0; i < losses.size(); ++i)
        suspectLosses += assessLoss(losses[i], losses.data(), i).certainty != CrashCertainty::None;
    const int points = crashPoints(crashes, losses);
    if (suspectLosses >= MaxSuspectLosses || points >= CrashPointLimit)
        return CrashAction::GiveUp;
    // Starts wait for evidence only if it could fail the job.
    const bool isUndecided =
            points + pendingPoints(losses) >= CrashPointLimit && pendingPoints({losses.back()}) > 0;
    return isUndecided ? CrashAction::Delay : CrashAction::StartIsolated;
}

} // namespace monsoonledge
