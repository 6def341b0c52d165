#include "jobs/jobs.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr int MaxSteps = 64;
constexpr int MaxTasks = 10000; // in all steps

bool isDurationInRange(Duration duration)
{
    return duration >= Duration::zero() && duration <= milliseconds(MaxDurationMs);
}

/// Returns what is out of range, or an empty string.
std::string validateNumbers(const StepSpec &step)
{
    if (step.cpu.value > MaxCapacity || step.memory.value > MaxCapacity || step.accelerators < 0
        || step.accelerators > MaxAccelerators)
        return "requests resources that are out of range";
    if (!isDurationInRange(step.estimate) || !isDurationInRange(step.tailLatencyTarget))
        return "has a duration that is negative or longer than a year";
    if (step.antiAffinity < 0 || step.maxUnavailable < 0)
        return "has a negative limit";
    return {};
}

} // namespace

std::string validateJob(const JobSpec &spec)
{
    if (spec.steps.empty())
        return "a job needs at least one step";
    if (spec.steps.size() > MaxSteps)
        return "more than 64 steps";
    int tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const StepSpec &step = spec.steps[i];
        const std::string name = "step " + std::to_string(i);
        if (step.count < 1)
            return name + " has no tasks";
        if (step.count > MaxTasks)
            return name + " has more than 10000 tasks";
        tasks += step.count;
        const std::string outOfRange = validateNumbers(step);
        if (!outOfRange.empty())
            return std::string(name).append(" ").append(outOfRange);
        for (const int before : step.after) {
            if (before < 0 || before >= static_cast<int>(i))
                return name + " waits for a step that is not before it";
        }
    }
    if (tasks > MaxTasks)
        return "more than 10000 tasks";
    if (spec.occurrences < 0
        || std::int64_t{spec.occurrences} * tasks > std::int64_t{MaxTasksOfAllOccurrences})
        return "a negative number of occurrences, or more than 200000 tasks in all of them";
    if (spec.firstDue.value > MaxTimestampMs || !isDurationInRange(spec.interval))
        return "the times of the occurrences are out of range";
    return {};
}

Duration criticalPath(const JobSpec &spec)
{
    std::vector<Duration> ends;
    Duration longest{};
    for (const StepSpec &step : spec.steps) {
        Duration start{};
        for (const int before : step.after)
            start = std::max(start, ends.at(static_cast<std::size_t>(before)));
        ends.push_back(start + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

double estimatedCoreSeconds(const JobSpec &spec)
{
    double coreSeconds = 0;
    for (const StepSpec &step : spec.steps) {
        const double taskSeconds = std::chrono::duration<double>(step.estimate).count();
        coreSeconds += step.count * taskSeconds * static_cast<double>(step.cpu.value) / 1000;
    }
    return coreSeconds;
}

bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed
           || state == JobState::Cancelled;
}

const QueueSpec *QueueConfig::route(const std::string &httpHost, const std::string &path) const
{
    const QueueSpec *best = nullptr;
    for (const QueueSpec &queue : queues) {
        const bool matches = queue.httpHost == httpHost
                             && path.compare(0, queue.pathPrefix.size(), queue.pathPrefix) == 0;
        if (matches && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

const QueueSpec *QueueConfig::find(const QueueId &id) const
{
    const auto it = std::find_if(queues.begin(), queues.end(),
                                 [&](const QueueSpec &queue) { return queue.id == id; });
    return it == queues.end() ? nullptr : &*it;
}

} // namespace monsoonledge
