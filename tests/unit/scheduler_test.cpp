// Tests the decisions of the scheduler in isolation: calls replace workers and the store.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "scheduling/scheduling.h"

#include <algorithm>
#include <map>
#include <set>

using namespace monsoonledge;

namespace {

constexpr int WorkerClockStart = 1000;

/// A scheduler with simulated workers that report immediately and a store that accepts every
/// record.
class Bench
{
public:
    explicit Bench(int workerCount, std::uint64_t cpu = 16000, std::uint64_t memory = 64000)
        : scheduler(
                {}, seconds(10), [](const LogEvent &) {}, now)
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
            result.clockMs = WorkerClockStart;
            result.incarnation = entry.incarnation;
            result.running = running[entry.id];
            result.finished = finished[entry.id];
            scheduler.onReport(entry.id, now, result, now);
        }
    }

    /// Moves a run from the worker's list of running tasks to its list of ended runs.
    void endRun(const StartOrder &order, RunEnd outcome)
    {
        auto &list = running[order.worker];
        list.erase(std::remove_if(list.begin(), list.end(),
                                  [&](const RunningTask &row) { return row.task == order.task; }),
                   list.end());
        auto &ended = finished[order.worker];
        ended.push_back({ended.size() + 1, order.task, order.run, outcome, {}});
    }

    JobState state(const std::string &id) const { return scheduler.jobs().at(JobId(id))->state; }

    Time now{std::chrono::hours(1)};
    Scheduler scheduler;
    std::vector<WorkerEntry> entries;
    std::map<WorkerId, std::vector<RunningTask>> running;
    std::map<WorkerId, std::vector<FinishedTask>> finished;
    std::set<WorkerId> silent;
};

} // namespace

TEST_CASE("tasks are placed within the workers' capacity and in the order of their steps")
{
    Bench bench(2, 4000);
    StepSpec second = Bench::step(2);
    second.after = {0};
    bench.add("a", {Bench::step(10), second});
    const std::vector<StartOrder> first = bench.planAndStart();
    CHECK(first.size() == 8); // two workers with four cores each
    for (const StartOrder &order : first)
        CHECK(order.task.step == 0);
    for (const StartOrder &order : first)
        bench.endRun(order, RunEnd::Done);
    bench.reportWorkers();
    CHECK(bench.planAndStart().size() == 2);
    CHECK(bench.state("a") == JobState::Active);
}

TEST_CASE("labels, racks, anti-affinity and memory restrict the choice of workers")
{
    Bench bench(4, 16000, 1000);
    StepSpec step = Bench::step(4);
    step.antiAffinity = 1;
    bench.add("apart", {step});
    std::set<WorkerId> used;
    for (const StartOrder &order : bench.planAndStart())
        used.insert(order.worker);
    CHECK(used.size() == 4);

    step = Bench::step(2);
    step.requirement = "gpu";
    bench.add("nowhere", {step});
    CHECK(bench.planAndStart().empty());

    step = Bench::step(2);
    step.affinity = "r1";
    bench.add("near", {step});
    for (const StartOrder &order : bench.planAndStart())
        CHECK((order.worker.str() == "w1" || order.worker.str() == "w3"));

    step = Bench::step(1);
    step.memory.value = 2000;
    bench.add("large", {step});
    CHECK(bench.planAndStart().empty());
}

TEST_CASE("a gang is started as a whole or not at all")
{
    Bench bench(1, 4000);
    StepSpec gang = Bench::step(5);
    gang.gang = true;
    bench.add("toowide", {gang});
    CHECK(bench.planAndStart().empty());
    gang.count = 4;
    bench.add("fits", {gang});
    const std::vector<StartOrder> starts = bench.planAndStart();
    CHECK(starts.size() == 4);
    bench.endRun(starts.front(),
                 RunEnd::Done); // the result of one member counts for the whole gang
    bench.reportWorkers();
    CHECK(bench.state("fits") == JobState::Completed);
}

TEST_CASE("under overload, jobs that can meet their objective are started before late ones")
{
    // 40 jobs are submitted at once to a worker with capacity for 4, then one more that can still
    // be on time. Without this order, an overload makes every job late.
    Bench bench(1, 4000);
    for (int i = 0; i < 40; ++i)
        bench.add("backlog" + std::to_string(i), {Bench::step(1)});
    std::vector<StartOrder> current = bench.planAndStart();
    CHECK(current.size() == 4);
    bench.now += seconds(3); // the objective of the first 40 jobs has passed
    bench.reportWorkers();
    bench.add("fresh", {Bench::step(1)});
    for (const StartOrder &order : current)
        bench.endRun(order, RunEnd::Done);
    bench.reportWorkers();
    current = bench.planAndStart();
    REQUIRE(current.size() == 4);
    CHECK(current.front().task.job.str() == "fresh");
}

TEST_CASE("a failed task is retried on another worker, and its job fails after the last attempt")
{
    Bench bench(2);
    bench.add("a", {Bench::step(1)});
    const StartOrder first = bench.planAndStart().at(0);
    bench.endRun(first, RunEnd::Failed);
    bench.reportWorkers();
    const StartOrder second = bench.planAndStart().at(0);
    CHECK(second.worker != first.worker);
    CHECK(second.run.value == 2);
    bench.endRun(second, RunEnd::Failed);
    bench.reportWorkers();
    CHECK(bench.state("a") == JobState::Failed);
}

TEST_CASE("a worker that fails runs of several jobs is quarantined, then tried with one task")
{
    Bench bench(2);
    std::vector<StartOrder> starts;
    for (int i = 0; i < 8; ++i) {
        StepSpec step = Bench::step(1);
        step.affinity = "r0";
        bench.add("job" + std::to_string(i), {step});
    }
    for (const StartOrder &order : bench.planAndStart())
        bench.endRun(order, RunEnd::Failed);
    bench.reportWorkers();
    for (const StartOrder &order : bench.planAndStart())
        CHECK(order.worker.str() == "w1");
    bench.now += seconds(5);
    bench.reportWorkers();
    for (int i = 0; i < 4; ++i) {
        StepSpec step = Bench::step(1);
        step.affinity = "r0";
        bench.add("later" + std::to_string(i), {step});
    }
    int onTrial = 0;
    for (const StartOrder &order : bench.planAndStart())
        onTrial += order.worker.str() == "w0" ? 1 : 0;
    CHECK(onTrial == 1);
}

TEST_CASE("a start order without a response is followed by a stop before the task runs elsewhere")
{
    Bench bench(2);
    bench.add("a", {Bench::step(1)});
    bench.scheduler.plan(bench.now);
    for (const JobChange &change : bench.scheduler.takeChanges(10))
        bench.scheduler.onSaved(change.job, change.version, bench.now);
    const StartOrder order = bench.scheduler.takeStarts().at(0);
    bench.scheduler.onStartAnswered(order, StartOutcome::Unknown, bench.now);
    bench.now += milliseconds(100);
    bench.reportWorkers(); // does not contain the run, which may still start later
    bench.scheduler.plan(bench.now);
    CHECK(bench.scheduler.takeStarts().empty());
    const std::vector<StopOrder> stops = bench.scheduler.takeStops();
    REQUIRE(stops.size() == 1);
    bench.scheduler.onStopAnswered(stops.front(), true, bench.now);
    bench.now += milliseconds(100);
    bench.reportWorkers();
    const std::vector<StartOrder> again = bench.planAndStart();
    REQUIRE(again.size() == 1);
    CHECK(again.front().run.value == 2);
}

TEST_CASE("a job is pending until a worker has confirmed its first run")
{
    Bench bench(1);
    bench.add("a", {Bench::step(2)});
    bench.scheduler.plan(bench.now);
    for (const JobChange &change : bench.scheduler.takeChanges(10)) {
        CHECK(change.state == JobState::Pending);
        bench.scheduler.onSaved(change.job, change.version, bench.now);
    }
    const std::vector<StartOrder> starts = bench.scheduler.takeStarts();
    REQUIRE(starts.size() == 2);
    bench.scheduler.onStartAnswered(starts.front(), StartOutcome::Started, bench.now);
    CHECK(bench.state("a") == JobState::Active);
    CHECK(bench.scheduler.takeChanges(10).at(0).state == JobState::Active);
}

TEST_CASE("a job whose only start order was lost is pending")
{
    Bench bench(1);
    bench.add("a", {Bench::step(1)});
    bench.scheduler.plan(bench.now);
    for (const JobChange &change : bench.scheduler.takeChanges(10))
        bench.scheduler.onSaved(change.job, change.version, bench.now);
    const StartOrder order = bench.scheduler.takeStarts().at(0);
    bench.scheduler.onStartAnswered(order, StartOutcome::Unknown, bench.now);
    bench.now += milliseconds(100);
    bench.reportWorkers(); // does not contain the run, which may still start, so it is stopped
    const StopOrder stop = bench.scheduler.takeStops().at(0);
    bench.scheduler.onStopAnswered(stop, true, bench.now);
    bench.now += milliseconds(100);
    bench.reportWorkers();
    const ScheduledJob &job = *bench.scheduler.jobs().at(JobId("a"));
    CHECK(job.tasks.front().progress.phase == TaskPhase::Waiting);
    CHECK(job.state == JobState::Pending);
}

TEST_CASE("runs of a job that a former coordinator recorded as cancelled are stopped")
{
    Bench bench(1);
    JobSpec spec;
    spec.id = JobId("a");
    spec.queue = QueueId("urgent");
    spec.steps = {Bench::step(1)};
    JobProgress progress;
    progress.state = JobState::Cancelled;
    progress.tasks.resize(1);
    progress.tasks[0].phase = TaskPhase::Assigned;
    progress.tasks[0].run.value = 1;
    progress.tasks[0].worker = WorkerId("w0");
    progress.tasks[0].incarnation.value = 1;
    bench.scheduler.addJob(spec, progress, bench.now, bench.now);
    bench.running[WorkerId("w0")].push_back({{JobId("a"), 0, 0, 0}, RunNumber{1}, {}, 50, 0});
    bench.now += milliseconds(100);
    bench.reportWorkers();
    CHECK(bench.scheduler.takeStops().size() == 1);
}

TEST_CASE("ended runs are acknowledged only after the record of their job is stored")
{
    Bench bench(1);
    bench.add("a", {Bench::step(1)});
    const StartOrder order = bench.planAndStart().at(0);
    bench.endRun(order, RunEnd::Done);
    bench.reportWorkers();
    CHECK(bench.scheduler.acknowledgeable(order.worker) == 0);
    CHECK(bench.scheduler.hasPendingEnds(order.worker));
    for (const JobChange &change : bench.scheduler.takeChanges(10))
        bench.scheduler.onSaved(change.job, change.version, bench.now);
    // The next renewal no longer has to wait for the store; it can return other ended runs.
    CHECK_FALSE(bench.scheduler.hasPendingEnds(order.worker));
    CHECK(bench.scheduler.acknowledgeable(order.worker) == 1);
}

TEST_CASE("best-effort tasks start only on idle processors, and pause while a serving task is over "
          "target")
{
    Bench bench(1, 10000);
    StepSpec serving = Bench::step(1, 8000);
    serving.longRunning = true;
    serving.image = "desk";
    serving.tailTarget = milliseconds(100);
    bench.add("serving", {serving});
    REQUIRE(bench.planAndStart().size() == 1);
    StepSpec fill = Bench::step(20, 2000);
    fill.fills = true;
    fill.image = "report";
    bench.add("best-effort", {fill}, "batch");
    const std::size_t started = bench.planAndStart().size();
    CHECK(started >= 1);
    CHECK(started <= 4); // about half of the serving task's processors are idle
    // The serving task exceeds its tail target for more than two seconds.
    for (int i = 0; i < 5; ++i) {
        for (RunningTask &row : bench.running[WorkerId("w0")]) {
            const bool isServing = row.task.job.str() == "serving";
            row.percent = isServing ? 100 : 10;
            row.usage = isServing ? 300 : 1800;
        }
        bench.now += milliseconds(500);
        bench.reportWorkers();
    }
    std::map<int, int> lastPace;
    for (const PaceOrder &order : bench.scheduler.takePaces())
        lastPace[order.task.index] = order.percent;
    CHECK(lastPace.size() == started);
    for (const auto &[index, pace] : lastPace)
        CHECK(pace == 0);
}

TEST_CASE("best-effort tasks avoid workers where they interfere strongly with serving tasks")
{
    // Two workers run serving tasks of different images; "report" interferes with "desk" only.
    Bench bench(2, 20000);
    for (const char *image : {"desk", "shop"}) {
        StepSpec serving = Bench::step(1, 16000);
        serving.longRunning = true;
        serving.image = image;
        serving.tailTarget = milliseconds(60);
        bench.add(image, {serving});
    }
    std::map<std::string, WorkerId> workerOf;
    for (const StartOrder &order : bench.planAndStart())
        workerOf[order.task.job.str()] = order.worker;
    REQUIRE(workerOf.size() == 2);
    REQUIRE(workerOf["desk"] != workerOf["shop"]);
    StepSpec fill = Bench::step(1, 2000, seconds(2));
    fill.fills = true;
    fill.image = "report";
    int besideDesk = 0;
    int late = 0;
    for (int i = 0; i < 60; ++i) {
        if (i % 3 == 0)
            bench.add("best-effort" + std::to_string(i), {fill}, "batch");
        for (const StartOrder &order : bench.planAndStart()) {
            const bool isBesideDesk = order.worker == workerOf["desk"];
            besideDesk += isBesideDesk ? 1 : 0;
            late += isBesideDesk && i > 20 ? 1 : 0;
        }
        for (auto &[worker, rows] : bench.running) {
            double stretch = 1;
            for (RunningTask &row : rows) {
                row.percent = 100;
                if (row.task.job.str().rfind("best-effort", 0) != 0)
                    continue;
                row.usage = 2000;
                stretch += worker == workerOf["desk"] ? 0.5 : 0.01;
            }
            for (RunningTask &row : rows) {
                if (row.task.job.str().rfind("best-effort", 0) != 0)
                    row.usage = 10 * stretch / (1 - std::min(0.6 * stretch, 0.98));
            }
            if (rows.size() > 4) // the oldest best-effort task ends
                rows.erase(rows.begin() + 1);
        }
        bench.now += milliseconds(400);
        bench.reportWorkers();
    }
    CHECK(besideDesk <= 4);
    CHECK(late == 0);
}

TEST_CASE("with a backlog far above the capacity, freed capacity is used at once")
{
    // All tasks request the same resources. Passes remember that no worker was found, and must try
    // the request again on a worker whose capacity is freed.
    Bench bench(20, 10000);
    for (int i = 0; i < 200; ++i)
        bench.add("backlog" + std::to_string(i), {Bench::step(10)});
    const std::vector<StartOrder> first = bench.planAndStart();
    CHECK(first.size() == 200); // 20 workers with 10 processors each
    CHECK(bench.planAndStart().empty());
    bench.now += milliseconds(10);
    bench.endRun(first.at(7), RunEnd::Done);
    bench.reportWorkers();
    const std::vector<StartOrder> next = bench.planAndStart();
    REQUIRE(next.size() == 1);
    CHECK(next.front().worker == first.at(7).worker);
    // The failed request does not block a smaller one.
    bench.now += milliseconds(10);
    bench.endRun(first.at(9), RunEnd::Done);
    bench.reportWorkers();
    bench.add("small", {Bench::step(2, 500)});
    CHECK(bench.planAndStart().size() >= 1);
}

TEST_CASE("serving tasks of the same image share workers")
{
    Bench bench(4, 16000);
    for (const char *image : {"x", "y", "x", "y", "x", "y", "x", "y"}) {
        StepSpec step = Bench::step(1, 4000);
        step.longRunning = true;
        step.image = image;
        step.tailTarget = milliseconds(100);
        bench.add(std::string("serving-") + std::to_string(bench.scheduler.jobs().size()) + image,
                  {step});
    }
    std::map<WorkerId, std::set<char>> images;
    for (const StartOrder &order : bench.planAndStart())
        images[order.worker].insert(order.task.job.str().back());
    CHECK(images.size() == 2);
    for (const auto &[worker, kinds] : images)
        CHECK(kinds.size() == 1);
}

TEST_CASE("a running long-running job preempts other tasks to restart when there is no capacity")
{
    Bench bench(1, 4000);
    StepSpec lasting = Bench::step(1, 2000);
    lasting.longRunning = true;
    bench.add("long-running", {lasting});
    const StartOrder first = bench.planAndStart().at(0);
    bench.add("other", {Bench::step(8)});
    CHECK(bench.planAndStart().size() == 2);
    bench.endRun(first, RunEnd::Failed);
    bench.reportWorkers();
    bench.add("more", {Bench::step(2)});
    const std::vector<StartOrder> again = bench.planAndStart();
    REQUIRE_FALSE(again.empty());
    CHECK(again.front().task.job.str() == "long-running"); // before the tasks that waited earlier
}

TEST_CASE("occurrences of a repeated job become due by the time of day")
{
    Bench bench(1);
    JobSpec spec;
    spec.id = JobId("timed");
    spec.queue = QueueId("batch");
    spec.steps = {Bench::step(1)};
    spec.occurrences = 3;
    spec.firstDue.value = 5000;
    spec.interval = seconds(2);
    bench.scheduler.setWallClock({4000}, bench.now);
    bench.scheduler.addJob(spec, std::nullopt, bench.now, bench.now);
    CHECK(bench.planAndStart().empty());
    bench.now += milliseconds(1001);
    bench.reportWorkers();
    CHECK(bench.planAndStart().size() == 1);
    bench.now += milliseconds(2000);
    bench.reportWorkers();
    CHECK(bench.planAndStart().size() == 1); // overlaps the first
}
