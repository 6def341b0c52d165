// Decisions of the scheduler on the order of jobs, the placement of tasks and failures.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"

using namespace monsoonledge;

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

/// Load pattern: a large urgent task waits beside small tasks that are less urgent. Room for a
/// small one becomes free.
TEST_CASE("a large task that finds no room does not keep a smaller one from it")
{
    SchedulerHarness harness(1, 4000);
    harness.add("running", {SchedulerHarness::step(4, 1000)});
    const std::vector<StartOrder> running = harness.planAndStart();
    REQUIRE(running.size() == 4);
    harness.add("small", {SchedulerHarness::step(1, 1000)}, "batch");
    CHECK(harness.planAndStart().empty());
    harness.add("large", {SchedulerHarness::step(1, 3000)}, "urgent");
    CHECK(harness.planAndStart().empty());
    harness.endRun(running.front(), RunOutcome::Done);
    harness.now += milliseconds(10);
    harness.reportWorkers();
    const std::vector<StartOrder> started = harness.planAndStart();
    REQUIRE(started.size() == 1);
    CHECK(started.front().task.job.str() == "small");
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
    harness.addRestored("a", JobState::Cancelled, {1});
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

// Guards against LOST: a task that lasts until its job is cancelled was taken for finished.
TEST_CASE("a long-running task is started again however it ends")
{
    SchedulerHarness harness(2);
    StepSpec step = SchedulerHarness::step(3);
    step.longRunning = true;
    RunOutcome outcome = RunOutcome::Done;
    SUBCASE("done") { }
    SUBCASE("done, as a gang")
    {
        step.gang = true;
    }
    SUBCASE("failed")
    {
        outcome = RunOutcome::Failed;
    }
    SUBCASE("stopped")
    {
        outcome = RunOutcome::Stopped;
    }
    harness.add("lasting", {step});
    std::vector<StartOrder> starts = harness.planAndStart();
    REQUIRE(starts.size() == 3);
    for (int round = 0; round < 4; ++round) {
        harness.now += seconds(2);
        harness.reportWorkers();
        for (const StartOrder &order : starts)
            harness.endRun(order, outcome);
        harness.reportWorkers();
        CHECK(harness.state("lasting") == JobState::Active);
        harness.now += seconds(2); // less than users may notice
        harness.reportWorkers();
        starts = harness.planAndStart();
        REQUIRE(starts.size() == 3);
    }
}

TEST_CASE("a long-running task whose lost run has ended as done is started again")
{
    SchedulerHarness harness(2);
    StepSpec step = SchedulerHarness::step(1);
    step.longRunning = true;
    harness.add("lasting", {step});
    const StartOrder first = harness.planAndStart().at(0);
    harness.silent.insert(first.worker);
    for (int i = 0; i < 80; ++i) { // until the lease has run out; no other worker takes the task
        harness.now += milliseconds(100);
        if (i == 0)
            harness.entries.back().draining = harness.entries.front().draining = true;
        harness.scheduler.setWorkers(harness.entries, harness.now);
        harness.reportWorkers();
        harness.planAndStart();
    }
    harness.silent.clear();
    harness.endRun(first, RunOutcome::Done);
    harness.reportWorkers();
    CHECK(harness.state("lasting") == JobState::Active);
    harness.entries.back().draining = harness.entries.front().draining = false;
    harness.scheduler.setWorkers(harness.entries, harness.now);
    harness.now += seconds(2);
    harness.reportWorkers();
    CHECK(harness.planAndStart().size() == 1);
}

TEST_CASE("a long-running task that a former coordinator recorded as done is started again")
{
    SchedulerHarness harness(1);
    JobSpec spec;
    spec.id = JobId("lasting");
    spec.queue = QueueId("urgent");
    spec.steps = {SchedulerHarness::step(1)};
    spec.steps[0].longRunning = true;
    JobProgress progress;
    progress.state = JobState::Active;
    progress.tasks.resize(1);
    progress.tasks[0].phase = TaskPhase::Done;
    progress.tasks[0].run.value = 1;
    harness.scheduler.addJob(spec, progress, harness.now, harness.now);
    const std::vector<StartOrder> starts = harness.planAndStart();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run.value == 2);
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

// Guards against LOST: the room of workers that work again was left unused for up to 16 s.
TEST_CASE("tasks start soon after workers have stopped failing, although all of them had failed")
{
    SchedulerHarness harness(6);
    const auto startsInTick = [&](RunOutcome outcome) {
        const std::vector<StartOrder> starts = harness.planAndStart();
        harness.now += milliseconds(100);
        for (const StartOrder &order : starts)
            harness.endRun(order, outcome);
        harness.reportWorkers();
        return starts.size();
    };
    for (int tick = 0; tick < 250; ++tick) { // 25 s in which every run fails
        harness.add("job" + std::to_string(tick), {SchedulerHarness::step(2)});
        startsInTick(RunOutcome::Failed);
    }
    std::size_t starts = 0;
    for (int tick = 0; tick < 30; ++tick) // 3 s
        starts += startsInTick(RunOutcome::Done);
    CHECK(starts > 6); // each worker has been tried, and more
}
