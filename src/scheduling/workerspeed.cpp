// See workerspeed.h. The cost of a report is proportional to the number of runs in it; each run
// costs two look-ups and the median of at most MaxSamples rates.
#include "scheduling/workerspeed.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace monsoonledge {

namespace {

constexpr std::size_t MaxSamples = 32; // of a step or queue
constexpr Duration MaxSampleAge = seconds(5);
constexpr std::size_t MinSamples = 3; // on other workers
constexpr std::size_t MaxRequiredWorkers = 5;
/// Ratio of the median to the lower quantile above which runs differ too much among themselves.
constexpr double MaxSpread = 1.6;
/// Share of the step's rate in that of the queue from which on the two agree.
constexpr double AgreedShare = 0.7;

/// Progress is counted over intervals in which reports with whole percents are precise enough.
constexpr Duration MinInterval = milliseconds(250);
constexpr Duration MaxInterval = seconds(2);
constexpr double MinIntervalShare = 0.08; // of a run
/// Estimates of interference are too coarse for runs that are slowed down more than this.
constexpr double MinAllowedSpeed = 0.5;
constexpr double MaxSpeedChange = 0.1; // of the allowed speed within an interval

/// Expected progress of a run that is remembered, in shares of a run: what happened before a
/// change of the worker's speed loses its weight.
constexpr double MaxRememberedShare = 1.25;
constexpr Duration MaxEvidenceAge = seconds(5);
constexpr Duration EvidenceHalfLife = milliseconds(700); // of the weight of a run's evidence
constexpr Duration RecentEvidenceAge = milliseconds(1500);
constexpr double MinRunShare = 0.25; // expected progress of a run that counts as evidence
constexpr double MinTotalShare = 0.5; // of all runs of a worker together
/// Below and above which a worker becomes slow and recovers. The tasks of one step usually differ
/// by less than a quarter from each other.
constexpr double SlowRatio = 0.6;
constexpr double RecoveredRatio = 0.8;
constexpr int MinSlowRuns = 2;
constexpr int MinSlowRunsOfQueue = 4; // of different jobs, as the estimates of jobs may be wrong
constexpr double FarBehindRatio = 0.4; // of a run that others would have finished
constexpr double MinFactor = 0.05;
constexpr double MaxRunRatio = 1.25; // a short task must not hide that others are slow

constexpr Duration KeepFactor = seconds(3); // after the last evidence
constexpr Duration ReturnDuration = seconds(5); // of the factor to 1, after that
constexpr int MaxReturnFactor = 2; // after a worker was still slow when it was tried
constexpr Duration DropInterval = seconds(5);

double inSeconds(Duration duration)
{
    return toMilliseconds(duration) / 1000;
}

bool isSameTask(const TaskRef &a, const TaskRef &b)
{
    return a.index == b.index && a.step == b.step && a.occurrence == b.occurrence && a.job == b.job;
}

} // namespace

void WorkerSpeeds::RateSamples::add(std::uint64_t runKey, int worker, double rate, Time when)
{
    const Sample sample{runKey, worker, rate, when};
    const auto known = std::find_if(samples_.begin(), samples_.end(),
                                    [&](const Sample &other) { return other.runKey == runKey; });
    if (known != samples_.end()) {
        *known = sample;
    } else if (samples_.size() < MaxSamples) {
        samples_.push_back(sample);
    } else {
        samples_[next_] = sample;
        next_ = (next_ + 1) % MaxSamples;
    }
}

std::optional<double> WorkerSpeeds::RateSamples::typicalRate(int exceptWorker,
                                                             const std::vector<bool> &slowWorkers,
                                                             const SampleRequirement &demand,
                                                             Time now) const
{
    std::array<double, MaxSamples> rates{};
    std::array<int, MaxRequiredWorkers> sampledWorkers{};
    std::size_t count = 0;
    std::size_t workerCount = 0;
    for (const Sample &sample : samples_) {
        const auto number = static_cast<std::size_t>(sample.worker);
        if (sample.worker == exceptWorker || slowWorkers[number]
            || now - sample.when > MaxSampleAge)
            continue;
        rates.at(count++) = sample.rate;
        const auto end = sampledWorkers.begin() + static_cast<std::ptrdiff_t>(workerCount);
        if (workerCount < demand.workers
            && std::find(sampledWorkers.begin(), end, sample.worker) == end)
            sampledWorkers.at(workerCount++) = sample.worker;
    }
    if (count < MinSamples || workerCount < demand.workers)
        return std::nullopt;
    std::sort(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(count));
    const double median = rates.at(count / 2);
    const double lowerQuantile = rates.at(count / demand.quantile);
    if (median <= 0 || median > MaxSpread * lowerQuantile)
        return std::nullopt;
    return median;
}

WorkerSpeeds::Worker &WorkerSpeeds::workerOf(const WorkerId &id)
{
    Worker &worker = workers_[id];
    if (worker.number == 0) {
        worker.number = static_cast<int>(isSlow_.size());
        isSlow_.push_back(false);
    }
    return worker;
}

WorkerSpeeds::Group &WorkerSpeeds::stepGroup(const TaskRef &task, Time now)
{
    JobGroups &groups = jobs_[task.job];
    groups.usedAt = now;
    const auto step = static_cast<std::size_t>(task.step);
    if (groups.steps.size() <= step)
        groups.steps.resize(step + 1);
    return groups.steps[step];
}

const WorkerSpeeds::SampleRequirement WorkerSpeeds::OfStep{3, 4};
const WorkerSpeeds::SampleRequirement WorkerSpeeds::OfNarrowStep{1, 4};
const WorkerSpeeds::SampleRequirement WorkerSpeeds::OfQueue{MaxRequiredWorkers, 5};

/// What the progress of a run is compared with; workers that are known to be slow are left out. A
/// step whose other runs are on one or two workers counts only if the queue does not contradict it,
/// since these workers may be slow as well. The rates by the durations of runs are never too high,
/// because a run has ended some time before the report of its end.
WorkerSpeeds::Baseline WorkerSpeeds::baselineFor(int worker, const Group &step, const Group &queue,
                                                 Duration estimate, Time now) const
{
    const auto rateOf = [&](const RateSamples &samples, const SampleRequirement &demand) {
        return samples.typicalRate(worker, isSlow_, demand, now).value_or(0);
    };
    if (const double rate = rateOf(step.progress, OfStep); rate > 0)
        return {rate, true};
    const double byStep =
            std::max(rateOf(step.progress, OfNarrowStep), rateOf(step.total, OfNarrowStep));
    double byQueue = 0;
    if (estimate > Duration::zero())
        byQueue = std::max(rateOf(queue.progress, OfQueue), rateOf(queue.total, OfQueue))
                  / inSeconds(estimate);
    if (byStep <= 0)
        return {byQueue, false};
    // Either the tasks of this job are long, or the other workers are slow as well.
    const bool isContradictory = byStep < AgreedShare * byQueue;
    return {isContradictory ? 0 : byStep, true};
}

/// A comparison with the step, even one without a result, replaces those with the queue, and none
/// with the queue is added to it.
void WorkerSpeeds::useBaseline(RunEvidence &run, Baseline &baseline)
{
    if (run.isByStep && !baseline.isByStep)
        baseline.rate = 0;
    if (run.isByStep || !baseline.isByStep)
        return;
    run.isByStep = true;
    run.done = 0;
    run.expected = 0;
}

void WorkerSpeeds::dropOldJobs(Time now)
{
    if (now - jobsDroppedAt_ < DropInterval)
        return;
    jobsDroppedAt_ = now;
    for (auto it = jobs_.begin(); it != jobs_.end();)
        it = now - it->second.usedAt > MaxSampleAge ? jobs_.erase(it) : std::next(it);
}

/// The evidence of the run; begins it if the run is new.
WorkerSpeeds::RunEvidence &WorkerSpeeds::evidenceOf(Worker &worker, const TaskRef &task,
                                                    const RunProgress &progress)
{
    const auto known =
            std::find_if(worker.runs.begin(), worker.runs.end(), [&](const RunEvidence &run) {
                return run.run == progress.run && isSameTask(run.task, task);
            });
    if (known != worker.runs.end())
        return *known;
    RunEvidence run;
    run.key = ++lastRunKey_;
    run.task = task;
    run.run = progress.run;
    // A run that was confirmed by this report, or that resumed, was not at 0 percent at its start.
    // Neither is one whose evidence was dropped while its worker was silent.
    const bool isBegunAtZero = !progress.isResumed && progress.startedAt < progress.asOf
                               && progress.asOf - progress.startedAt <= MaxEvidenceAge;
    run.basePercent = isBegunAtZero ? 0 : progress.percent;
    run.baseTime = isBegunAtZero ? progress.startedAt : progress.asOf;
    run.baseSpeed = progress.allowedSpeed;
    run.when = progress.asOf;
    run.hadFullSpeed = isBegunAtZero;
    worker.runs.push_back(std::move(run));
    return worker.runs.back();
}

void WorkerSpeeds::noteProgress(const WorkerId &id, const TaskRef &task, const QueueId &queue,
                                const RunProgress &progress)
{
    Worker &worker = workerOf(id);
    RunEvidence &run = evidenceOf(worker, task, progress);
    run.seenAt = progress.asOf;
    const double change = std::abs(progress.allowedSpeed - run.baseSpeed);
    run.hadFullSpeed = run.hadFullSpeed && progress.allowedSpeed >= 1;
    const bool isComparable = progress.allowedSpeed >= MinAllowedSpeed && change <= MaxSpeedChange;
    if (isComparable && progress.percent > 0 && progress.percent < 100) {
        countProgress(worker, run, queue, progress);
        return;
    }
    if (isComparable && progress.percent == 0)
        return; // the run may be one that reports no progress
    run.basePercent = progress.percent;
    run.baseTime = progress.asOf;
    run.baseSpeed = progress.allowedSpeed;
}

/// Counts the progress since the last interval, if it is precise enough by now.
void WorkerSpeeds::countProgress(Worker &worker, RunEvidence &run, const QueueId &queue,
                                 const RunProgress &progress)
{
    const Duration elapsed = progress.asOf - run.baseTime;
    if (elapsed < MinInterval)
        return;
    const double allowedSeconds = inSeconds(elapsed) * progress.allowedSpeed;
    const double share = (progress.percent - run.basePercent) / 100.0;
    const double estimate = inSeconds(progress.estimate);
    Group &step = stepGroup(run.task, progress.asOf);
    Group &ofQueue = queues_[queue];
    Baseline baseline = baselineFor(worker.number, step, ofQueue, progress.estimate, progress.asOf);
    useBaseline(run, baseline);
    const double expected = baseline.rate * allowedSeconds;
    if (std::max(share, expected) < MinIntervalShare && elapsed < MaxInterval)
        return;
    if (share >= 0) { // otherwise the run has gone back to a checkpoint
        step.progress.add(run.key, worker.number, share / allowedSeconds, progress.asOf);
        if (estimate > 0)
            ofQueue.progress.add(run.key, worker.number, share / allowedSeconds * estimate,
                                 progress.asOf);
        // The interval goes on until there is something to compare it with.
        if (baseline.rate <= 0 && elapsed < MaxInterval)
            return;
    }
    run.basePercent = progress.percent;
    run.baseTime = progress.asOf;
    run.baseSpeed = progress.allowedSpeed;
    if (share < 0 || baseline.rate <= 0)
        return;
    run.done += std::min(share, expected * MaxRunRatio);
    run.expected += expected;
    if (run.expected > MaxRememberedShare) {
        run.done *= MaxRememberedShare / run.expected;
        run.expected = MaxRememberedShare;
    }
    run.when = progress.asOf;
    worker.evidenceAt = progress.asOf;
}

void WorkerSpeeds::noteEnd(const WorkerId &id, const TaskRef &task, const QueueId &queue,
                           const RunProgress &progress, Time lastReport)
{
    Worker &worker = workerOf(id);
    RunEvidence &run = evidenceOf(worker, task, progress);
    run.seenAt = progress.asOf;
    if (!run.hadFullSpeed || progress.allowedSpeed < 1 || progress.asOf <= progress.startedAt)
        return;
    const double shortest = inSeconds(lastReport - progress.startedAt);
    const double longest = inSeconds(progress.asOf - progress.startedAt);
    Group &step = stepGroup(task, progress.asOf);
    Group &ofQueue = queues_[queue];
    Baseline baseline = baselineFor(worker.number, step, ofQueue, progress.estimate, progress.asOf);
    step.total.add(run.key, worker.number, 1 / longest, progress.asOf);
    if (progress.estimate > Duration::zero())
        ofQueue.total.add(run.key, worker.number, inSeconds(progress.estimate) / longest,
                          progress.asOf);
    useBaseline(run, baseline);
    if (baseline.rate <= 0 || run.expected >= MinRunShare)
        return; // without a comparison, or counted by its progress
    run.done = 1;
    run.expected = std::max(1.0, baseline.rate * shortest);
    run.when = progress.asOf;
    worker.evidenceAt = progress.asOf;
}

/// Sums the recent evidence of the worker and drops the old one.
WorkerSpeeds::Evidence WorkerSpeeds::evidenceFor(Worker &worker, Time now)
{
    const auto isOld = [&](const RunEvidence &run) { return now - run.seenAt > MaxEvidenceAge; };
    worker.runs.erase(std::remove_if(worker.runs.begin(), worker.runs.end(), isOld),
                      worker.runs.end());
    Evidence sum;
    std::vector<const RunEvidence *> slowByQueue; // at most one run of each job
    for (const RunEvidence &run : worker.runs) {
        if (run.expected < MinRunShare || now - run.when > MaxEvidenceAge)
            continue;
        const double weight = std::exp2(-inSeconds(now - run.when) / inSeconds(EvidenceHalfLife));
        sum.done += weight * run.done;
        sum.expected += weight * run.expected;
        sum.share += run.expected;
        ++sum.summary.runs;
        sum.summary.lowestRun = std::min(sum.summary.lowestRun, run.ratio());
        sum.summary.isByStep = sum.summary.isByStep || run.isByStep;
        sum.hasNormalRun = sum.hasNormalRun
                           || (run.ratio() >= SlowRatio && now - run.when <= RecentEvidenceAge);
        if (run.ratio() >= SlowRatio)
            continue;
        const bool isCounted =
                !run.isByStep
                && std::any_of(slowByQueue.begin(), slowByQueue.end(),
                               [&](const auto *other) { return other->task.job == run.task.job; });
        if (!run.isByStep && !isCounted)
            slowByQueue.push_back(&run);
        sum.summary.slowRuns += isCounted ? 0 : 1;
        sum.isFarBehind = sum.isFarBehind
                          || (run.isByStep && run.expected >= 1 && run.ratio() <= FarBehindRatio);
        sum.hasSlowStepRun = sum.hasSlowStepRun || run.isByStep;
    }
    return sum;
}

bool WorkerSpeeds::isSlow(const Evidence &evidence)
{
    if (evidence.share < MinTotalShare || evidence.ratio() >= SlowRatio)
        return false;
    if (evidence.hasSlowStepRun)
        return evidence.summary.slowRuns >= MinSlowRuns || evidence.isFarBehind;
    // Jobs of one queue may differ, so that some are long: a slow worker has only slow runs.
    return evidence.summary.slowRuns >= MinSlowRunsOfQueue && !evidence.hasNormalRun;
}

double WorkerSpeeds::factorAt(const Worker &worker, Time now)
{
    if (worker.speedClass != SpeedClass::Slow)
        return 1;
    const Duration returning = now - worker.evidenceAt - KeepFactor * worker.returnFactor;
    const double share = inSeconds(returning) / inSeconds(ReturnDuration * worker.returnFactor);
    return worker.factor + (1 - worker.factor) * std::clamp(share, 0.0, 1.0);
}

void WorkerSpeeds::setClass(Worker &worker, SpeedClass speedClass)
{
    worker.speedClass = speedClass;
    isSlow_[static_cast<std::size_t>(worker.number)] = speedClass == SpeedClass::Slow;
}

std::optional<SpeedChange> WorkerSpeeds::update(const WorkerId &id, Time now)
{
    dropOldJobs(now);
    const auto it = workers_.find(id);
    if (it == workers_.end())
        return std::nullopt;
    Worker &worker = it->second;
    Evidence evidence = evidenceFor(worker, now);
    SpeedChange &change = evidence.summary;
    change.factor = std::clamp(evidence.ratio(), MinFactor, 1.0);
    const bool isEnough = evidence.share >= MinTotalShare;
    if (worker.speedClass != SpeedClass::Slow) {
        if (isSlow(evidence)) {
            worker.returnFactor = worker.speedClass == SpeedClass::Trial ? MaxReturnFactor : 1;
            setClass(worker, SpeedClass::Slow);
            worker.factor = change.factor;
            change.isSlow = true;
            return change;
        }
        if (worker.speedClass == SpeedClass::Trial && isEnough && evidence.ratio() >= SlowRatio)
            setClass(worker, SpeedClass::Normal);
        return std::nullopt;
    }
    if (isEnough && evidence.ratio() >= RecoveredRatio) {
        setClass(worker, SpeedClass::Normal);
        return change;
    }
    if (isEnough)
        worker.factor = change.factor;
    if (factorAt(worker, now) < 1)
        return std::nullopt;
    setClass(worker, SpeedClass::Trial);
    worker.runs.clear();
    return SpeedChange{};
}

WorkerSpeed WorkerSpeeds::speedOf(const WorkerId &id, Time now) const
{
    const auto it = workers_.find(id);
    if (it == workers_.end())
        return {id, 1, now, EstimateSource::Assumed};
    const Worker &worker = it->second;
    const bool isMeasured = worker.evidenceAt != Time{};
    return {id, factorAt(worker, now), isMeasured ? worker.evidenceAt : now,
            isMeasured ? EstimateSource::Measured : EstimateSource::Assumed};
}

double WorkerSpeeds::measuredFactor(const WorkerId &id) const
{
    const auto it = workers_.find(id);
    return it == workers_.end() || it->second.speedClass == SpeedClass::Normal ? 1
                                                                               : it->second.factor;
}

bool WorkerSpeeds::isOnTrial(const WorkerId &id, Time now) const
{
    const auto it = workers_.find(id);
    if (it == workers_.end())
        return false;
    const Worker &worker = it->second;
    return worker.speedClass == SpeedClass::Trial
           || (worker.speedClass == SpeedClass::Slow && now - worker.evidenceAt > KeepFactor);
}

void WorkerSpeeds::remove(const WorkerId &id)
{
    workers_.erase(id);
}

} // namespace monsoonledge
