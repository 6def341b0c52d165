#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "claims/claims.h"
#include "claims/segment_p.h"
#include "fakes/fakestore.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <set>

using namespace monsoonledge;

namespace {

struct Shared
{
    FakeClock clock;
    FakeStore store{clock, 1};
};

EntryRun run(const std::string &name, std::uint64_t incarnation = 1)
{
    return {EntryId(name), Incarnation{incarnation}};
}

ClaimSettings settingsOf(const EntryRun &self)
{
    ClaimSettings settings;
    settings.domain = DomainId("d");
    settings.self = self;
    settings.segmentClaims = 8;
    return settings;
}

/// One claim log that has all units, unless it is told to recover them from a former owner.
struct Process
{
    Process(Shared &shared, const EntryRun &self, bool ready = true)
        : clock(shared.clock), timers(clock), store(shared.store, timers),
          log(settingsOf(self), store, timers, nullptr)
    {
        log.fenced.connect([this](Time) { ++fences; });
        log.requiredMirrors = [this] { return mirrors; };
        log.sendMirror = [this](const EntryId &to, const ClaimMessage &message) {
            sent.emplace_back(to, message);
            return true;
        };
        for (int unit = 0; unit < UnitCount && ready; ++unit)
            log.recover(unit, EntryRun(), true, true, clock.now(), [](Time) {});
        clock.advance(milliseconds(50));
    }
    /// The result after the deadline, or none if there was no callback.
    std::optional<ClaimStatus> claim(const std::string &id, Duration wait = milliseconds(500))
    {
        auto result = start(id, wait);
        clock.advance(wait);
        return *result;
    }
    std::shared_ptr<std::optional<ClaimStatus>> start(const std::string &id, Duration wait)
    {
        auto result = std::make_shared<std::optional<ClaimStatus>>();
        log.claim(RequestId(id), homeUnit(RequestId(id)), clock.now() + wait, clock.now(),
                  [result](const ClaimResult &r, Time) {
                      CHECK_FALSE(result->has_value());
                      *result = r.status;
                  });
        return result;
    }
    void recoverAll(const EntryRun &former, bool released, bool known)
    {
        for (int unit = 0; unit < UnitCount; ++unit)
            log.recover(unit, former, released, known, clock.now(), [this](Time) { ++readyUnits; });
        clock.advance(seconds(1));
    }
    void finish(const std::string &id, const std::string &body = "")
    {
        Answer answer;
        answer.outcome = Outcome::Done;
        answer.body = body;
        log.finish(RequestId(id), answer, clock.now());
    }

    FakeClock &clock;
    FakeTimers timers;
    FakeStoreClient store;
    ClaimLog log;
    std::vector<EntryId> mirrors;
    std::vector<std::pair<EntryId, ClaimMessage>> sent;
    int fences = 0;
    int readyUnits = 0;
};

std::string idOfUnit(int unit)
{
    for (int i = 0;; ++i) {
        const RequestId id("id" + std::to_string(i));
        if (homeUnit(id) == unit)
            return id.str();
    }
}

} // namespace

TEST_CASE("a duplicate joins, gets the remembered answer, or is known as possibly run")
{
    Shared shared;
    Process a(shared, run("a"));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    CHECK(a.claim("x") == ClaimStatus::Running);
    std::string joined;
    a.log.waitFor(RequestId("x"), [&](const Answer &answer, Time) { joined = answer.body; });
    a.finish("x", "paid");
    CHECK(joined == "paid");
    CHECK(a.claim("x") == ClaimStatus::Finished);
    CHECK(a.claim("y") == ClaimStatus::Granted);
    a.finish("y", std::string(9 * 1024 * 1024, 'b')); // more than may be remembered
    CHECK(a.claim("x") == ClaimStatus::MaybeRun);
    CHECK(a.claim("y") == ClaimStatus::MaybeRun);
}

TEST_CASE("claims are written in groups, one write at a time and not above the interval")
{
    Shared shared;
    Process a(shared, run("a"));
    shared.clock.advance(seconds(1));
    const int before = shared.store.writes;
    std::vector<std::shared_ptr<std::optional<ClaimStatus>>> results;
    for (int i = 0; i < 40; ++i) {
        results.push_back(a.start("g" + std::to_string(i), seconds(1)));
        shared.clock.advance(milliseconds(2));
    }
    CHECK(shared.store.writes - before <= 5); // 80 ms
    shared.clock.advance(seconds(1));
    for (const auto &result : results)
        CHECK(*result == ClaimStatus::Granted);
}

TEST_CASE("ids with any bytes survive the log, since callers choose them")
{
    Segment segment;
    segment.run = run("a");
    segment.claims = {RequestId("\xff\x80%41 \x01\""), RequestId(std::string("a\0b", 3))};
    CHECK(decodeSegment(encodeSegment(segment)).claims == segment.claims);
    CHECK_THROWS_AS(decodeSegment("[]"), std::runtime_error);
}

TEST_CASE("a lost answer is resolved by reading the segment back")
{
    Shared shared;
    Process a(shared, run("a"));
    shared.store.loseAnswer = 1;
    auto result = a.start("x", seconds(1));
    shared.clock.advance(milliseconds(100));
    CHECK_FALSE(result->has_value());
    shared.store.loseAnswer = 0;
    shared.clock.advance(milliseconds(900));
    CHECK(*result == ClaimStatus::Granted);
    CHECK(a.claim("z") == ClaimStatus::Granted);
}

TEST_CASE("a claim that timed out is never granted later, and can be recorded afresh")
{
    Shared shared;
    Process a(shared, run("a"));
    shared.store.loseAnswer = 1;
    CHECK(a.claim("x", milliseconds(200)) == ClaimStatus::NotRecorded);
    shared.store.loseAnswer = 0;
    shared.clock.advance(seconds(2));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    // The answer of the store is handled late, as after a suspension between answer and timer.
    auto late = a.start("y", milliseconds(20));
    a.timers.suspend();
    shared.clock.advance(seconds(1));
    a.timers.resume();
    shared.clock.advance(seconds(1));
    CHECK(*late == ClaimStatus::NotRecorded);
}

TEST_CASE("after a takeover ids of the dead run are known over several segments, and it is fenced")
{
    Shared shared;
    Process a(shared, run("a"));
    for (int i = 0; i < 19; ++i)
        CHECK(a.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::Granted);
    Process b(shared, run("b"), false);
    b.recoverAll(run("a"), false, true);
    CHECK(b.readyUnits == UnitCount);
    for (int i = 0; i < 19; ++i)
        CHECK(b.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::MaybeRun);
    CHECK(b.claim("new") == ClaimStatus::Granted);
    CHECK(a.claim("late") == ClaimStatus::NotRecorded);
    CHECK(a.fences == 1);
    CHECK(a.log.issueId(shared.clock.now()).isEmpty());
    CHECK_FALSE(b.log.mirrored(run("a"), ClaimMessage(), shared.clock.now()));
}

TEST_CASE("a full last segment and an absent log are closed, too")
{
    Shared shared;
    Process a(shared, run("a"));
    for (int i = 0; i < 8; ++i)
        CHECK(a.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::Granted);
    Process silent(shared, run("s"), false);
    Process b(shared, run("b"), false);
    b.recoverAll(run("a"), false, true);
    b.recoverAll(run("s"), false, true);
    CHECK(a.claim("late") == ClaimStatus::NotRecorded);
    CHECK(a.fences == 1);
    silent.log.recover(0, EntryRun(), true, true, shared.clock.now(), [](Time) {});
    shared.clock.advance(seconds(1));
    CHECK(silent.fences == 1);
}

TEST_CASE("claims of an owner before the dead one are known, as are gaps in its knowledge")
{
    Shared shared;
    Process a(shared, run("a"));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    Process b(shared, run("b"), false);
    SUBCASE("known")
    {
        b.recoverAll(run("a"), false, true);
        Process c(shared, run("c"), false);
        c.recoverAll(run("b"), false, true);
        CHECK(c.claim("x") == ClaimStatus::MaybeRun);
        CHECK(c.claim("y") == ClaimStatus::Granted);
    }
    SUBCASE("b never completed its recovery")
    {
        Process c(shared, run("c"), false);
        c.recoverAll(run("b"), false, true);
        CHECK(c.claim("x") == ClaimStatus::MaybeRun);
    }
    SUBCASE("b had released the unit before, took it back from a, and did not complete that")
    {
        b.recoverAll(run("a"), true, true);
        for (int unit = 0; unit < UnitCount; ++unit)
            b.log.closeUnit(unit, shared.clock.now());
        shared.clock.advance(seconds(1));
        CHECK(b.log.unitIdle(0));
        CHECK(a.claim("later") == ClaimStatus::Granted);
        Process c(shared, run("c"), false);
        c.recoverAll(run("b"), false, true);
        CHECK(c.claim("later") == ClaimStatus::MaybeRun);
    }
}

TEST_CASE("without all claims of the former owner only ids issued afterwards are granted")
{
    Shared shared;
    Process a(shared, run("a"), false);
    a.log.recover(3, EntryRun(), true, true, shared.clock.now(), [](Time) {});
    const RequestId early = a.log.issueId(shared.clock.now());
    CHECK(homeUnit(early) == 3);
    CHECK(early.str().size() <= MaxRequestIdBytes);
    Process b(shared, run("b"));
    a.recoverAll(run("b"), false, false);
    const RequestId issued = a.log.issueId(shared.clock.now());
    CHECK(a.claim(issued.str()) == ClaimStatus::Granted);
    CHECK(a.claim("other") == ClaimStatus::MaybeRun);
    CHECK(a.claim(early.str()) == ClaimStatus::MaybeRun);
    shared.clock.advance(minutes(10)); // claims of b may have run a minute into the period
    CHECK(a.claim("other2") == ClaimStatus::MaybeRun);
    shared.clock.advance(minutes(1));
    CHECK(a.claim("other") == ClaimStatus::Granted);
    CHECK(a.claim(early.str()) == ClaimStatus::MaybeRun); // older than the retention period
}

TEST_CASE("peer mode waits for all required members and writes the claims when the store returns")
{
    Shared shared;
    Process a(shared, run("a"));
    a.mirrors = {EntryId("b"), EntryId("c")};
    shared.store.down = true;
    auto early = a.start("x", seconds(10));
    shared.clock.advance(milliseconds(1500));
    CHECK(a.log.mode() == ClaimMode::Store);
    shared.clock.advance(seconds(1));
    CHECK(a.log.mode() == ClaimMode::Peer);
    REQUIRE(a.sent.size() == 2);
    a.log.acknowledged(EntryId("b"), a.sent[0].second.sequence, shared.clock.now());
    a.log.acknowledged(EntryId("b"), a.sent[1].second.sequence, shared.clock.now()); // not b's
    CHECK_FALSE(early->has_value());
    // A new run of b does not have the claim: it is sent again, and the old answer does not count.
    a.log.peerLinked(EntryId("b"), shared.clock.now());
    REQUIRE(a.sent.size() == 3);
    a.log.acknowledged(EntryId("c"), a.sent[1].second.sequence, shared.clock.now());
    CHECK_FALSE(early->has_value());
    a.log.acknowledged(EntryId("b"), a.sent[2].second.sequence, shared.clock.now());
    CHECK(*early == ClaimStatus::Granted);
    a.log.peerLinked(EntryId("b"), shared.clock.now());
    CHECK(a.sent.size() == 4); // granted claims are sent again, too
    a.mirrors.clear();
    CHECK(a.claim("y", milliseconds(10)) == ClaimStatus::Granted);
    a.finish("y");
    CHECK_FALSE(a.log.unitIdle(homeUnit(RequestId("y")))); // not in the log
    shared.store.down = false;
    shared.clock.advance(seconds(2));
    CHECK(a.log.mode() == ClaimMode::Store);
    CHECK(a.log.unitIdle(homeUnit(RequestId("y"))));
    Process b(shared, run("b"), false);
    b.recoverAll(run("a"), false, true);
    CHECK(b.claim("x") == ClaimStatus::MaybeRun);
    CHECK(b.claim("y") == ClaimStatus::MaybeRun);
}

TEST_CASE("peer mode ends also if its last claims are withdrawn instead of written")
{
    Shared shared;
    Process a(shared, run("a"));
    const int before = shared.store.writes;
    shared.store.down = true;
    auto first = a.start("w0", seconds(9));
    shared.clock.advance(seconds(3));
    for (int i = 1; i < 12; ++i) // more than one segment
        CHECK(a.claim("w" + std::to_string(i), milliseconds(10)) == ClaimStatus::Granted);
    shared.store.down = false;
    while (shared.store.writes == before)
        shared.clock.advance(milliseconds(1));
    shared.clock.advance(milliseconds(6)); // the answer; the next write waits for the interval
    CHECK(a.log.mode() == ClaimMode::Peer);
    for (int i = 8; i < 12; ++i)
        a.log.withdraw(RequestId("w" + std::to_string(i)), Answer(), shared.clock.now());
    shared.clock.advance(seconds(5));
    a.log.expire(shared.clock.now());
    CHECK(a.log.mode() == ClaimMode::Store);
}

TEST_CASE("mirrored claims are known after a takeover, and also to the owner after that")
{
    Shared shared;
    Process a(shared, run("a"));
    Process b(shared, run("b"), false);
    ClaimMessage message;
    message.claims = {{RequestId("x"), false}};
    CHECK(b.log.mirrored(run("a"), message, shared.clock.now()));
    b.recoverAll(run("a"), false, true);
    CHECK(b.claim("x") == ClaimStatus::MaybeRun);
    Process c(shared, run("c"), false);
    c.recoverAll(run("b"), false, true);
    CHECK(c.claim("x") == ClaimStatus::MaybeRun);
}

TEST_CASE("a withdrawn claim may be claimed again; a unit that is closed takes no claims")
{
    Shared shared;
    Process a(shared, run("a"));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    const int unit = homeUnit(RequestId("x"));
    CHECK_FALSE(a.log.unitIdle(unit));
    a.log.withdraw(RequestId("x"), Answer(), shared.clock.now());
    CHECK(a.log.unitIdle(unit));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    a.log.closeUnit(unit, shared.clock.now());
    CHECK_FALSE(a.log.isReady(unit));
    CHECK(a.claim("x") == ClaimStatus::Running);
    CHECK(a.claim(idOfUnit(unit)) == ClaimStatus::NotRecorded);
}

TEST_CASE("ids and segments are dropped after the retention period, running ones never")
{
    Shared shared;
    Process a(shared, run("a"));
    for (int i = 0; i < 40; ++i) {
        CHECK(a.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::Granted);
        if (i != 12)
            a.finish("x" + std::to_string(i));
    }
    CHECK(shared.store.values().size() == 5);
    for (int i = 0; i < 700; ++i) {
        shared.clock.advance(seconds(1));
        a.log.expire(shared.clock.now());
    }
    CHECK(a.log.size() == 1);
    CHECK(shared.store.values().size()
          == 4); // the segment with the running claim holds back the rest
    a.finish("x12");
    for (int i = 0; i < 700; ++i) {
        shared.clock.advance(seconds(1));
        a.log.expire(shared.clock.now());
    }
    CHECK(a.log.size() == 0);
    CHECK(shared.store.values().size() == 1);
    CHECK(a.claim("x1") == ClaimStatus::Granted);
}

TEST_CASE("logs of dead runs are removed after the retention period but for the closing mark")
{
    Shared shared;
    Process a(shared, run("a", 1));
    for (int i = 0; i < 20; ++i)
        CHECK(a.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::Granted);
    Process b(shared, run("b"), false);
    b.recoverAll(run("a", 1), false, true);
    for (int i = 0; i < 670; ++i) {
        shared.clock.advance(seconds(1));
        b.log.expire(shared.clock.now());
    }
    CHECK(shared.store.values().size() == 2); // the mark and the log of b
    CHECK(a.claim("late") == ClaimStatus::NotRecorded);
    Process again(shared, run("a", 2), false);
    for (int i = 0; i < 1330; ++i) {
        shared.clock.advance(seconds(1));
        again.log.expire(shared.clock.now());
    }
    CHECK(shared.store.values().size() == 1);
}
