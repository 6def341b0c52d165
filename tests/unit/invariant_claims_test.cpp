// Three entries with claim logs over one store; units move by release and by takeover from dead
// runs, under outages, cuts, lost and late writes, suspensions and lost links. Guards against a
// request id that is granted twice, by the same run or by two runs, within the retention period.
//
// Units and proofs of death are handled by the test, in place of Membership, so that takeovers come
// at arbitrary moments. In every fourth schedule a living run is declared dead by mistake.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "claims/claims.h"
#include "fakes/fakestore.h"
#include "fakes/schedules.h"
#include "membership/membership.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <iterator>
#include <map>
#include <memory>
#include <set>

using namespace monsoonledge;

namespace {

constexpr int Entries = 3;

struct World;

struct Process
{
    Process(World &world, int index, std::uint64_t incarnation);

    World &world;
    int index;
    EntryRun run;
    FakeTimers timers;
    FakeStoreClient store;
    ClaimLog log;
    UnitMask gained = 0; // units given to this run
    UnitMask closing = 0; // of these, being released
    bool declaredDead = false;
    bool up[Entries] = {}; // links
    bool known[Entries] = {}; // the peer's claims of peer mode are known here
};

struct Unit
{
    EntryRun owner; // empty entry: free
    EntryRun lastOwner;
    bool released = true;
    bool claimsKnown[Entries] = {}; // by each possible new owner
    bool ready = false; // the owner has recovered it
};

struct Grant
{
    EntryRun by;
    Time endsAt{}; // the endpoint goes on when the process is suspended or dies
};

struct World
{
    explicit World(std::uint64_t seed) : random(seed), store(clock, seed + 1)
    {
        mistakes = seed % 4 == 0;
        retention = seed % 2 == 0 ? seconds(20) : minutes(10);
    }

    void fail(const std::string &text)
    {
        if (failure.empty())
            failure = text;
    }
    int pick() { return static_cast<int>(random.below(Entries)); }
    void start(int i)
    {
        processes[i] = std::make_unique<Process>(*this, i, ++incarnations[i]);
        for (int k = 0; k < Entries; ++k) {
            if (k != i && processes[k])
                setLink(i, k, true);
        }
    }
    void kill(int i);
    void freeUnits(const Process &dead);
    void giveUnits();
    void setLink(int i, int k, bool up);
    void claim();
    void granted(const RequestId &id, const EntryRun &by, Duration runTime);
    bool mayEnd(const Process &process) const;
    bool killSoon(const Process &process, std::uint64_t oneIn);
    void tick();
    void act();
    void settle();
    Process *find(const EntryRun &run)
    {
        for (auto &process : processes) {
            if (process && process->run == run)
                return process.get();
        }
        return nullptr;
    }

    FakeClock clock;
    Random random;
    FakeStore store;
    std::unique_ptr<Process> processes[Entries];
    std::uint64_t incarnations[Entries] = {};
    Unit units[UnitCount];
    std::map<RequestId, std::vector<Grant>> grants;
    std::vector<RequestId> ids;
    std::vector<RequestId> suspects; // granted shortly before a death; claimed again often
    Duration retention{};
    bool mistakes = false;
    bool settling = false;
    int total = 0;
    int peerGrants = 0;
    std::string failure;
};

EntryId entryOf(int index)
{
    return EntryId(std::string(1, static_cast<char>('a' + index)));
}

int indexOf(const EntryId &entry)
{
    return entry.str()[0] - 'a';
}

ClaimSettings settingsOf(const World &world, const EntryRun &run)
{
    ClaimSettings settings;
    settings.domain = DomainId("d");
    settings.self = run;
    settings.claimsPerSegment = 4;
    settings.retention = world.retention;
    settings.maxRequestRunTime = seconds(3);
    // A run that was declared dead by mistake is stopped by the closed log only in store mode.
    if (world.mistakes)
        settings.storeDownAfter = std::chrono::hours(1);
    return settings;
}

Process::Process(World &w, int i, std::uint64_t incarnation)
    : world(w), index(i), run{entryOf(i), Incarnation{incarnation}}, timers(w.clock),
      store(w.store, timers), log(settingsOf(w, run), store, timers, nullptr)
{
    log.fenced.connect([this](Time) {
        if (!declaredDead)
            world.fail("a living run was fenced");
    });
    log.requiredMirrors = [this] {
        std::vector<EntryId> members;
        for (int k = 0; k < Entries; ++k) {
            if (up[k])
                members.push_back(entryOf(k));
        }
        return members;
    };
    // Messages on a link arrive in order, and not after the link was lost.
    log.sendClaimMessage = [this](const EntryId &to, const ClaimMessage &message) {
        const int k = indexOf(to);
        Process *peer = world.processes[k].get();
        if (!up[k] || peer == nullptr)
            return false;
        peer->timers.after(milliseconds(3), [w = &world, peer, k, message, from = run](Time now) {
            Process *sender = w->find(from);
            if (sender == nullptr || !sender->up[k]
                || !peer->log.receiveMirroredClaims(from, message, now))
                return;
            sender->timers.after(milliseconds(3), [sender, k, n = message.sequence](Time at) {
                if (sender->up[k])
                    sender->log.receiveAcknowledgement(entryOf(k), n, at);
            });
        });
        return true;
    };
}

void World::setLink(int i, int k, bool up)
{
    Process &a = *processes[i];
    Process &b = *processes[k];
    const bool changed = a.up[k] != up;
    a.up[k] = b.up[i] = up;
    if (!changed)
        return;
    for (Process *p : {&a, &b}) {
        Process *peer = p == &a ? &b : &a;
        p->known[peer->index] = false;
        // The sender handles the change when it runs. What it sends then arrives in order, before
        // the heartbeat that tells the receiver that it knows all claims.
        p->timers.after(
                milliseconds(1), [p, peer, i = peer->index, w = this, run = peer->run](Time now) {
                    if (!p->up[i]) {
                        p->log.mirrorsChanged(now);
                        return;
                    }
                    p->log.peerLinked(entryOf(i), now);
                    p->log.mirrorsChanged(now);
                    Process *receiver = w->find(run);
                    if (receiver != nullptr)
                        receiver->timers.after(milliseconds(3), [w, receiver, from = p->run](Time) {
                            if (w->find(from) && receiver->up[indexOf(from.entry)])
                                receiver->known[indexOf(from.entry)] = true;
                        });
                });
    }
}

void World::freeUnits(const Process &dead)
{
    for (Unit &unit : units) {
        if (unit.owner != dead.run)
            continue;
        unit.owner = EntryRun();
        unit.lastOwner = dead.run;
        unit.released = false;
        for (int k = 0; k < Entries; ++k)
            unit.claimsKnown[k] =
                    processes[k] && k != dead.index && processes[k]->known[dead.index];
    }
}

void World::kill(int i)
{
    freeUnits(*processes[i]);
    for (Unit &unit : units)
        unit.claimsKnown[i] = false; // a new run of the entry has no mirrored claims
    for (int k = 0; k < Entries; ++k) {
        if (!processes[k])
            continue;
        processes[k]->up[i] = processes[k]->known[i] = false;
        if (k != i)
            processes[k]->timers.after(milliseconds(1), [p = processes[k].get()](Time now) {
                p->log.mirrorsChanged(now);
            });
    }
    processes[i].reset();
}

// Free units go to living processes. A new run of the entry does not know the claims in peer mode.
void World::giveUnits()
{
    const int i = pick();
    Process *process = processes[i].get();
    if (process == nullptr || process->declaredDead || process->timers.isSuspended())
        return;
    for (int u = 0; u < UnitCount; ++u) {
        Unit &unit = units[u];
        if (!unit.owner.entry.isEmpty() || random.below(2) == 0)
            continue;
        unit.owner = process->run;
        unit.ready = false;
        process->gained |= 1U << u;
        process->closing &= ~(1U << u);
        const bool own =
                indexOf(unit.lastOwner.entry.isEmpty() ? entryOf(i) : unit.lastOwner.entry) == i;
        const bool claimsKnown = unit.released || (!own && unit.claimsKnown[i]);
        process->log.recover(u, unit.lastOwner, unit.released, claimsKnown, clock.now(),
                             [&unit, run = process->run](Time) {
                                 if (unit.owner == run)
                                     unit.ready = true;
                             });
    }
    killSoon(*process, 40); // during its recoveries
}

void World::granted(const RequestId &id, const EntryRun &by, Duration runTime)
{
    ++total;
    for (const Grant &grant : grants[id]) {
        if (clock.now() - grant.endsAt < retention)
            fail("an id was granted twice: " + id.str() + " by " + grant.by.str() + " and "
                 + by.str());
    }
    grants[id].push_back({by, clock.now() + runTime});
}

void World::claim()
{
    const auto kind = random.below(10);
    const int i = pick();
    if (kind == 0 && processes[i] && !processes[i]->timers.isSuspended()) {
        const RequestId issued = processes[i]->log.issueId(clock.now());
        if (!issued.isEmpty())
            ids.push_back(issued);
    } else if (kind < 4 || ids.empty()) {
        ids.emplace_back("id" + std::to_string(ids.size()));
    }
    // Mostly recent ids, so that duplicates meet claims in all states.
    const std::size_t span = std::min<std::size_t>(ids.size(), random.below(4) == 0 ? 800 : 8);
    if (span == 0)
        return;
    const bool suspect = !suspects.empty() && random.below(4) == 0;
    const RequestId id = suspect ? suspects[random.below(suspects.size())]
                                 : ids[ids.size() - 1 - random.below(span)];
    const int unit = unitOfRequest(id);
    // A run that was declared dead by mistake believes that it still owns its units.
    Process *process = processes[i].get();
    if (process == nullptr || !process->declaredDead)
        process = find(units[unit].owner);
    if (process == nullptr || process->timers.isSuspended() || !process->log.isReady(unit))
        return;
    const Time deadline = clock.now() + milliseconds(20 + random.below(1500));
    auto answered = std::make_shared<bool>(false);
    process->log.claim(id, unit, deadline, clock.now(), [=](const ClaimResult &result, Time now) {
        if (std::exchange(*answered, true))
            fail("two results for one claim");
        if (result.status != ClaimStatus::Granted)
            return;
        if (now >= deadline)
            fail("granted after the deadline");
        const Duration runTime = milliseconds(random.below(3000));
        granted(id, process->run, runTime);
        if (killSoon(*process, 200)) // between the record and the end of the request
            suspects.push_back(id);
        peerGrants += process->log.mode() == ClaimMode::Peer ? 1 : 0;
        const bool withdraw = random.below(5) == 0;
        process->timers.after(runTime, [=](Time at) {
            auto &list = grants[id];
            for (std::size_t k = list.size(); withdraw && k-- > 0;) {
                if (list[k].by == process->run) { // the latest grant of this run
                    list.erase(list.begin() + static_cast<std::ptrdiff_t>(k));
                    break;
                }
            }
            if (withdraw)
                process->log.withdraw(id, Answer(), at);
            else
                process->log.finish(id, Answer(), at);
        });
    });
}

// What a node does regularly: frees closing units that are idle, and expires claims.
void World::tick()
{
    for (auto &process : processes) {
        if (!process || process->timers.isSuspended())
            continue;
        process->log.expire(clock.now());
        for (int u = 0; u < UnitCount; ++u) {
            if (((process->closing >> u) & 1U) == 0 || !process->log.unitIdle(u)
                || units[u].owner != process->run)
                continue;
            process->closing &= ~(1U << u);
            units[u].owner = EntryRun();
            units[u].lastOwner = process->run;
            units[u].released = true;
        }
    }
}

// A run that was declared dead by mistake is stopped by its closed log. This needs a new owner that
// lives until it has closed it, so no process ends during its recoveries in schedules with
// mistakes.
bool World::mayEnd(const Process &process) const
{
    return !mistakes || std::none_of(std::begin(units), std::end(units), [&](const Unit &unit) {
        return unit.owner == process.run && !unit.ready;
    });
}

// Deaths at the moments at which something is half done.
bool World::killSoon(const Process &process, std::uint64_t oneIn)
{
    if (mistakes || settling || random.below(oneIn) != 0)
        return false;
    clock.after(milliseconds(random.below(15)), [this, run = process.run] {
        if (find(run) != nullptr)
            kill(indexOf(run.entry));
    });
    return true;
}

void World::act()
{
    const int i = pick();
    const int k = (i + 1) % Entries;
    Process *process = processes[i].get();
    switch (random.below(mistakes ? 9 : 13)) {
    case 0:
        if (process && random.below(2) == 0 && mayEnd(*process))
            kill(i);
        break;
    case 1:
        if (!process || process->declaredDead) {
            if (process)
                kill(i);
            start(i);
        }
        break;
    case 2:
        if (process && random.below(2) == 0)
            process->timers.suspend();
        break;
    case 3:
    case 4:
        if (process)
            process->timers.resume();
        break;
    case 5:
    case 6:
        for (int u = 0; u < UnitCount && process && !process->timers.isSuspended(); ++u) {
            if (units[u].owner == process->run && random.below(2) == 0) {
                process->closing |= 1U << u;
                process->log.closeUnit(u, clock.now());
            }
        }
        break;
    case 7:
        store.loseAnswer = random.below(2) == 0 ? 0.3 : 0;
        store.lateWrite = random.below(2) == 0 ? 0.3 : 0;
        store.refuse = random.below(2) == 0 ? 0.2 : 0;
        break;
    case 8:
        if (mistakes && process && !process->declaredDead && mayEnd(*process)) {
            process->declaredDead = true;
            freeUnits(*process);
        }
        break;
    case 9:
    case 10:
        store.down = random.below(2) == 0;
        break;
    case 11:
        if (process)
            process->store.cut = random.below(2) == 0;
        break;
    default:
        if (process && processes[k])
            setLink(i, k, random.below(2) == 0);
    }
}

// All faults end: every unit becomes ready, and every process writes to the store again.
void World::settle()
{
    settling = true;
    clock.advance(milliseconds(20)); // deaths that are due
    store.down = false;
    store.loseAnswer = store.lateWrite = store.refuse = 0;
    for (int i = 0; i < Entries; ++i) {
        if (processes[i] && processes[i]->declaredDead)
            kill(i);
        if (!processes[i])
            start(i);
        processes[i]->store.cut = false;
        processes[i]->timers.resume();
    }
    for (int round = 0; round < 300; ++round) {
        giveUnits();
        tick();
        clock.advance(milliseconds(50));
    }
    for (int u = 0; u < UnitCount; ++u) {
        const Process *owner = find(units[u].owner);
        if (owner == nullptr || !(owner->log.isReady(u)))
            fail("unit " + std::to_string(u) + " is not ready after quiet");
    }
    for (const auto &process : processes) {
        if (process->log.mode() != ClaimMode::Store)
            fail("a process stays in peer mode after quiet");
    }
}

} // namespace

namespace {

struct Totals
{
    int grants = 0;
    int peerGrants = 0;
    int schedules = 0;
};

std::string runSchedule(std::uint64_t seed, Totals &totals)
{
    World world(seed);
    for (int i = 0; i < Entries; ++i)
        world.start(i);
    for (int step = 0; step < 4000 && world.failure.empty(); ++step) {
        if (step % 40 == 39)
            world.act();
        if (step % 10 == 0) {
            world.giveUnits();
            world.tick();
        }
        world.claim();
        world.clock.advance(milliseconds(world.random.below(40)));
    }
    if (world.failure.empty())
        world.settle();
    totals.grants += world.total;
    totals.peerGrants += world.peerGrants;
    ++totals.schedules;
    return world.failure;
}

} // namespace

TEST_CASE("invariant_claims: an id is granted at most once over all runs")
{
    Totals totals;
    runSchedules(200, [&](std::uint64_t seed) { return runSchedule(seed, totals); });
    MESSAGE(totals.schedules << " schedules, " << totals.grants << " grants, " << totals.peerGrants
                             << " in peer mode");
    // Guards against a test in which nothing is granted.
    CHECK(totals.grants > 100 * totals.schedules);
}

TEST_CASE("invariant_claims: schedules that failed before")
{
    Totals totals;
    for (const std::uint64_t seed : {292, 1252, 3308, 5064}) {
        CAPTURE(seed);
        CHECK(runSchedule(seed, totals).empty());
    }
}
