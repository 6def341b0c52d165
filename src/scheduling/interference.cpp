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

constexpr double UnloadedTail = 1.0 / 6; // of a serving task without load, relative to its target
constexpr double MaxUtilization = 0.995;
constexpr double MaxLoad = 0.95;
constexpr double UnknownPressure = 0.3; // of a pair without samples; low enough to let it start
constexpr double MaxPressure = 12;
constexpr double PressureDeviation = 2; // standard deviation of UnknownPressure
constexpr double PressureDrift = 0.0001; // added to the variance of an estimate by each sample
constexpr double FigureVariance = 0.01; // of a utilization, by noise in the tail and in the load
constexpr double MaxStretch = 3; // of service times, in one sample
constexpr double TrendSeconds = 0.7; // samples of this age have the weight 1/e
constexpr double BusyDecay = 0.01; // decrease of the recent peak, per second
constexpr double TrendPriorWeight = 0.3; // of the default load, in samples
constexpr double TrendPriorSpread = 0.8; // s^2; keeps the slope small while there are few samples
constexpr double MaxSlope = 0.25; // of a load, per second
constexpr Duration MaxExtrapolation = milliseconds(1500);
constexpr double DoubtfulRise = 0.1; // of service times; halves the weight of a sample for the load
constexpr double FeltRise = 0.05; // of service times; a smaller one is not worth a pace of its own
constexpr double LoadDoubt = 0.03; // of an expected load: scale of a logistic distribution
constexpr double BusyShare = 0.25; // of the time, in which a serving task is near its peak load
constexpr std::array<double, 4> EasyPaces{1, 0.7, 0.45, 0.2}; // from which easyPace() chooses
constexpr double MinPace = 0.05;
constexpr double OverPace = 0.5; // beside a serving task that is over its target
constexpr double CrawlPace = 0.15; // beside one that has been over it for long
constexpr double UsualShare = 0.1; // of a worker's processors, used by one best-effort task
constexpr int SmallestPaceChange = 12; // percent; each change costs a call to the worker

} // namespace

// Interference model

ImageIndex InterferenceModel::indexOf(const std::string &image)
{
    const auto it = std::find(names_.begin(), names_.end(), image);
    if (it != names_.end())
        return static_cast<ImageIndex>(it - names_.begin());
    names_.push_back(image);
    const std::size_t count = names_.size();
    victims_.resize(count);
    for (Victim &victim : victims_) {
        const std::size_t known = victim.pressures.size();
        victim.pressures.resize(count, UnknownPressure);
        victim.covariance.resize(count);
        for (std::vector<double> &row : victim.covariance)
            row.resize(count, 0);
        for (std::size_t i = known; i < count; ++i)
            victim.covariance[i][i] = PressureDeviation * PressureDeviation;
    }
    return count - 1;
}

double InterferenceModel::utilizationOf(double tail)
{
    if (tail <= UnloadedTail)
        return 0;
    return std::min(1 - UnloadedTail / tail, MaxUtilization);
}

double InterferenceModel::stretchOf(double utilizationRise)
{
    return 1 / (1 - std::clamp(utilizationRise, 0.0, MaxUtilization));
}

double InterferenceModel::utilizationRise(double serviceTimeRise)
{
    return 1 - 1 / (1 + serviceTimeRise);
}

void InterferenceModel::observe(ImageIndex serving, double tail, const std::vector<FillLoad> &fills,
                                LoadTrend &load, Time when)
{
    Victim &victim = victims_[serving];
    double rise = 0;
    for (const FillLoad &fill : fills)
        rise += victim.pressures[fill.image] * fill.share;
    const double utilization = utilizationOf(tail);
    const double stretch = stretchOf(utilization - load.at(when));
    const double error = std::min(stretch, MaxStretch) - 1 - rise;
    load.add(utilization - utilizationRise(rise), 1 / (1 + rise / DoubtfulRise), when);
    if (fills.empty())
        return;
    // Recursive least squares: the less variance an estimate has, the less a sample changes it.
    const std::size_t count = names_.size();
    std::vector<double> gain(count, 0);
    for (std::size_t i = 0; i < count; ++i) {
        for (const FillLoad &fill : fills)
            gain[i] += victim.covariance[i][fill.image] * fill.share;
    }
    double variance = FigureVariance * std::pow(1 + rise, 4); // of one sample of the slowdown
    for (const FillLoad &fill : fills)
        variance += gain[fill.image] * fill.share;
    for (std::size_t i = 0; i < count; ++i) {
        if (gain[i] == 0)
            continue;
        double &pressure = victim.pressures[i];
        pressure = std::clamp(pressure + gain[i] * error / variance, 0.0, MaxPressure);
        for (std::size_t j = 0; j < count; ++j)
            victim.covariance[i][j] -= gain[i] * gain[j] / variance;
    }
    for (const FillLoad &fill : fills)
        victim.covariance[fill.image][fill.image] += PressureDrift;
}

// Load trend

void LoadTrend::add(double load, double weight, Time when)
{
    const auto inSeconds = [](Duration duration) { return toMilliseconds(duration) / 1000; };
    double position = 0; // of the sample in seconds, relative to last_
    if (when > last_) {
        const double step = inSeconds(when - last_);
        squaredTime_ += step * (step * weight_ - 2 * time_);
        time_ -= step * weight_;
        timeByLoad_ -= step * load_;
        const double kept = std::exp(-step / TrendSeconds);
        for (double *sum : {&weight_, &time_, &squaredTime_, &load_, &timeByLoad_})
            *sum *= kept;
        busy_ -= BusyDecay * step;
        last_ = when;
    } else {
        position = inSeconds(when - last_);
    }
    weight_ += weight;
    time_ += weight * position;
    squaredTime_ += weight * position * position;
    load_ += weight * load;
    timeByLoad_ += weight * position * load;
    busy_ = std::max(busy_, at(last_));
}

double LoadTrend::at(Time when) const
{
    // Weighted least squares with a prior of the default load without a slope.
    const double weight = weight_ + TrendPriorWeight;
    const double load = load_ + TrendPriorWeight * UsualServingLoad;
    const double spread = squaredTime_ + TrendPriorSpread;
    const double determinant = weight * spread - time_ * time_;
    const double slope = (weight * timeByLoad_ - time_ * load) / determinant;
    const double level = (spread * load - time_ * timeByLoad_) / determinant;
    const Duration ahead = std::clamp(when - last_, -MaxExtrapolation, MaxExtrapolation);
    const double expected =
            level + std::clamp(slope, -MaxSlope, MaxSlope) * toMilliseconds(ahead) / 1000;
    return std::clamp(expected, 0.0, MaxLoad);
}

double LoadTrend::highest(Time from, Time until) const
{
    return std::max(at(from), at(until)); // a linear trend is highest at an end
}

// Decisions of the scheduler

namespace {

/// The probability that a serving task with this load is over its target while its service time is
/// increased by the share `rise`.
double overChance(double load, double rise)
{
    const double over =
            load + InterferenceModel::utilizationRise(rise) - InterferenceModel::utilizationOf(1);
    return 1 / (1 + std::exp(-over / LoadDoubt));
}

} // namespace

LoadTrend &Scheduler::loadOf(const ScheduledTask &serving)
{
    return serving.job->stepLoads[serving.job->stepIndex(serving.ref)];
}

void Scheduler::learnInterference(ScheduledWorker &worker, Time now)
{
    std::vector<FillLoad> fills;
    // Reported tail latencies and CPU usages cover the same half second, so both change together
    // after the start of a task.
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *task : worker.tasks) {
        if (!stepOf(*task).bestEffort || task->runState != RunState::Running)
            continue;
        auto it = std::find_if(fills.begin(), fills.end(),
                               [&](const FillLoad &fill) { return fill.image == task->image; });
        if (it == fills.end())
            it = fills.insert(fills.end(), {task->image, 0});
        it->share += task->usage / cpu;
    }
    for (ScheduledTask *task : worker.tasks) {
        const StepSpec &step = stepOf(*task);
        const bool isAtWork = task->runState == RunState::Running && task->percent == 100;
        if (step.tailLatencyTarget <= Duration::zero() || !isAtWork)
            continue;
        const double tail = task->usage / toMilliseconds(step.tailLatencyTarget);
        interference_.observe(task->image, tail, fills, loadOf(*task),
                              now - settings_.measurementAge);
        if (tail <= 1)
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
    const double limit = InterferenceModel::utilizationOf(settings_.plannedTailRatio);
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *task : worker.tasks) {
        if (stepOf(*task).tailLatencyTarget <= Duration::zero())
            continue;
        const LoadTrend &trend = task->job->stepLoads[task->job->stepIndex(task->ref)];
        const double load = basis == LoadBasis::Busy
                                    ? trend.busy()
                                    : trend.highest(now, now + settings_.paceHorizon);
        const double slack = InterferenceModel::stretchOf(limit - load) - 1;
        result.push_back({task->image, load, slack, 0});
    }
    for (ServingSlack &serving : result) {
        for (ImageIndex image = 0; image < worker.bestEffortCpuByImage.size(); ++image) {
            if (worker.bestEffortCpuByImage[image] > 0)
                serving.riseAtFullPace += interference_.pressure(image, serving.image)
                                          * worker.bestEffortCpuByImage[image] / cpu;
        }
    }
    return result;
}

/// The pace of a best-effort task, from 0 to 1, at which the serving tasks stay under their
/// targets; at least MinPace. `cpu` is the worker's capacity in thousandths of a core.
double Scheduler::paceOf(const ScheduledTask &fill, double cpu,
                         const std::vector<ServingSlack> &slack) const
{
    const auto share = static_cast<double>(stepOf(fill).cpu.value) / cpu;
    double pace = 1;
    for (const ServingSlack &serving : slack) {
        if (interference_.pressure(fill.image, serving.image) * share < FeltRise)
            continue;
        pace = std::min(pace, serving.slack / serving.riseAtFullPace);
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
        outlook.overTargetChances.push_back(overChance(serving.load, serving.riseAtFullPace));
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *task : worker.tasks)
        outlook.needsIndividualPace =
                outlook.needsIndividualPace
                || (stepOf(*task).bestEffort && isHard(*task, cpu, outlook.servings));
    outlook.fullPaceImageShare = openness(outlook.servings);
    return outlook;
}

/// CPU that the worker's best-effort tasks use at their paces, in thousandths of a core.
double Scheduler::fillUse(const ScheduledWorker &worker, double cpu,
                          const std::vector<ServingSlack> &servings) const
{
    double use = 0;
    for (const ScheduledTask *task : worker.tasks) {
        if (stepOf(*task).bestEffort)
            use += paceOf(*task, cpu, servings) * static_cast<double>(stepOf(*task).cpu.value);
    }
    return use;
}

/// The gain of starting one more best-effort task on the worker, in thousandths of a core: the CPU
/// that the best-effort tasks there use in addition, less the harm to the serving tasks. 0 if the
/// new task would be too slow.
double Scheduler::fillGain(const ScheduledWorker &worker, const ScheduledTask &fill, Time now) const
{
    const StepSpec &step = stepOf(fill);
    const double share = expectedBestEffortShare(worker, step, settings_);
    if (share < settings_.minBestEffortCpuShare)
        return 0;
    const auto added = static_cast<double>(step.cpu.value);
    const BestEffortOutlook &outlook = outlookOf(worker, now);
    if (outlook.servings.empty())
        return share * added;
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    std::vector<ServingSlack> servings = outlook.servings;
    double harm = 0; // expected number of serving tasks over their targets because of the new task
    for (std::size_t i = 0; i < servings.size(); ++i) {
        ServingSlack &serving = servings[i];
        serving.riseAtFullPace += interference_.pressure(fill.image, serving.image) * added / cpu;
        harm += BusyShare
                * (overChance(serving.load, serving.riseAtFullPace) - outlook.overTargetChances[i]);
    }
    const double own = std::min(paceOf(fill, cpu, servings), share);
    if (own < settings_.minStartSpeed)
        return 0;
    double gain = own * added - settings_.placementOverTargetCost * harm * added;
    if (outlook.needsIndividualPace)
        gain += fillUse(worker, cpu, servings) - fillUse(worker, cpu, outlook.servings);
    return std::max(gain, 0.0);
}

/// The common pace of the best-effort tasks that interfere little: the work that they get done is
/// weighed against the expected number of serving tasks over their targets.
double Scheduler::easyPace(const std::vector<ServingSlack> &servings, double easyTasks) const
{
    double best = 0;
    double bestPace = 1;
    for (const double pace : EasyPaces) {
        double value = easyTasks * pace;
        for (const ServingSlack &serving : servings)
            value -= settings_.overTargetCost
                     * overChance(serving.load, pace * serving.riseAtFullPace);
        if (pace == 1 || value > best) {
            best = value;
            bestPace = pace;
        }
    }
    return bestPace;
}

/// The pace at which a best-effort task of usual size could run beside these serving tasks, on
/// average over all known images.
double Scheduler::openness(const std::vector<ServingSlack> &servings) const
{
    double open = 0;
    for (ImageIndex fill = 0; fill < interference_.imageCount(); ++fill) {
        double pace = 1;
        for (const ServingSlack &serving : servings) {
            const double rise = interference_.pressure(fill, serving.image) * UsualShare;
            if (rise >= FeltRise)
                pace = std::min(pace, std::max(serving.slack, 0.0) / rise);
        }
        open += pace;
    }
    return open / std::max(static_cast<double>(interference_.imageCount()), 1.0);
}

/// The upper limit of a best-effort task's pace, which is 1 unless a serving task beside it is over
/// its target.
double Scheduler::paceLimit(const ScheduledWorker &worker, const ScheduledTask &fill,
                            Time now) const
{
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    const double share = static_cast<double>(stepOf(fill).cpu.value) / cpu;
    double limit = 1;
    for (const ScheduledTask *task : worker.tasks) {
        if (!task->overTargetSince || task->runState != RunState::Running)
            continue;
        const Duration over = now - *task->overTargetSince;
        if (over >= settings_.zeroPaceAfter) // the model may blame the wrong task, so all stop
            return 0;
        if (interference_.pressure(fill.image, task->image) * share < FeltRise)
            continue;
        limit = std::min(limit, over >= settings_.lowPaceAfter ? CrawlPace : OverPace);
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
bool Scheduler::isHard(const ScheduledTask &fill, double cpu,
                       const std::vector<ServingSlack> &servings) const
{
    const double share = static_cast<double>(stepOf(fill).cpu.value) / cpu;
    return std::any_of(servings.begin(), servings.end(), [&](const ServingSlack &serving) {
        return interference_.pressure(fill.image, serving.image) * share >= FeltRise;
    });
}

/// Decides the paces of the worker's best-effort tasks, and evicts those that have been too slow.
void Scheduler::paceFilling(ScheduledWorker &worker, Time now)
{
    worker.pacedAt = now;
    if (worker.bestEffortCpu <= 0)
        return;
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    const std::vector<ServingSlack> servings = servingSlack(worker, LoadBasis::Expected, now);
    std::vector<ServingSlack> easy = servings; // with the best-effort tasks that interfere little
    for (ServingSlack &serving : easy)
        serving.riseAtFullPace = 0;
    double easyTasks = 0;
    for (const ScheduledTask *task : worker.tasks) {
        if (!stepOf(*task).bestEffort || isHard(*task, cpu, servings))
            continue;
        ++easyTasks;
        for (ServingSlack &serving : easy)
            serving.riseAtFullPace += interference_.pressure(task->image, serving.image)
                                      * static_cast<double>(stepOf(*task).cpu.value) / cpu;
    }
    const double commonPace = easyPace(easy, easyTasks);
    for (ScheduledTask *task : worker.tasks) {
        if (!stepOf(*task).bestEffort || task->runState != RunState::Running)
            continue;
        const double own = isHard(*task, cpu, servings) ? paceOf(*task, cpu, servings) : commonPace;
        const int pace = static_cast<int>(100 * std::min(paceLimit(worker, *task, now), own));
        const bool isExtreme = (pace == 100 || pace == 0) && task->pace != pace;
        if (!isExtreme && std::abs(pace - task->pace) < SmallestPaceChange)
            continue;
        task->pace = pace;
        paces_.push_back({task->ref, task->progress.run, worker.entry.id, pace});
    }
    evictSlow(worker, now);
}

/// Evicts best-effort tasks that have had a very low pace for `evictAfter`, if they lose little
/// work by it.
void Scheduler::evictSlow(ScheduledWorker &worker, Time now)
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
        if (!losesLittle
            || now - std::max(task->belowEvictPaceSince, task->startedAt) < settings_.evictAfter)
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
