// Closed failure domains in whole deployments, while processes and the store fail. What is guarded
// against: a start in a domain later than the limit after the request was stored and before the
// request is removed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"

using namespace monsoonledge;

namespace {

constexpr Duration Limit = seconds(5);
constexpr int WorkerCount = 6;
const std::vector<std::string> Domains{"z0", "z1", "z2"};

/// A deployment of three domains with a steady flow of short jobs, which checks each start.
class EvacuationWorld
{
public:
    explicit EvacuationWorld(int processes = 3) : world(processes, WorkerCount)
    {
        world.evacuationLimit = Limit;
        for (int i = 0; i < WorkerCount; ++i) {
            const std::string id = "w" + std::to_string(i);
            world.runners.at(id).entry.domain = DomainId(Domains[static_cast<std::size_t>(i) % 3]);
            world.publish(id);
        }
        for (int i = 0; i < processes; ++i)
            world.start(i);
        world.clock.afterEvent = [this] { check(); };
        REQUIRE(world.wait([&] { return isScheduling(); }, seconds(20)));
        step(seconds(1));
        REQUIRE(startsIn("z0") > 0);
    }
    ~EvacuationWorld() { world.clock.afterEvent = nullptr; }
    EvacuationWorld(const EvacuationWorld &) = delete;
    EvacuationWorld &operator=(const EvacuationWorld &) = delete;

    bool isScheduling() const
    {
        const int index = world.coordinator();
        return index >= 0
               && world.processes[static_cast<std::size_t>(index)].node->coordinator()->scheduler();
    }

    void close(const std::string &domain, const std::string &value = "{}")
    {
        world.store.put("op/evacuate/" + domain, value);
        closedAt.try_emplace(domain, world.clock.now());
    }
    void open(const std::string &domain)
    {
        world.store.remove("op/evacuate/" + domain);
        closedAt.erase(domain);
    }
    int startsIn(const std::string &domain) const
    {
        const auto it = starts_.find(domain);
        return it == starts_.end() ? 0 : it->second;
    }
    /// Lets time pass, with six new jobs of three tasks every 100 ms: more than fits into two of
    /// the three domains, so that an open one is used.
    void step(Duration duration)
    {
        const Time end = world.clock.now() + duration;
        while (world.clock.now() < end) {
            for (int i = 0; i < 6; ++i) {
                const JobSpec spec = FleetWorld::job("j" + std::to_string(++jobs_), 3, "ms=400");
                for (int p = 0; p < static_cast<int>(world.processes.size()); ++p) {
                    FleetWorld::Process &process = world.process(p);
                    if (!process.node || process.timers->isSuspended() || process.store->silent)
                        continue;
                    process.node->submit(
                            spec, world.clock.now() + seconds(3), [](JobAnswer, Time) {},
                            world.clock.now());
                    break;
                }
            }
            world.clock.advance(milliseconds(100));
        }
    }
    bool hasLogged(const std::string &event) const
    {
        return std::find(world.log.begin(), world.log.end(), event) != world.log.end();
    }

    FleetWorld world;
    std::map<std::string, Time> closedAt;
    std::vector<std::string> late; // starts that break the rule
    Duration latestStart{}; // of the starts in a closed domain, after its closing

private:
    void check()
    {
        for (const auto &[id, worker] : world.runners.all()) {
            for (const auto &[key, run] : worker.running) {
                if (run.startedAt != world.clock.now()
                    || !seen_.insert({std::get<0>(key), std::get<3>(key), run.run.value}).second)
                    continue;
                const std::string domain = worker.entry.domain.str();
                ++starts_[domain];
                const auto closed = closedAt.find(domain);
                if (closed == closedAt.end())
                    continue;
                latestStart = std::max(latestStart, run.startedAt - closed->second);
                if (run.startedAt - closed->second > Limit)
                    late.push_back(domain + ' ' + std::get<0>(key));
            }
        }
    }

    std::map<std::string, int> starts_;
    std::set<std::tuple<std::string, int, std::uint64_t>> seen_;
    int jobs_ = 0;
};

} // namespace

TEST_CASE("a request is in force within two seconds and its end lets tasks start again")
{
    EvacuationWorld test;
    test.close("z0");
    test.step(seconds(8));
    CHECK(test.late.empty());
    CHECK(test.latestStart < seconds(2));
    const int before = test.startsIn("z0");
    test.open("z0");
    test.step(seconds(3));
    CHECK(test.startsIn("z0") > before);
    CHECK(test.hasLogged("evacuation-requested"));
    CHECK(test.hasLogged("evacuation-ended"));
}

TEST_CASE("without the limit in the settings the requests are ignored")
{
    EvacuationWorld test;
    test.world.evacuationLimit = {};
    for (int i = 0; i < 3; ++i)
        test.world.start(i);
    REQUIRE(test.world.wait([&] { return test.isScheduling(); }, seconds(20)));
    test.close("z0");
    const int before = test.startsIn("z0");
    test.step(seconds(8));
    CHECK(test.startsIn("z0") > before);
    CHECK(!test.hasLogged("evacuation-requested"));
}

TEST_CASE("two domains are closed at once, then all of them")
{
    EvacuationWorld test;
    test.close("z0");
    test.close("z1");
    test.step(seconds(7));
    const int before = test.startsIn("z2");
    test.step(seconds(1));
    CHECK(test.startsIn("z2") > before);
    test.close("z2");
    test.step(seconds(8));
    CHECK(test.late.empty());
    const int closed = test.startsIn("z1");
    test.open("z1");
    test.step(seconds(3));
    CHECK(test.startsIn("z1") > closed);
    CHECK(test.world.runners.findings.empty());
}

TEST_CASE("a request that is withdrawn within a second leaves the domain open")
{
    EvacuationWorld test;
    test.close("z0");
    test.world.clock.advance(milliseconds(300));
    test.open("z0");
    test.step(seconds(2));
    const int before = test.startsIn("z0");
    test.step(seconds(1));
    CHECK(test.startsIn("z0") > before);
}

TEST_CASE("an unknown domain, and keys and values that cannot be read")
{
    EvacuationWorld test;
    test.close("nowhere");
    test.close("");
    test.close("z1", "[broken");
    test.step(seconds(8));
    CHECK(test.late.empty()); // z1 is closed all the same
    CHECK(test.startsIn("z1") > 0);
    CHECK(test.hasLogged("evacuation-unreadable"));
    const int before = test.startsIn("z0");
    test.step(seconds(1));
    CHECK(test.startsIn("z0") > before);
    test.close("z1", "still [broken"); // another malformed value does not open it
    test.step(seconds(2));
    CHECK(test.late.empty());
}

TEST_CASE("the coordinator is lost or paused exactly at the request and at its end")
{
    for (const bool isPaused : {false, true}) {
        CAPTURE(isPaused);
        EvacuationWorld test;
        const int first = test.world.coordinator();
        if (isPaused)
            test.world.process(first).timers->suspend();
        else
            test.world.kill(first);
        test.close("z0");
        test.step(seconds(7));
        if (isPaused)
            test.world.process(first).timers->resume();
        test.step(seconds(5));
        CHECK(test.late.empty());
        REQUIRE(test.world.wait([&] { return test.isScheduling(); }, seconds(20)));
        const int second = test.world.coordinator();
        test.world.kill(second);
        test.open("z0");
        REQUIRE(test.world.wait([&] { return test.isScheduling(); }, seconds(20)));
        const int before = test.startsIn("z0");
        test.step(seconds(10));
        CHECK(test.startsIn("z0") > before);
        CHECK(test.world.runners.findings.empty());
    }
}

TEST_CASE("a coordinator whose only silent watch hides a request starts nothing after the limit")
{
    EvacuationWorld test;
    SUBCASE("the store is silent for all")
    {
        for (int i = 0; i < 3; ++i)
            test.world.process(i).store->silent = true;
        test.close("z0");
        test.step(seconds(12));
        CHECK(test.late.empty());
        for (int i = 0; i < 3; ++i)
            test.world.process(i).store->silent = false;
    }
    SUBCASE("the store is slow")
    {
        for (int i = 0; i < 3; ++i)
            test.world.process(i).store->latency = milliseconds(350);
        test.close("z0");
    }
    SUBCASE("answers to changes are lost")
    {
        for (int i = 0; i < 3; ++i)
            test.world.process(i).store->losesAnswers = true;
        test.close("z0");
        test.step(seconds(3));
        for (int i = 0; i < 3; ++i)
            test.world.process(i).store->losesAnswers = false;
    }
    SUBCASE("the history is lost at the request and at its end")
    {
        test.close("z0");
        test.world.store.compact();
        test.step(seconds(6));
        CHECK(test.late.empty());
        test.open("z0");
        test.world.store.compact();
        const int before = test.startsIn("z0");
        test.step(seconds(3));
        CHECK(test.startsIn("z0") > before);
        test.close("z0");
    }
    test.step(seconds(15));
    CHECK(test.late.empty());
    CHECK(test.world.runners.findings.empty());
}

TEST_CASE("the watch of the operator's keys is silent while the rest of the store answers")
{
    EvacuationWorld test(1);
    test.world.process(0).store->silentPrefix = "op/";
    test.close("z0");
    test.step(seconds(10));
    CHECK(test.late.empty());
    CHECK(test.hasLogged("starts-paused"));
    test.world.process(0).store->silentPrefix.clear();
    const int before = test.startsIn("z1");
    test.step(seconds(4));
    CHECK(test.hasLogged("starts-resumed"));
    CHECK(test.startsIn("z1") > before);
    CHECK(test.late.empty());
}

TEST_CASE("a closed domain is partitioned meanwhile")
{
    EvacuationWorld test;
    test.close("z0");
    for (const char *id : {"w0", "w3"})
        test.world.runners.at(id).reachable = false;
    test.step(seconds(10));
    for (const char *id : {"w0", "w3"})
        test.world.runners.at(id).reachable = true;
    test.step(seconds(5));
    CHECK(test.late.empty());
    test.open("z0");
    const int before = test.startsIn("z0");
    test.step(seconds(3));
    CHECK(test.startsIn("z0") > before);
    CHECK(test.world.runners.findings.empty());
}
