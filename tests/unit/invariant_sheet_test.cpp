// An accepted sheet is in force everywhere within seconds and is never replaced by an older one,
// under concurrent operators, lost and delayed store answers, a store that is restored to an
// older state, and processes that start without the store or without any link.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fakes/schedules.h"
#include "fakes/world.h"
#include "sheet/sheet.h"

#include <doctest/doctest.h>
#include <memory>

using namespace monsoonledge;

namespace {

constexpr int SeedCount = 20;
constexpr Duration InForceLimit = seconds(11);
const std::string SheetStoreKey = "sheet/current";

struct PutCall
{
    bool answered = false;
    Time at{};
    PutResult result;
};

std::shared_ptr<PutCall> put(World &world, const std::string &entry, const std::string &text,
                             const std::string &author, std::uint64_t expect)
{
    auto call = std::make_shared<PutCall>();
    world.node(entry).putSheet(
            text, author, Revision{expect},
            [call](const PutResult &result, Time now) {
                REQUIRE_FALSE(call->answered);
                *call = {true, now, result};
            },
            world.clock.now());
    return call;
}

bool inForce(const World &world, std::uint64_t revision, const std::string &text)
{
    return std::all_of(world.processes.begin(), world.processes.end(), [&](const auto &item) {
        const SheetVersion &version = item.second->node.sheetVersion();
        return version.revision.value == revision && version.text == text;
    });
}

bool inStore(const World &world, std::uint64_t revision)
{
    const std::string text = world.store.value(SheetStoreKey).text;
    return text.find("\"revision\":" + std::to_string(revision)) != std::string::npos;
}

void advanceWithChecks(World &world, Duration span)
{
    for (Duration elapsed{}; elapsed < span; elapsed += milliseconds(10)) {
        world.clock.advance(milliseconds(10));
        world.checkAlways();
    }
}

void forEachSeed(const std::function<void(World &)> &body)
{
    runSchedules(SeedCount, [&](std::uint64_t seed) {
        CAPTURE(seed);
        World world(seed);
        world.clock.advance(seconds(2));
        body(world);
        return std::string();
    });
}

} // namespace

TEST_CASE("invariant_sheet: of two concurrent puts one is accepted, the other gets its author")
{
    forEachSeed([](World &world) {
        const auto first = put(world, "a1", sheetText(2), "op2", 1);
        const auto second = put(world, "b1", sheetText(3), "op3", 1);
        advanceWithChecks(world, seconds(3));
        REQUIRE((first->answered && second->answered));
        const bool firstWon = first->result.status == PutStatus::Accepted;
        const PutResult &loser = firstWon ? second->result : first->result;
        REQUIRE((firstWon || second->result.status == PutStatus::Accepted));
        REQUIRE(loser.status == PutStatus::Conflict);
        REQUIRE(loser.revision == Revision{2});
        REQUIRE(loser.author == (firstWon ? "op2" : "op3"));
        REQUIRE(inForce(world, 2, sheetText(firstWon ? 2 : 3)));
    });
}

TEST_CASE("invariant_sheet: a put whose answer is lost, or that takes effect late, is accepted")
{
    forEachSeed([](World &world) {
        const bool late = world.random.below(2) == 0;
        CAPTURE(late);
        world.store.lateWrite = late ? 1 : 0;
        FakeStoreClient &store = world.processes.at("a1")->store;
        world.store.written = [&](const std::string &key, const FakeStore::Value &) {
            if (late || key != SheetStoreKey)
                return;
            store.cut = true;
            world.clock.after(milliseconds(400), [&store] { store.cut = false; });
        };
        const auto call = put(world, "a1", sheetText(2), "op2", 1);
        advanceWithChecks(world, seconds(6));
        REQUIRE(call->answered);
        REQUIRE(call->result.status == PutStatus::Accepted);
        REQUIRE(call->result.revision == Revision{2});
        REQUIRE(inForce(world, 2, sheetText(2)));
    });
}

TEST_CASE("invariant_sheet: a store restored to an older state gets the newer sheet again")
{
    enum Kind { Older, Removed, OlderWhileDown, OlderAndRefusing, OlderAndRestart, KindCount };
    forEachSeed([](World &world) {
        const std::string older = world.store.value(SheetStoreKey).text;
        for (int kind = Older; kind < KindCount; ++kind) {
            CAPTURE(kind);
            const std::uint64_t revision = static_cast<std::uint64_t>(kind) + 2;
            const auto call = put(world, "a1", sheetText(revision), "op", revision - 1);
            advanceWithChecks(world, seconds(2));
            REQUIRE(call->result.status == PutStatus::Accepted);
            if (kind == OlderWhileDown) {
                world.store.down = true;
                world.clock.advance(seconds(1));
            }
            const Version present = world.store.value(SheetStoreKey).version;
            if (kind == Removed) {
                FakeStoreClient &store = world.processes.at("b1")->store;
                store.remove(SheetStoreKey, present, [](const StoreValue &, Time) {});
            } else {
                world.store.put(SheetStoreKey, older);
            }
            if (kind == OlderAndRefusing) // the store refuses the newer sheet for a second
                world.store.refuse = 1;
            if (kind == OlderAndRestart) {
                world.kill("b2");
                world.start("b2");
            }
            world.clock.advance(seconds(1));
            world.store.down = false;
            world.store.refuse = 0;
            advanceWithChecks(world, InForceLimit);
            REQUIRE(world.store.value(SheetStoreKey).version > present);
            REQUIRE(inStore(world, revision));
            REQUIRE(inForce(world, revision, sheetText(revision)));
        }
    });
}

TEST_CASE("invariant_sheet: a process that starts without the store gets the sheet from a peer")
{
    forEachSeed([](World &world) {
        world.kill("b2");
        put(world, "a1", sheetText(2), "op2", 1);
        world.clock.advance(seconds(2));
        world.start("b2");
        world.processes.at("b2")->store.cut = true;
        advanceWithChecks(world, seconds(3));
        REQUIRE(inForce(world, 2, sheetText(2)));
    });
}

TEST_CASE("invariant_sheet: without a sheet no class counts as idempotent")
{
    forEachSeed([](World &world) {
        world.kill("b2");
        world.start("b2");
        world.processes.at("b2")->store.cut = true;
        for (const std::string &other : EntryNames)
            world.network.cut(EntryId("b2"), EntryId(other), true);
        world.clock.advance(seconds(1));
        REQUIRE(world.node("b2").sheetVersion().revision == Revision{});
        world.send("b2", RequestId("cut-off"), true);
        advanceWithChecks(world, seconds(4));
        // Only a non-idempotent request waits for its home.
        REQUIRE(world.reasons["home-unreachable"] == 1);

        // Without a sheet in any process, two requests with one id run once, although the sheet
        // declared their class idempotent.
        world.network.healAll();
        for (const std::string &name : EntryNames)
            world.kill(name);
        FakeTimers timers(world.clock);
        FakeStoreClient store(world.store, timers);
        store.remove(SheetStoreKey, world.store.value(SheetStoreKey).version,
                     [](const StoreValue &, Time) {});
        world.clock.advance(seconds(1));
        for (const std::string &name : EntryNames)
            world.start(name);
        world.clock.advance(seconds(10));
        const RequestId id = world.node("a1").issueId(world.clock.now());
        world.send("a1", id, true);
        world.send("a2", id, true);
        advanceWithChecks(world, seconds(4));
        REQUIRE(world.node("a1").sheetVersion().revision == Revision{});
        REQUIRE(world.endpoints.runs[id] == 1);
    });
}

TEST_CASE("invariant_sheet: in force everywhere within 11 s, even if a watch is lost")
{
    Duration longest{};
    forEachSeed([&longest](World &world) {
        // The answer to the watch of b2 is lost, and b2 has no link to a peer that could send the
        // sheet.
        for (const std::string &other : EntryNames)
            world.network.cut(EntryId("b2"), EntryId(other), true);
        FakeStoreClient &store = world.processes.at("b2")->store;
        world.store.written = [&](const std::string &key, const FakeStore::Value &) {
            if (key != SheetStoreKey)
                return;
            store.cut = true;
            world.clock.after(milliseconds(20), [&store] { store.cut = false; });
        };
        const auto call = put(world, "a1", sheetText(2), "op2", 1);
        while (!call->answered || !inForce(world, 2, sheetText(2))) {
            advanceWithChecks(world, milliseconds(10));
            REQUIRE((!call->answered || world.clock.now() - call->at < InForceLimit));
        }
        longest = std::max(longest, world.clock.now() - call->at);
    });
    MESSAGE("longest time to in force: " << toMilliseconds(longest) << " ms");
}

TEST_CASE("invariant_sheet: an invalid sheet changes nothing and returns all findings")
{
    forEachSeed([](World &world) {
        std::string text = sheetText(2);
        text.replace(text.find("floor: 0.4"), 10, "floor: 7.5");
        text.replace(text.find("weight: 1"), 9, "weight: no");
        text += "unknownKey: 1\n";
        const int writes = world.store.writes;
        const auto call = put(world, "a1", text, "op2", 1);
        advanceWithChecks(world, seconds(2));
        REQUIRE(call->answered);
        REQUIRE(call->result.status == PutStatus::Invalid);
        REQUIRE(call->result.findings.size() == 3);
        REQUIRE(world.store.writes == writes);
        REQUIRE(inForce(world, 1, sheetText(1)));
    });
}
