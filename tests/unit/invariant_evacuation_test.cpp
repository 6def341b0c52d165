// Moves off closed domains in whole deployments, while processes, links and the store fail. What is
// guarded against: more tasks of a step unavailable than it allows (AVAIL), a start in a closed
// domain (EVAC), two runs of one task (TWICE), and runs that are stopped although nothing else can
// take them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "fakes/schedules.h"
#include "platform/platform.h"

using namespace monsoonledge;

namespace {

constexpr Duration Limit = seconds(5); // EvacuationMs
constexpr Duration Notice = milliseconds(5500); // NoticeMs
constexpr int WorkerCount = 6;
constexpr int ProcessCount = 3;
constexpr int ServingTasks = 12;
constexpr int MaxUnavailable = 2;

/// A deployment of three domains with a long-running job, whose tasks need a second to get ready.
class MovingWorld
{
public:
    explicit MovingWorld(std::uint64_t seed = 1, std::uint64_t cpuOfTask = 2000)
        : world(ProcessCount, WorkerCount, seed)
    {
        world.evacuationLimit = Limit;
        for (int i = 0; i < WorkerCount; ++i) {
            const std::string id = "w" + std::to_string(i);
            world.runners.at(id).entry.domain = DomainId("z" + std::to_string(i % 3));
            world.publish(id);
        }
        for (int i = 0; i < ProcessCount; ++i)
            world.start(i);
        world.clock.afterEvent = [this] { observe(); };
        world.runners.onStop = [this](const FakeRunners::Worker &worker,
                                      const FakeRunners::Run &run) { checkStop(worker, run); };
        JobSpec spec = FleetWorld::job("serving", ServingTasks, "ms=100000000 ready=1000");
        spec.steps[0].cpu.value = cpuOfTask;
        spec.steps[0].longRunning = true;
        spec.steps[0].maxUnavailable = MaxUnavailable;
        REQUIRE(world.wait([&] { return world.coordinator() >= 0; }, seconds(20)));
        REQUIRE(world.submit(0, spec) == JobAnswer::Accepted);
        REQUIRE(world.wait([&] { return workingTasks() == ServingTasks; }, seconds(20)));
    }
    ~MovingWorld()
    {
        world.clock.afterEvent = nullptr;
        world.runners.onStop = nullptr;
    }
    MovingWorld(const MovingWorld &) = delete;
    MovingWorld &operator=(const MovingWorld &) = delete;

    void close(const std::string &domain)
    {
        world.store.put("op/evacuate/" + domain, "{}");
        closedAt_.try_emplace(domain, world.clock.now());
    }
    void open(const std::string &domain)
    {
        world.store.remove("op/evacuate/" + domain);
        closedAt_.erase(domain);
    }
    int runsIn(const std::string &domain) const
    {
        int runs = 0;
        for (const auto &[id, worker] : const_cast<FakeRunners &>(world.runners).all())
            runs += worker.entry.domain.str() == domain ? static_cast<int>(worker.running.size())
                                                        : 0;
        return runs;
    }
    /// The domain with the most runs.
    std::string fullestDomain() const
    {
        std::string best = "z0";
        for (const char *domain : {"z1", "z2"})
            best = runsIn(domain) > runsIn(best) ? domain : best;
        return best;
    }
    int workingTasks()
    {
        int working = 0;
        for (const auto &[id, worker] : world.runners.all()) {
            for (const auto &[key, run] : worker.running)
                working += isReady(run) ? 1 : 0;
        }
        return working;
    }
    bool isEmptied(const std::string &domain) { return runsIn(domain) == 0; }

    FleetWorld world;
    std::vector<std::string> findings;
    int stops = 0; // of working runs

private:
    bool isReady(const FakeRunners::Run &run) const
    {
        return run.readyAt && *run.readyAt <= world.clock.now();
    }

    /// Notes which tasks work, and each start in a closed domain that comes too late.
    void observe()
    {
        for (const auto &[id, worker] : world.runners.all()) {
            for (const auto &[key, run] : worker.running) {
                if (isReady(run)) {
                    lastWorkedAt_[run.task.index] = world.clock.now();
                    stoppedTasks_.erase(run.task.index);
                }
                const auto closed = closedAt_.find(worker.entry.domain.str());
                if (closed != closedAt_.end() && run.startedAt == world.clock.now()
                    && run.startedAt - closed->second > Limit)
                    findings.emplace_back("a start in a closed domain");
            }
        }
    }

    void checkStop(const FakeRunners::Worker &worker, const FakeRunners::Run &run)
    {
        if (!isReady(run) || !worker.reachable || worker.entry.draining)
            return;
        ++stops;
        int unavailable = 0;
        for (int index = 0; index < ServingTasks; ++index) {
            const bool isLong = world.clock.now() - lastWorkedAt_[index] > Notice;
            unavailable += index != run.task.index && (isLong || stoppedTasks_.count(index) > 0);
        }
        if (unavailable >= MaxUnavailable)
            findings.emplace_back("a stop beyond MaxUnavailable");
        stoppedTasks_.insert(run.task.index);
    }

    std::map<std::string, Time> closedAt_;
    std::map<int, Time> lastWorkedAt_; // by index of the task
    std::set<int> stoppedTasks_; // by an order, and not at work since
};

} // namespace

TEST_CASE("invariant: the runs of a closed domain move to the others within MaxUnavailable")
{
    MovingWorld test;
    const std::string domain = test.fullestDomain();
    REQUIRE(test.runsIn(domain) > MaxUnavailable);
    test.close(domain);
    test.world.clock.advance(milliseconds(200));
    FleetNode &coordinator = test.world.node(test.world.coordinator());
    const platform::Frontend frontend(
            coordinator, [&] { return test.world.wall(); }, [](const LogEvent &) {});
    const auto metrics = [&] {
        return platform::formatMetrics(coordinator, frontend, test.world.clock.now());
    };
    CHECK(metrics().find("monsoonledge_domains_closed 1\n") != std::string::npos);
    CHECK(metrics().find("monsoonledge_workers_slow 0\n") != std::string::npos);
    CHECK(metrics().find("monsoonledge_lowest_worker_speed 1\n") != std::string::npos);
    CHECK(metrics().find("monsoonledge_evacuation_tasks_left 0\n") == std::string::npos);
    CHECK(metrics().find("monsoonledge_evacuation_tasks_left ") != std::string::npos);
    CHECK(test.world.wait([&] { return test.isEmptied(domain); }, seconds(40)));
    test.world.clock.advance(milliseconds(200));
    CHECK(metrics().find("monsoonledge_evacuation_tasks_left 0\n") != std::string::npos);
    CHECK(test.world.wait([&] { return test.workingTasks() == ServingTasks; }, seconds(10)));
    CHECK(test.findings.empty());
    CHECK(test.world.runners.findings.empty());
}

TEST_CASE("invariant: no run is stopped when all domains are closed, or none has room")
{
    SUBCASE("all domains are closed")
    {
        MovingWorld test;
        for (const char *domain : {"z0", "z1", "z2"})
            test.close(domain);
        test.world.clock.advance(seconds(15));
        CHECK(test.stops == 0);
        CHECK(test.workingTasks() == ServingTasks);
    }
    SUBCASE("two tasks fill each worker")
    {
        MovingWorld test(1, 8000);
        test.close("z0");
        test.world.clock.advance(seconds(15));
        CHECK(test.stops == 0);
        CHECK(test.workingTasks() == ServingTasks);
    }
}

TEST_CASE("invariant: the coordinator is lost or paused while runs are moved")
{
    for (const bool isPaused : {false, true}) {
        CAPTURE(isPaused);
        MovingWorld test;
        const std::string domain = test.fullestDomain();
        test.close(domain);
        REQUIRE(test.world.wait([&] { return test.stops > 0; }, seconds(5)));
        const int first = test.world.coordinator();
        if (isPaused) {
            test.world.process(first).timers->suspend();
            test.world.clock.advance(seconds(6));
            test.world.process(first).timers->resume();
        } else {
            test.world.kill(first);
        }
        CHECK(test.world.wait([&] { return test.isEmptied(domain); }, seconds(60)));
        CHECK(test.world.wait([&] { return test.workingTasks() == ServingTasks; }, seconds(20)));
        CHECK(test.findings.empty());
        CHECK(test.world.runners.findings.empty());
    }
}

TEST_CASE("invariant: domains are closed and opened at random while processes and links fail")
{
    runSchedules(10, [](std::uint64_t seed) -> std::string {
        Random random(seed);
        MovingWorld test(seed);
        for (int round = 0; round < 12; ++round) {
            const std::string domain = "z" + std::to_string(random.below(3));
            if (random.below(3) > 0)
                test.close(domain);
            else
                test.open(domain);
            const int victim = static_cast<int>(random.below(ProcessCount));
            FleetWorld::Process &process = test.world.process(victim);
            const std::uint64_t fault = random.below(6);
            FakeRunners::Worker &worker =
                    test.world.runners.at("w" + std::to_string(random.below(WorkerCount)));
            if (fault == 0)
                test.world.start(victim); // ends it first
            if (fault == 1)
                process.timers->suspend();
            if (fault == 2)
                process.store->silent = true;
            if (fault == 3)
                test.world.store.compact();
            if (fault == 4)
                worker.reachable = false;
            test.world.clock.advance(
                    milliseconds(500 + static_cast<std::int64_t>(random.below(6000))));
            if (fault == 1)
                process.timers->resume();
            if (fault == 2)
                process.store->silent = false;
            worker.reachable = true;
        }
        for (const char *domain : {"z0", "z1", "z2"})
            test.open(domain);
        if (!test.findings.empty())
            return test.findings.front();
        if (!test.world.runners.findings.empty())
            return test.world.runners.findings.front();
        const bool isWhole =
                test.world.wait([&] { return test.workingTasks() == ServingTasks; }, seconds(60));
        return isWhole ? "" : "tasks do not work although all domains are open";
    });
}
