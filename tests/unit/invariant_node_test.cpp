// Entry processes under seeded schedules of kills, suspensions, network partitions, store outages,
// endpoint faults and concurrent sheet writes. See fakes/schedules.h.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fakes/schedules.h"
#include "fakes/world.h"

#include <doctest/doctest.h>

using namespace monsoonledge;

namespace {

void runSchedule(std::uint64_t seed, std::map<Outcome, int> &outcomes)
{
    CAPTURE(seed);
    World world(seed);
    world.clock.advance(seconds(2));
    for (int step = 0; step < 40; ++step) {
        for (int burst = 0; burst < 5; ++burst) {
            world.sendSome();
            world.clock.advance(milliseconds(static_cast<int>(world.random.below(250))));
            world.restartExpelled();
            world.checkAlways();
        }
        world.injectFault();
        world.checkAlways();
    }
    world.heal();
    for (int i = 0; i < 40; ++i) {
        world.clock.advance(seconds(1));
        world.restartExpelled();
        world.checkAlways();
    }
    for (auto &item : world.processes) {
        CAPTURE(item.first);
        REQUIRE(item.second->node.ready());
        REQUIRE(item.second->node.sheetVersion().revision >= world.accepted);
        REQUIRE(item.second->node.sheetVersion().revision
                == world.processes.begin()->second->node.sheetVersion().revision);
    }
    // After recovery all new requests must succeed. The processes issue their ids: ids chosen by
    // callers are answered "unknown" for the retention period if their home unit was taken over
    // without a link between the dead owner and the new one.
    world.outcomes[Outcome::Done] = 0;
    const int newRequestCount = 40;
    for (int i = 0; i < newRequestCount; ++i) {
        const std::string &entry = EntryNames[static_cast<std::size_t>(i) % EntryNames.size()];
        const RequestId id = world.processes.at(entry)->node.issueId(world.clock.now());
        REQUIRE_FALSE(id.isEmpty());
        world.send(entry, id, i % 3 == 0);
        world.clock.advance(milliseconds(20));
    }
    world.clock.advance(seconds(4));
    world.checkAlways();
    for (const auto &item : world.outcomes)
        outcomes[item.first] += item.second;
    REQUIRE(world.outcomes[Outcome::Done] == newRequestCount);
}

} // namespace

TEST_CASE("invariant_combined: no overload, double run, false refusal, wrong answer or lost sheet")
{
    std::map<Outcome, int> outcomes;
    int schedules = 0;
    runSchedules(200, [&](std::uint64_t seed) {
        runSchedule(seed, outcomes);
        ++schedules;
        return std::string();
    });
    MESSAGE("schedules " << schedules << ", unknown " << outcomes[Outcome::Unknown] << ", not run "
                         << outcomes[Outcome::NotRun]);
}

TEST_CASE("invariant_combined: schedules that failed before")
{
    std::map<Outcome, int> outcomes;
    for (const std::uint64_t seed :
         {151, 349, 1562, 5000, 5021, 5029, 5055, 5060, 5070, 5073, 5094, 5095})
        runSchedule(seed, outcomes);
}
