// Four entry processes in two failure domains over one fake store, network and set of endpoints,
// with load, faults and the checks of what must always hold.
#pragma once

#include "fakes/fakeendpoints.h"
#include "fakes/fakepeers.h"
#include "fakes/fakestore.h"
#include "fakes/faketimers.h"
#include "node/node.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace monsoonledge {

inline const std::vector<std::string> EntryNames{"a1", "a2", "b1", "b2"};
constexpr int WorkersPerDomain = 2;
constexpr Duration Deadline = seconds(2);
constexpr Duration AnswerGrace = seconds(1);

inline DomainId domainOf(const std::string &entry)
{
    return DomainId(entry.substr(0, 1));
}

inline std::string sheetText(std::uint64_t number)
{
    return "name: day" + std::to_string(number) + R"(
services:
  - name: desk
    slotCores: 0.5
    slotMemoryMb: 100
    classes:
      - {name: charge, idempotent: false, latencyTargetMs: 300, objective: 0.99, floor: 0.4,
         weight: 4, deadlineMs: 2000, callerShare: 0.5}
      - {name: sync, idempotent: true, latencyTargetMs: 500, objective: 0.95, floor: 0.2,
         weight: 1, deadlineMs: 2000, callerShare: 0.5}
)";
}

class NoWorkers : public WorkerPort
{
public:
    void order(const Address &, const TaskOrder &,
               std::function<void(OrderStatus, const std::string &, Time)>) override
    { }
    void report(const Address &, std::function<void(const WorkerReport &, Time)>) override { }
};

/// Cannot be read while `ok` of the shared listing is false.
class FakeHostList : public HostListPort
{
public:
    FakeHostList(const HostListing &listing, FakeTimers &timers)
        : listing_(listing), timers_(timers)
    { }
    void read(std::function<void(const HostListing &, Time)> done) override
    {
        timers_.after(milliseconds(3), [listing = listing_.ok ? listing_ : HostListing(),
                                        done = std::move(done)](Time now) { done(listing, now); });
    }

private:
    const HostListing &listing_;
    FakeTimers &timers_;
};

struct World;

struct Process
{
    Process(World &world, const std::string &name, std::uint64_t incarnation);

    FakeTimers timers;
    FakeStoreClient store;
    FakeHostList hosts;
    FakeEndpointClient endpoints;
    NoWorkers workers;
    FakePeerPort peers;
    Node node;
    bool expelled = false;
    Revision highestRevision;
};

struct Attempt
{
    RequestId id;
    std::string entry;
    Incarnation incarnation;
    Time sent{};
    Duration deadline{};
    int answers = 0;
    Answer answer; // the last
    bool disturbed = false; // its process was killed or suspended meanwhile
};

struct World
{
    explicit World(std::uint64_t seed)
        : store(clock, seed), network(clock), endpoints(clock, seed + 1), random(seed + 2)
    {
        store.put("sheet/current", R"({"revision":1,"author":"start","text":)"
                                           + ('"' + escaped(sheetText(1)) + "\"}"));
        accepted = Revision{1};
        listing.ok = true;
        for (int i = 0; i < 2 * WorkersPerDomain; ++i) {
            HostInfo host;
            host.id = HostId("w" + std::to_string(i));
            host.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            host.domain = DomainId(i < WorkersPerDomain ? "a" : "b");
            host.service = ServiceId("desk");
            host.slots = 4;
            endpoints.endpoints[host.address.port].slots = host.slots;
            listing.hosts.push_back(host);
        }
        for (const std::string &name : EntryNames) {
            HostInfo host;
            host.id = HostId("h-" + name);
            host.kind = HostKind::Entry;
            host.domain = domainOf(name);
            listing.hosts.push_back(host);
            start(name);
        }
    }

    static std::string escaped(const std::string &text)
    {
        std::string result;
        for (const char c : text)
            result += c == '\n' ? std::string("\\n") : std::string(1, c);
        return result;
    }

    void start(const std::string &name)
    {
        closed.erase(name);
        processes[name] = std::make_unique<Process>(*this, name, ++lastIncarnation);
    }

    void kill(const std::string &name)
    {
        disturb(name);
        processes.at(name).reset();
    }

    Node &node(const std::string &name) { return processes.at(name)->node; }

    void disturb(const std::string &name)
    {
        for (auto &item : attempts) {
            if (item.second.entry == name)
                item.second.disturbed = true;
        }
    }

    void send(const std::string &entry, const RequestId &id, bool idempotent)
    {
        Process &process = *processes.at(entry);
        if (process.timers.isSuspended() || closed.count(entry) > 0)
            return;
        const std::uint64_t number = ++lastAttempt;
        Attempt &attempt = attempts[number];
        attempt.id = id;
        attempt.entry = entry;
        attempt.incarnation = process.node.self().incarnation;
        attempt.sent = clock.now();
        attempt.deadline = deadline;
        CallerRequest request;
        request.id = id;
        request.caller = CallerId("c" + std::to_string(random.below(5)));
        request.service = ServiceId("desk");
        request.requestClass = ClassId(idempotent ? "desk/sync" : "desk/charge");
        request.deadline = deadline;
        request.body = id.str();
        process.node.handle(
                request,
                [this, number, id, idempotent](const Answer &answer, Time) {
                    ++attempts.at(number).answers;
                    attempts.at(number).answer = answer;
                    ++reasons[answer.reason];
                    ++outcomes[answer.outcome];
                    if (std::getenv("VERBOSE")) {
                        std::fprintf(stderr, "%.3f answer %s %d %s\n",
                                     toMilliseconds(clock.now().time_since_epoch()),
                                     id.str().c_str(), static_cast<int>(answer.outcome),
                                     answer.reason.c_str());
                    }
                    const auto runs = endpoints.runs.find(id);
                    const bool ran = runs != endpoints.runs.end() && runs->second > 0;
                    if (answer.outcome == Outcome::NotRun && !idempotent)
                        falseRefusals += ran ? 1 : 0;
                    if (answer.outcome == Outcome::Done)
                        wrongAnswers += answer.body == id.str() ? 0 : 1;
                },
                clock.now());
    }

    void sendSome()
    {
        for (std::uint64_t i = 0; i < 6; ++i) {
            const bool idempotent = random.below(3) == 0;
            RequestId id("r-" + std::to_string(random.next()));
            const bool duplicate = !idempotent && !recent.empty() && random.below(3) == 0;
            if (duplicate)
                id = recent[random.below(recent.size())];
            else if (!idempotent)
                recent.push_back(id);
            if (recent.size() > 40)
                recent.erase(recent.begin());
            const std::uint64_t copies = !idempotent && random.below(4) == 0 ? 2 : 1;
            for (std::uint64_t copy = 0; copy < copies; ++copy)
                send(EntryNames[random.below(EntryNames.size())], id, idempotent);
        }
    }

    void putSheet()
    {
        Process &process = *processes.at(EntryNames[random.below(EntryNames.size())]);
        if (process.timers.isSuspended())
            return;
        const Revision expect = process.node.sheetVersion().revision;
        const std::uint64_t number = ++lastSheet;
        process.node.putSheet(
                sheetText(number), "op" + std::to_string(number), expect,
                [this, number](const PutResult &result, Time) {
                    if (result.status != PutStatus::Accepted)
                        return;
                    doubleAccepted += acceptedAs.count(result.revision.value) > 0 ? 1 : 0;
                    acceptedAs[result.revision.value] = number;
                    accepted = std::max(accepted, result.revision);
                },
                clock.now());
    }

    void injectFault()
    {
        const std::string &name = EntryNames[random.below(EntryNames.size())];
        const std::uint64_t kind = random.below(12);
        if (std::getenv("VERBOSE")) {
            std::fprintf(stderr, "%.3f fault %d at %s\n",
                         toMilliseconds(clock.now().time_since_epoch()), static_cast<int>(kind),
                         name.c_str());
        }
        Process &process = *processes.at(name);
        FakeEndpoints::Endpoint &endpoint = endpoints.endpoints.at(
                static_cast<std::uint16_t>(1000 + random.below(2 * WorkersPerDomain)));
        switch (kind) {
        case 0:
        case 1:
            disturb(name);
            processes.at(name).reset();
            clock.advance(milliseconds(static_cast<int>(random.below(3000))));
            start(name);
            break;
        case 2:
            disturb(name);
            process.timers.isSuspended() ? process.timers.resume() : process.timers.suspend();
            break;
        case 3:
        case 4:
            network.cut(EntryId(name), EntryId(EntryNames[random.below(EntryNames.size())]), true);
            break;
        case 5:
            network.healAll();
            break;
        case 6:
            store.down = !store.down;
            break;
        case 7:
            process.store.cut = !process.store.cut;
            break;
        case 8:
            store.loseAnswer = random.unit() * 0.3;
            store.lateWrite = random.unit() * 0.2;
            break;
        case 9:
            endpoint.loseAnswer = random.unit() * 0.2;
            endpoint.refuse = random.unit() * 0.2;
            break;
        case 10:
            endpoint.slow = random.unit() * 0.2;
            break;
        default:
            putSheet();
            putSheet();
            break;
        }
    }

    void heal()
    {
        store.down = false;
        store.loseAnswer = store.lateWrite = 0;
        network.healAll();
        for (auto &item : processes) {
            item.second->store.cut = false;
            if (item.second->timers.isSuspended()) {
                disturb(item.first);
                item.second->timers.resume();
            }
        }
        for (auto &item : endpoints.endpoints)
            item.second.loseAnswer = item.second.refuse = item.second.slow = 0;
    }

    void restartExpelled()
    {
        for (auto &item : processes) {
            if (!item.second->expelled)
                continue;
            ++expulsions;
            disturb(item.first);
            item.second.reset();
            start(item.first);
        }
    }

    void checkAlways()
    {
        REQUIRE(endpoints.overloads == 0);
        for (const auto &item : endpoints.runs) {
            CAPTURE(item.first.str());
            REQUIRE(item.second <= 1);
        }
        REQUIRE(falseRefusals == 0);
        REQUIRE(wrongAnswers == 0);
        REQUIRE(doubleAccepted == 0);
        for (auto &item : processes) {
            const Revision revision = item.second->node.sheetVersion().revision;
            REQUIRE(revision >= item.second->highestRevision);
            item.second->highestRevision = revision;
        }
        for (auto item = attempts.begin(); item != attempts.end();) {
            const Attempt &attempt = item->second;
            CAPTURE(attempt.id.str());
            REQUIRE(attempt.answers <= 1);
            const bool due = clock.now() > attempt.sent + attempt.deadline + AnswerGrace;
            if (due && !attempt.disturbed)
                REQUIRE(attempt.answers == 1);
            const bool old = clock.now() > attempt.sent + minutes(3);
            item = old ? attempts.erase(item) : std::next(item);
        }
    }

    FakeClock clock;
    FakeStore store;
    FakeNetwork network;
    FakeEndpoints endpoints;
    HostListing listing;
    Random random;
    Duration deadline = Deadline; // of the requests sent from now on
    std::map<std::string, std::unique_ptr<Process>> processes;
    std::map<std::uint64_t, Attempt> attempts;
    std::set<std::string> closed; // take no connections: they are stopping
    std::vector<RequestId> recent;
    std::map<Outcome, int> outcomes;
    std::map<std::string, int> reasons; // of the answers; empty: done
    std::map<std::uint64_t, std::uint64_t> acceptedAs; // revision -> number of the sheet
    Revision accepted;
    std::uint64_t lastIncarnation = 0;
    std::uint64_t lastAttempt = 0;
    std::uint64_t lastSheet = 1;
    int falseRefusals = 0;
    int wrongAnswers = 0;
    int doubleAccepted = 0;
    int expulsions = 0;
};

inline Settings settingsOf(const std::string &name)
{
    Settings settings;
    settings.entry = EntryId(name);
    settings.domain = domainOf(name);
    settings.host = HostId("h-" + name);
    settings.domains = {DomainId("a"), DomainId("b")};
    const auto address = [](const std::string &entry) {
        const auto index = std::find(EntryNames.begin(), EntryNames.end(), entry);
        return Address{"127.0.0.1",
                       static_cast<std::uint16_t>(9000 + (index - EntryNames.begin()))};
    };
    settings.peer = address(name);
    for (const std::string &other : EntryNames) {
        if (other != name)
            settings.peers.push_back({EntryId(other), domainOf(other), address(other)});
    }
    return settings;
}

/// Prints log events if VERBOSE is set, for the analysis of a failing seed.
inline LogHook logTo(const FakeClock &clock, const std::string &name)
{
    if (!std::getenv("VERBOSE"))
        return nullptr;
    return [&clock, name](const LogEvent &event) {
        std::string line = std::to_string(toMilliseconds(clock.now().time_since_epoch())) + ' '
                           + name + ' ' + event.event + ": " + event.message;
        for (const auto &field : event.fields)
            line += ' ' + field.first + '=' + field.second;
        std::fprintf(stderr, "%s\n", line.c_str());
    };
}

inline Process::Process(World &world, const std::string &name, std::uint64_t incarnation)
    : timers(world.clock), store(world.store, timers), hosts(world.listing, timers),
      endpoints(world.endpoints, timers),
      peers(world.network, timers, {EntryId(name), Incarnation{incarnation}}, microseconds(1500)),
      node(settingsOf(name), Incarnation{incarnation},
           NodePorts{store, timers, hosts, endpoints, workers, peers, logTo(world.clock, name)},
           incarnation)
{
    node.expelled.connect([this](Time) { expelled = true; });
    node.start(world.clock.now());
}

} // namespace monsoonledge
