// Slow workers: how their speed is measured, and which tasks they are given.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/schedulerharness.h"
#include "overload/overload.h"
#include "scheduling/workerspeed.h"

using namespace monsoonledge;

namespace {

constexpr Duration Tick = milliseconds(50);
constexpr int TicksPerReport = 10;

SchedulingSettings withSpeeds(bool isOn = true)
{
    SchedulingSettings settings;
    settings.avoidsSlowWorkers = isOn;
    settings.warmupOverage = 2;
    return settings;
}

/// Workers that make progress in virtual time. Each reports every 500 ms, at different times.
class SpeedFleet : public SchedulerHarness
{
public:
    explicit SpeedFleet(int workerCount, SchedulingSettings settings = withSpeeds(),
                        std::uint64_t cpu = 4000)
        : SchedulerHarness(workerCount, cpu, 64000, settings)
    { }

    void advance(Duration duration)
    {
        for (const Time end = now + duration; now < end;) {
            now += Tick;
            ++ticks_;
            progressRuns();
            report();
            for (const StartOrder &order : planAndStart())
                shares[order.task.job.str() + std::to_string(order.task.step) + '.'
                       + std::to_string(order.task.index)] = 0;
            for (const PaceOrder &order : scheduler.takePaces())
                paces[order.task.job] = order.percent / 100.0;
            scheduler.takeStops();
        }
    }

    /// A job every `interval` for `duration`, of `count` tasks that last 600 ms by their estimate.
    void offer(const std::string &prefix, int count, Duration interval, Duration duration)
    {
        for (const Time end = now + duration; now < end; advance(interval))
            add(prefix + std::to_string(++jobs_), {step(count, 1000, milliseconds(600))});
    }

    double factorOf(const std::string &id) const
    {
        return scheduler.workers().at(WorkerId(id))->speedFactor;
    }

    int slowCount() const
    {
        return static_cast<int>(
                std::count_if(scheduler.workers().begin(), scheduler.workers().end(),
                              [](const auto &item) { return item.second->speedFactor < 1; }));
    }

    int logged(const std::string &event) const
    {
        return static_cast<int>(std::count_if(
                log.begin(), log.end(), [&](const LogEvent &line) { return line.event == event; }));
    }

    /// Number of jobs that were done within a latency.
    int doneWithin(Duration latency) const
    {
        int count = 0;
        for (const auto &[id, job] : scheduler.jobs())
            count += isFinal(job->state) && job->finalAt - job->submittedAt <= latency ? 1 : 0;
        return count;
    }

    std::map<WorkerId, double> speeds; // 1 if not listed
    std::map<JobId, Duration> durations; // of tasks; 600 ms if not listed
    std::map<JobId, double> paces; // of best-effort tasks
    std::map<std::string, double> shares; // done, by run
    bool reportsProgress = true;

private:
    void progressRuns()
    {
        for (const WorkerEntry &entry : entries) {
            const double speed = speeds.count(entry.id) > 0 ? speeds[entry.id] : 1;
            for (std::size_t i = running[entry.id].size(); i-- > 0;) {
                ActiveRun &run = running[entry.id][i];
                const JobId &job = run.task.job;
                const Duration duration =
                        durations.count(job) > 0 ? durations[job] : milliseconds(600);
                const double pace = paces.count(job) > 0 ? paces[job] : 1;
                double &share = shares[job.str() + std::to_string(run.task.step) + '.'
                                       + std::to_string(run.task.index)];
                share += toMilliseconds(Tick) / toMilliseconds(duration) * speed * pace;
                run.percent = reportsProgress ? static_cast<int>(100 * std::min(share, 1.0)) : 0;
                if (share < 1)
                    continue;
                finished[entry.id].push_back(
                        {++positions_[entry.id], run.task, run.run, RunOutcome::Done, {}});
                running[entry.id].erase(running[entry.id].begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    }

    void report()
    {
        const std::set<WorkerId> unreachable = silent;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const WorkerId &id = entries[i].id;
            if ((ticks_ + static_cast<int>(i)) % TicksPerReport != 0)
                silent.insert(id);
            auto &ended = finished[id];
            const std::uint64_t known = scheduler.acknowledgeablePosition(id);
            ended.erase(
                    std::remove_if(ended.begin(), ended.end(),
                                   [&](const FinishedRun &run) { return run.position <= known; }),
                    ended.end());
        }
        reportWorkers();
        silent = unreachable;
    }

    std::map<WorkerId, std::uint64_t> positions_;
    int ticks_ = 0;
    int jobs_ = 0;
};

} // namespace

TEST_CASE("a slow worker among fast ones is found by the progress or the duration of its runs")
{
    SpeedFleet fleet(8);
    fleet.speeds[WorkerId("w3")] = 0.25;
    SUBCASE("runs that report progress, several tasks to a step") { }
    SUBCASE("runs that report none are counted when they end")
    {
        fleet.reportsProgress = false;
    }
    fleet.offer("a", 8, milliseconds(200), seconds(6));
    CHECK(fleet.slowCount() == 1);
    CHECK(fleet.factorOf("w3") == doctest::Approx(0.25).epsilon(0.4));
    CHECK(fleet.logged("worker-slow") >= 1);
}

TEST_CASE("jobs of a single task are compared with others of their queue")
{
    SpeedFleet fleet(8);
    fleet.speeds[WorkerId("w3")] = 0.25;
    fleet.offer("a", 1, milliseconds(50), seconds(6));
    CHECK(fleet.slowCount() == 1);
    CHECK(fleet.factorOf("w3") < 0.6);
}

TEST_CASE("a single run that is far behind suffices, one that is a little behind does not")
{
    SpeedFleet fleet(8, withSpeeds(), 1000);
    fleet.speeds[WorkerId("w3")] = 0.25;
    SUBCASE("far behind") { }
    SUBCASE("a little behind")
    {
        fleet.speeds[WorkerId("w3")] = 0.5;
    }
    fleet.add("a", {SchedulerHarness::step(8, 1000, milliseconds(600))});
    fleet.advance(milliseconds(1300));
    CHECK(fleet.slowCount() == (fleet.speeds[WorkerId("w3")] < 0.3 ? 1 : 0));
}

TEST_CASE("no worker is slow if all are equally slow, or if the tasks are long")
{
    SpeedFleet fleet(8);
    const auto offerLong = [&](int everyNth) {
        for (int i = 0; i < 40; ++i) {
            fleet.durations[JobId("a" + std::to_string(i + 1))] =
                    milliseconds(i % everyNth == 0 ? 2400 : 600);
        }
    };
    SUBCASE("all workers are slow")
    {
        for (const WorkerEntry &entry : fleet.entries)
            fleet.speeds[entry.id] = 0.25;
    }
    SUBCASE("all jobs take four times their estimate")
    {
        offerLong(1);
    }
    SUBCASE("every third job does")
    {
        offerLong(3);
    }
    int count = 4;
    SUBCASE("every third one of single tasks does, so that there is no other task of the step")
    {
        offerLong(3);
        count = 1;
    }
    fleet.offer("a", count, milliseconds(150), seconds(6));
    CHECK(fleet.logged("worker-slow") == 0);
}

TEST_CASE("a cold worker is not slow, and its warming up does not count later")
{
    for (const bool isDeclared : {true, false}) {
        SpeedFleet fleet(8);
        fleet.speeds[WorkerId("w0")] = 0.25;
        if (isDeclared) {
            fleet.entries[0].warmupLeft = seconds(3);
            fleet.scheduler.setWorkers(fleet.entries, fleet.now);
        }
        fleet.offer("a", 8, milliseconds(200), milliseconds(2900));
        CHECK(fleet.slowCount() == (isDeclared ? 0 : 1));
        fleet.speeds.clear();
        fleet.offer("b", 8, milliseconds(200), seconds(3));
        CHECK(fleet.logged("worker-slow") == (isDeclared ? 0 : 1));
    }
}

TEST_CASE("the speed of a silent worker is kept for a while and returns gradually to 1")
{
    SpeedFleet fleet(8);
    fleet.speeds[WorkerId("w3")] = 0.25;
    fleet.offer("a", 8, milliseconds(200), seconds(3));
    REQUIRE(fleet.factorOf("w3") < 0.5);
    const double factor = fleet.factorOf("w3");
    fleet.silent.insert(WorkerId("w3"));
    fleet.scheduler.onUnreachable(WorkerId("w3"), fleet.now);
    fleet.advance(seconds(2));
    CHECK(fleet.factorOf("w3") == doctest::Approx(factor));
    fleet.advance(seconds(3));
    CHECK(fleet.factorOf("w3") > factor + 0.1);
    CHECK(fleet.factorOf("w3") < 0.95);
    fleet.advance(seconds(4));
    CHECK(fleet.factorOf("w3") == 1);
    CHECK(fleet.logged("worker-speed-recovered") == 1);
}

TEST_CASE("a silent worker that was not slow does not become slow")
{
    SpeedFleet fleet(8);
    fleet.offer("a", 8, milliseconds(200), seconds(2));
    fleet.silent.insert(WorkerId("w3"));
    fleet.offer("b", 8, milliseconds(200), seconds(2));
    fleet.silent.clear();
    fleet.offer("c", 8, milliseconds(200), seconds(2));
    CHECK(fleet.logged("worker-slow") == 0);
}

TEST_CASE("a worker that becomes fast again is used again")
{
    SpeedFleet fleet(8);
    fleet.speeds[WorkerId("w3")] = 0.25;
    const auto isUsed = [&] {
        return fleet.scheduler.workers().at(WorkerId("w3"))->tasks.size() > 1;
    };
    bool hasLoad = true;
    SUBCASE("while there is more work than fits") { }
    SUBCASE("without any work for a while")
    {
        hasLoad = false;
    }
    fleet.offer("a", 8, milliseconds(200), seconds(4));
    REQUIRE(fleet.factorOf("w3") < 0.6);
    fleet.speeds.clear();
    if (hasLoad)
        fleet.offer("b", 12, milliseconds(200), seconds(6));
    else
        fleet.advance(seconds(10));
    CHECK(fleet.factorOf("w3") == 1);
    CHECK(fleet.logged("worker-speed-recovered") == 1);
    fleet.offer("c", 16, milliseconds(200), seconds(4));
    CHECK(isUsed());
    CHECK(fleet.logged("worker-slow") == 1);
}

TEST_CASE("the pace of a best-effort run does not count as slowness of its worker")
{
    constexpr int runCount = 8;
    for (const double allowed : {1.0, 0.5, 0.2}) {
        WorkerSpeeds speeds;
        const Time start{std::chrono::hours(1)};
        for (Time now = start; now < start + seconds(4); now += milliseconds(500)) {
            for (int i = 0; i < runCount; ++i) {
                const bool isPaced = i < 2; // both on one worker
                RunProgress run;
                run.run.value = 1;
                run.startedAt = start;
                run.asOf = now;
                run.allowedSpeed = isPaced ? allowed : 1;
                const double speed = isPaced ? 0.5 : 1;
                run.percent = static_cast<int>(toMilliseconds(now - start) / 50 * speed);
                speeds.noteProgress(WorkerId(isPaced ? "paced" : "w" + std::to_string(i)),
                                    {JobId("a"), 0, 0, i}, QueueId("q"), run);
            }
            speeds.update(WorkerId("paced"), now);
        }
        CAPTURE(allowed);
        CHECK((speeds.speedOf(WorkerId("paced"), start + seconds(4)).factor < 1) == (allowed == 1));
    }
}

TEST_CASE("run times on a slow worker do not change the expected durations")
{
    SpeedFleet fleet(8);
    fleet.speeds[WorkerId("w3")] = 0.25;
    fleet.offer("a", 8, milliseconds(200), seconds(8));
    const CapacitySnapshot snapshot = fleet.scheduler.capacitySnapshot(fleet.now);
    SpeedFleet healthy(8);
    healthy.offer("a", 8, milliseconds(200), seconds(8));
    const CapacitySnapshot expected = healthy.scheduler.capacitySnapshot(healthy.now);
    CHECK(snapshot.queues.at(0).durationFactor
          == doctest::Approx(expected.queues.at(0).durationFactor).epsilon(0.05));
}

TEST_CASE("a slow worker gets a task only if the job is on time or is done earlier that way")
{
    SchedulingSettings settings = withSpeeds();
    SUBCASE("late jobs leave the others to those on time")
    {
        settings.usesSlowWorkersForLateJobs = true;
    }
    SUBCASE("late jobs wait as others do") { }
    SpeedFleet fleet(8, settings);
    fleet.speeds[WorkerId("w3")] = 0.25;
    fleet.offer("a", 8, milliseconds(200), seconds(2));
    REQUIRE(fleet.factorOf("w3") < 0.5);
    const auto startsOnSlow = [&](const std::vector<StartOrder> &starts) {
        return std::count_if(starts.begin(), starts.end(), [](const StartOrder &order) {
            return order.worker == WorkerId("w3");
        });
    };
    fleet.advance(seconds(2)); // all runs are done
    REQUIRE(fleet.factorOf("w3") < 1);
    fleet.add("fits", {SchedulerHarness::step(28, 1000, milliseconds(600))});
    CHECK(startsOnSlow(fleet.planAndStart()) == 0);
    SUBCASE("the others have room soon, but not soon enough for the job to be on time")
    {
        fleet.add("waits", {SchedulerHarness::step(4, 1000, milliseconds(600))});
        CHECK(startsOnSlow(fleet.planAndStart()) == (settings.usesSlowWorkersForLateJobs ? 4 : 0));
    }
    SUBCASE("the job is on time in either case")
    {
        // A short step on the slow worker delays the job by less than the slack of the long one.
        StepSpec next = SchedulerHarness::step(1, 1000, seconds(3));
        next.after = {0};
        fleet.add("slack", {SchedulerHarness::step(1, 1000, milliseconds(300)), next});
        CHECK(startsOnSlow(fleet.planAndStart()) == 1);
    }
    SUBCASE("the others have no room for long: each task waits for three runs")
    {
        for (int i = 0; i < 4; ++i)
            fleet.add("wide" + std::to_string(i),
                      {SchedulerHarness::step(28, 1000, milliseconds(1200))});
        CHECK(startsOnSlow(fleet.planAndStart()) >= 1);
    }
    SUBCASE("no other worker accepts tasks")
    {
        for (WorkerEntry &entry : fleet.entries)
            entry.draining = entry.id != WorkerId("w3");
        fleet.scheduler.setWorkers(fleet.entries, fleet.now);
        fleet.add("only", {SchedulerHarness::step(1, 1000, milliseconds(600))});
        CHECK(startsOnSlow(fleet.planAndStart()) == 1);
    }
    SUBCASE("long-running tasks start there and stay there")
    {
        StepSpec serving = SchedulerHarness::step(4);
        serving.longRunning = true;
        fleet.add("serving", {serving});
        CHECK(startsOnSlow(fleet.planAndStart()) == 4);
        fleet.advance(seconds(1));
        CHECK(fleet.logged("run-ended") == 0);
    }
}

namespace {

struct Day
{
    int jobs = 0;
    int onTime = 0;
    int slowLines = 0;
    std::vector<std::string> starts;
};

enum class Trouble { None, SomeSlow, AllSlow, LongTasks, MixedTasks };

/// A fleet that gets jobs of ten tasks for 20 s. `load`: share of its processors that they use. All
/// are taken at 0.7 already, because a worker is free only when the end of a run is reported.
Day dayWith(Trouble trouble, SchedulingSettings settings, double load, std::uint64_t seed)
{
    constexpr int workerCount = 40;
    constexpr int coresPerWorker = 8;
    SpeedFleet fleet(workerCount, settings, 1000 * coresPerWorker);
    for (std::size_t i = 0; i < fleet.entries.size(); ++i) {
        if (trouble == Trouble::AllSlow || (trouble == Trouble::SomeSlow && i % 20 < 3))
            fleet.speeds[fleet.entries[i].id] = 0.25;
    }
    Random random(seed);
    Day day;
    const auto interval = std::chrono::duration_cast<Duration>(
            milliseconds(600) * 10 * 2 / (workerCount * coresPerWorker * load));
    Time next = fleet.now;
    for (const Time end = fleet.now + seconds(20); fleet.now < end; fleet.advance(Tick)) {
        for (; next < fleet.now; next += interval) {
            const std::string id = "a" + std::to_string(++day.jobs);
            const bool isLong = trouble == Trouble::LongTasks
                                || (trouble == Trouble::MixedTasks && random.below(10) < 3);
            fleet.durations[JobId(id)] = milliseconds(540 + random.below(100)) * (isLong ? 4 : 1);
            fleet.add(id, {SchedulerHarness::step(10, 2000, milliseconds(600))});
        }
    }
    fleet.advance(seconds(5));
    day.onTime = fleet.doneWithin(milliseconds(1500)); // slack factor 2 and 300 ms
    day.slowLines = fleet.logged("worker-slow");
    for (const LogEvent &line : fleet.log) {
        if (line.event == "tasks-assigned")
            day.starts.push_back(line.fields.at(1).second);
    }
    return day;
}

} // namespace

TEST_CASE("with 15% of the workers four times slower, more jobs are on time")
{
    for (const double load : {0.2, 0.35, 0.5}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            const Day off = dayWith(Trouble::SomeSlow, withSpeeds(false), load, seed);
            const Day on = dayWith(Trouble::SomeSlow, withSpeeds(), load, seed);
            CAPTURE(load);
            CAPTURE(off.onTime);
            CHECK(on.onTime > off.onTime + off.jobs / 20);
            CHECK(on.slowLines >= 6);
        }
    }
}

TEST_CASE("a fleet that is uniformly slow, or has long tasks, is served as without the part")
{
    for (const Trouble trouble :
         {Trouble::None, Trouble::AllSlow, Trouble::LongTasks, Trouble::MixedTasks}) {
        for (const double load : {0.2, 0.6}) {
            CAPTURE(static_cast<int>(trouble));
            const Day on = dayWith(trouble, withSpeeds(), load, 1);
            CHECK(on.slowLines == 0);
            CHECK(on.starts == dayWith(trouble, withSpeeds(false), load, 1).starts);
        }
    }
}
