// The decision whether an entry process admits a job.
#include "overload/overload.h"

#include <algorithm>
#include <cmath>

namespace monsoonledge {

namespace {

// Multiples of the time after which a result is worthless at which no job is admitted, with and
// without refusal of the excess. The delay of work that can be on time holds for the last of it:
// the scheduler starts jobs with little work first, and part of the others becomes late and is
// passed.
constexpr double CertainlyWorthless = 10;
constexpr double CertainlyWorthlessExcess = 2;

/// The duration of the longest chain of steps, with a default for steps without an estimate.
double criticalPathSeconds(const JobSpec &job)
{
    JobSpec counted;
    counted.steps = job.steps;
    for (StepSpec &step : counted.steps) {
        if (step.estimate <= Duration::zero())
            step.estimate = countedDuration(step.estimate);
    }
    return toMilliseconds(criticalPath(counted)) / 1000;
}

bool hasLongRunningStep(const JobSpec &job)
{
    return std::any_of(job.steps.begin(), job.steps.end(),
                       [](const StepSpec &step) { return step.longRunning; });
}

/// True if a worker of one of the shapes can run a task of the step. Best-effort tasks reserve no
/// processors.
bool canRun(const std::vector<WorkerShape> &shapes, const StepSpec &step)
{
    return std::any_of(shapes.begin(), shapes.end(), [&](const WorkerShape &shape) {
        return shape.label == step.requirement
               && (step.bestEffort || shape.cpu >= static_cast<std::int64_t>(step.cpu.value))
               && shape.memory >= static_cast<std::int64_t>(step.memory.value)
               && shape.accelerators >= step.accelerators;
    });
}

bool canRunAll(const ServiceLoad &service, const JobSpec &job)
{
    if (service.shapes.empty()) // not known
        return true;
    return std::all_of(job.steps.begin(), job.steps.end(),
                       [&](const StepSpec &step) { return canRun(service.shapes, step); });
}

/// True if all tasks that the job can start at once find free processors.
bool hasFreeCapacity(const ServiceLoad &service, const JobSpec &job)
{
    std::int64_t cpu = 0;
    std::int64_t bestEffortCpu = 0;
    for (const StepSpec &step : job.steps) {
        if (!step.after.empty())
            continue;
        const auto wanted = static_cast<std::int64_t>(step.cpu.value) * step.count;
        (step.bestEffort ? bestEffortCpu : cpu) += wanted;
    }
    return cpu <= std::max(service.free, std::int64_t{0})
           && bestEffortCpu <= std::max(service.bestEffortFree, std::int64_t{0});
}

struct Delays
{
    Duration onTime{};
    Duration late{};
};

/// The delays of a new job: the longest of those of its kinds of steps.
Delays delaysOf(const ServiceLoad &service, const JobSpec &job)
{
    const PriorityLoad *load = nullptr;
    for (const PriorityLoad &candidate : service.priorities) {
        if (candidate.priority <= job.terms.priority)
            load = &candidate;
    }
    Delays delays;
    if (!load)
        return delays;
    for (const StepSpec &step : job.steps) {
        delays.onTime =
                std::max(delays.onTime, step.bestEffort ? load->bestEffortDelay : load->delay);
        delays.late = std::max(delays.late,
                               step.bestEffort ? load->bestEffortLateDelay : load->lateDelay);
    }
    return delays;
}

} // namespace

const char *admissionReasonName(AdmissionReason reason)
{
    switch (reason) {
    case AdmissionReason::NoReport:
        return "no-report";
    case AdmissionReason::NeverRefused:
        return "never-refused";
    case AdmissionReason::MaybeStored:
        return "maybe-stored";
    case AdmissionReason::FreeCapacity:
        return "free-capacity";
    case AdmissionReason::BelowShare:
        return "below-share";
    case AdmissionReason::InTime:
        return "in-time";
    case AdmissionReason::Worthless:
        return "worthless";
    case AdmissionReason::OverShare:
        return "over-share";
    case AdmissionReason::NoSuchWorker:
        return "no-such-worker";
    }
    return "unknown";
}

AdmissionDecision AdmissionPolicy::decide(const JobSpec &job, const AdmissionReport *report,
                                          Duration reportAge, Time now)
{
    return decideWith(queues_[job.queue], job, report, reportAge, now);
}

AdmissionDecision AdmissionPolicy::preview(const JobSpec &job, const AdmissionReport *report,
                                           Duration reportAge, Time now) const
{
    const auto found = queues_.find(job.queue);
    QueueState state = found == queues_.end() ? QueueState() : found->second;
    AdmissionDecision decision = decideWith(state, job, report, reportAge, now);
    const bool isDecidedWithoutDelay = decision.reason == AdmissionReason::NeverRefused
                                       || decision.reason == AdmissionReason::BelowShare;
    if (isDecidedWithoutDelay)
        decision.delay = delaysOf(*report->find(job.terms.service), job).onTime;
    return decision;
}

AdmissionDecision AdmissionPolicy::decideWith(QueueState &state, const JobSpec &job,
                                              const AdmissionReport *report, Duration reportAge,
                                              Time now) const
{
    AdmissionDecision decision;
    if (!report || reportAge > settings_.maxReportAge)
        return decision;
    const ServiceLoad *service = report->find(job.terms.service);
    if (!service || service->total == 0) // nothing to estimate a delay from
        return decision;
    decision.free = service->free;
    decision.total = service->total;
    decision.reportAge = reportAge;
    const auto admit = [&decision](AdmissionReason reason) {
        decision.reason = reason;
        return decision;
    };
    if (hasLongRunningStep(job) || job.occurrences > 0)
        return admit(AdmissionReason::NeverRefused);
    if (mayBeStored(job.id, now))
        return admit(AdmissionReason::MaybeStored);
    if (!canRunAll(*service, job)) {
        decision.isAdmitted = false;
        decision.reason = AdmissionReason::NoSuchWorker;
        decision.retryAfter = spreadRetryAfter(job.id, settings_.maxRetryAfter);
        return decision;
    }
    if (hasFreeCapacity(*service, job))
        return admit(AdmissionReason::FreeCapacity);
    const QueueLoad *queue = report->find(job.queue);
    if (queue && queue->isBelowShare)
        return admit(AdmissionReason::BelowShare);
    return decideByDelay(state, job, *service, queue ? *queue : QueueLoad(), decision, now);
}

/// Compares the time at which the job is expected to be done with the time after which its result
/// is worthless. The number of its tasks does not matter, only its longest chain of steps, which
/// the objective grows with: large jobs are refused no more often than small ones.
AdmissionDecision AdmissionPolicy::decideByDelay(QueueState &state, const JobSpec &job,
                                                 const ServiceLoad &service, const QueueLoad &queue,
                                                 AdmissionDecision decision, Time now) const
{
    const double path = criticalPathSeconds(job) * queue.durationFactor;
    const double objective =
            path * job.terms.slackFactor + toMilliseconds(job.terms.targetLatency) / 1000;
    const double limit = objective * settings_.worthlessFactor;
    const Delays delays = delaysOf(service, job);
    const double onTimeDelay = toMilliseconds(delays.onTime) / 1000;
    const double shareDelay = toMilliseconds(queue.shareDelay) / 1000;
    const Duration measured = std::max(delays.onTime, queue.shareDelay);
    if (state.isRefusing
        && toMilliseconds(measured) <= toMilliseconds(state.beganAt) * settings_.endShare)
        state.isRefusing = false;
    const auto known = remembered_.find(job.id);
    const bool wasRefused =
            known != remembered_.end() && known->second.retryAfter > Duration::zero();
    const bool hasWaited = wasRefused && now >= known->second.mayReturnAt;
    // The objective counts from the first submission. Callers that have waited come before new
    // ones: the lower limit at which refusal ends does not apply to them.
    const double lost = wasRefused ? toMilliseconds(now - known->second.firstRefusedAt) / 1000 : 0;
    // A job that will not be on time is served after all that can be.
    const bool isLate = lost + onTimeDelay + path > objective;
    const double ownDelay = toMilliseconds(isLate ? delays.late : delays.onTime) / 1000;
    const double delay = std::max(ownDelay, shareDelay);
    const double share = state.isRefusing && !hasWaited ? settings_.endShare : 1;

    // Jobs with longer chains of steps are refused more often, since more of them fail to be on
    // time, but by a factor that keeps large jobs below twice the rate of the rest.
    const double mean = state.meanPath > 0 ? state.meanPath : path;
    const double weight = std::clamp(path / std::max(mean, 0.001), 0.5, 1.2);
    state.meanPath = mean + 0.05 * (path - mean);
    decision.delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(delay));
    const bool isInTime = lost + delay + path <= limit * share;
    // If it can be on time at all, only the excess is refused: the report is a second or two old,
    // and refusing every job until the next one would leave processors idle.
    const double certainty =
            settings_.refusesExcess ? CertainlyWorthlessExcess : CertainlyWorthless;
    const bool mayBeInTime =
            lost + path < objective
            && lost + std::max(onTimeDelay, shareDelay) + path <= limit * certainty;
    const bool isRefusedExcess =
            settings_.refusesExcess
            && isExcess(job.id, 1 - (1 - queue.admitShare) * weight, hasWaited, now);
    if (isInTime || (mayBeInTime && !isRefusedExcess)) {
        decision.reason = AdmissionReason::InTime;
        return decision;
    }
    if (!isInTime && !state.isRefusing && lost == 0) {
        state.isRefusing = true;
        state.beganAt = measured;
    }
    decision.isAdmitted = false;
    decision.reason =
            shareDelay > ownDelay ? AdmissionReason::OverShare : AdmissionReason::Worthless;
    const double wait = delay + path - limit * settings_.endShare;
    decision.retryAfter =
            spreadRetryAfter(job.id, std::chrono::duration_cast<Duration>(
                                             std::chrono::duration<double>(std::max(wait, 0.0))));
    return decision;
}

/// True for jobs beyond the share that there is capacity for. They are chosen by a hash of the
/// job's id and the time, so that a repeated submission can be admitted. Callers that have waited
/// as told are chosen half as often.
bool AdmissionPolicy::isExcess(const JobId &job, double admitShare, bool hasWaited, Time now) const
{
    if (admitShare >= 1)
        return false;
    const auto second = static_cast<std::uint64_t>(now.time_since_epoch() / seconds(1));
    const double place = static_cast<double>(stableHash(job.str(), second) % 1000) / 1000;
    return place >= (hasWaited ? (1 + admitShare) / 2 : admitShare);
}

/// The wait in whole seconds, at least 1, spread by the job's id up to one second more than twice
/// its length: short waits need the most room to keep callers apart.
Duration AdmissionPolicy::spreadRetryAfter(const JobId &job, Duration wait) const
{
    const double longest = toMilliseconds(settings_.maxRetryAfter) / 1000;
    const double shortest =
            std::clamp(std::ceil(toMilliseconds(wait) / 1000), 1.0, std::max(longest / 2, 1.0));
    const auto spread = static_cast<std::uint64_t>(shortest) + 2;
    const std::uint64_t extra = stableHash(job.str()) % spread;
    const Duration spreadWait =
            seconds(static_cast<std::int64_t>(shortest) + static_cast<std::int64_t>(extra));
    return std::min(spreadWait, settings_.maxRetryAfter);
}

AdmissionPolicy::Remembered &AdmissionPolicy::remember(const JobId &job, Time now)
{
    while (!rememberedOrder_.empty()
           && (remembered_.size() >= settings_.maxRemembered
               || now - rememberedOrder_.front().first > settings_.memory)) {
        const JobId oldest = rememberedOrder_.front().second;
        rememberedOrder_.pop_front();
        const Time lastUsedAt = remembered_.at(oldest).lastUsedAt;
        const bool isInUse = now - lastUsedAt <= settings_.memory;
        if (isInUse && remembered_.size() < settings_.maxRemembered)
            rememberedOrder_.emplace_back(lastUsedAt, oldest);
        else
            remembered_.erase(oldest);
    }
    const auto inserted = remembered_.try_emplace(job);
    if (inserted.second)
        rememberedOrder_.emplace_back(now, job);
    inserted.first->second.lastUsedAt = now;
    return inserted.first->second;
}

void AdmissionPolicy::recordRefusal(const JobSpec &job, const AdmissionDecision &decision, Time now)
{
    Remembered &entry = remember(job.id, now);
    if (entry.retryAfter == Duration::zero())
        entry.firstRefusedAt = now;
    entry.retryAfter = decision.retryAfter;
    entry.mayReturnAt = now + decision.retryAfter;
    ++refusals_[{job.queue, decision.reason}];
}

bool AdmissionPolicy::mayBeStored(const JobId &job, Time now) const
{
    const auto known = remembered_.find(job);
    return known != remembered_.end() && known->second.attemptedAt
           && now - *known->second.attemptedAt < settings_.memory;
}

void AdmissionPolicy::recordAttempt(const JobId &job, Time now)
{
    remember(job, now).attemptedAt = now;
}

Duration AdmissionPolicy::retryAfter(const JobId &job) const
{
    const auto it = remembered_.find(job);
    return it == remembered_.end() ? Duration::zero() : it->second.retryAfter;
}

} // namespace monsoonledge
