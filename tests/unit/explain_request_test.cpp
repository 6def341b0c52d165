// The operators' question as an entry process answers it on its metrics port.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "platform/platform.h"

#include <nlohmann/json.hpp>

using namespace monsoonledge;
using nlohmann::json;

namespace {

std::string jobBody(int count, int cpu = 1000)
{
    return R"({"TaskSpec":"t","Steps":[{"Count":)" + std::to_string(count) + R"(,"Cpu":)"
           + std::to_string(cpu) + R"(,"MemMb":100,"EstimatedMs":2000}]})";
}

/// Two entry processes and one worker.
struct Deployment
{
    explicit Deployment(bool hasRelays = false) : world(2, 1, 1, hasRelays)
    {
        world.admitsUnderShortage = true;
        world.start(0);
        world.start(1);
        REQUIRE(world.wait([&] { return world.coordinator() >= 0; }));
        coordinator = world.coordinator();
        other = 1 - coordinator;
        world.clock.advance(seconds(3));
    }

    HttpResponse ask(int process, const std::string &body, const std::string &queue = "renewal",
                     const std::string &method = "POST")
    {
        HttpRequest request;
        request.method = method;
        request.path = "/explain";
        request.query["queue"] = queue;
        request.body = body;
        return platform::explainRequest(world.node(process), request, world.clock.now());
    }
    json answer(int process, const std::string &body)
    {
        return json::parse(ask(process, body).body);
    }

    /// Accepts far more work than the worker can do, within one report for admission.
    void overload()
    {
        for (int i = 0; i < 4; ++i) {
            JobSpec job = FleetWorld::job("load" + std::to_string(i), 320, "ms=2000");
            job.submitted = world.wall();
            REQUIRE(world.submit(other, job) == JobAnswer::Accepted);
        }
        world.clock.advance(milliseconds(2500));
    }

    FleetWorld world;
    int coordinator = 0;
    int other = 0;
};

} // namespace

TEST_CASE("each process answers for admission, the coordinator also for the placement")
{
    Deployment deployment;
    const std::string name = "p" + std::to_string(deployment.coordinator);
    for (const int process : {deployment.coordinator, deployment.other}) {
        const json answer = deployment.answer(process, jobBody(20));
        CHECK(answer["Process"] == "p" + std::to_string(process));
        CHECK(answer["Outcome"] == "accept");
        CHECK(answer["Coordinator"] == name);
        CHECK(answer["IsCoordinator"] == (process == deployment.coordinator));
        CHECK(answer["StoreReached"] == true);
        CHECK(answer["ReportAgeMs"].get<int>() <= 3000);
        CHECK(answer["DelayMs"] == 0);
        CHECK(answer.contains("Steps") == (process == deployment.coordinator));
    }
    const json step = deployment.answer(deployment.coordinator, jobBody(20))["Steps"][0];
    CHECK(step["Placed"] == 16);
    CHECK(step["Placements"].size() == 16);
    CHECK(step["Placements"][0]["Worker"] == "w0");
    CHECK(step["Placements"][0]["FreeCpu"] == 16000);
    CHECK(step["Obstacles"] == json{{"processors", 1}});
}

TEST_CASE("a refusal states its reason, the expected delay and Retry-After")
{
    Deployment deployment;
    deployment.overload();
    const json refused = deployment.answer(deployment.other, jobBody(32));
    CHECK(refused["Outcome"] == "refuse");
    CHECK(refused["Reason"] == "worthless");
    CHECK(refused["RetryAfterS"].get<int>() >= 1);
    CHECK(refused["DelayMs"].get<int>() > 1000);
    const json tooLarge = deployment.answer(deployment.other, jobBody(1, 64000));
    CHECK(tooLarge["Reason"] == "no-such-worker");
    CHECK_FALSE(tooLarge.contains("DelayMs"));
}

// Guards against a question that counts as a submission.
TEST_CASE("asking writes nothing and changes neither metrics nor log nor the answer that follows")
{
    Deployment deployment;
    deployment.overload();
    FleetWorld &world = deployment.world;
    FleetNode &node = world.node(deployment.other);
    const platform::Frontend frontend(
            node, [&] { return world.wall(); }, [](const LogEvent &) {});
    const auto metrics = [&] { return platform::formatMetrics(node, frontend, world.clock.now()); };
    const std::string before = metrics();
    const std::size_t logLines = world.log.size();
    const std::size_t keys = world.store.items().size();
    world.process(deployment.other).store->silent = true; // an answer cannot come from the store
    const json first = deployment.answer(deployment.other, jobBody(32));
    for (int i = 0; i < 20; ++i)
        CHECK(deployment.answer(deployment.other, jobBody(32)) == first);
    world.process(deployment.other).store->silent = false;
    CHECK(metrics() == before);
    CHECK(world.log.size() == logLines);
    CHECK(world.store.items().size() == keys);
}

TEST_CASE("without the store a process would refuse, or forward if it knows another one")
{
    for (const bool hasRelays : {false, true}) {
        CAPTURE(hasRelays);
        Deployment deployment(hasRelays);
        FleetWorld &world = deployment.world;
        world.clock.advance(seconds(22)); // the addresses of the others are read every 20 s
        world.process(deployment.other).store->silent = true;
        world.clock.advance(seconds(4));
        const json answer = deployment.answer(deployment.other, jobBody(1));
        CHECK(answer["Outcome"] == (hasRelays ? "forward" : "refuse"));
        CHECK(answer["Reason"] == "store-not-reached");
        CHECK(answer["StoreReached"] == false);
        CHECK(answer.contains("RetryAfterS") == !hasRelays);
    }
}

TEST_CASE("without admission control, and without a coordinator, the answer says so")
{
    Deployment deployment;
    FleetWorld &world = deployment.world;
    for (const int process : {deployment.other, deployment.coordinator})
        world.node(process).drain(); // neither becomes the coordinator any more
    world.clock.advance(seconds(2));
    CHECK(deployment.answer(0, jobBody(1))["Coordinator"] == "");
    CHECK_FALSE(deployment.answer(0, jobBody(1)).contains("Steps"));
    world.admitsUnderShortage = false;
    world.start(0);
    world.clock.advance(seconds(2));
    CHECK(deployment.answer(0, jobBody(1))["Reason"] == "admission-off");
}

TEST_CASE("wrong requests are rejected with the reason")
{
    Deployment deployment;
    const int process = deployment.coordinator;
    CHECK(deployment.ask(process, jobBody(1), "nowhere").status == 404);
    CHECK(deployment.ask(process, jobBody(1), "").status == 400);
    CHECK(deployment.ask(process, jobBody(1), "renewal", "GET").status == 405);
    const HttpResponse unreadable = deployment.ask(process, "{\"TaskSpec\":");
    CHECK(unreadable.status == 400);
    CHECK(unreadable.body.find("invalid JSON at byte 12") != std::string::npos);
    CHECK(deployment.ask(process, jobBody(0)).body.find("step 0 has no tasks")
          != std::string::npos);
}
