// Filling tasks beside serving tasks: what they do to each other, and what is done about it.
//
// Load patterns that the decisions here answer:
// - Pairs of images that disturb each other: a filling task starts where it gets most done, at the
//   pace that keeps every serving task beside it under its target.
// - Loads of serving tasks that swing within seconds: the pace follows the load.
// - Filling tasks that can only crawl where they are: they move with their checkpoints.
#include "scheduling/scheduling.h"

#include <algorithm>
#include <cstdlib>

namespace monsoonledge {

namespace {

constexpr double UnloadedTail = 1.0 / 6; // of its target, of a serving task without any load
constexpr double MaxUtilization = 0.97;
constexpr double UnknownPressure =
        1; // of a pair without figures: one task may start and be watched
constexpr double MaxPressure = 12;
constexpr double LoadRate = 0.4; // of each figure, in the estimate of a task's own load
constexpr double LoadDrift = 0.02; // toward the usual load, so that pressure is not taken for load
constexpr double PressureRate = 0.2; // of each figure, in the estimate of a pair
constexpr double ShareNoise = 0.004; // squared share of a worker below which figures say little
constexpr double FeltRise = 0.02; // smaller rises of the utilization are not worth a pace
constexpr double MinPace = 0.05;
constexpr double OverPace = 0.5; // beside a task that is over its target
constexpr double CrawlPace = 0.15; // beside one that stays over it
constexpr double UsualShare = 0.1; // of a worker, used by one filling task
constexpr int SmallestPaceChange = 12; // percent; each change is a call to the worker

} // namespace

// The model

ImageIndex InterferenceModel::indexOf(const std::string &image)
{
    const auto it = std::find(names_.begin(), names_.end(), image);
    if (it != names_.end())
        return static_cast<ImageIndex>(it - names_.begin());
    names_.push_back(image);
    pairs_.resize(names_.size());
    for (std::vector<double> &row : pairs_)
        row.resize(names_.size(), UnknownPressure);
    return names_.size() - 1;
}

double InterferenceModel::utilizationOf(double tail)
{
    if (tail <= UnloadedTail)
        return 0;
    return std::min(1 - UnloadedTail / tail, MaxUtilization);
}

void InterferenceModel::observe(ImageIndex serving, double tail, const std::vector<FillLoad> &fills,
                                double &load)
{
    double expected = load;
    double squares = ShareNoise;
    for (const FillLoad &fill : fills) {
        expected += pairs_[fill.image][serving] * fill.share;
        squares += fill.share * fill.share;
    }
    const double error = utilizationOf(tail) - expected;
    for (const FillLoad &fill : fills) {
        double &pressure = pairs_[fill.image][serving];
        pressure += PressureRate * error * fill.share / squares;
        pressure = std::clamp(pressure, 0.0, MaxPressure);
    }
    load += LoadRate * error + LoadDrift * (UsualServingLoad - load);
    load = std::clamp(load, 0.0, MaxUtilization);
}

// Decisions

/// How much pressure a serving task bears.
struct Scheduler::ServingSlack
{
    ImageIndex image = 0;
    double slack = 0; // utilization that is left for filling tasks
    double pressed = 0; // utilization that the filling tasks there take at full pace
};

void Scheduler::learnInterference(ScheduledWorker &worker, Time now)
{
    std::vector<FillLoad> fills;
    // Tails and usages cover the same half second, so that both rise together after a start.
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *task : worker.tasks) {
        if (!stepOf(*task).fills || task->knowledge != RunKnowledge::Running)
            continue;
        auto it = std::find_if(fills.begin(), fills.end(),
                               [&](const FillLoad &fill) { return fill.image == task->image; });
        if (it == fills.end())
            it = fills.insert(fills.end(), {task->image, 0});
        it->share += task->usage / cpu;
    }
    for (ScheduledTask *task : worker.tasks) {
        const StepSpec &step = stepOf(*task);
        const bool isAtWork = task->knowledge == RunKnowledge::Running && task->percent == 100;
        if (step.tailTarget <= Duration::zero() || !isAtWork)
            continue;
        const double tail = task->usage / toMilliseconds(step.tailTarget);
        interference_.observe(task->image, tail, fills, task->load);
        if (tail <= 1)
            task->overSince.reset();
        else if (!task->overSince)
            task->overSince = now;
    }
}

std::vector<Scheduler::ServingSlack> Scheduler::servingSlack(const ScheduledWorker &worker) const
{
    std::vector<ServingSlack> result;
    const double limit = InterferenceModel::utilizationOf(settings_.plannedTail);
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    for (const ScheduledTask *task : worker.tasks) {
        if (stepOf(*task).tailTarget <= Duration::zero())
            continue;
        auto it = std::find_if(result.begin(), result.end(), [&](const ServingSlack &other) {
            return other.image == task->image;
        });
        if (it == result.end())
            it = result.insert(result.end(), {task->image, limit, 0});
        it->slack = std::min(it->slack, limit - task->load);
    }
    for (ServingSlack &serving : result) {
        for (ImageIndex image = 0; image < worker.fillByImage.size(); ++image) {
            if (worker.fillByImage[image] > 0)
                serving.pressed += interference_.pressure(image, serving.image)
                                   * worker.fillByImage[image] / cpu;
        }
    }
    return result;
}

/// The pace of a filling task, from 0 to 1, at which the serving tasks stay under their targets.
double Scheduler::paceOf(const ScheduledTask &fill, double cpu,
                         const std::vector<ServingSlack> &slack) const
{
    const auto share = static_cast<double>(stepOf(fill).cpu.value) / cpu;
    double pace = 1;
    for (const ServingSlack &serving : slack) {
        if (interference_.pressure(fill.image, serving.image) * share < FeltRise)
            continue;
        pace = std::min(pace, serving.slack / serving.pressed);
    }
    return std::max(pace, MinPace);
}

/// Processors, in thousandths, that the worker's filling tasks use more if one more starts there.
/// 0 if the new one would be too slow.
double Scheduler::fillGain(const ScheduledWorker &worker, const ScheduledTask &fill) const
{
    const StepSpec &step = stepOf(fill);
    const double share = expectedFillShare(worker, step, settings_);
    if (share < settings_.minFillShare)
        return 0;
    const auto added = static_cast<double>(step.cpu.value);
    std::vector<ServingSlack> slack = servingSlack(worker);
    if (slack.empty())
        return share * added;
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    double before = 0;
    for (const ScheduledTask *task : worker.tasks) {
        if (stepOf(*task).fills)
            before += paceOf(*task, cpu, slack) * static_cast<double>(stepOf(*task).cpu.value);
    }
    for (ServingSlack &serving : slack)
        serving.pressed += interference_.pressure(fill.image, serving.image) * added / cpu;
    const double own = std::min(paceOf(fill, cpu, slack), share);
    if (own < settings_.minStartSpeed)
        return 0;
    double after = own * added;
    for (const ScheduledTask *task : worker.tasks) {
        if (stepOf(*task).fills)
            after += paceOf(*task, cpu, slack) * static_cast<double>(stepOf(*task).cpu.value);
    }
    return std::max(after - before, 0.0);
}

/// The share of the known images of filling tasks that could run on the worker at full pace.
double Scheduler::openness(const ScheduledWorker &worker) const
{
    const std::vector<ServingSlack> slack = servingSlack(worker);
    double open = 0;
    for (ImageIndex fill = 0; fill < interference_.imageCount(); ++fill) {
        double pace = 1;
        for (const ServingSlack &serving : slack) {
            const double rise = interference_.pressure(fill, serving.image) * UsualShare;
            if (rise >= FeltRise)
                pace = std::min(pace, std::max(serving.slack, 0.0) / rise);
        }
        open += pace;
    }
    return open / std::max(static_cast<double>(interference_.imageCount()), 1.0);
}

/// The highest pace of a filling task while a serving task beside it is over its target.
double Scheduler::paceLimit(const ScheduledWorker &worker, const ScheduledTask &fill,
                            Time now) const
{
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    const double share = static_cast<double>(stepOf(fill).cpu.value) / cpu;
    double limit = 1;
    for (const ScheduledTask *task : worker.tasks) {
        if (!task->overSince || task->knowledge != RunKnowledge::Running)
            continue;
        const Duration over = now - *task->overSince;
        if (over >= settings_.overToStandstill) // the model may be wrong about who is to blame
            return 0;
        if (interference_.pressure(fill.image, task->image) * share < FeltRise)
            continue;
        limit = std::min(limit, over >= settings_.overToCrawl ? CrawlPace : OverPace);
    }
    return limit;
}

bool Scheduler::isPressed(const WorkerId &id) const
{
    const auto it = workers_.find(id);
    if (it == workers_.end() || it->second->fillCpu <= 0)
        return false;
    return std::any_of(it->second->tasks.begin(), it->second->tasks.end(),
                       [&](const ScheduledTask *task) {
                           const Duration target = stepOf(*task).tailTarget;
                           return target > Duration::zero()
                                  && task->usage > settings_.plannedTail * toMilliseconds(target);
                       });
}

void Scheduler::paceFilling(ScheduledWorker &worker, Time now)
{
    const double cpu = std::max(static_cast<double>(worker.entry.cpu.value), 1.0);
    const std::vector<ServingSlack> slack = servingSlack(worker);
    for (ScheduledTask *task : worker.tasks) {
        if (!stepOf(*task).fills || task->knowledge != RunKnowledge::Running)
            continue;
        const double wanted = std::min(paceLimit(worker, *task, now), paceOf(*task, cpu, slack));
        const int pace = static_cast<int>(100 * wanted);
        const bool isExtreme = (pace == 100 || pace == 0) && task->pace != pace;
        if (!isExtreme && std::abs(pace - task->pace) < SmallestPaceChange)
            continue;
        task->pace = pace;
        paces_.push_back({task->ref, task->progress.run, worker.entry.id, pace});
    }
    evictSlow(worker, now);
}

/// Moves filling tasks away that can only crawl here.
void Scheduler::evictSlow(ScheduledWorker &worker, Time now)
{
    for (ScheduledTask *task : worker.tasks) {
        const StepSpec &step = stepOf(*task);
        if (!step.fills || task->knowledge != RunKnowledge::Running)
            continue;
        if (task->pace >= settings_.evictPace) {
            task->slowSince = now;
            continue;
        }
        const bool losesLittle = step.checkpointing || task->percent < 30;
        if (!losesLittle || now - std::max(task->slowSince, task->startedAt) < settings_.evictAfter)
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
