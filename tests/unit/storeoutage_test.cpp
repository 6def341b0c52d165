// Outages of the whole store in virtual time: which runs end, which calls are made when the store
// answers again, and that no run of a task begins while another one may still exist.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"

using namespace monsoonledge;

namespace {

enum class Fault { Silent, Refusing, Resetting };

void setOutage(FleetWorld &world, Fault fault, bool isOn)
{
    for (FleetWorld::Process &process : world.processes) {
        bool &flag = fault == Fault::Silent     ? process.store->silent
                     : fault == Fault::Refusing ? process.store->refusing
                                                : process.store->resetting;
        flag = isOn;
    }
}

/// Starts a job whose tasks run for a minute.
void startLastingJob(FleetWorld &world, int tasks)
{
    REQUIRE(world.wait([&] { return world.coordinator() >= 0; }));
    REQUIRE(world.submit(0, FleetWorld::job("lasting", tasks, "ms=60000")) == JobAnswer::Accepted);
    REQUIRE(world.wait([&] { return world.runners.runningCount() == tasks; }));
}

struct Outage
{
    Duration length{};
    Fault fault = Fault::Silent;
    bool areLeasesPaused = true;
    int phase = 0; // of the renewals, from 0 to 9
};

constexpr Fault Faults[] = {Fault::Silent, Fault::Refusing, Fault::Resetting};
const char *const FaultNames[] = {"silent", "refusing", "resetting"};

/// Returns how many of four runs end because of an outage.
int lapsedRuns(const Outage &outage)
{
    FleetWorld world(4, 4);
    startLastingJob(world, 4);
    world.clock.advance(seconds(2) + milliseconds(130 * outage.phase));
    if (outage.areLeasesPaused)
        world.store.pauseLeases();
    setOutage(world, outage.fault, true);
    world.clock.advance(outage.length);
    setOutage(world, outage.fault, false);
    world.store.resumeLeases();
    world.clock.advance(seconds(14));
    CHECK(world.runners.findings.empty());
    return world.runners.lapsedRuns;
}

/// A coordinator that alone reaches worker w0, where all runs are, and a successor that alone
/// reaches the other one.
struct TwoCoordinators
{
    TwoCoordinators() : world(3, 2)
    {
        startLastingJob(world, 2);
        former = world.coordinator();
        for (std::size_t i = 0; i < world.processes.size(); ++i) {
            const bool isFormer = static_cast<int>(i) == former;
            world.process(static_cast<int>(i))
                    .workers->cutFrom.insert(WorkerId(isFormer ? "w1" : "w0"));
        }
    }

    FleetWorld::Process &formerProcess() { return world.process(former); }
    bool hasSuccessor()
    {
        for (std::size_t i = 0; i < world.processes.size(); ++i) {
            if (static_cast<int>(i) != former && world.processes[i].node->isCoordinator())
                return true;
        }
        return false;
    }
    /// The successor restarts the tasks, which it does only after the leases of w0 have ended.
    void checkRestarted()
    {
        CHECK(world.wait([&] { return world.runners.at("w1").running.size() == 2; }, seconds(14)));
        CHECK(world.runners.findings.empty());
        CHECK_FALSE(formerProcess().node->isCoordinator());
    }

    FleetWorld world;
    int former = -1;
};

} // namespace

// Guards against runs that end although the store answers again before their leases have to end.
TEST_CASE("all runs survive an outage of 6 s")
{
    for (const bool areLeasesPaused : {true, false}) {
        for (const Fault fault : Faults) {
            for (int phase = 0; phase < 10; ++phase) {
                CAPTURE(areLeasesPaused);
                CAPTURE(FaultNames[static_cast<int>(fault)]);
                CAPTURE(phase);
                CHECK(lapsedRuns({seconds(6), fault, areLeasesPaused, phase}) == 0);
            }
        }
    }
}

// Guards against a worker that gets no lease at the end of an outage because its record as
// unreachable was queued before it answered again.
TEST_CASE("a worker that answers again during an outage keeps its runs")
{
    for (int phase = 0; phase < 10; ++phase) {
        CAPTURE(phase);
        FleetWorld world(4, 4);
        startLastingJob(world, 4);
        world.clock.advance(seconds(2) + milliseconds(130 * phase));
        world.store.pauseLeases();
        setOutage(world, Fault::Refusing, true);
        world.clock.advance(milliseconds(300));
        for (FleetWorld::Process &process : world.processes)
            process.workers->cutFrom.insert(WorkerId("w0"));
        world.clock.advance(milliseconds(2900));
        for (FleetWorld::Process &process : world.processes)
            process.workers->cutFrom.clear();
        world.clock.advance(seconds(1));
        setOutage(world, Fault::Refusing, false);
        world.store.resumeLeases();
        world.clock.advance(seconds(5));
        CHECK(world.runners.findings.empty());
        CHECK(world.runners.lapsedRuns == 0);
    }
}

/// The calls of all processes to the store in the first second after an outage.
struct Recovery
{
    struct Call
    {
        Time at;
        int process = 0;
        std::string call;
        std::string key;
    };

    Recovery(Fault fault, bool areLeasesPaused, int phase) : world(8, 60, phase + 1)
    {
        world.useBirthTimes();
        REQUIRE(world.wait([&] { return world.coordinator() >= 0; }));
        for (int i = 0; i < 60; ++i) // records change all the time, also at the end of the outage
            REQUIRE(world.submit(i % 8, FleetWorld::job("job" + std::to_string(i), 10,
                                                        "ms=" + std::to_string(3000 + 100 * i)))
                    == JobAnswer::Accepted);
        if (areLeasesPaused)
            world.store.pauseLeases();
        setOutage(world, fault, true);
        for (auto &[id, worker] : world.runners.all()) // a failure domain is cut off as well
            worker.reachable = std::stoi(id.str().substr(1)) % 3 != 0;
        world.clock.advance(seconds(5));
        for (auto &[id, worker] : world.runners.all())
            worker.reachable = true;
        world.clock.advance(milliseconds(700 + 37 * phase));
        former = world.coordinator();
        end = world.clock.now();
        for (std::size_t i = 0; i < world.processes.size(); ++i)
            world.processes[i].store->onCall = [this, i](const std::string &call,
                                                         const std::string &key) {
                calls.push_back({world.clock.now(), static_cast<int>(i), call, key});
            };
        setOutage(world, fault, false);
        world.store.resumeLeases();
        world.clock.advance(seconds(1));
    }

    /// The first such call of the former coordinator.
    Time first(const std::string &call, const std::string &prefix) const
    {
        for (const Call &made : calls) {
            if (made.process == former && made.call == call && made.key.rfind(prefix, 0) == 0)
                return made.at;
        }
        return Time::max();
    }

    template<typename Key> static int most(const std::map<Key, int> &counts)
    {
        int highest = 0;
        for (const auto &[key, count] : counts)
            highest = std::max(highest, count);
        return highest;
    }
    int mostCallsOfOneProcess() const
    {
        std::map<int, int> counts;
        for (const Call &call : calls)
            ++counts[call.process];
        return most(counts);
    }
    /// By one process, within the time in which the store answers.
    int mostWritesAtOnce() const
    {
        std::map<std::pair<int, std::int64_t>, int> counts;
        for (const Call &call : calls) {
            const bool isRead = call.call == "get" || call.call == "range" || call.call == "watch";
            counts[{call.process, (call.at - end) / milliseconds(5)}] += isRead ? 0 : 1;
        }
        return most(counts);
    }
    /// Of the first calls of all watches, within a tenth of a second.
    int mostFirstWatchesAtOnce() const
    {
        std::set<std::pair<int, std::string>> seen;
        std::map<std::int64_t, int> counts;
        for (const Call &call : calls) {
            const bool isWatch = call.call == "watch" || call.call == "range";
            if (isWatch && seen.insert({call.process, call.key}).second)
                ++counts[(call.at - end) / milliseconds(100)];
        }
        return most(counts);
    }

    FleetWorld world;
    int former = -1;
    Time end{};
    std::vector<Call> calls;
};

// Guards against a store that is overrun, or that answers the least urgent calls first, when it is
// back: all records that have changed, and all watches of all processes, are due at that moment.
TEST_CASE("the calls in the first second after an outage are few, spread and in order")
{
    for (const bool areLeasesPaused : {true, false}) {
        for (const Fault fault : Faults) {
            for (int phase = 0; phase < 4; ++phase) {
                CAPTURE(areLeasesPaused);
                CAPTURE(FaultNames[static_cast<int>(fault)]);
                CAPTURE(phase);
                const Recovery recovery(fault, areLeasesPaused, phase);
                CHECK(recovery.calls.size() <= 100);
                CHECK(recovery.mostCallsOfOneProcess() <= 40);
                CHECK(recovery.mostWritesAtOnce() <= 20);
                CHECK(recovery.mostFirstWatchesAtOnce() <= 12); // of 24
                if (areLeasesPaused) { // else the former coordinator is replaced
                    const Time renewal = recovery.first("renewLease", "");
                    const Time record = recovery.first("commit", "jobs/progress/");
                    CHECK(renewal < record);
                    for (const std::string call : {"watch", "range"})
                        CHECK(renewal < recovery.first(call, ""));
                }
            }
        }
    }
}

TEST_CASE("table of runs that end by the length of an outage" * doctest::skip())
{
    for (const bool areLeasesPaused : {true, false}) {
        for (const Fault fault : Faults) {
            std::string row;
            for (int length = 3000; length <= 9000; length += 500) {
                int lapsed = 0;
                for (int phase = 0; phase < 10; ++phase)
                    lapsed += lapsedRuns({milliseconds(length), fault, areLeasesPaused, phase});
                row += ' ' + std::to_string(length) + ':' + std::to_string(lapsed);
            }
            const std::string name = FaultNames[static_cast<int>(fault)];
            const std::string leases = areLeasesPaused ? "paused" : "not paused";
            MESSAGE(name, ", leases ", leases, ", of 40 runs:", row);
        }
    }
}

// Guards against leases of workers that a coordinator renews after the store has removed its
// record, although the renewals of its own lease are still answered.
TEST_CASE("a coordinator whose record was revoked early does not renew leases past a successor")
{
    for (const bool isWatchSilent : {false, true}) {
        for (int phase = 0; phase < 12; ++phase) {
            CAPTURE(isWatchSilent);
            CAPTURE(phase);
            TwoCoordinators two;
            if (isWatchSilent)
                two.formerProcess().store->silentPrefix = "coordinator";
            two.world.clock.advance(seconds(2) + milliseconds(110 * phase));
            if (phase % 2 == 1) { // during an outage
                two.world.store.pauseLeases();
                setOutage(two.world, Fault::Refusing, true);
                two.world.clock.advance(seconds(3));
            }
            two.world.store.revokeKeys();
            setOutage(two.world, Fault::Refusing, false);
            two.world.store.resumeLeases();
            two.formerProcess().store->refusing = phase % 2 == 1; // the others are first
            CHECK(two.world.wait([&] { return two.hasSuccessor(); }, seconds(3)));
            two.formerProcess().store->refusing = false;
            two.checkRestarted();
        }
    }
}

// Guards against a coordinator that comes back later than its successor: it was paused, did not
// hear the store's answers, or was cut off for longer than the others.
TEST_CASE("a former coordinator that returns after an outage does not keep its runs too long")
{
    enum class Late { Paused, Deaf, DeafThenCutOff, CutOff };
    for (const Late late : {Late::Paused, Late::Deaf, Late::DeafThenCutOff, Late::CutOff}) {
        for (const int returnMs : {300, 1500, 3000, 5000, 7000}) {
            for (int phase = 0; phase < 4; ++phase) {
                CAPTURE(static_cast<int>(late));
                CAPTURE(returnMs);
                CAPTURE(phase);
                TwoCoordinators two;
                FleetWorld::Process &former = two.formerProcess();
                two.world.clock.advance(seconds(2) + milliseconds(150 * phase));
                setOutage(two.world, Fault::Silent, true);
                if (late == Late::DeafThenCutOff) { // its lease is renewed meanwhile
                    former.store->silent = false;
                    former.store->isDeaf = true;
                }
                if (late == Late::Paused)
                    former.timers->suspend();
                two.world.clock.advance(milliseconds(2500));
                setOutage(two.world, Fault::Silent, false);
                former.store->isDeaf = late == Late::Deaf;
                former.store->silent = late == Late::CutOff || late == Late::DeafThenCutOff;
                // Its record ends with the lease.
                CHECK(two.world.wait([&] { return two.hasSuccessor(); }, seconds(4)));
                two.world.clock.advance(milliseconds(returnMs));
                if (late == Late::Paused)
                    former.timers->resume();
                former.store->isDeaf = false;
                former.store->silent = false;
                two.checkRestarted();
            }
        }
    }
}
