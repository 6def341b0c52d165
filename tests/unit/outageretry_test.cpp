// Retry-After while the store cannot be reached: the value, and what clients reach with it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "overload/outage.h"
#include "platform/platform.h"

#include <cmath>

using namespace monsoonledge;

namespace {

constexpr int Clients = 2000; // of one kind, spread over an outage
constexpr Duration AnswerAge =
        milliseconds(300); // of the store's last answer when an outage begins

struct Kind
{
    std::string name;
    Duration step{};
    int steps = 1;
    double slackFactor = 1;
    Duration targetLatency{};
    bool longRunning = false;
};

// The jobs of the two deployments.
const Kind Short{"short", milliseconds(590), 2, 1.5, milliseconds(275)};
const Kind Wide{"wide", milliseconds(1800), 2, 2, milliseconds(1000)};
const Kind LongRunning{"long-running", seconds(1), 1, 1, milliseconds(2500), true};

OutageTerms termsOf(const Kind &kind)
{
    JobSpec job;
    QueueSpec queue;
    queue.slackFactor = kind.slackFactor;
    queue.targetLatency = kind.targetLatency;
    for (int i = 0; i < kind.steps; ++i) {
        StepSpec step;
        step.estimate = kind.step;
        step.longRunning = kind.longRunning;
        if (i > 0)
            step.after.push_back(i - 1);
        job.steps.push_back(step);
    }
    return outageTermsOf(job, queue);
}

JobId jobId(int number)
{
    return JobId("job" + std::to_string(number));
}

struct Served
{
    int stored = 0; // by one of the four repetitions
    int useful = 0; // stored while the result is still worth something
    std::array<int, 4> byRepetition{};
    Duration delay{}; // after the end of the outage, of all that are stored
};

/// Clients submit all through an outage and repeat a submission up to four times.
Served serve(Duration length, const OutageTerms &terms, bool isConstant)
{
    Served served;
    for (int i = 0; i < Clients; ++i) {
        const Duration submittedAt = length * i / Clients;
        Duration time = submittedAt;
        for (std::size_t repetition = 0; repetition < 4; ++repetition) {
            const int wait = outageRetryAfter(time + AnswerAge, terms, jobId(i));
            time += seconds(isConstant ? 1 : wait);
            if (time < length)
                continue;
            ++served.stored;
            ++served.byRepetition[repetition];
            served.useful += !terms.usefulFor || time - submittedAt <= *terms.usefulFor ? 1 : 0;
            served.delay += time - length;
            break;
        }
    }
    return served;
}

double percent(int count)
{
    return std::round(1000.0 * count / Clients) / 10;
}

} // namespace

// Guards against values that HTTP or the specification does not allow.
TEST_CASE("the wait is between 1 and 30 s and within the time for which a job is useful")
{
    for (const Kind &kind : {Short, Wide, LongRunning}) {
        const OutageTerms terms = termsOf(kind);
        for (int lasted = 0; lasted < 200; ++lasted) {
            for (int i = 0; i < 20; ++i) {
                const int wait = outageRetryAfter(milliseconds(500 * lasted), terms, jobId(i));
                CHECK(wait >= 1);
                CHECK(wait <= 30);
                if (terms.usefulFor)
                    CHECK(seconds(wait) <= std::max<Duration>(*terms.usefulFor, seconds(1)));
            }
        }
    }
    JobSpec empty;
    QueueSpec queue;
    queue.targetLatency = seconds(-5);
    CHECK(outageRetryAfter(seconds(-3), outageTermsOf(empty, queue), jobId(1)) == 1);
}

// Guards against long waits when the outage is over or has just begun.
TEST_CASE("the wait is one second with the spread while the store answers")
{
    for (const Kind &kind : {Short, Wide, LongRunning}) {
        for (int i = 0; i < 50; ++i)
            CHECK(outageRetryAfter(milliseconds(700), termsOf(kind), jobId(i)) <= 2);
    }
}

// Guards against clients that were refused together and return in the same second.
TEST_CASE("clients that are refused at the same moment return in different seconds")
{
    for (const int lastedMs : {500, 3000, 8000, 40000}) {
        const Duration lasted = milliseconds(lastedMs);
        std::map<int, int> returning;
        for (int i = 0; i < Clients; ++i)
            ++returning[outageRetryAfter(lasted, termsOf(LongRunning), jobId(i))];
        for (const auto &[wait, count] : returning)
            CHECK(percent(count) < (lasted < seconds(8) ? 55 : 25));
    }
}

// Guards against waits that do not span an outage, as four waits of 1 s do not span one of 9 s.
TEST_CASE("a repetition of nearly all clients whose jobs stay useful comes after the outage")
{
    for (const Duration length : {seconds(2), seconds(5), seconds(9), seconds(15)}) {
        for (const Kind &kind : {Short, Wide, LongRunning}) {
            for (const bool isConstant : {true, false}) {
                const Served served = serve(length, termsOf(kind), isConstant);
                std::string counts;
                for (const int count : served.byRepetition)
                    counts += ' ' + std::to_string(percent(count)).substr(0, 4);
                const std::string how = isConstant ? "always 1 s" : "computed";
                MESSAGE(kind.name, ", ", length / seconds(1), " s, ", how, ": stored ",
                        percent(served.stored), "%, useful ", percent(served.useful),
                        "%, by repetition", counts, ", mean delay ",
                        wholeMilliseconds(served.delay / std::max(served.stored, 1)), " ms");
                if (!isConstant && kind.name != Short.name)
                    CHECK(percent(served.useful) >= (length < seconds(15) ? 98 : 90));
            }
        }
    }
}

// Guards against a value that does not reach the client, and against one that stays high.
TEST_CASE("a refused submission is answered with the computed wait")
{
    FleetWorld world(1);
    world.clock.advance(seconds(2));
    platform::Frontend frontend(
            world.node(0), [&] { return world.wall(); }, [](const LogEvent &) {});
    const auto retryAfter = [&](int number) {
        HttpRequest request;
        request.method = "POST";
        request.path = "/renewal/00000000000000" + std::to_string(10 + number);
        request.headers["host"] = "desk.example";
        request.body = R"({"TaskSpec":"","Steps":[{"Count":1,"Cpu":100,"MemMb":10,)"
                       R"("EstimatedMs":20000}]})";
        HttpResponse response;
        frontend.handle(
                request, [&](const HttpResponse &answer) { response = answer; }, world.clock.now());
        world.clock.advance(milliseconds(20));
        return response.status == 503 ? std::stoi(response.headers.at("Retry-After")) : 0;
    };
    world.process(0).store->refusing = true;
    world.clock.advance(seconds(8));
    for (int i = 0; i < 10; ++i) {
        CHECK(retryAfter(i) >= 6);
        CHECK(retryAfter(i) <= 11);
    }
    world.process(0).store->refusing = false;
    world.clock.advance(seconds(2));
    CHECK(retryAfter(0) == 0); // accepted
}
