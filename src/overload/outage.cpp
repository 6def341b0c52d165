#include "overload/outage.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr double WorthlessFactor = 3; // multiple of the objective after which a result is worthless
constexpr double MaxUsefulSeconds = 3600; // longer times make no difference to the wait
constexpr std::int64_t Repetitions = 4; // of a submission, by the clients
constexpr std::int64_t MaxWait = 30; // in seconds, with the spread
constexpr std::int64_t SpreadDivisor = 4; // the spread is this part of the wait, to either side
// The longest wait in seconds whose spread stays within the limit.
constexpr std::int64_t MaxMeanWait = MaxWait * SpreadDivisor / (SpreadDivisor + 1);

bool keepsItsValue(const JobSpec &job)
{
    return job.occurrences > 0
           || std::any_of(job.steps.begin(), job.steps.end(),
                          [](const StepSpec &step) { return step.longRunning; });
}

} // namespace

OutageTerms outageTermsOf(const JobSpec &job, const QueueTerms &terms)
{
    if (keepsItsValue(job))
        return {};
    const double path = toMilliseconds(criticalPath(job)) / 1000;
    const double objective = terms.slackFactor * path + toMilliseconds(terms.targetLatency) / 1000;
    const double useful = std::clamp(WorthlessFactor * objective - path, 0.0, MaxUsefulSeconds);
    return {std::chrono::duration_cast<Duration>(std::chrono::duration<double>(useful))};
}

int outageRetryAfter(Duration outage, const OutageTerms &terms, const JobId &job)
{
    const std::int64_t lasted = outage / seconds(1);
    const std::int64_t useful = terms.usefulFor ? *terms.usefulFor / seconds(1) : MaxWait;
    const std::int64_t longest =
            terms.usefulFor ? std::clamp<std::int64_t>(useful / Repetitions, 1, MaxMeanWait)
                            : MaxMeanWait;
    const std::int64_t mean = std::clamp<std::int64_t>(lasted, 1, longest);
    const std::int64_t below = mean / SpreadDivisor;
    const std::int64_t above = std::max<std::int64_t>(below, 1);
    const std::uint64_t hash = stableHash(job.str(), static_cast<std::uint64_t>(lasted));
    const auto choices = static_cast<std::uint64_t>(below + above + 1);
    const std::int64_t wait = mean - below + static_cast<std::int64_t>(hash % choices);
    const std::int64_t limit = std::clamp<std::int64_t>(useful, 1, MaxWait);
    return static_cast<int>(std::min(wait, limit));
}

} // namespace monsoonledge
