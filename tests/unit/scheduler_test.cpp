// Tests the decisions of the scheduler in isolation: calls replace workers and the store.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "scheduling/scheduling.h"

#include <algorithm>
#include <map>
#include <set>

using namespace monsoonledge;

namespace {

constexpr int WorkerClockMs = 1000;

/// A scheduler with simulated workers that report immediately and a store that accepts every
/// record.
class SchedulerHarness
{
public:
    explicit SchedulerHarness(int workerCount, std::uint64_t cpu = 16000,
                              std::uint64_t memory = 64000, SchedulingSettings settings = {})
        : scheduler(
                settings, seconds(10), [](const LogEvent &) {}, now)
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
    Scheduler scheduler;
    std::vector<WorkerEntry> entries;
    std::map<WorkerId, std::vector<ActiveRun>> running;
    std::map<WorkerId, std::vector<FinishedRun>> finished;
    std::set<WorkerId> silent;
};

} // namespace

TEST_CASE("tasks are placed within the workers' capacity and in the order of their steps")
{
    SchedulerHarness harness(2, 4000);
    StepSpec second = SchedulerHarness::step(2);
    second.after = {0};
    harness.add("a", {SchedulerHarness::step(10), second});
    const std::vector<StartOrder> first = harness.planAndStart();
    CHECK(first.size() == 8); // two workers with four cores each
    for (const StartOrder &order : first)
        CHECK(order.task.step == 0);
    for (const StartOrder &order : first)
        harness.endRun(order, RunOutcome::Done);
    harness.reportWorkers();
    CHECK(harness.planAndStart().size() == 2);
    CHECK(harness.state("a") == JobState::Active);
}

TEST_CASE("labels, racks, anti-affinity and memory restrict the choice of workers")
{
    SchedulerHarness harness(4, 16000, 1000);
    StepSpec step = SchedulerHarness::step(4);
    step.antiAffinity = 1;
    harness.add("apart", {step});
    std::set<WorkerId> used;
    for (const StartOrder &order : harness.planAndStart())
        used.insert(order.worker);
    CHECK(used.size() == 4);

    step = SchedulerHarness::step(2);
    step.requirement = "gpu";
    harness.add("nowhere", {step});
    CHECK(harness.planAndStart().empty());

    step = SchedulerHarness::step(2);
    step.affinity = "r1";
    harness.add("near", {step});
    for (const StartOrder &order : harness.planAndStart())
        CHECK((order.worker.str() == "w1" || order.worker.str() == "w3"));

    step = SchedulerHarness::step(1);
    step.memory.value = 2000;
    harness.add("large", {step});
    CHECK(harness.planAndStart().empty());
}

TEST_CASE("a gang is started as a whole or not at all")
{
    SchedulerHarness harness(1, 4000);
    StepSpec gang = SchedulerHarness::step(5);
    gang.gang = true;
    harness.add("toowide", {gang});
    CHECK(harness.planAndStart().empty());
    gang.count = 4;
    harness.add("fits", {gang});
    const std::vector<StartOrder> starts = harness.planAndStart();
    CHECK(starts.size() == 4);
    // The result of one member counts for the whole gang.
    harness.endRun(starts.front(), RunOutcome::Done);
    harness.reportWorkers();
    CHECK(harness.state("fits") == JobState::Completed);
}

TEST_CASE("under overload, jobs that can meet their objective are started before late ones")
{
    // 40 jobs are submitted at once to a worker with capacity for 4, then one more that can still
    // be on time. Without this order, an overload makes every job late.
    SchedulerHarness harness(1, 4000);
    for (int i = 0; i < 40; ++i)
        harness.add("backlog" + std::to_string(i), {SchedulerHarness::step(1)});
    std::vector<StartOrder> current = harness.planAndStart();
    CHECK(current.size() == 4);
    harness.now += seconds(3); // the objective of the first 40 jobs has passed
    harness.reportWorkers();
    harness.add("fresh", {SchedulerHarness::step(1)});
    for (const StartOrder &order : current)
        harness.endRun(order, RunOutcome::Done);
    harness.reportWorkers();
    current = harness.planAndStart();
    REQUIRE(current.size() == 4);
    CHECK(current.front().task.job.str() == "fresh");
}

TEST_CASE("a failed task is retried on another worker, and its job fails after the last attempt")
{
    SchedulerHarness harness(2);
    harness.add("a", {SchedulerHarness::step(1)});
    const StartOrder first = harness.planAndStart().at(0);
    harness.endRun(first, RunOutcome::Failed);
    harness.reportWorkers();
    const StartOrder second = harness.planAndStart().at(0);
    CHECK(second.worker != first.worker);
    CHECK(second.run.value == 2);
    harness.endRun(second, RunOutcome::Failed);
    harness.reportWorkers();
    CHECK(harness.state("a") == JobState::Failed);
}

TEST_CASE("a worker that fails runs of several jobs is quarantined, then tried with one task")
{
    SchedulerHarness harness(2);
    std::vector<StartOrder> starts;
    for (int i = 0; i < 8; ++i) {
        StepSpec step = SchedulerHarness::step(1);
        step.affinity = "r0";
        harness.add("job" + std::to_string(i), {step});
    }
    for (const StartOrder &order : harness.planAndStart())
        harness.endRun(order, RunOutcome::Failed);
    harness.reportWorkers();
    for (const StartOrder &order : harness.planAndStart())
        CHECK(order.worker.str() == "w1");
    harness.now += seconds(5);
    harness.reportWorkers();
    for (int i = 0; i < 4; ++i) {
        StepSpec step = SchedulerHarness::step(1);
        step.affinity = "r0";
        harness.add("later" + std::to_string(i), {step});
    }
    int trialTasks = 0;
    for (const StartOrder &order : harness.planAndStart())
        trialTasks += order.worker.str() == "w0" ? 1 : 0;
    CHECK(trialTasks == 1);
}

TEST_CASE("a quarantined worker whose long-running task goes on is tried again")
{
    SchedulerHarness harness(1);
    StepSpec lasting = SchedulerHarness::step(1, 2000);
    lasting.longRunning = true;
    harness.add("lasting", {lasting});
    REQUIRE(harness.planAndStart().size() == 1);
    harness.running[WorkerId("w0")].front().percent = 100;
    for (int i = 0; i < 3; ++i)
        harness.add("job" + std::to_string(i), {SchedulerHarness::step(1)});
    for (const StartOrder &order : harness.planAndStart())
        harness.endRun(order, RunOutcome::Failed);
    harness.reportWorkers();
    CHECK(harness.planAndStart().empty()); // quarantined
    harness.now += seconds(5);
    harness.reportWorkers();
    SUBCASE("with a task that ends")
    {
        const std::vector<StartOrder> trial = harness.planAndStart();
        REQUIRE(trial.size() == 1);
        harness.reportWorkers();
        CHECK(harness.planAndStart().empty()); // until the trial has succeeded
        harness.endRun(trial.front(), RunOutcome::Done);
        harness.reportWorkers();
        CHECK(harness.planAndStart().size() == 2);
    }
    SUBCASE("with a task that lasts")
    {
        for (int i = 0; i < 3; ++i)
            harness.scheduler.cancelJob(JobId("job" + std::to_string(i)), harness.now);
        harness.add("another", {lasting});
        const std::vector<StartOrder> trial = harness.planAndStart();
        REQUIRE(trial.size() == 1);
        harness.add("third", {lasting});
        harness.reportWorkers();
        CHECK(harness.planAndStart().empty()); // until it is at work
        harness.running[WorkerId("w0")].back().percent = 100;
        harness.reportWorkers();
        CHECK(harness.planAndStart().size() == 1);
    }
}

TEST_CASE("a start order without a response is followed by a stop before the task runs elsewhere")
{
    SchedulerHarness harness(2);
    harness.add("a", {SchedulerHarness::step(1)});
    harness.scheduler.plan(harness.now);
    for (const JobChange &change : harness.scheduler.takeChanges(10))
        harness.scheduler.onSaved(change.job, change.version, harness.now);
    const StartOrder order = harness.scheduler.takeStarts().at(0);
    harness.scheduler.onStartAnswered(order, StartOutcome::Unknown, harness.now);
    harness.now += milliseconds(100);
    harness.reportWorkers(); // does not contain the run, which may still start later
    harness.scheduler.plan(harness.now);
    CHECK(harness.scheduler.takeStarts().empty());
    const std::vector<StopOrder> stops = harness.scheduler.takeStops();
    REQUIRE(stops.size() == 1);
    harness.scheduler.onStopAnswered(stops.front(), true, harness.now);
    harness.now += milliseconds(100);
    harness.reportWorkers();
    const std::vector<StartOrder> again = harness.planAndStart();
    REQUIRE(again.size() == 1);
    CHECK(again.front().run.value == 2);
}

TEST_CASE("a job is pending until a worker has confirmed its first run")
{
    SchedulerHarness harness(1);
    harness.add("a", {SchedulerHarness::step(2)});
    harness.scheduler.plan(harness.now);
    for (const JobChange &change : harness.scheduler.takeChanges(10)) {
        CHECK(change.state == JobState::Pending);
        harness.scheduler.onSaved(change.job, change.version, harness.now);
    }
    const std::vector<StartOrder> starts = harness.scheduler.takeStarts();
    REQUIRE(starts.size() == 2);
    harness.scheduler.onStartAnswered(starts.front(), StartOutcome::Started, harness.now);
    CHECK(harness.state("a") == JobState::Active);
    CHECK(harness.scheduler.takeChanges(10).at(0).state == JobState::Active);
}

TEST_CASE("a job whose only start order was lost is pending")
{
    SchedulerHarness harness(1);
    harness.add("a", {SchedulerHarness::step(1)});
    harness.scheduler.plan(harness.now);
    for (const JobChange &change : harness.scheduler.takeChanges(10))
        harness.scheduler.onSaved(change.job, change.version, harness.now);
    const StartOrder order = harness.scheduler.takeStarts().at(0);
    harness.scheduler.onStartAnswered(order, StartOutcome::Unknown, harness.now);
    harness.now += milliseconds(100);
    harness.reportWorkers(); // does not contain the run, which may still start, so it is stopped
    const StopOrder stop = harness.scheduler.takeStops().at(0);
    harness.scheduler.onStopAnswered(stop, true, harness.now);
    harness.now += milliseconds(100);
    harness.reportWorkers();
    const ScheduledJob &job = *harness.scheduler.jobs().at(JobId("a"));
    CHECK(job.tasks.front().progress.phase == TaskPhase::Waiting);
    CHECK(job.state == JobState::Pending);
}

TEST_CASE("runs of a job that a former coordinator recorded as cancelled are stopped")
{
    SchedulerHarness harness(1);
    JobSpec spec;
    spec.id = JobId("a");
    spec.queue = QueueId("urgent");
    spec.steps = {SchedulerHarness::step(1)};
    JobProgress progress;
    progress.state = JobState::Cancelled;
    progress.tasks.resize(1);
    progress.tasks[0].phase = TaskPhase::Assigned;
    progress.tasks[0].run.value = 1;
    progress.tasks[0].worker = WorkerId("w0");
    progress.tasks[0].incarnation.value = 1;
    harness.scheduler.addJob(spec, progress, harness.now, harness.now);
    harness.running[WorkerId("w0")].push_back({{JobId("a"), 0, 0, 0}, RunNumber{1}, {}, 50, 0});
    harness.now += milliseconds(100);
    harness.reportWorkers();
    CHECK(harness.scheduler.takeStops().size() == 1);
}

TEST_CASE("ended runs are acknowledged only after the record of their job is stored")
{
    SchedulerHarness harness(1);
    harness.add("a", {SchedulerHarness::step(1)});
    const StartOrder order = harness.planAndStart().at(0);
    harness.endRun(order, RunOutcome::Done);
    harness.reportWorkers();
    CHECK(harness.scheduler.acknowledgeablePosition(order.worker) == 0);
    CHECK(harness.scheduler.hasPendingAcknowledgements(order.worker));
    for (const JobChange &change : harness.scheduler.takeChanges(10))
        harness.scheduler.onSaved(change.job, change.version, harness.now);
    // The next renewal no longer has to wait for the store; it can return other ended runs.
    CHECK_FALSE(harness.scheduler.hasPendingAcknowledgements(order.worker));
    CHECK(harness.scheduler.acknowledgeablePosition(order.worker) == 1);
}

TEST_CASE("best-effort tasks start only on idle processors, and pause while a serving task is over "
          "target")
{
    SchedulerHarness harness(1, 10000);
    StepSpec serving = SchedulerHarness::step(1, 8000);
    serving.longRunning = true;
    serving.image = "desk";
    serving.tailLatencyTarget = milliseconds(100);
    harness.add("serving", {serving});
    REQUIRE(harness.planAndStart().size() == 1);
    StepSpec bestEffortStep = SchedulerHarness::step(20, 2000);
    bestEffortStep.bestEffort = true;
    bestEffortStep.image = "report";
    harness.add("best-effort", {bestEffortStep}, "batch");
    const std::size_t started = harness.planAndStart().size();
    CHECK(started >= 1);
    CHECK(started <= 4); // about half of the serving task's processors are idle
    // The serving task exceeds its tail target for more than two seconds.
    for (int i = 0; i < 5; ++i) {
        for (ActiveRun &row : harness.running[WorkerId("w0")]) {
            const bool isServing = row.task.job.str() == "serving";
            row.percent = isServing ? 100 : 10;
            row.usage = isServing ? 300 : 1800;
        }
        harness.now += milliseconds(500);
        harness.reportWorkers();
    }
    std::map<int, int> lastPace;
    for (const PaceOrder &order : harness.scheduler.takePaces())
        lastPace[order.task.index] = order.percent;
    CHECK(lastPace.size() == started);
    for (const auto &[index, pace] : lastPace)
        CHECK(pace == 0);
}

TEST_CASE("best-effort tasks that found no worker are tried again after a pause, others at once")
{
    SchedulerHarness harness(1, 4000);
    harness.add("full", {SchedulerHarness::step(1, 4000)});
    const std::vector<StartOrder> first = harness.planAndStart();
    REQUIRE(first.size() == 1);
    StepSpec bestEffortStep = SchedulerHarness::step(1, 2000);
    bestEffortStep.bestEffort = true;
    harness.add("best-effort", {bestEffortStep}, "batch");
    harness.add("ordinary", {SchedulerHarness::step(1, 1000)}, "batch");
    CHECK(harness.planAndStart().empty());
    harness.endRun(first.front(), RunOutcome::Done);
    harness.now += milliseconds(10);
    harness.reportWorkers();
    const std::vector<StartOrder> second = harness.planAndStart();
    REQUIRE(second.size() == 1);
    CHECK(second.front().task.job.str() == "ordinary");
    harness.now += milliseconds(60);
    const std::vector<StartOrder> third = harness.planAndStart();
    REQUIRE(third.size() == 1);
    CHECK(third.front().task.job.str() == "best-effort");
}

/// Load pattern: the load of a serving task varies a little around the point at which another
/// common pace of the best-effort tasks beside it becomes better. Returns the number of orders on
/// the pace of four such tasks in 30 s.
int paceOrdersAroundLoad(double load, double minGain, std::uint64_t seed)
{
    constexpr double Coefficient = 2; // increase of service times, per share of the worker
    SchedulingSettings settings;
    settings.minCommonPaceGain = minGain;
    SchedulerHarness harness(1, 16000, 64000, settings);
    StepSpec serving = SchedulerHarness::step(3, 2000);
    serving.longRunning = true;
    serving.image = "desk";
    serving.tailLatencyTarget = milliseconds(100);
    harness.add("serving", {serving});
    REQUIRE(harness.planAndStart().size() == 3);
    StepSpec bestEffortStep = SchedulerHarness::step(4, 250);
    bestEffortStep.bestEffort = true;
    bestEffortStep.image = "report";
    harness.add("best-effort", {bestEffortStep}, "batch");
    REQUIRE(harness.planAndStart().size() == 4);
    Random random(seed);
    std::vector<int> paces(4, 100);
    int orders = 0;
    for (int i = 0; i < 120; ++i) {
        double share = 0; // of the worker, used by best-effort tasks
        for (const int pace : paces)
            share += pace / 100.0 * 250 / 16000;
        const double current = load + 0.04 * (random.unit() - 0.5);
        const double slowdown = 1 + Coefficient * share;
        const double tail = 100.0 / 6 * slowdown / std::max(1 - current * slowdown, 0.02);
        for (ActiveRun &row : harness.running[WorkerId("w0")]) {
            const bool isServing = row.task.job.str() == "serving";
            row.percent = isServing ? 100 : 10;
            row.usage = isServing ? tail : 2.5 * paces.at(static_cast<std::size_t>(row.task.index));
        }
        harness.now += milliseconds(250);
        harness.reportWorkers();
        for (const PaceOrder &order : harness.scheduler.takePaces()) {
            paces.at(static_cast<std::size_t>(order.task.index)) = order.percent;
            ++orders;
        }
    }
    return orders;
}

TEST_CASE("a common pace that would be only a little better is not ordered")
{
    int orders = 0;
    int ordersForAnyGain = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const double load : {0.64, 0.65, 0.66, 0.67}) {
            orders += paceOrdersAroundLoad(load, SchedulingSettings().minCommonPaceGain, seed);
            ordersForAnyGain += paceOrdersAroundLoad(load, 0, seed);
        }
    }
    CAPTURE(orders);
    CAPTURE(ordersForAnyGain);
    CHECK(ordersForAnyGain > 0);
    CHECK(orders * 3 < ordersForAnyGain * 2);
}

TEST_CASE("best-effort tasks avoid workers where they interfere strongly with serving tasks")
{
    // Two workers run serving tasks of different images; "report" interferes with "desk" only.
    SchedulerHarness harness(2, 20000);
    for (const char *image : {"desk", "shop"}) {
        StepSpec serving = SchedulerHarness::step(1, 16000);
        serving.longRunning = true;
        serving.image = image;
        serving.tailLatencyTarget = milliseconds(60);
        harness.add(image, {serving});
    }
    std::map<std::string, WorkerId> workerOf;
    for (const StartOrder &order : harness.planAndStart())
        workerOf[order.task.job.str()] = order.worker;
    REQUIRE(workerOf.size() == 2);
    REQUIRE(workerOf["desk"] != workerOf["shop"]);
    StepSpec bestEffortStep = SchedulerHarness::step(1, 2000, seconds(2));
    bestEffortStep.bestEffort = true;
    bestEffortStep.image = "report";
    int besideDesk = 0;
    int late = 0;
    for (int i = 0; i < 60; ++i) {
        if (i % 3 == 0)
            harness.add("best-effort" + std::to_string(i), {bestEffortStep}, "batch");
        for (const StartOrder &order : harness.planAndStart()) {
            const bool isBesideDesk = order.worker == workerOf["desk"];
            besideDesk += isBesideDesk ? 1 : 0;
            late += isBesideDesk && i > 20 ? 1 : 0;
        }
        for (auto &[worker, rows] : harness.running) {
            double stretch = 1;
            for (ActiveRun &row : rows) {
                row.percent = 100;
                if (row.task.job.str().rfind("best-effort", 0) != 0)
                    continue;
                row.usage = 2000;
                stretch += worker == workerOf["desk"] ? 0.5 : 0.01;
            }
            for (ActiveRun &row : rows) {
                if (row.task.job.str().rfind("best-effort", 0) != 0)
                    row.usage = 10 * stretch / (1 - std::min(0.6 * stretch, 0.98));
            }
            if (rows.size() > 4) // the oldest best-effort task ends
                rows.erase(rows.begin() + 1);
        }
        harness.now += milliseconds(400);
        harness.reportWorkers();
    }
    CHECK(besideDesk <= 4);
    CHECK(late == 0);
}

TEST_CASE("with a backlog far above the capacity, freed capacity is used at once")
{
    // All tasks request the same resources. Passes remember that no worker was found, and must try
    // the request again on a worker whose capacity is freed.
    SchedulerHarness harness(20, 10000);
    for (int i = 0; i < 200; ++i)
        harness.add("backlog" + std::to_string(i), {SchedulerHarness::step(10)});
    const std::vector<StartOrder> first = harness.planAndStart();
    CHECK(first.size() == 200); // 20 workers with 10 processors each
    CHECK(harness.planAndStart().empty());
    harness.now += milliseconds(10);
    harness.endRun(first.at(7), RunOutcome::Done);
    harness.reportWorkers();
    const std::vector<StartOrder> next = harness.planAndStart();
    REQUIRE(next.size() == 1);
    CHECK(next.front().worker == first.at(7).worker);
    // The failed request does not block a smaller one.
    harness.now += milliseconds(10);
    harness.endRun(first.at(9), RunOutcome::Done);
    harness.reportWorkers();
    harness.add("small", {SchedulerHarness::step(2, 500)});
    CHECK(harness.planAndStart().size() >= 1);
}

TEST_CASE("serving tasks of the same image share workers")
{
    SchedulerHarness harness(4, 16000);
    for (const char *image : {"x", "y", "x", "y", "x", "y", "x", "y"}) {
        StepSpec step = SchedulerHarness::step(1, 4000);
        step.longRunning = true;
        step.image = image;
        step.tailLatencyTarget = milliseconds(100);
        harness.add(std::string("serving-") + std::to_string(harness.scheduler.jobs().size())
                            + image,
                    {step});
    }
    std::map<WorkerId, std::set<char>> images;
    for (const StartOrder &order : harness.planAndStart())
        images[order.worker].insert(order.task.job.str().back());
    CHECK(images.size() == 2);
    for (const auto &[worker, kinds] : images)
        CHECK(kinds.size() == 1);
}

TEST_CASE("a running long-running job preempts other tasks to restart when there is no capacity")
{
    SchedulerHarness harness(1, 4000);
    StepSpec longRunningStep = SchedulerHarness::step(1, 2000);
    longRunningStep.longRunning = true;
    harness.add("long-running", {longRunningStep});
    const StartOrder first = harness.planAndStart().at(0);
    harness.add("other", {SchedulerHarness::step(8)});
    CHECK(harness.planAndStart().size() == 2);
    harness.endRun(first, RunOutcome::Failed);
    harness.reportWorkers();
    harness.add("more", {SchedulerHarness::step(2)});
    const std::vector<StartOrder> again = harness.planAndStart();
    REQUIRE_FALSE(again.empty());
    CHECK(again.front().task.job.str() == "long-running"); // before the tasks that waited earlier
}

TEST_CASE("occurrences of a repeated job become due by the time of day")
{
    SchedulerHarness harness(1);
    JobSpec spec;
    spec.id = JobId("timed");
    spec.queue = QueueId("batch");
    spec.steps = {SchedulerHarness::step(1)};
    spec.occurrences = 3;
    spec.firstDue.value = 5000;
    spec.interval = seconds(2);
    harness.scheduler.setWallClock({4000}, harness.now);
    harness.scheduler.addJob(spec, std::nullopt, harness.now, harness.now);
    CHECK(harness.planAndStart().empty());
    harness.now += milliseconds(1001);
    harness.reportWorkers();
    CHECK(harness.planAndStart().size() == 1);
    harness.now += milliseconds(2000);
    harness.reportWorkers();
    CHECK(harness.planAndStart().size() == 1); // overlaps the first
}
