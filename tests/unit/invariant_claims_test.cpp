// Three entry processes keep claim logs in one store. Share units change owners by release and by
// takeover from dead incarnations, with store outages, processes cut off from the store, lost and
// delayed writes, suspensions and lost links. Guards against a request id that is granted twice, by
// one incarnation or by two, within the retention period.
//
// The test assigns units and declares processes dead itself, in place of Membership, so that
// takeovers happen at arbitrary moments. In every fourth schedule it also declares incarnations
// dead that are alive.
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

constexpr int EntryCount = 3;

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
    UnitMask gained = 0; // units that were ever assigned to this incarnation
    UnitMask closing = 0; // units that are being released
    bool declaredDead = false; // by the test, although the process is alive
    bool linkUp[EntryCount] = {}; // link to each peer
    bool knowsPeerClaims[EntryCount] = {}; // has all claims that the peer made in peer mode
};

struct Unit
{
    EntryRun owner; // empty entry: the unit is free
    EntryRun lastOwner;
    bool released = true;
    bool claimsKnown[EntryCount] = {}; // by entry: has all claims that lastOwner made in peer mode
    bool ready = false; // the owner has recovered the unit's claims
};

struct Grant
{
    EntryRun grantedBy;
    Time endsAt{}; // when the endpoint ends the request, even if the process is suspended or dies
};

struct World
{
    explicit World(std::uint64_t seed) : random(seed), store(clock, seed + 1)
    {
        hasFalseDeaths = seed % 4 == 0;
        retention = seed % 2 == 0 ? seconds(20) : minutes(10);
    }

    void recordFailure(const std::string &text)
    {
        if (failure.empty())
            failure = text;
    }
    int randomEntry() { return static_cast<int>(random.below(EntryCount)); }
    void start(int i)
    {
        processes[i] = std::make_unique<Process>(*this, i, ++incarnations[i]);
        for (int k = 0; k < EntryCount; ++k) {
            if (k != i && processes[k])
                setLink(i, k, true);
        }
    }
    void kill(int i);
    void freeUnitsOfDead(const Process &dead);
    void assignFreeUnits();
    void setLink(int i, int k, bool linkUp);
    void claim();
    void recordGrant(const RequestId &id, const EntryRun &grantedBy, Duration runTime);
    bool mayKill(const Process &process) const;
    bool maybeScheduleKill(const Process &process, std::uint64_t oneIn);
    void doPeriodicWork();
    void injectRandomEvent();
    void endFaultsAndCheck();
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
    std::unique_ptr<Process> processes[EntryCount];
    std::uint64_t incarnations[EntryCount] = {};
    Unit units[UnitCount];
    std::map<RequestId, std::vector<Grant>> grants;
    std::vector<RequestId> ids;
    std::vector<RequestId> idsNearKills; // granted shortly before a kill; often claimed again
    Duration retention{};
    bool hasFalseDeaths = false; // this schedule declares living incarnations dead
    bool settling = false;
    int grantCount = 0;
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
    // A living incarnation that was declared dead is stopped by its closed log only in store mode,
    // so the log must not change to peer mode.
    if (world.hasFalseDeaths)
        settings.storeDownAfter = std::chrono::hours(1);
    return settings;
}

Process::Process(World &w, int i, std::uint64_t incarnation)
    : world(w), index(i), run{entryOf(i), Incarnation{incarnation}}, timers(w.clock),
      store(w.store, timers), log(settingsOf(w, run), store, timers, nullptr)
{
    log.fenced.connect([this](Time) {
        if (!declaredDead)
            world.recordFailure("an incarnation that is alive and not declared dead was fenced");
    });
    log.requiredMirrors = [this] {
        std::vector<EntryId> members;
        for (int k = 0; k < EntryCount; ++k) {
            if (linkUp[k])
                members.push_back(entryOf(k));
        }
        return members;
    };
    // Messages on a link arrive in order, and none arrives after the link was lost.
    log.sendClaimMessage = [this](const EntryId &to, const ClaimMessage &message) {
        const int k = indexOf(to);
        Process *peer = world.processes[k].get();
        if (!linkUp[k] || peer == nullptr)
            return false;
        peer->timers.after(milliseconds(3), [w = &world, peer, k, message, from = run](Time now) {
            Process *sender = w->find(from);
            if (sender == nullptr || !sender->linkUp[k]
                || !peer->log.receiveMirroredClaims(from, message, now))
                return;
            sender->timers.after(milliseconds(3), [sender, k, n = message.sequence](Time at) {
                if (sender->linkUp[k])
                    sender->log.receiveAcknowledgement(entryOf(k), n, at);
            });
        });
        return true;
    };
}

void World::setLink(int i, int k, bool linkUp)
{
    Process &a = *processes[i];
    Process &b = *processes[k];
    const bool changed = a.linkUp[k] != linkUp;
    a.linkUp[k] = b.linkUp[i] = linkUp;
    if (!changed)
        return;
    for (Process *p : {&a, &b}) {
        Process *peer = p == &a ? &b : &a;
        p->knowsPeerClaims[peer->index] = false;
        // A suspended sender handles the change late. The claims that it then sends arrive before
        // the heartbeat after which the receiver knows that it has all of them.
        p->timers.after(
                milliseconds(1), [p, peer, i = peer->index, w = this, run = peer->run](Time now) {
                    if (!p->linkUp[i]) {
                        p->log.mirrorsChanged(now);
                        return;
                    }
                    p->log.peerLinked(entryOf(i), now);
                    p->log.mirrorsChanged(now);
                    Process *receiver = w->find(run);
                    if (receiver != nullptr)
                        receiver->timers.after(milliseconds(3), [w, receiver, from = p->run](Time) {
                            if (w->find(from) && receiver->linkUp[indexOf(from.entry)])
                                receiver->knowsPeerClaims[indexOf(from.entry)] = true;
                        });
                });
    }
}

void World::freeUnitsOfDead(const Process &dead)
{
    for (Unit &unit : units) {
        if (unit.owner != dead.run)
            continue;
        unit.owner = EntryRun();
        unit.lastOwner = dead.run;
        unit.released = false;
        for (int k = 0; k < EntryCount; ++k)
            unit.claimsKnown[k] =
                    processes[k] && k != dead.index && processes[k]->knowsPeerClaims[dead.index];
    }
}

void World::kill(int i)
{
    freeUnitsOfDead(*processes[i]);
    for (Unit &unit : units)
        unit.claimsKnown[i] = false; // a new incarnation of the entry has no mirrored claims
    for (int k = 0; k < EntryCount; ++k) {
        if (!processes[k])
            continue;
        processes[k]->linkUp[i] = processes[k]->knowsPeerClaims[i] = false;
        if (k != i)
            processes[k]->timers.after(milliseconds(1), [p = processes[k].get()](Time now) {
                p->log.mirrorsChanged(now);
            });
    }
    processes[i].reset();
}

// Assigns free units to a random process. A new incarnation of the last owner does not know the
// claims that the last owner made in peer mode.
void World::assignFreeUnits()
{
    const int i = randomEntry();
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
        const bool sameEntry =
                indexOf(unit.lastOwner.entry.isEmpty() ? entryOf(i) : unit.lastOwner.entry) == i;
        const bool claimsKnown = unit.released || (!sameEntry && unit.claimsKnown[i]);
        process->log.recover(u, unit.lastOwner, unit.released, claimsKnown, clock.now(),
                             [&unit, run = process->run](Time) {
                                 if (unit.owner == run)
                                     unit.ready = true;
                             });
    }
    maybeScheduleKill(*process, 40); // while it recovers the units
}

void World::recordGrant(const RequestId &id, const EntryRun &grantedBy, Duration runTime)
{
    ++grantCount;
    for (const Grant &grant : grants[id]) {
        if (clock.now() - grant.endsAt < retention)
            recordFailure("a request id was granted twice within the retention period: " + id.str()
                          + " by " + grant.grantedBy.str() + " and " + grantedBy.str());
    }
    grants[id].push_back({grantedBy, clock.now() + runTime});
}

void World::claim()
{
    const auto kind = random.below(10);
    const int i = randomEntry();
    if (kind == 0 && processes[i] && !processes[i]->timers.isSuspended()) {
        const RequestId issued = processes[i]->log.issueId(clock.now());
        if (!issued.isEmpty())
            ids.push_back(issued);
    } else if (kind < 4 || ids.empty()) {
        ids.emplace_back("id" + std::to_string(ids.size()));
    }
    // Selects mostly recent ids, so that duplicates find claims in all states.
    const std::size_t span = std::min<std::size_t>(ids.size(), random.below(4) == 0 ? 800 : 8);
    if (span == 0)
        return;
    const bool useIdNearKill = !idsNearKills.empty() && random.below(4) == 0;
    const RequestId id = useIdNearKill ? idsNearKills[random.below(idsNearKills.size())]
                                       : ids[ids.size() - 1 - random.below(span)];
    const int unit = homeUnit(id);
    // A living incarnation that was declared dead still acts as the owner of its units.
    Process *process = processes[i].get();
    if (process == nullptr || !process->declaredDead)
        process = find(units[unit].owner);
    if (process == nullptr || process->timers.isSuspended() || !process->log.isReady(unit))
        return;
    const Time deadline = clock.now() + milliseconds(20 + random.below(1500));
    auto answered = std::make_shared<bool>(false);
    process->log.claim(id, unit, deadline, clock.now(), [=](const ClaimResult &result, Time now) {
        if (std::exchange(*answered, true))
            recordFailure("a claim got two results");
        if (result.status != ClaimStatus::Granted)
            return;
        if (now >= deadline)
            recordFailure("a claim was granted after its deadline");
        const Duration runTime = milliseconds(random.below(3000));
        recordGrant(id, process->run, runTime);
        if (maybeScheduleKill(*process, 200)) // between the grant and the end of the request
            idsNearKills.push_back(id);
        peerGrants += process->log.mode() == ClaimMode::Peer ? 1 : 0;
        const bool withdraw = random.below(5) == 0;
        process->timers.after(runTime, [=](Time at) {
            auto &list = grants[id];
            for (std::size_t k = list.size(); withdraw && k-- > 0;) {
                if (list[k].grantedBy == process->run) { // the latest grant by this incarnation
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

// Does the periodic work of a node: expires claims, and frees closing units that are idle.
void World::doPeriodicWork()
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

// Whether the process may be killed. A living incarnation that was declared dead is stopped only
// when a new owner of its units has closed its log. So in schedules with such incarnations no
// process is killed before it has recovered its units.
bool World::mayKill(const Process &process) const
{
    return !hasFalseDeaths
           || std::none_of(std::begin(units), std::end(units), [&](const Unit &unit) {
                  return unit.owner == process.run && !unit.ready;
              });
}

// Kills the process within 15 ms with a probability of 1 in `oneIn`, so that it dies between the
// steps of an operation. Returns whether the kill is scheduled.
bool World::maybeScheduleKill(const Process &process, std::uint64_t oneIn)
{
    if (hasFalseDeaths || settling || random.below(oneIn) != 0)
        return false;
    clock.after(milliseconds(random.below(15)), [this, run = process.run] {
        if (find(run) != nullptr)
            kill(indexOf(run.entry));
    });
    return true;
}

void World::injectRandomEvent()
{
    const int i = randomEntry();
    const int k = (i + 1) % EntryCount;
    Process *process = processes[i].get();
    switch (random.below(hasFalseDeaths ? 9 : 13)) {
    case 0:
        if (process && random.below(2) == 0 && mayKill(*process))
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
        if (hasFalseDeaths && process && !process->declaredDead && mayKill(*process)) {
            process->declaredDead = true;
            freeUnitsOfDead(*process);
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

// Ends all faults, and then checks that every unit is ready and that every process records its
// claims in the store again.
void World::endFaultsAndCheck()
{
    settling = true;
    clock.advance(milliseconds(20)); // lets scheduled kills happen
    store.down = false;
    store.loseAnswer = store.lateWrite = store.refuse = 0;
    for (int i = 0; i < EntryCount; ++i) {
        if (processes[i] && processes[i]->declaredDead)
            kill(i);
        if (!processes[i])
            start(i);
        processes[i]->store.cut = false;
        processes[i]->timers.resume();
    }
    for (int round = 0; round < 300; ++round) {
        assignFreeUnits();
        doPeriodicWork();
        clock.advance(milliseconds(50));
    }
    for (int u = 0; u < UnitCount; ++u) {
        const Process *owner = find(units[u].owner);
        if (owner == nullptr || !(owner->log.isReady(u)))
            recordFailure("unit " + std::to_string(u)
                          + " is not ready after the faults have ended");
    }
    for (const auto &process : processes) {
        if (process->log.mode() != ClaimMode::Store)
            recordFailure("a process stays in peer mode after the faults have ended");
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
    for (int i = 0; i < EntryCount; ++i)
        world.start(i);
    for (int step = 0; step < 4000 && world.failure.empty(); ++step) {
        if (step % 40 == 39)
            world.injectRandomEvent();
        if (step % 10 == 0) {
            world.assignFreeUnits();
            world.doPeriodicWork();
        }
        world.claim();
        world.clock.advance(milliseconds(world.random.below(40)));
    }
    if (world.failure.empty())
        world.endFaultsAndCheck();
    totals.grants += world.grantCount;
    totals.peerGrants += world.peerGrants;
    ++totals.schedules;
    return world.failure;
}

} // namespace

TEST_CASE("invariant_claims: a request id is granted at most once over all incarnations")
{
    Totals totals;
    runSchedules(200, [&](std::uint64_t seed) { return runSchedule(seed, totals); });
    MESSAGE(totals.schedules << " schedules, " << totals.grants << " grants, " << totals.peerGrants
                             << " in peer mode");
    // The test would prove nothing if hardly any claim were granted.
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
