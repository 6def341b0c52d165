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

struct Fixture
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
    settings.claimsPerSegment = 8;
    return settings;
}

/// A process with one claim log. All units are ready from the start, unless `ready` is false.
struct Process
{
    Process(Fixture &fixture, const EntryRun &self, bool ready = true)
        : clock(fixture.clock), timers(clock), store(fixture.store, timers),
          log(settingsOf(self), store, timers, nullptr)
    {
        log.fenced.connect([this](Time) { ++fencedCount; });
        log.requiredMirrors = [this] { return mirrors; };
        log.sendClaimMessage = [this](const EntryId &to, const ClaimMessage &message) {
            sentMessages.emplace_back(to, message);
            return true;
        };
        for (int unit = 0; unit < UnitCount && ready; ++unit)
            log.recover(unit, EntryRun(), true, true, clock.now(), [](Time) {});
        clock.advance(milliseconds(50));
    }
    /// Claims an id, waits until the deadline and returns the result, or none without a callback.
    std::optional<ClaimStatus> claim(const std::string &id, Duration timeout = milliseconds(500))
    {
        auto result = startClaim(id, timeout);
        clock.advance(timeout);
        return *result;
    }
    std::shared_ptr<std::optional<ClaimStatus>> startClaim(const std::string &id, Duration timeout)
    {
        auto result = std::make_shared<std::optional<ClaimStatus>>();
        log.claim(RequestId(id), homeUnit(RequestId(id)), clock.now() + timeout, clock.now(),
                  [result](const ClaimResult &claimResult, Time) {
                      CHECK_FALSE(result->has_value());
                      *result = claimResult.status;
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
    std::vector<std::pair<EntryId, ClaimMessage>> sentMessages;
    int fencedCount = 0;
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

TEST_CASE("a duplicate waits for the answer, gets the remembered one, or is reported as maybe run")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    CHECK(a.claim("x") == ClaimStatus::Running);
    std::string joined;
    a.log.waitFor(RequestId("x"), [&](const Answer &answer, Time) { joined = answer.body; });
    a.finish("x", "paid");
    CHECK(joined == "paid");
    CHECK(a.claim("x") == ClaimStatus::Finished);
    CHECK(a.claim("y") == ClaimStatus::Granted);
    a.finish("y", std::string(9 * 1024 * 1024, 'b')); // above maxRememberedBytes
    CHECK(a.claim("x") == ClaimStatus::MayHaveRun);
    CHECK(a.claim("y") == ClaimStatus::MayHaveRun);
}

TEST_CASE("claims are written in groups, one write at a time, at most one per write interval")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    fixture.clock.advance(seconds(1));
    const int before = fixture.store.writes;
    std::vector<std::shared_ptr<std::optional<ClaimStatus>>> results;
    for (int i = 0; i < 40; ++i) {
        results.push_back(a.startClaim("g" + std::to_string(i), seconds(1)));
        fixture.clock.advance(milliseconds(2));
    }
    CHECK(fixture.store.writes - before <= 5); // in 80 ms, with a write interval of 25 ms
    fixture.clock.advance(seconds(1));
    for (const auto &result : results)
        CHECK(*result == ClaimStatus::Granted);
}

TEST_CASE("ids with arbitrary bytes, as callers may choose them, are preserved by the log format")
{
    Segment segment;
    segment.run = run("a");
    segment.claims = {RequestId("\xff\x80%41 \x01\""), RequestId(std::string("a\0b", 3))};
    CHECK(decodeSegment(encodeSegment(segment)).claims == segment.claims);
    CHECK_THROWS_AS(decodeSegment("[]"), std::runtime_error);
}

TEST_CASE("a lost response of the store is resolved by reading the segment back")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    fixture.store.loseAnswer = 1;
    auto result = a.startClaim("x", seconds(1));
    fixture.clock.advance(milliseconds(100));
    CHECK_FALSE(result->has_value());
    fixture.store.loseAnswer = 0;
    fixture.clock.advance(milliseconds(900));
    CHECK(*result == ClaimStatus::Granted);
    CHECK(a.claim("z") == ClaimStatus::Granted);
}

TEST_CASE("a claim that timed out is never granted later, and its id can be claimed again")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    fixture.store.loseAnswer = 1;
    CHECK(a.claim("x", milliseconds(200)) == ClaimStatus::NotRecorded);
    fixture.store.loseAnswer = 0;
    fixture.clock.advance(seconds(2));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    // The process is suspended until after the deadline, so the store's response is handled late.
    auto late = a.startClaim("y", milliseconds(20));
    a.timers.suspend();
    fixture.clock.advance(seconds(1));
    a.timers.resume();
    fixture.clock.advance(seconds(1));
    CHECK(*late == ClaimStatus::NotRecorded);
}

TEST_CASE("a takeover reads all segments of the dead run and fences it")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    for (int i = 0; i < 19; ++i)
        CHECK(a.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::Granted);
    Process b(fixture, run("b"), false);
    b.recoverAll(run("a"), false, true);
    CHECK(b.readyUnits == UnitCount);
    for (int i = 0; i < 19; ++i)
        CHECK(b.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::MayHaveRun);
    CHECK(b.claim("new") == ClaimStatus::Granted);
    CHECK(a.claim("late") == ClaimStatus::NotRecorded);
    CHECK(a.fencedCount == 1);
    CHECK(a.log.issueId(fixture.clock.now()).isEmpty());
    CHECK_FALSE(b.log.receiveMirroredClaims(run("a"), ClaimMessage(), fixture.clock.now()));
}

TEST_CASE("a takeover also closes a log whose last segment is full, and a log without segments")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    for (int i = 0; i < 8; ++i)
        CHECK(a.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::Granted);
    Process silent(fixture, run("s"), false);
    Process b(fixture, run("b"), false);
    b.recoverAll(run("a"), false, true);
    b.recoverAll(run("s"), false, true);
    CHECK(a.claim("late") == ClaimStatus::NotRecorded);
    CHECK(a.fencedCount == 1);
    silent.log.recover(0, EntryRun(), true, true, fixture.clock.now(), [](Time) {});
    fixture.clock.advance(seconds(1));
    CHECK(silent.fencedCount == 1);
}

TEST_CASE("a takeover follows earlier owners and detects recoveries that they did not complete")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    Process b(fixture, run("b"), false);
    SUBCASE("b completed its recovery")
    {
        b.recoverAll(run("a"), false, true);
        Process c(fixture, run("c"), false);
        c.recoverAll(run("b"), false, true);
        CHECK(c.claim("x") == ClaimStatus::MayHaveRun);
        CHECK(c.claim("y") == ClaimStatus::Granted);
    }
    SUBCASE("b never completed its recovery")
    {
        Process c(fixture, run("c"), false);
        c.recoverAll(run("b"), false, true);
        CHECK(c.claim("x") == ClaimStatus::MayHaveRun);
    }
    SUBCASE("b released the units, gained them again from a, and did not complete that recovery")
    {
        b.recoverAll(run("a"), true, true);
        for (int unit = 0; unit < UnitCount; ++unit)
            b.log.closeUnit(unit, fixture.clock.now());
        fixture.clock.advance(seconds(1));
        CHECK(b.log.unitIdle(0));
        CHECK(a.claim("later") == ClaimStatus::Granted);
        Process c(fixture, run("c"), false);
        c.recoverAll(run("b"), false, true);
        CHECK(c.claim("later") == ClaimStatus::MayHaveRun);
    }
}

TEST_CASE("if claims of the former owner may be missing, only ids issued afterwards are granted")
{
    Fixture fixture;
    Process a(fixture, run("a"), false);
    a.log.recover(3, EntryRun(), true, true, fixture.clock.now(), [](Time) {});
    const RequestId early = a.log.issueId(fixture.clock.now());
    CHECK(homeUnit(early) == 3);
    CHECK(early.str().size() <= MaxRequestIdBytes);
    Process b(fixture, run("b"));
    a.recoverAll(run("b"), false, false);
    const RequestId issued = a.log.issueId(fixture.clock.now());
    CHECK(a.claim(issued.str()) == ClaimStatus::Granted);
    CHECK(a.claim("other") == ClaimStatus::MayHaveRun);
    CHECK(a.claim(early.str()) == ClaimStatus::MayHaveRun);
    fixture.clock.advance(minutes(10)); // requests of b may have run a minute longer
    CHECK(a.claim("other2") == ClaimStatus::MayHaveRun);
    fixture.clock.advance(minutes(1));
    CHECK(a.claim("other") == ClaimStatus::Granted);
    CHECK(a.claim(early.str()) == ClaimStatus::MayHaveRun); // older than the retention period
}

TEST_CASE("peer mode waits for all required members; the claims are written when the store returns")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    a.mirrors = {EntryId("b"), EntryId("c")};
    fixture.store.down = true;
    auto early = a.startClaim("x", seconds(10));
    fixture.clock.advance(milliseconds(1500));
    CHECK(a.log.mode() == ClaimMode::Store);
    fixture.clock.advance(seconds(1));
    CHECK(a.log.mode() == ClaimMode::Peer);
    REQUIRE(a.sentMessages.size() == 2);
    a.log.receiveAcknowledgement(EntryId("b"), a.sentMessages[0].second.sequence,
                                 fixture.clock.now());
    // The second message was sent to c, so an acknowledgement by b does not count.
    a.log.receiveAcknowledgement(EntryId("b"), a.sentMessages[1].second.sequence,
                                 fixture.clock.now());
    CHECK_FALSE(early->has_value());
    // A new run of b does not have the claim: it is sent again, and the old acknowledgement does
    // not count.
    a.log.peerLinked(EntryId("b"), fixture.clock.now());
    REQUIRE(a.sentMessages.size() == 3);
    a.log.receiveAcknowledgement(EntryId("c"), a.sentMessages[1].second.sequence,
                                 fixture.clock.now());
    CHECK_FALSE(early->has_value());
    a.log.receiveAcknowledgement(EntryId("b"), a.sentMessages[2].second.sequence,
                                 fixture.clock.now());
    CHECK(*early == ClaimStatus::Granted);
    a.log.peerLinked(EntryId("b"), fixture.clock.now());
    CHECK(a.sentMessages.size() == 4); // granted claims are also sent again
    a.mirrors.clear();
    CHECK(a.claim("y", milliseconds(10)) == ClaimStatus::Granted);
    a.finish("y");
    CHECK_FALSE(a.log.unitIdle(homeUnit(RequestId("y")))); // not in the log yet
    fixture.store.down = false;
    fixture.clock.advance(seconds(2));
    CHECK(a.log.mode() == ClaimMode::Store);
    CHECK(a.log.unitIdle(homeUnit(RequestId("y"))));
    Process b(fixture, run("b"), false);
    b.recoverAll(run("a"), false, true);
    CHECK(b.claim("x") == ClaimStatus::MayHaveRun);
    CHECK(b.claim("y") == ClaimStatus::MayHaveRun);
}

TEST_CASE("peer mode also ends if its last claims are withdrawn instead of written")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    const int before = fixture.store.writes;
    fixture.store.down = true;
    auto first = a.startClaim("w0", seconds(9));
    fixture.clock.advance(seconds(3));
    for (int i = 1; i < 12; ++i) // more than one segment
        CHECK(a.claim("w" + std::to_string(i), milliseconds(10)) == ClaimStatus::Granted);
    fixture.store.down = false;
    while (fixture.store.writes == before)
        fixture.clock.advance(milliseconds(1));
    fixture.clock.advance(milliseconds(6)); // one response; the next write waits for the interval
    CHECK(a.log.mode() == ClaimMode::Peer);
    for (int i = 8; i < 12; ++i)
        a.log.withdraw(RequestId("w" + std::to_string(i)), Answer(), fixture.clock.now());
    fixture.clock.advance(seconds(5));
    a.log.expire(fixture.clock.now());
    CHECK(a.log.mode() == ClaimMode::Store);
}

TEST_CASE("mirrored claims are known after a takeover, also to the owner after the new one")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    Process b(fixture, run("b"), false);
    ClaimMessage message;
    message.claims = {{RequestId("x"), false}};
    CHECK(b.log.receiveMirroredClaims(run("a"), message, fixture.clock.now()));
    b.recoverAll(run("a"), false, true);
    CHECK(b.claim("x") == ClaimStatus::MayHaveRun);
    Process c(fixture, run("c"), false);
    c.recoverAll(run("b"), false, true);
    CHECK(c.claim("x") == ClaimStatus::MayHaveRun);
}

TEST_CASE("a withdrawn id may be claimed again, and a closed unit grants no claims")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    const int unit = homeUnit(RequestId("x"));
    CHECK_FALSE(a.log.unitIdle(unit));
    a.log.withdraw(RequestId("x"), Answer(), fixture.clock.now());
    CHECK(a.log.unitIdle(unit));
    CHECK(a.claim("x") == ClaimStatus::Granted);
    a.log.closeUnit(unit, fixture.clock.now());
    CHECK_FALSE(a.log.isReady(unit));
    CHECK(a.claim("x") == ClaimStatus::Running);
    CHECK(a.claim(idOfUnit(unit)) == ClaimStatus::NotRecorded);
}

TEST_CASE("ids and segments are removed after the retention period, but never running claims")
{
    Fixture fixture;
    Process a(fixture, run("a"));
    for (int i = 0; i < 40; ++i) {
        CHECK(a.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::Granted);
        if (i != 12)
            a.finish("x" + std::to_string(i));
    }
    CHECK(fixture.store.values().size() == 5);
    for (int i = 0; i < 700; ++i) {
        fixture.clock.advance(seconds(1));
        a.log.expire(fixture.clock.now());
    }
    CHECK(a.log.size() == 1);
    // The later segments stay until the one with the running claim is removed.
    CHECK(fixture.store.values().size() == 4);
    a.finish("x12");
    for (int i = 0; i < 700; ++i) {
        fixture.clock.advance(seconds(1));
        a.log.expire(fixture.clock.now());
    }
    CHECK(a.log.size() == 0);
    CHECK(fixture.store.values().size() == 1);
    CHECK(a.claim("x1") == ClaimStatus::Granted);
}

TEST_CASE("logs of dead runs are removed after the retention period, except for the closed segment")
{
    Fixture fixture;
    Process a(fixture, run("a", 1));
    for (int i = 0; i < 20; ++i)
        CHECK(a.claim("x" + std::to_string(i), milliseconds(50)) == ClaimStatus::Granted);
    Process b(fixture, run("b"), false);
    b.recoverAll(run("a", 1), false, true);
    for (int i = 0; i < 670; ++i) {
        fixture.clock.advance(seconds(1));
        b.log.expire(fixture.clock.now());
    }
    CHECK(fixture.store.values().size() == 2); // the closed segment and the log of b
    CHECK(a.claim("late") == ClaimStatus::NotRecorded);
    Process again(fixture, run("a", 2), false);
    for (int i = 0; i < 1330; ++i) {
        fixture.clock.advance(seconds(1));
        again.log.expire(fixture.clock.now());
    }
    CHECK(fixture.store.values().size() == 1);
}
