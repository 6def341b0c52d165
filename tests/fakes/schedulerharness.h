// A scheduler on its own: calls of a test take the place of workers and the store.
#pragma once

#include "scheduling/scheduling.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoonledge {

constexpr int WorkerClockMs = 1000;

/// A scheduler with simulated workers that report immediately and a store that accepts every
/// record.
class SchedulerHarness
{
public:
    explicit SchedulerHarness(int workerCount, std::uint64_t cpu = 16000,
                              std::uint64_t memory = 64000, SchedulingSettings settings = {})
        : scheduler(
                settings, now + seconds(10),
                [this](const LogEvent &event) { log.push_back(event); }, now)
    {
        QueueConfig config;
        config.version = 1;
        config.queues.push_back(queue("urgent", 0));
        config.queues.push_back(queue("batch", 2));
        scheduler.setConfig(config);
        for (int i = 0; i < workerCount; ++i) {
            WorkerEntry entry;
            entry.id = WorkerId("w" + std::to_string(i));
            entry.incarnation.value = 1;
            entry.service = ServiceId("desk");
            entry.cpu.value = cpu;
            entry.memory.value = memory;
            entry.labels = {"a", i % 2 == 0 ? "r0" : "r1"};
            entries.push_back(entry);
        }
        scheduler.setWorkers(entries, now);
        reportWorkers();
    }

    static QueueSpec queue(const std::string &id, int priority)
    {
        QueueSpec spec;
        spec.id = QueueId(id);
        spec.service = ServiceId("desk");
        spec.priority = priority;
        spec.maxAttempts = 2;
        spec.slackFactor = 2;
        spec.targetLatency = milliseconds(300);
        return spec;
    }

    static StepSpec step(int count, std::uint64_t cpu = 1000, Duration estimate = milliseconds(500))
    {
        StepSpec spec;
        spec.count = count;
        spec.cpu.value = cpu;
        spec.memory.value = 100;
        spec.estimate = estimate;
        return spec;
    }

    void add(const std::string &id, const std::vector<StepSpec> &steps,
             const std::string &queueId = "urgent")
    {
        JobSpec spec;
        spec.id = JobId(id);
        spec.queue = QueueId(queueId);
        spec.steps = steps;
        scheduler.addJob(spec, std::nullopt, now, now);
    }

    /// Adds a job of one step from the record of a former coordinator. Run 1 of each of its tasks
    /// is assigned to one of these incarnations of the worker "w0".
    void addRestored(const std::string &id, JobState state,
                     const std::vector<std::uint64_t> &incarnations)
    {
        JobSpec spec;
        spec.id = JobId(id);
        spec.queue = QueueId("urgent");
        spec.steps = {step(static_cast<int>(incarnations.size()))};
        JobProgress progress;
        progress.state = state;
        for (const std::uint64_t incarnation : incarnations) {
            TaskProgress task;
            task.phase = TaskPhase::Assigned;
            task.run.value = 1;
            task.worker = WorkerId("w0");
            task.incarnation.value = incarnation;
            progress.tasks.push_back(task);
        }
        scheduler.addJob(spec, progress, now, now);
    }

    /// Runs a planning pass, stores all records and confirms all start orders, which it returns.
    std::vector<StartOrder> planAndStart()
    {
        scheduler.plan(now);
        for (const JobChange &change : scheduler.takeChanges(1000))
            scheduler.onSaved(change.job, change.version, now);
        std::vector<StartOrder> starts = scheduler.takeStarts();
        for (const StartOrder &order : starts) {
            running[order.worker].push_back({order.task, order.run, {}, 0, 0});
            scheduler.onStartAnswered(order, StartOutcome::Started, now);
        }
        return starts;
    }

    /// Delivers a report of each worker that is not in `silent`.
    void reportWorkers()
    {
        for (const WorkerEntry &entry : entries) {
            if (silent.count(entry.id) > 0)
                continue;
            RunReport result;
            result.clockMs = WorkerClockMs;
            result.incarnation = entry.incarnation;
            result.running = running[entry.id];
            result.finished = finished[entry.id];
            scheduler.onReport(entry.id, now, result, now);
        }
    }

    /// Moves a run from the worker's list of running tasks to its list of ended runs.
    void endRun(const StartOrder &order, RunOutcome outcome)
    {
        auto &list = running[order.worker];
        list.erase(std::remove_if(list.begin(), list.end(),
                                  [&](const ActiveRun &row) { return row.task == order.task; }),
                   list.end());
        auto &ended = finished[order.worker];
        ended.push_back({ended.size() + 1, order.task, order.run, outcome, {}});
    }

    JobState state(const std::string &id) const { return scheduler.jobs().at(JobId(id))->state; }

    Time now{std::chrono::hours(1)};
    std::vector<LogEvent> log;
    Scheduler scheduler;
    std::vector<WorkerEntry> entries;
    std::map<WorkerId, std::vector<ActiveRun>> running;
    std::map<WorkerId, std::vector<FinishedRun>> finished;
    std::set<WorkerId> silent;
};

} // namespace monsoonledge
