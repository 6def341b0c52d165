// Interference of best-effort tasks with serving tasks on the same worker: how it is estimated, and
// how the scheduler limits it by placement, pacing and eviction.
//
// The decisions here are made for these load patterns:
// - Pairs of images that disturb each other: a best-effort task starts where it gets most work done
//   at a pace that keeps every serving task beside it under its tail-latency target.
// - Loads of serving tasks that swing within seconds: the pace follows the load that is expected
//   until the next decision.
// - Best-effort tasks that could only run at a very low pace where they are: they are evicted, and
//   continue from their checkpoints on another worker.
#include "scheduling/planpass_p.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>

namespace monsoonledge {

namespace {

/// Tail latency of a serving task without load, relative to its target.
constexpr double UnloadedTailRatio = 1.0 / 6;
constexpr double MaxUtilization = 0.995;
constexpr double MaxLoad = 0.95;

/// Interference coefficient of a pair of images without samples. It is low enough to let the
/// best-effort task start, so that samples come about.
constexpr double InitialCoefficient = 0.3;
constexpr double MaxCoefficient = 12;
/// Standard deviation of InitialCoefficient.
constexpr double InitialCoefficientDeviation = 2;
/// Added to the variance of a coefficient by each sample.
constexpr double CoefficientVarianceGrowth = 0.0001;
constexpr double SampleVariance = 0.01; // of a utilization, by noise in the tail and in the load
constexpr double MaxSlowdown = 3; // of service times, in one sample

constexpr double TrendTimeConstantSeconds = 0.7; // samples of this age have the weight 1/e
constexpr double RecentPeakDecay = 0.01; // decrease of the recent peak load, per second
constexpr double TrendPriorWeight = 0.3; // of the default load, in samples
/// In s^2; keeps the slope of a trend small while there are few samples.
constexpr double TrendPriorSquaredTime = 0.8;
constexpr double MaxSlope = 0.25; // of a load, per second
constexpr Duration MaxExtrapolation = milliseconds(1500);
/// Increase of service times by interference at which a sample has half its weight in the trend of
/// the load.
constexpr double HalfWeightIncrease = 0.1;

/// Increase of service times by one best-effort task that is worth a pace of its own; smaller ones
/// are not.
constexpr double MinRelevantIncrease = 0.05;
/// Error of an expected load: scale of a logistic distribution.
constexpr double LoadErrorScale = 0.03;
/// Share of the time in which a serving task is near its peak load.
constexpr double PeakLoadTimeShare = 0.25;
/// The values that chooseCommonPace() compares.
constexpr std::array<double, 4> CommonPaces{1, 0.7, 0.45, 0.2};
constexpr double MinPace = 0.05;
constexpr double OverTargetPaceLimit = 0.5; // beside a serving task that is over its target
constexpr double LongOverTargetPaceLimit = 0.15; // beside one that is over it for `lowPaceAfter`
constexpr double TypicalCpuShare = 0.1; // of a worker's processors, used by one best-effort task
constexpr int MinPaceChange = 12; // percent; each change costs a call to the worker

} // namespace

// Interference model

ImageIndex InterferenceModel::indexOf(const std::string &image)
{
    const auto it = std::find(images_.begin(), images_.end(), image);
    if (it != images_.end())
        return static_cast<ImageIndex>(it - images_.begin());
    images_.push_back(image);
    const std::size_t count = images_.size();
    estimates_.resize(count);
    for (ServingEstimates &estimates : estimates_) {
        const std::size_t known = estimates.coefficients.size();
        estimates.coefficients.resize(count, InitialCoefficient);
        estimates.covariance.resize(count);
        for (std::vector<double> &row : estimates.covariance)
            row.resize(count, 0);
        for (std::size_t i = known; i < count; ++i)
            estimates.covariance[i][i] = InitialCoefficientDeviation * InitialCoefficientDeviation;
    }
    return count - 1;
}

double InterferenceModel::utilizationFromTail(double tailRatio)
{
    if (tailRatio <= UnloadedTailRatio)
        return 0;
    return std::min(1 - UnloadedTailRatio / tailRatio, MaxUtilization);
}

double InterferenceModel::slowdownFor(double utilizationIncrease)
{
    return 1 / (1 - std::clamp(utilizationIncrease, 0.0, MaxUtilization));
}

double InterferenceModel::utilizationIncrease(double serviceTimeIncrease)
{
    return 1 - 1 / (1 + serviceTimeIncrease);
}

void InterferenceModel::observe(ImageIndex serving, double tailRatio,
                                const std::vector<BestEffortLoad> &bestEffortLoads, LoadTrend &load,
                                Time when)
{
    ServingEstimates &estimates = estimates_[serving];
    double serviceTimeIncrease = 0;
    for (const BestEffortLoad &bestEffort : bestEffortLoads)
        serviceTimeIncrease += estimates.coefficients[bestEffort.image] * bestEffort.share;
    const double utilization = utilizationFromTail(tailRatio);
    const double slowdown = slowdownFor(utilization - load.loadAt(when));
    const double error = std::min(slowdown, MaxSlowdown) - 1 - serviceTimeIncrease;
    load.addSample(utilization - utilizationIncrease(serviceTimeIncrease),
                   1 / (1 + serviceTimeIncrease / HalfWeightIncrease), when);
    if (bestEffortLoads.empty())
        return;
    // Recursive least squares: the less variance an estimate has, the less a sample changes it.
    const std::size_t count = images_.size();
    std::vector<double> gain(count, 0);
    for (std::size_t i = 0; i < count; ++i) {
        for (const BestEffortLoad &bestEffort : bestEffortLoads)
            gain[i] += estimates.covariance[i][bestEffort.image] * bestEffort.share;
    }
    // Of one sample of the slowdown.
    double variance = SampleVariance * std::pow(1 + serviceTimeIncrease, 4);
    for (const BestEffortLoad &bestEffort : bestEffortLoads)
        variance += gain[bestEffort.image] * bestEffort.share;
    for (std::size_t i = 0; i < count; ++i) {
        if (gain[i] == 0)
            continue;
        double &coefficient = estimates.coefficients[i];
        coefficient = std::clamp(coefficient + gain[i] * error / variance, 0.0, MaxCoefficient);
        for (std::size_t j = 0; j < count; ++j)
            estimates.covariance[i][j] -= gain[i] * gain[j] / variance;
    }
    for (const BestEffortLoad &bestEffort : bestEffortLoads)
        estimates.covariance[bestEffort.image][bestEffort.image] += CoefficientVarianceGrowth;
}

// Load trend

void LoadTrend::addSample(double load, double weight, Time when)
{
    const auto inSeconds = [](Duration duration) { return toMilliseconds(duration) / 1000; };
    double position = 0; // of the sample in seconds, relative to lastSampleAt_
    if (when > lastSampleAt_) {
        const double step = inSeconds(when - lastSampleAt_);
        sumSquaredTime_ += step * (step * sumWeight_ - 2 * sumTime_);
        sumTime_ -= step * sumWeight_;
        sumTimeLoad_ -= step * sumLoad_;
        const double kept = std::exp(-step / TrendTimeConstantSeconds);
        for (double *sum : {&sumWeight_, &sumTime_, &sumSquaredTime_, &sumLoad_, &sumTimeLoad_})
            *sum *= kept;
        recentPeak_ -= RecentPeakDecay * step;
        lastSampleAt_ = when;
    } else {
        position = inSeconds(when - lastSampleAt_);
    }
    sumWeight_ += weight;
    sumTime_ += weight * position;
    sumSquaredTime_ += weight * position * position;
    sumLoad_ += weight * load;
    sumTimeLoad_ += weight * position * load;
    recentPeak_ = std::max(recentPeak_, loadAt(lastSampleAt_));
}

double LoadTrend::loadAt(Time when) const
{
    // Weighted least squares with a prior of the default load without a slope.
    const double weight = sumWeight_ + TrendPriorWeight;
    const double load = sumLoad_ + TrendPriorWeight * DefaultServingLoad;
    const double squaredTime = sumSquaredTime_ + TrendPriorSquaredTime;
    const double determinant = weight * squaredTime - sumTime_ * sumTime_;
    const double slope = (weight * sumTimeLoad_ - sumTime_ * load) / determinant;
    const double level = (squaredTime * load - sumTime_ * sumTimeLoad_) / determinant;
    const Duration ahead = std::clamp(when - lastSampleAt_, -MaxExtrapolation, MaxExtrapolation);
    const double expected =
            level + std::clamp(slope, -MaxSlope, MaxSlope) * toMilliseconds(ahead) / 1000;
    return std::clamp(expected, 0.0, MaxLoad);
}

double LoadTrend::highestLoad(Time from, Time until) const
{
    return std::max(loadAt(from), loadAt(until)); // a linear trend is highest at one of the ends
}

// Decisions of the scheduler

namespace {

/// The probability that a serving task with this load is over its target while its service time is
/// increased by the share `serviceTimeIncrease`.
double overTargetProbability(double load, double serviceTimeIncrease)
{
    const double over = load + InterferenceModel::utilizationIncrease(serviceTimeIncrease)
                        - InterferenceModel::utilizationFromTail(1);
    return 1 / (1 + std::exp(-over / LoadErrorScale));
}

} // namespace

LoadTrend &Scheduler::loadTrendOf(const ScheduledTask &serving)
{
    return serving.job->stepLoads[serving.job->stepIndex(serving.ref)];
}

void Scheduler::learnInterference(ScheduledWorker &worker, Time now)
{
    std::vector<BestEffortLoad> bestEffortLoads;
    // Reported tail latencies and CPU usages cover the same half second, so both change together
    // after the start of a task.
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *task : worker.tasks) {
        if (!stepOf(*task).bestEffort || task->runState != RunState::Running)
            continue;
        auto it = std::find_if(
                bestEffortLoads.begin(), bestEffortLoads.end(),
                [&](const BestEffortLoad &bestEffort) { return bestEffort.image == task->image; });
        if (it == bestEffortLoads.end())
            it = bestEffortLoads.insert(bestEffortLoads.end(), {task->image, 0});
        it->share += task->usage / cpu;
    }
    for (ScheduledTask *task : worker.tasks) {
        const StepSpec &step = stepOf(*task);
        const bool isAtWork = task->runState == RunState::Running && task->percent == 100;
        if (step.tailLatencyTarget <= Duration::zero() || !isAtWork)
            continue;
        const double tailRatio = task->usage / toMilliseconds(step.tailLatencyTarget);
        interference_.observe(task->image, tailRatio, bestEffortLoads, loadTrendOf(*task),
                              now - settings_.measurementAge);
        if (tailRatio <= 1)
            task->overTargetSince.reset();
        else if (!task->overTargetSince)
            task->overTargetSince = now;
    }
}

/// The slack of each serving task on the worker, and the service time increase that the best-effort
/// tasks there cause at full pace.
std::vector<Scheduler::ServingSlack> Scheduler::servingSlack(const ScheduledWorker &worker,
                                                             LoadBasis basis, Time now) const
{
    std::vector<ServingSlack> result;
    const double limit = InterferenceModel::utilizationFromTail(settings_.plannedTailRatio);
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *task : worker.tasks) {
        if (stepOf(*task).tailLatencyTarget <= Duration::zero())
            continue;
        const LoadTrend &trend = task->job->stepLoads[task->job->stepIndex(task->ref)];
        const double load = basis == LoadBasis::Busy
                                    ? trend.recentPeak()
                                    : trend.highestLoad(now, now + settings_.paceHorizon);
        const double slack = InterferenceModel::slowdownFor(limit - load) - 1;
        result.push_back({task->image, load, slack, 0});
    }
    for (ServingSlack &serving : result) {
        for (ImageIndex image = 0; image < worker.bestEffortCpuByImage.size(); ++image) {
            if (worker.bestEffortCpuByImage[image] > 0)
                serving.increaseAtFullPace += interference_.coefficient(image, serving.image)
                                              * worker.bestEffortCpuByImage[image] / cpu;
        }
    }
    return result;
}

/// The pace of a best-effort task, from 0 to 1, at which the serving tasks stay under their
/// targets; at least MinPace. `cpu` is the worker's capacity in thousandths of a core.
double Scheduler::paceOf(const ScheduledTask &bestEffort, double cpu,
                         const std::vector<ServingSlack> &servings) const
{
    const auto share = static_cast<double>(stepOf(bestEffort).cpu.value) / cpu;
    double pace = 1;
    for (const ServingSlack &serving : servings) {
        if (interference_.coefficient(bestEffort.image, serving.image) * share
            < MinRelevantIncrease)
            continue;
        pace = std::min(pace, serving.slack / serving.increaseAtFullPace);
    }
    return std::max(pace, MinPace);
}

/// What the worker can take at busy times. Cached until its tasks change or beginPass() clears the
/// cache.
const Scheduler::BestEffortOutlook &Scheduler::outlookOf(const ScheduledWorker &worker,
                                                         Time now) const
{
    const auto [it, isNew] = planCache_->outlooks.try_emplace(&worker);
    BestEffortOutlook &outlook = it->second;
    if (!isNew)
        return outlook;
    outlook.servings = servingSlack(worker, LoadBasis::Busy, now);
    for (const ServingSlack &serving : outlook.servings)
        outlook.overTargetProbabilities.push_back(
                overTargetProbability(serving.load, serving.increaseAtFullPace));
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *task : worker.tasks)
        outlook.hasTaskWithOwnPace =
                outlook.hasTaskWithOwnPace
                || (stepOf(*task).bestEffort && needsOwnPace(*task, cpu, outlook.servings));
    outlook.averageImagePace = averageImagePace(outlook.servings);
    return outlook;
}

/// CPU that the worker's best-effort tasks use at their paces, in thousandths of a core.
double Scheduler::bestEffortCpuUse(const ScheduledWorker &worker, double cpu,
                                   const std::vector<ServingSlack> &servings) const
{
    double use = 0;
    for (const ScheduledTask *task : worker.tasks) {
        if (stepOf(*task).bestEffort)
            use += paceOf(*task, cpu, servings) * static_cast<double>(stepOf(*task).cpu.value);
    }
    return use;
}

/// What starting one more best-effort task on a worker would bring.
struct Scheduler::BestEffortEstimate
{
    double speed = 0; // of the new task, relative to full speed
    // In thousandths of a core: the CPU that the best-effort tasks there use in addition, less the
    // harm to the serving tasks.
    double gain = 0;
};

/// Nothing if the worker lacks idle processors for the task.
std::optional<Scheduler::BestEffortEstimate> Scheduler::estimateBestEffort(
        const ScheduledWorker &worker, const ScheduledTask &bestEffort, Time now) const
{
    const StepSpec &step = stepOf(bestEffort);
    const double share = expectedBestEffortShare(worker, step, settings_);
    if (share < settings_.minBestEffortCpuShare)
        return std::nullopt;
    const auto addedCpu = static_cast<double>(step.cpu.value);
    const BestEffortOutlook &outlook = outlookOf(worker, now);
    if (outlook.servings.empty())
        return BestEffortEstimate{share, share * addedCpu};
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    std::vector<ServingSlack> servings = outlook.servings;
    double harm = 0; // expected number of serving tasks over their targets because of the new task
    for (std::size_t i = 0; i < servings.size(); ++i) {
        ServingSlack &serving = servings[i];
        serving.increaseAtFullPace +=
                interference_.coefficient(bestEffort.image, serving.image) * addedCpu / cpu;
        harm += PeakLoadTimeShare
                * (overTargetProbability(serving.load, serving.increaseAtFullPace)
                   - outlook.overTargetProbabilities[i]);
    }
    BestEffortEstimate estimate;
    estimate.speed = std::min(paceOf(bestEffort, cpu, servings), share);
    estimate.gain = estimate.speed * addedCpu - settings_.placementOverTargetCost * harm * addedCpu;
    if (outlook.hasTaskWithOwnPace)
        estimate.gain += bestEffortCpuUse(worker, cpu, servings)
                         - bestEffortCpuUse(worker, cpu, outlook.servings);
    return estimate;
}

/// The gain of starting one more best-effort task on the worker. 0 if there is none, or if the new
/// task would be too slow.
double Scheduler::bestEffortCpuGain(const ScheduledWorker &worker, const ScheduledTask &bestEffort,
                                    Time now) const
{
    const std::optional<BestEffortEstimate> estimate = estimateBestEffort(worker, bestEffort, now);
    if (!estimate || estimate->speed < settings_.minStartSpeed)
        return 0;
    return std::max(estimate->gain, 0.0);
}

/// The number of the job's tasks that have a run or are about to get one.
int Scheduler::assignedTasks(const ScheduledJob &job)
{
    int done = 0;
    for (const int count : job.doneTaskCounts)
        done += count;
    return static_cast<int>(job.tasks.size()) - job.waitingTasks - done;
}

/// True if most processors of the workers that can run the job are not reserved.
bool Scheduler::hasIdleService(const ScheduledJob &job) const
{
    double reserved = 0;
    double all = 0;
    for (const auto &[id, worker] : workers_) {
        if (!worker->listed || worker->hasEnded || worker->entry.service != job.queue.service)
            continue;
        reserved += static_cast<double>(worker->reservedCpu);
        all += static_cast<double>(worker->entry.cpu.value);
    }
    return reserved < settings_.idleServiceShare * all;
}

/// Starts a best-effort task that no worker would gain from, if nothing of its job has run for too
/// long. Its pace is decided as that of others, so it may be very low beside serving tasks that it
/// disturbs. Returns false if nothing was started.
bool Scheduler::startStarvedTask(ScheduledTask &task, Time now)
{
    ScheduledJob &job = *task.job;
    if (assignedTasks(job) > 0) {
        job.idleSince.reset();
        return false;
    }
    if (!job.idleSince)
        job.idleSince = now;
    if (now - *job.idleSince < settings_.maxBestEffortWait)
        return false;
    job.idleSince = now - settings_.maxBestEffortWait + settings_.starvedRetryDelay;
    if (!hasIdleService(job))
        return false;
    ScheduledWorker *best = nullptr;
    double bestGain = 0;
    for (const auto &[id, worker] : workers_) {
        if (obstacleOn(*worker, task, now) != Obstacle::None)
            continue;
        const std::optional<BestEffortEstimate> estimate = estimateBestEffort(*worker, task, now);
        if (!estimate || (best && estimate->gain <= bestGain))
            continue;
        best = worker.get();
        bestGain = estimate->gain;
    }
    if (!best)
        return false;
    job.idleSince.reset();
    assign(task, *best);
    task.wasStarved = true;
    log_({LogLevel::Info,
          "starved-task-started",
          "nothing of a best-effort job has run for long; one task starts although it disturbs "
          "serving tasks",
          {{"task", formatTaskRef(task.ref)},
           {"worker", best->entry.id.str()},
           {"gain", std::to_string(static_cast<std::int64_t>(bestGain))}}});
    return true;
}

/// The common pace of the best-effort tasks that interfere little: the work that they get done is
/// weighed against the expected number of serving tasks over their targets. Another pace than the
/// current one must be worth the orders.
double Scheduler::chooseCommonPace(const std::vector<ServingSlack> &servings,
                                   double commonPaceTasks, double currentPace) const
{
    const auto valueOf = [&](double pace) {
        double value = commonPaceTasks * pace;
        for (const ServingSlack &serving : servings)
            value -= settings_.overTargetCost
                     * overTargetProbability(serving.load, pace * serving.increaseAtFullPace);
        return value;
    };
    double best = valueOf(currentPace) + settings_.minCommonPaceGain * commonPaceTasks;
    double bestPace = currentPace;
    for (const double pace : CommonPaces) {
        const double value = valueOf(pace);
        if (value > best) {
            best = value;
            bestPace = pace;
        }
    }
    return bestPace;
}

/// The pace at which a best-effort task of usual size could run beside these serving tasks, on
/// average over all known images.
double Scheduler::averageImagePace(const std::vector<ServingSlack> &servings) const
{
    double paceSum = 0;
    for (ImageIndex bestEffort = 0; bestEffort < interference_.imageCount(); ++bestEffort) {
        double pace = 1;
        for (const ServingSlack &serving : servings) {
            const double serviceTimeIncrease =
                    interference_.coefficient(bestEffort, serving.image) * TypicalCpuShare;
            if (serviceTimeIncrease >= MinRelevantIncrease)
                pace = std::min(pace, std::max(serving.slack, 0.0) / serviceTimeIncrease);
        }
        paceSum += pace;
    }
    return paceSum / std::max(static_cast<double>(interference_.imageCount()), 1.0);
}

/// The upper limit of a best-effort task's pace, which is 1 unless a serving task beside it is over
/// its target.
double Scheduler::paceLimit(const ScheduledWorker &worker, const ScheduledTask &bestEffort,
                            Time now) const
{
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    const double share = static_cast<double>(stepOf(bestEffort).cpu.value) / cpu;
    double limit = 1;
    for (const ScheduledTask *task : worker.tasks) {
        if (!task->overTargetSince || task->runState != RunState::Running)
            continue;
        const Duration over = now - *task->overTargetSince;
        if (over >= settings_.zeroPaceAfter) // the model may blame the wrong task, so all stop
            return 0;
        if (interference_.coefficient(bestEffort.image, task->image) * share < MinRelevantIncrease)
            continue;
        limit = std::min(limit, over >= settings_.lowPaceAfter ? LongOverTargetPaceLimit
                                                               : OverTargetPaceLimit);
    }
    return limit;
}

bool Scheduler::isServingNearTarget(const WorkerId &id) const
{
    const auto it = workers_.find(id);
    if (it == workers_.end() || it->second->bestEffortCpu <= 0)
        return false;
    return std::any_of(
            it->second->tasks.begin(), it->second->tasks.end(), [&](const ScheduledTask *task) {
                const Duration target = stepOf(*task).tailLatencyTarget;
                return target > Duration::zero()
                       && task->usage > settings_.plannedTailRatio * toMilliseconds(target);
            });
}

/// True if the task alone interferes so much with a serving task that it needs a pace of its own.
bool Scheduler::needsOwnPace(const ScheduledTask &bestEffort, double cpu,
                             const std::vector<ServingSlack> &servings) const
{
    const double share = static_cast<double>(stepOf(bestEffort).cpu.value) / cpu;
    return std::any_of(servings.begin(), servings.end(), [&](const ServingSlack &serving) {
        return interference_.coefficient(bestEffort.image, serving.image) * share
               >= MinRelevantIncrease;
    });
}

/// Decides the paces of the worker's best-effort tasks, and evicts those that have been too slow.
void Scheduler::paceBestEffortTasks(ScheduledWorker &worker, Time now)
{
    worker.pacedAt = now;
    if (worker.bestEffortCpu <= 0)
        return;
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    const std::vector<ServingSlack> servings = servingSlack(worker, LoadBasis::Expected, now);
    // The serving tasks with the interference by tasks that need no pace of their own.
    std::vector<ServingSlack> commonPaceServings = servings;
    for (ServingSlack &serving : commonPaceServings)
        serving.increaseAtFullPace = 0;
    double commonPaceTasks = 0;
    for (const ScheduledTask *task : worker.tasks) {
        if (!stepOf(*task).bestEffort || needsOwnPace(*task, cpu, servings))
            continue;
        ++commonPaceTasks;
        for (ServingSlack &serving : commonPaceServings)
            serving.increaseAtFullPace += interference_.coefficient(task->image, serving.image)
                                          * static_cast<double>(stepOf(*task).cpu.value) / cpu;
    }
    worker.commonPace = chooseCommonPace(commonPaceServings, commonPaceTasks, worker.commonPace);
    for (ScheduledTask *task : worker.tasks) {
        if (!stepOf(*task).bestEffort || task->runState != RunState::Running)
            continue;
        const double ownPace = needsOwnPace(*task, cpu, servings) ? paceOf(*task, cpu, servings)
                                                                  : worker.commonPace;
        const int pace = static_cast<int>(100 * std::min(paceLimit(worker, *task, now), ownPace));
        const bool isExtreme = (pace == 100 || pace == 0) && task->pace != pace;
        if (!isExtreme && std::abs(pace - task->pace) < MinPaceChange)
            continue;
        task->pace = pace;
        paces_.push_back({task->ref, task->progress.run, worker.entry.id, pace});
    }
    evictSlowTasks(worker, now);
}

/// Evicts best-effort tasks that have had a very low pace for `evictAfter`, if they lose little
/// work by it.
void Scheduler::evictSlowTasks(ScheduledWorker &worker, Time now)
{
    for (ScheduledTask *task : worker.tasks) {
        const StepSpec &step = stepOf(*task);
        if (!step.bestEffort || task->runState != RunState::Running)
            continue;
        if (task->pace >= settings_.evictBelowPace) {
            task->belowEvictPaceSince = now;
            continue;
        }
        const bool losesLittle = step.checkpointing || task->percent < 30;
        const Duration limit =
                task->wasStarved ? settings_.evictStarvedAfter : settings_.evictAfter;
        if (!losesLittle || now - std::max(task->belowEvictPaceSince, task->startedAt) < limit)
            continue;
        log_({LogLevel::Info,
              "run-evicted",
              "the run would disturb a serving task at any useful pace",
              {{"job", task->ref.job.str()},
               {"worker", worker.entry.id.str()},
               {"image", step.image},
               {"pace", std::to_string(task->pace)}}});
        stopRun(*task, now);
    }
}

/// Prefers workers with serving tasks of the same image, so that few workers mix images.
double Scheduler::servingScore(const ScheduledWorker &worker, const ScheduledTask &task) const
{
    double same = 0;
    double other = 0;
    for (ImageIndex image = 0; image < worker.servingTasksByImage.size(); ++image)
        (image == task.image ? same : other) += worker.servingTasksByImage[image];
    return 100 * (same - 2 * other) + static_cast<double>(worker.reservedCpu) / 1000;
}

} // namespace monsoonledge
