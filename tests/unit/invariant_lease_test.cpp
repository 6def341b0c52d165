// Tests the leases of idempotent tasks, which are requeued as soon as the lease must have expired.
// The job of invariant_batch_test is non-idempotent, so its schedules do not cover this.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "batch/batch.h"
#include "fakes/fakestore.h"
#include "fakes/fakeworkers.h"

#include <doctest/doctest.h>
#include <memory>

using namespace monsoonledge;

namespace {

struct Leader
{
    Leader(FakeClock &clock, FakeStore &fakeStore, FakeFleet &fleet, std::uint64_t incarnation)
        : timers(clock), store(fakeStore, timers), workers(fleet, timers),
          scheduler(settings(incarnation), store, workers, timers, nullptr)
    {
        BatchJob job;
        job.name = "standings";
        job.count = 3;
        job.idempotent = true;
        job.cores = MilliCores{1500};
        job.memory = MebiBytes{1000};
        job.runTime = seconds(60);
        Sheet sheet;
        sheet.name = "day";
        sheet.jobs = {job};
        scheduler.applySheet(sheet, clock.now());
        scheduler.applyHosts(fleet.listing, clock.now());
        scheduler.becomeLeader(clock.now());
        tick(clock.now());
    }

    static BatchSettings settings(std::uint64_t incarnation)
    {
        BatchSettings settings;
        settings.domain = DomainId("d");
        settings.domains = {DomainId("d")};
        settings.self = {EntryId("e"), Incarnation{incarnation}};
        return settings;
    }

    void tick(Time now)
    {
        scheduler.tick(now);
        timers.after(milliseconds(50), [this](Time later) { tick(later); });
    }

    FakeTimers timers;
    FakeStoreClient store;
    FakeWorkerClient workers;
    BatchScheduler scheduler;
};

} // namespace

TEST_CASE("invariant_2: a new leader waits for leases that the previous leader may have renewed")
{
    FakeClock clock;
    FakeStore store(clock, 1);
    FakeFleet fleet(clock, 5, 2);
    auto leader = std::make_unique<Leader>(clock, store, fleet, 1);
    clock.advance(seconds(5));
    REQUIRE(fleet.runs.size() == 3);
    // Workers that run a task become unreachable, so only lease expiry ends their runs.
    for (auto &item : fleet.workers)
        item.second.reachable = item.second.tasks.empty();
    leader.reset();
    leader = std::make_unique<Leader>(clock, store, fleet, 2);
    for (int step = 0; step < 40; ++step) {
        clock.advance(milliseconds(500));
        REQUIRE(fleet.overlaps() == 0);
    }
    // Without a requeued task, the check for overlaps would prove nothing.
    int restarted = 0;
    for (const auto &item : fleet.runs)
        restarted += item.second.size() > 1 ? 1 : 0;
    CHECK(restarted > 0);
}
