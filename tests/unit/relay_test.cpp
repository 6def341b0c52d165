// A host that the store rejects hands its clients' requests over to a process that the store
// serves.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"

using namespace monsoonledge;

namespace {

constexpr Duration PeersKnown = seconds(4); // all processes have read the relay addresses
constexpr Duration ContactLost = seconds(3); // longer than the store may be silent

/// Processes 0, 2, ... are in failure domain "z0", the others in "z1".
struct RelayWorld : FleetWorld
{
    explicit RelayWorld(int processCount = 3) : FleetWorld(processCount, 4, 1, true)
    {
        clock.advance(PeersKnown);
    }

    FakeKeyValuePort &storeOf(int index) { return *process(index).store; }
    FakeRelayPort &relayOf(int index) { return *process(index).relay; }
    bool isStored(const std::string &id) const
    {
        return store.items().count("jobs/in/spec/" + id) > 0;
    }

    int answered(int index) { return static_cast<int>(node(index).answeredRequests()); }
    int sent(int index) { return relayOf(index).requestsSent; }

    /// The store answers no call of the process's host from now on.
    void reject(int index)
    {
        storeOf(index).refusing = true;
        clock.advance(ContactLost);
    }

    /// Submits without waiting.
    std::shared_ptr<std::optional<JobAnswer>> begin(int index, const JobSpec &spec,
                                                    Duration timeLeft = seconds(3))
    {
        auto answer = std::make_shared<std::optional<JobAnswer>>();
        node(index).submit(
                spec, clock.now() + timeLeft, [answer](JobAnswer value, Time) { *answer = value; },
                clock.now());
        return answer;
    }

    long logged(const std::string &event) const
    {
        return std::count(log.begin(), log.end(), event);
    }
};

} // namespace

// Guards against refusing all submissions, cancellations and states for as long as the store
// rejects the host.
TEST_CASE("a host that the store rejects hands over submissions, cancellations and states")
{
    RelayWorld world;
    SUBCASE("rejected at once")
    {
        world.reject(0);
    }
    SUBCASE("without an answer")
    {
        world.storeOf(0).silent = true;
        world.clock.advance(ContactLost);
    }
    REQUIRE_FALSE(world.node(0).reachesStore(world.clock.now()));
    CHECK(world.submit(0, FleetWorld::job("a", 1, "ms=60000")) == JobAnswer::Accepted);
    CHECK(world.isStored("a"));
    CHECK(world.wait([&] { return world.state(0, "a") == JobState::Active; }));
    CHECK(world.cancel(0, "a") == JobAnswer::Accepted);
    CHECK(world.store.items().count("jobs/in/cancel/a") == 1);
    CHECK(world.state(0, "a") == JobState::Cancelled);
    CHECK(world.cancel(0, "none") == JobAnswer::NotFound);
    CHECK(world.state(0, "none") == std::nullopt);
}

// Guards against a state that goes back, when the process that was asked cannot read the record.
TEST_CASE("a state is never older than the one that this host has shown before")
{
    RelayWorld world;
    while (world.coordinator() != 1) { // the others read states from the store
        world.start(world.coordinator());
        REQUIRE(world.wait([&] { return world.coordinator() >= 0; }, seconds(10)));
        world.clock.advance(PeersKnown);
    }
    REQUIRE(world.submit(1, FleetWorld::job("a", 1, "ms=60000")) == JobAnswer::Accepted);
    REQUIRE(world.wait([&] { return world.state(0, "a") == JobState::Active; }));
    world.reject(0);
    world.storeOf(2).refusing = true; // its watch has shown it the job, but no progress
    CHECK(world.state(0, "a") == JobState::Active);
    CHECK(world.relayOf(2).requestsReceived == 1);
}

// Guards against refusals in the first seconds, while watches still count as contact to the store.
TEST_CASE("a submission that the store has just refused is handed over")
{
    RelayWorld world;
    world.storeOf(0).refusing = true;
    REQUIRE(world.node(0).reachesStore(world.clock.now()));
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Accepted);
    CHECK(world.isStored("a"));
    CHECK(world.node(0).forwardedRequests().at("stored") == 1);
}

// Guards against 504 for a submission that another process can settle.
TEST_CASE("a submission whose answer from the store was lost is settled by another process")
{
    RelayWorld world;
    world.storeOf(0).losesAnswers = true;
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Accepted);
    CHECK(world.isStored("a"));
}

// Guards against 504 while the store is slow for all hosts: with peers, this host stopped repeating
// its own write 1.1 s before the deadline, when no other process could do better.
TEST_CASE("a write without an answer is repeated here until the deadline, beside the other process")
{
    RelayWorld world;
    for (int i = 0; i < 3; ++i)
        world.storeOf(i).silent = true;
    const auto submission = world.begin(0, FleetWorld::job("a"));
    world.clock.advance(milliseconds(2300));
    CHECK_FALSE(submission->has_value());
    world.storeOf(0).silent = false;
    world.clock.advance(milliseconds(800));
    CHECK(*submission == JobAnswer::Accepted);
}

// Guards against unknown outcomes and load in an outage of the whole store: a request that is lost
// on its way to a process that could not have stored it is answered 504, after which it may not be
// repeated.
TEST_CASE("while no process reaches the store, submissions are refused without asking others")
{
    constexpr int processCount = 12;
    RelayWorld world(processCount);
    const auto received = [&world] {
        int count = 0;
        for (int i = 0; i < processCount; ++i)
            count += world.relayOf(i).requestsReceived;
        return count;
    };
    for (int i = 0; i < processCount; ++i)
        world.storeOf(i).refusing = true;
    for (int i = 0; i < 3; ++i)
        CHECK(world.submit(0, FleetWorld::job("a" + std::to_string(i))) == JobAnswer::NotAccepted);
    const int before = received();
    CHECK(before == 6);
    CHECK(world.submit(0, FleetWorld::job("b")) == JobAnswer::NotAccepted);
    CHECK(received() == before);
    for (int i = 1; i < processCount; ++i)
        world.storeOf(i).refusing = false;
    world.clock.advance(seconds(3));
    CHECK(world.submit(0, FleetWorld::job("c")) == JobAnswer::Accepted);
}

// Guards against the loss of readiness at 2.6 s, and against readiness without a way to the store.
TEST_CASE("a host is ready while it can hand over")
{
    RelayWorld world;
    world.storeOf(0).silent = true;
    bool wasAlwaysReady = true;
    for (int i = 0; i < 900; ++i) {
        world.clock.advance(milliseconds(10));
        wasAlwaysReady = wasAlwaysReady && world.node(0).isReady(world.clock.now());
    }
    CHECK(wasAlwaysReady);
    world.reject(1);
    world.reject(2);
    world.clock.advance(seconds(3));
    CHECK_FALSE(world.node(0).isReady(world.clock.now()));
    CHECK_FALSE(world.node(1).isReady(world.clock.now()));
}

// Guards against requests that circle among rejected hosts, and against 504 where nothing was sent.
TEST_CASE("a request is forwarded at most once, to at most two processes")
{
    RelayWorld world(4);
    for (int i = 0; i < 4; ++i)
        world.storeOf(i).refusing = true;
    world.clock.advance(milliseconds(1600)); // the last probes have found all of them
    world.clock.advance(seconds(2)); // those that failed are tried again
    for (int i = 1; i < 4; ++i)
        world.relayOf(i).requestsSent = 0;
    for (int i = 0; i < 6; ++i) {
        const int before = world.sent(0);
        CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::NotAccepted);
        CHECK(world.sent(0) - before <= 2);
        world.clock.advance(milliseconds(500));
    }
    CHECK(world.sent(0) > 0);
    for (int i = 1; i < 4; ++i)
        CHECK(world.sent(i) == 0);
    CHECK_FALSE(world.isStored("a"));
}

// Guards against a refusal because the first process that was asked is rejected as well.
TEST_CASE("a process that the store rejects too is replaced by one that it serves")
{
    RelayWorld world;
    world.storeOf(0).refusing = true;
    world.storeOf(2).refusing = true; // of the same failure domain, so it is asked first
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Accepted);
    CHECK(world.node(1).answeredRequests() == 1);
    CHECK(world.relayOf(2).requestsReceived == 1);
    // It is skipped from then on.
    CHECK(world.submit(0, FleetWorld::job("b")) == JobAnswer::Accepted);
    CHECK(world.relayOf(2).requestsReceived == 1);
    CHECK(world.logged("relay-peer-failed") == 1);
}

// Guards against lost submissions when the process that was asked fails.
TEST_CASE("a process that stops, is paused or answers late is replaced by another one")
{
    RelayWorld world;
    world.storeOf(0).refusing = true;
    SUBCASE("stopped")
    {
        world.kill(2);
    }
    SUBCASE("paused")
    {
        world.process(2).timers->suspend();
    }
    SUBCASE("silent")
    {
        world.relayOf(2).silent = true;
    }
    SUBCASE("late")
    {
        world.relayOf(2).answerDelay = seconds(1);
    }
    SUBCASE("its answers are lost")
    {
        world.relayOf(2).losesAnswers = true;
    }
    const Time start = world.clock.now();
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Accepted);
    CHECK(world.clock.now() - start < milliseconds(600));
    CHECK(world.isStored("a"));
    CHECK(world.state(0, "a").has_value());
    CHECK(world.cancel(0, "a") == JobAnswer::Accepted);
}

// Guards against 504 and 503 for calls that may be repeated at another process.
TEST_CASE("a cancellation or state query whose answer was lost is repeated at another process")
{
    RelayWorld world;
    REQUIRE(world.submit(1, FleetWorld::job("a", 1, "ms=60000")) == JobAnswer::Accepted);
    world.reject(0);
    world.relayOf(2).losesAnswers = true;
    SUBCASE("cancellation")
    {
        CHECK(world.cancel(0, "a") == JobAnswer::Accepted);
        CHECK(world.store.items().count("jobs/in/cancel/a") == 1);
    }
    SUBCASE("state")
    {
        CHECK(world.state(0, "a").has_value());
    }
    SUBCASE("both answers are lost")
    {
        world.relayOf(1).losesAnswers = true;
        CHECK(world.cancel(0, "a") == JobAnswer::Unknown);
        CHECK(world.cancel(0, "none") == JobAnswer::Unknown);
    }
    CHECK(world.relayOf(2).requestsReceived == 1);
}

// Guards against REFUSED: a 503 for a job that a process stored, or may still store.
TEST_CASE("a submission whose answer was lost is never reported as refused")
{
    RelayWorld world;
    world.storeOf(0).refusing = true;
    SUBCASE("both answers are lost")
    {
        world.relayOf(1).losesAnswers = true;
        world.relayOf(2).losesAnswers = true;
        CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Unknown);
        CHECK(world.isStored("a"));
    }
    SUBCASE("the second process has not stored it")
    {
        world.relayOf(2).losesAnswers = true;
        world.storeOf(1).refusing = true;
        world.clock.advance(milliseconds(1100)); // its watch shows it no further jobs
        CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Unknown);
        CHECK(world.isStored("a"));
    }
    SUBCASE("the second process cannot be reached")
    {
        world.relayOf(2).losesAnswers = true;
        world.kill(1);
        CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Unknown);
    }
    SUBCASE("a paused process stores it after the caller was answered")
    {
        world.process(2).timers->suspend();
        world.kill(1);
        CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Unknown);
        CHECK_FALSE(world.isStored("a"));
        world.process(2).timers->resume();
        world.clock.advance(seconds(1));
    }
    SUBCASE("this host's own write was not answered, and the others are rejected")
    {
        world.storeOf(0).refusing = false;
        world.storeOf(0).losesAnswers = true;
        world.storeOf(1).refusing = true;
        world.storeOf(2).refusing = true;
        JobAnswer expected = JobAnswer::Unknown;
        SUBCASE("and no watch shows it")
        {
            world.storeOf(0).silentPrefix = "jobs/in/";
            world.clock.advance(milliseconds(1100)); // the watch in flight ends
        }
        SUBCASE("and the watch shows that it is stored")
        {
            expected = JobAnswer::Accepted;
        }
        CHECK(world.submit(0, FleetWorld::job("a")) == expected);
        CHECK(world.isStored("a"));
    }
}

// Guards against 504 for a submission that no process can have stored.
TEST_CASE("a submission that reached no process that could store it is refused")
{
    RelayWorld world;
    world.reject(0);
    SUBCASE("the others are rejected")
    {
        world.storeOf(1).refusing = true;
        world.storeOf(2).refusing = true;
    }
    SUBCASE("the others are gone")
    {
        world.kill(1);
        world.kill(2);
    }
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::NotAccepted);
    world.clock.advance(seconds(3));
    CHECK_FALSE(world.isStored("a"));
}

// Guards against TWICE: two jobs, or two runs of a task, for one job id.
TEST_CASE("the same job id through several hosts is one job")
{
    RelayWorld world;
    world.reject(0);
    const JobSpec job = FleetWorld::job("a", 3);
    const auto first = world.begin(0, job);
    const auto second = world.begin(1, job);
    const auto third = world.begin(0, job);
    world.clock.advance(seconds(5));
    CHECK(*first == JobAnswer::Accepted);
    CHECK(*second == JobAnswer::Accepted);
    CHECK(*third == JobAnswer::Accepted);
    CHECK(world.state(0, "a") == JobState::Completed);
    for (const auto &[task, count] : world.runners.starts)
        CHECK(count == 1);
    CHECK(world.runners.starts.size() == 3);
}

// Guards against requests without limit in flight to processes that do not answer.
TEST_CASE("at most 64 requests are in flight; more are refused at once")
{
    RelayWorld world;
    world.reject(0);
    world.relayOf(1).silent = true;
    world.relayOf(2).silent = true;
    std::vector<std::shared_ptr<std::optional<JobAnswer>>> answers;
    answers.reserve(70);
    for (int i = 0; i < 70; ++i)
        answers.push_back(world.begin(0, FleetWorld::job("a" + std::to_string(i))));
    const long refused = std::count_if(answers.begin(), answers.end(),
                                       [](const auto &answer) { return answer->has_value(); });
    CHECK(refused >= 6);
    CHECK(refused <= 7); // a probe may be in flight
    CHECK(*answers.back() == JobAnswer::NotAccepted);
    world.clock.advance(seconds(1));
    for (const auto &answer : answers)
        CHECK(answer->has_value());
    CHECK(*answers.front() == JobAnswer::Unknown);
    // The limit counts only requests in flight.
    world.relayOf(1).silent = false;
    world.clock.advance(seconds(3));
    CHECK(world.submit(0, FleetWorld::job("b")) == JobAnswer::Accepted);
}

// Guards against waiting 400 ms for each request that goes to a process that does not answer.
TEST_CASE("a process that failed is skipped for 2 s and then tried again")
{
    RelayWorld world(2);
    world.reject(0);
    world.relayOf(1).silent = true;
    world.clock.advance(seconds(1)); // a probe fails
    const int before = world.sent(0);
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::NotAccepted);
    CHECK(world.sent(0) == before);
    world.relayOf(1).silent = false;
    world.clock.advance(milliseconds(2600));
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Accepted);
}

// Guards against a peer that is skipped because a caller with a short deadline could not wait until
// the link to it was open.
TEST_CASE("a request whose short deadline has passed does not make its peer count as failed")
{
    struct Port : RelayPort
    {
        RelayResult result{RelayDelivery::NotSent, {}, "the link is not open yet", true};
        int sent = 0;

        void send(const RelayPeer &, const RelayRequest &, Duration,
                  std::function<void(const RelayResult &, Time)> done) override
        {
            ++sent;
            done(result, Time{});
        }
        void setReceiver(RelayReceiver) override { }
    };
    Port port;
    RelayPeers peers("a", DomainId("z"));
    peers.replace({{"b", {"10.1.0.2", 4000}, DomainId("z")}});
    Relay relay(std::move(peers), port, [](const LogEvent &) {});
    const auto forward = [&](Duration timeLeft) {
        relay.forward(
                {}, false, Time{} + timeLeft, [](const RelayAnswer &, Time) {}, Time{});
    };
    forward(milliseconds(50));
    forward(milliseconds(50));
    CHECK(port.sent == 2);
    forward(seconds(1)); // the peer had all the time that a request gets
    forward(seconds(1));
    CHECK(port.sent == 3);
}

// Guards against a process that ends, or serves no others, because of one message.
TEST_CASE("a request that cannot be read costs its link only")
{
    RelayWorld world;
    world.storeOf(0).refusing = true;
    world.relayOf(0).garblesRequests = true;
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Unknown);
    CHECK(world.logged("relay-message-invalid") == 2);
    world.relayOf(0).garblesRequests = false;
    world.clock.advance(seconds(3));
    CHECK(world.submit(0, FleetWorld::job("b")) == JobAnswer::Accepted);
    CHECK(world.submit(2, FleetWorld::job("c")) == JobAnswer::Accepted);
}

// Guards against answers after the caller has given up.
TEST_CASE("forwarding keeps the caller's deadline")
{
    RelayWorld world;
    world.reject(0);
    world.relayOf(1).silent = true;
    world.relayOf(2).silent = true;
    const auto answer = world.begin(0, FleetWorld::job("a"), milliseconds(150));
    world.clock.advance(milliseconds(151));
    CHECK(*answer == JobAnswer::Unknown);
}

// Guards against requests to processes that were stopped as planned, and to unreadable addresses.
TEST_CASE("addresses are published at the start and removed at a planned stop")
{
    RelayWorld world;
    CHECK(world.store.items().at("entry/p0").value == "10.1.0.1:4000 z0");
    world.store.put("entry/p7", "nowhere");
    world.store.put("entry/", "10.1.0.9:4000 z0");
    world.node(2).drain();
    world.clock.advance(seconds(1));
    CHECK(world.store.items().count("entry/p2") == 0);
    world.clock.advance(seconds(25));
    CHECK(world.logged("relay-address-unreadable") >= 2);
    world.reject(0);
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::Accepted);
    CHECK(world.relayOf(2).requestsReceived == 0);
}

// Guards against a load on the store that grows with forwarding.
TEST_CASE("addresses are read about every 20 s")
{
    RelayWorld world;
    const int before = world.storeOf(0).entryReads;
    world.clock.advance(seconds(200));
    CHECK(world.storeOf(0).entryReads - before >= 8);
    CHECK(world.storeOf(0).entryReads - before <= 12);
}

// Guards against a line for each request in the log.
TEST_CASE("the log shows when a host begins and ends to hand over")
{
    RelayWorld world;
    world.reject(0);
    for (int i = 0; i < 5; ++i)
        CHECK(world.submit(0, FleetWorld::job("a" + std::to_string(i))) == JobAnswer::Accepted);
    CHECK(world.logged("relay-began") == 1);
    CHECK(world.logged("relay-ended") == 0);
    world.storeOf(0).refusing = false;
    world.clock.advance(seconds(6));
    CHECK(world.logged("relay-ended") == 1);
    CHECK(world.submit(0, FleetWorld::job("b")) == JobAnswer::Accepted);
    CHECK(world.logged("relay-began") == 1);
}

// Guards against REFUSED and TWICE under any order of faults: a job that runs although all its
// submissions were refused, and a job that was accepted and is not there.
TEST_CASE("random failures of stores and links never make an answer untrue")
{
    constexpr int processCount = 5;
    constexpr int jobCount = 30;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        RelayWorld world(processCount);
        Random random(seed);
        std::vector<std::vector<std::shared_ptr<std::optional<JobAnswer>>>> answers(jobCount);
        for (std::size_t i = 0; i < jobCount; ++i) {
            const int host = static_cast<int>(random.below(processCount));
            FakeKeyValuePort &store = world.storeOf(host);
            FakeRelayPort &relay = world.relayOf(host);
            store.refusing = random.below(3) == 0;
            store.silent = random.below(4) == 0;
            store.losesAnswers = random.below(6) == 0;
            relay.silent = random.below(6) == 0;
            relay.losesAnswers = random.below(5) == 0;
            relay.garblesRequests = random.below(12) == 0;
            relay.answerDelay = random.below(5) == 0 ? milliseconds(500) : Duration::zero();
            FakeTimers &timers = *world.process(host).timers;
            if (timers.isSuspended())
                timers.resume();
            else if (random.below(8) == 0)
                timers.suspend();
            const JobSpec job = FleetWorld::job("j" + std::to_string(i), 1);
            for (std::uint64_t call = 0; call <= random.below(3); ++call) {
                const int through = static_cast<int>(random.below(processCount));
                answers[i].push_back(world.begin(through, job));
            }
            world.clock.advance(milliseconds(static_cast<std::int64_t>(random.below(700))));
        }
        world.clock.advance(seconds(4));
        for (int i = 0; i < processCount; ++i) {
            FakeKeyValuePort &store = world.storeOf(i);
            store.refusing = store.silent = store.losesAnswers = false;
            world.process(i).timers->resume();
        }
        world.clock.advance(seconds(30));
        for (std::size_t i = 0; i < jobCount; ++i) {
            const std::string id = "j" + std::to_string(i);
            CAPTURE(id);
            const auto is = [](JobAnswer expected) {
                return [expected](const auto &answer) { return *answer == expected; };
            };
            const auto &calls = answers[i];
            if (std::any_of(calls.begin(), calls.end(), is(JobAnswer::Accepted)))
                CHECK(world.isStored(id));
            if (std::all_of(calls.begin(), calls.end(), is(JobAnswer::NotAccepted)))
                CHECK_FALSE(world.isStored(id));
        }
        CHECK(world.runners.findings == std::vector<std::string>());
    }
}

// Guards against forwarding in deployments that have no relay ports.
TEST_CASE("without a relay address nothing is published or forwarded")
{
    FleetWorld world(2);
    world.clock.advance(seconds(4));
    CHECK(world.store.items().lower_bound("entry/")->first.rfind("entry/", 0) != 0);
    world.process(0).store->refusing = true;
    world.clock.advance(ContactLost);
    CHECK_FALSE(world.node(0).isReady(world.clock.now()));
    CHECK(world.submit(0, FleetWorld::job("a")) == JobAnswer::NotAccepted);
}

// Guards against all processes sending their requests to the same one.
TEST_CASE("the order of the peers differs by process and begins with the own failure domain")
{
    std::vector<RelayPeer> all;
    all.reserve(20);
    for (int i = 0; i < 20; ++i)
        all.push_back({"p" + std::to_string(i), FleetWorld::relayAddress(i),
                       DomainId("z" + std::to_string(i % 2))});
    std::map<std::string, int> firstChoices;
    for (const RelayPeer &self : all) {
        RelayPeers peers(self.name, self.domain);
        peers.replace(all);
        const auto first = peers.choose({}, Time());
        REQUIRE(first);
        CHECK(first->domain == self.domain);
        CHECK(first->name != self.name);
        ++firstChoices[first->name];
        const auto second = peers.choose(first, Time());
        REQUIRE(second);
        CHECK(second->domain != self.domain);
    }
    CHECK(firstChoices.size() >= 8);
}
