// Filling tasks beside serving tasks: what they do to each other, and what is done about it.
#include "scheduling/scheduling.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr double CalmTail = 0.7; // of its target: nothing disturbs the task
constexpr double SmallestShare = 0.015; // of a worker, from which a figure tells anything
constexpr double SmallestRise = 0.05; // noise of the figures
constexpr double KnownCalmPressure = 1; // at most this, of pairs that are known to be calm
constexpr int KnownCalmSamples = 3;
constexpr double KnownCalmWeight = 0.05; // of the blame
constexpr double LearnDown = 0.5;
constexpr double LearnUp = 0.7;
constexpr double MaxSensitivity = 10; // more does not matter: such a pair is kept apart anyway
constexpr double DisturbingRise = 0.2; // by one filling task, that makes it worth moving

} // namespace

ImageIndex InterferenceModel::indexOf(const std::string &image)
{
    const auto it = std::find(names_.begin(), names_.end(), image);
    if (it != names_.end())
        return static_cast<ImageIndex>(it - names_.begin());
    names_.push_back(image);
    pairs_.resize(names_.size());
    for (std::vector<Pair> &row : pairs_)
        row.resize(names_.size());
    return names_.size() - 1;
}

void InterferenceModel::observe(ImageIndex serving, double tail, const std::vector<FillLoad> &fills)
{
    const double rise = tail - UndisturbedTail;
    if (tail < CalmTail) {
        for (const FillLoad &fill : fills) {
            if (fill.share < SmallestShare || !fill.isSettled)
                continue;
            Pair &pair = pairs_[fill.image][serving];
            const double bound = std::max(rise, SmallestRise) / fill.share;
            ++pair.calmSamples;
            if (pair.pressure > bound)
                pair.pressure += LearnDown * (bound - pair.pressure);
        }
        return;
    }
    double expected = 0;
    double blame = 0;
    const auto weightOf = [&](const FillLoad &fill) {
        const Pair &pair = pairs_[fill.image][serving];
        const bool isCalm =
                pair.calmSamples >= KnownCalmSamples && pair.pressure < KnownCalmPressure;
        return isCalm ? KnownCalmWeight : 1;
    };
    for (const FillLoad &fill : fills) {
        expected += pairs_[fill.image][serving].pressure * fill.share;
        blame += weightOf(fill) * fill.share;
    }
    if (rise <= expected || blame < SmallestShare)
        return;
    for (const FillLoad &fill : fills)
        pairs_[fill.image][serving].pressure +=
                LearnUp * (rise - expected) * weightOf(fill) / blame;
}

void Scheduler::learnInterference(const ScheduledWorker &worker, Time now)
{
    std::vector<FillLoad> fills;
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *task : worker.tasks) {
        const StepSpec &step = stepOf(*task);
        if (!step.fills || task->knowledge != RunKnowledge::Running)
            continue;
        const bool isSettled = now - task->startedAt > settings_.usageLag;
        auto it = std::find_if(fills.begin(), fills.end(),
                               [&](const FillLoad &fill) { return fill.image == task->image; });
        if (it == fills.end())
            it = fills.insert(fills.end(), {task->image, 0, true});
        // A young run has no figure yet; what it asked for stands in.
        it->share += (isSettled ? task->usage : static_cast<double>(step.cpu.value)) / cpu;
        it->isSettled = it->isSettled && isSettled;
    }
    if (fills.empty())
        return;
    for (const ScheduledTask *task : worker.tasks) {
        const StepSpec &step = stepOf(*task);
        const bool isAtWork = task->knowledge == RunKnowledge::Running && task->percent == 100;
        if (step.tailTarget > Duration::zero() && isAtWork)
            interference_.observe(task->image, task->usage / toMilliseconds(step.tailTarget),
                                  fills);
    }
}

/// The highest tail, in relation to its target, of a serving task on the worker if one more filling
/// task runs there.
double Scheduler::expectedTail(const ScheduledWorker &worker, const ScheduledTask &fill) const
{
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    const auto added = static_cast<double>(stepOf(fill).cpu.value);
    double worst = 0;
    for (ImageIndex serving = 0; serving < worker.servingByImage.size(); ++serving) {
        if (worker.servingByImage[serving] == 0)
            continue;
        double rise = interference_.pressure(fill.image, serving) * added;
        for (ImageIndex image = 0; image < worker.fillByImage.size(); ++image) {
            if (worker.fillByImage[image] > 0)
                rise += interference_.pressure(image, serving) * worker.fillByImage[image];
        }
        worst = std::max(worst, UndisturbedTail + rise / cpu);
    }
    return worst;
}

/// How few images of filling tasks the worker's serving tasks bear: their mean pressure there.
double Scheduler::sensitivity(const ScheduledWorker &worker) const
{
    double sum = 0;
    int pairs = 0;
    for (ImageIndex serving = 0; serving < worker.servingByImage.size(); ++serving) {
        if (worker.servingByImage[serving] == 0)
            continue;
        for (ImageIndex fill = 0; fill < interference_.imageCount(); ++fill) {
            sum += std::min(interference_.pressure(fill, serving), MaxSensitivity);
            ++pairs;
        }
    }
    return pairs > 0 ? sum / pairs : 0;
}

/// Moves filling tasks away that are known to disturb a serving task over its target. Their
/// checkpoints go with them.
void Scheduler::evictDisturbing(ScheduledWorker &worker, Time now)
{
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *serving : worker.tasks) {
        const StepSpec &servingStep = stepOf(*serving);
        if (servingStep.tailTarget <= Duration::zero() || serving->percent < 100
            || serving->usage / toMilliseconds(servingStep.tailTarget) < settings_.evictTail)
            continue;
        for (ScheduledTask *task : worker.tasks) {
            const StepSpec &step = stepOf(*task);
            if (!step.fills || task->knowledge != RunKnowledge::Running)
                continue;
            const double rise = interference_.pressure(task->image, serving->image)
                                * static_cast<double>(step.cpu.value) / cpu;
            if (rise < DisturbingRise)
                continue;
            log_({LogLevel::Info,
                  "run-evicted",
                  "the run disturbs a serving task",
                  {{"job", task->ref.job.str()},
                   {"worker", worker.entry.id.str()},
                   {"image", step.image},
                   {"servingImage", servingStep.image},
                   {"tailMs", std::to_string(serving->usage)}}});
            stopRun(*task, now);
        }
    }
}

/// Slows all filling tasks down while a serving task beside them misses its target all the same,
/// and speeds them up again in smaller steps.
void Scheduler::paceFilling(ScheduledWorker &worker, Time now)
{
    if (now - worker.pacedAt < settings_.paceInterval)
        return;
    double worst = 0; // tail in relation to its target
    bool hasFilling = false;
    for (const ScheduledTask *task : worker.tasks) {
        const StepSpec &step = stepOf(*task);
        hasFilling = hasFilling || (step.fills && task->knowledge == RunKnowledge::Running);
        if (step.tailTarget > Duration::zero() && task->knowledge == RunKnowledge::Running)
            worst = std::max(worst, task->usage / toMilliseconds(step.tailTarget));
    }
    int pace = worker.pace;
    if (worst > settings_.paceTail && hasFilling)
        pace = pace / 3;
    else if (worst < settings_.resumeTail || !hasFilling)
        pace = std::min(100, pace + 34);
    if (pace == worker.pace)
        return;
    worker.pace = pace;
    worker.pacedAt = now;
    for (ScheduledTask *task : worker.tasks) {
        if (!stepOf(*task).fills || task->knowledge != RunKnowledge::Running)
            continue;
        task->pace = pace;
        paces_.push_back({task->ref, task->progress.run, worker.entry.id, pace});
    }
}

/// Puts serving tasks of one image together, on as few workers as possible.
double Scheduler::servingScore(const ScheduledWorker &worker, const ScheduledTask &task) const
{
    double same = 0;
    double other = 0;
    for (ImageIndex image = 0; image < worker.servingByImage.size(); ++image)
        (image == task.image ? same : other) += worker.servingByImage[image];
    return 100 * (same - 2 * other) + static_cast<double>(worker.cpuUsed) / 1000;
}

} // namespace monsoonledge
