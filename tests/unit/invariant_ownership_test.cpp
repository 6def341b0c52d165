// Three entry processes share one store. Each schedule kills, restarts, drains and suspends them at
// random, with store outages, lost and delayed writes, and processes cut off from the store. Guards
// against two processes that use the same share unit at the same time, and against units that stay
// without an owner. Link events and host listings are those that real peer links and a real host
// list would give: true when they are created, but a suspended process handles them late.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fakes/fakestore.h"
#include "fakes/schedules.h"
#include "membership/membership.h"

#include <doctest/doctest.h>
#include <memory>

using namespace monsoonledge;

namespace {

constexpr int EntryCount = 3;

struct World;

struct Process
{
    Process(World &world, int index, std::uint64_t incarnation);
    void connect(int peer);
    void pollHostList();
    void simulateWork();

    World &world;
    int index;
    FakeTimers timers;
    FakeStoreClient store;
    Membership membership;
    UnitMask busyUnits = 0; // units with running work
    bool draining = false;
};

struct World
{
    explicit World(std::uint64_t seed) : random(seed), store(clock, seed + 1)
    {
        clock.afterEvent = [this] { checkExclusiveUse(); };
    }
    ~World() { clock.afterEvent = nullptr; }

    void recordFailure(const std::string &text)
    {
        if (failure.empty())
            failure = text;
    }
    void checkExclusiveUse()
    {
        for (int i = 0; i < EntryCount; ++i) {
            for (int k = 0; k < i; ++k) {
                if (processes[i] && processes[k] && (unitsInUse(i) & unitsInUse(k)) != 0)
                    recordFailure("two processes use the same share unit");
            }
        }
    }
    UnitMask unitsInUse(int i) const
    {
        return processes[i]->membership.usableUnits() | processes[i]->busyUnits;
    }
    void start(int i)
    {
        processes[i] = std::make_unique<Process>(*this, i, ++incarnations[i]);
        processes[i]->membership.start(clock.now());
        for (int peer = 0; peer < EntryCount; ++peer) {
            if (peer != i)
                processes[i]->connect(peer);
        }
        processes[i]->pollHostList();
        processes[i]->simulateWork();
    }
    void kill(int i) { processes[i].reset(); }
    void injectRandomEvent();
    void endFaultsAndCheck();
    bool isListed(int i) const
    {
        return clock.now() >= omittedUntil[i] && (processes[i] || clock.now() < listedUntil[i]);
    }

    FakeClock clock;
    Random random;
    FakeStore store;
    std::unique_ptr<Process> processes[EntryCount];
    std::uint64_t incarnations[EntryCount] = {};
    Time listedUntil[EntryCount]; // until then the host list contains the host of a dead process
    Time omittedUntil[EntryCount]; // until then the host list wrongly omits the host
    std::string failure;
};

EntryId entryOf(int index)
{
    return EntryId(std::string(1, static_cast<char>('a' + index)));
}

MembershipSettings settingsOf(int index, std::uint64_t incarnation)
{
    MembershipSettings settings;
    settings.domain = DomainId("d");
    settings.self = {entryOf(index), Incarnation{incarnation}};
    settings.host = HostId("host-" + entryOf(index).str());
    settings.address = {"127.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    return settings;
}

Process::Process(World &w, int i, std::uint64_t incarnation)
    : world(w), index(i), timers(w.clock), store(w.store, timers),
      membership(settingsOf(i, incarnation), store, timers, nullptr)
{
    membership.unitIdle = [this](int unit) { return ((busyUnits >> unit) & 1U) == 0; };
    membership.expelled.connect(
            [this](Time) { world.recordFailure("a living process was expelled"); });
}

// Attempts to connect to the peer, and repeats this forever. The state of the peer at the start of
// an attempt decides its outcome, which is delivered later.
void Process::connect(int peer)
{
    const Process *other = world.processes[peer].get();
    const bool refused = other == nullptr;
    const bool timedOut = !refused && other->timers.isSuspended();
    const std::uint64_t incarnation = world.incarnations[peer];
    timers.after(milliseconds(1 + world.random.below(20)), [=](Time now) {
        if (refused || timedOut)
            membership.peerLost(entryOf(peer), refused ? LinkLoss::Refused : LinkLoss::TimedOut,
                                now);
        else
            membership.peerUp(entryOf(peer), Incarnation{incarnation}, now);
        timers.after(milliseconds(300), [=](Time) { connect(peer); });
    });
}

void Process::pollHostList()
{
    timers.after(seconds(1), [this](Time now) {
        HostListing listing;
        listing.ok = world.random.below(10) > 0;
        for (int i = 0; i < EntryCount; ++i) {
            if (listing.ok && world.isListed(i)) {
                listing.hosts.emplace_back();
                listing.hosts.back().id = HostId("host-" + entryOf(i).str());
            }
        }
        membership.hostListRead(listing, now);
        pollHostList();
    });
}

void Process::simulateWork()
{
    timers.after(milliseconds(20), [this](Time now) {
        busyUnits |= membership.usableUnits() & static_cast<UnitMask>(world.random.next());
        busyUnits &= static_cast<UnitMask>(world.random.next() | world.random.next());
        membership.recheckReleases(now);
        if (draining && membership.drained() && busyUnits == 0 && membership.storeReachable()) {
            // A drained process ends. The kill is deferred, since it destroys the object whose code
            // runs here.
            world.clock.after(Duration(0), [&w = world, i = index, self = this] {
                if (w.processes[i].get() == self)
                    w.kill(i);
            });
            return;
        }
        simulateWork();
    });
}

void World::injectRandomEvent()
{
    const int i = static_cast<int>(random.below(EntryCount));
    Process *process = processes[i].get();
    switch (random.below(13)) {
    case 0:
    case 1:
        kill(i);
        listedUntil[i] = clock.now() + seconds(random.below(20));
        break;
    case 2:
    case 3:
    case 4:
        if (!process)
            start(i);
        break;
    case 5:
        if (process)
            process->timers.suspend();
        break;
    case 6:
    case 7:
        if (process)
            process->timers.resume();
        break;
    case 8:
        store.down = random.below(2) == 0;
        break;
    case 9:
        if (process)
            process->store.cut = random.below(2) == 0;
        break;
    case 10:
        store.loseAnswer = random.below(2) == 0 ? 0.3 : 0;
        store.lateWrite = random.below(2) == 0 ? 0.2 : 0;
        store.refuse = random.below(2) == 0 ? 0.2 : 0;
        break;
    case 11:
        store.dropWatches();
        omittedUntil[i] = clock.now() + seconds(random.below(25));
        break;
    default:
        if (process && random.below(3) == 0) {
            process->draining = true;
            process->membership.drain(clock.now());
        }
    }
}

// Ends all faults, and then checks that the units are divided evenly among the living processes.
// Processes that were killed may stay dead.
void World::endFaultsAndCheck()
{
    store.down = false;
    store.loseAnswer = store.lateWrite = store.refuse = 0;
    for (int i = 0; i < EntryCount; ++i) {
        omittedUntil[i] = Time();
        if (processes[i]) {
            processes[i]->store.cut = false;
            processes[i]->timers.resume();
        }
    }
    clock.advance(seconds(30));
    if (!processes[0])
        start(0);
    clock.advance(seconds(30));
    UnitMask all = 0;
    int alive = 0;
    for (const auto &process : processes)
        alive += process ? 1 : 0;
    for (const auto &process : processes) {
        if (!process)
            continue;
        all |= process->membership.usableUnits();
        const int units = __builtin_popcount(process->membership.usableUnits());
        if (units < UnitCount / alive || units > (UnitCount + alive - 1) / alive)
            recordFailure(
                    "a process does not own its fair share of units after the faults have ended");
    }
    if (all != 0xffff)
        recordFailure("a share unit has no owner after the faults have ended");
}

} // namespace

TEST_CASE("invariant_ownership: no two processes use a unit, and all units get owners after faults")
{
    runSchedules(200, [](std::uint64_t seed) {
        World world(seed);
        for (int i = 0; i < EntryCount; ++i)
            world.start(i);
        for (int step = 0; step < 60 && world.failure.empty(); ++step) {
            world.injectRandomEvent();
            world.clock.advance(milliseconds(world.random.below(3000)));
        }
        if (world.failure.empty())
            world.endFaultsAndCheck();
        return world.failure;
    });
}
