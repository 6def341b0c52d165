// Admission under shortage in whole deployments: what an entry process answers, and what happens
// when the report, the store or the coordinator is gone.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "fakes/overloadmodel.h"
#include "platform/platform.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace monsoonledge;

namespace {

/// A deployment of one worker with far more work than it can do, and a report that says so.
struct Overloaded
{
    Overloaded() : world(2, 1)
    {
        world.admitsUnderShortage = true;
        world.admission = refusingExcess();
        world.start(0);
        world.start(1);
        REQUIRE(world.wait([&] { return world.coordinator() >= 0; }));
        entry = 1 - world.coordinator();
        world.clock.advance(seconds(3));
        // Within one report, so that none of them is refused.
        for (int i = 0; i < 4; ++i)
            REQUIRE(world.submit(entry, job("load" + std::to_string(i), 320))
                    == JobAnswer::Accepted);
        world.clock.advance(milliseconds(2500));
    }

    // 16 of its tasks fit on the worker.
    JobSpec job(const std::string &id, int tasks = 32) const
    {
        JobSpec spec = FleetWorld::job(id, tasks, "ms=2000");
        spec.submitted = world.wall();
        return spec;
    }

    bool isStored(const std::string &id)
    {
        return world.store.items().count("jobs/in/spec/" + id) > 0;
    }
    bool hasLogged(const std::string &event) const
    {
        return std::find(world.log.begin(), world.log.end(), event) != world.log.end();
    }

    FleetWorld world;
    int entry = 0; // a process that is not the coordinator
};

/// A process that is not the coordinator and never becomes one. The test writes the reports.
struct Reported
{
    Reported() : world(1, 1)
    {
        world.admitsUnderShortage = true;
        world.admission = refusingExcess();
        world.start(0);
        REQUIRE(world.wait([&] { return world.node(0).isReady(world.clock.now()); }));
        world.node(0).drain();
        world.clock.advance(seconds(3));
    }

    /// By this report, half of the jobs of about 1 s are refused, chosen by a hash.
    static AdmissionReport report()
    {
        ServiceLoad service;
        service.service = ServiceId("desk");
        service.total = 16000;
        service.priorities.push_back({});
        service.priorities.back().delay = milliseconds(6500);
        service.priorities.back().lateDelay = milliseconds(6500);
        QueueLoad queue;
        queue.queue = QueueId("renewal");
        queue.admitShare = 0.5;
        return {{service}, {queue}};
    }
    /// `admission`: the encoded report; empty: all jobs are admitted.
    void publish(const std::string &admission = encodeAdmissionReport(report()))
    {
        BacklogReport backlog;
        backlog.revision = 1;
        backlog.admission = admission;
        world.store.put("coordinator/backlog", encodeBacklog(backlog));
    }
    static JobSpec job(int number)
    {
        return FleetWorld::job("n" + std::to_string(number), 1,
                               number % 3 == 0 ? "ms=1100" : "ms=500");
    }

    /// Publishes the report and submits jobs until one is refused, whose number is returned.
    int firstRefused()
    {
        publish();
        world.clock.advance(milliseconds(20));
        int number = 0;
        while (world.submit(0, job(number)) != JobAnswer::Overloaded)
            REQUIRE(++number < 50);
        return number;
    }

    FleetWorld world;
};

} // namespace

// Guards against jobs that count twice in the mean duration by which long jobs are refused more
// often: refused jobs were decided about a second time after the read of their specification.
TEST_CASE("each submission is decided about once")
{
    Reported reported;
    FleetWorld &world = reported.world;
    AdmissionPolicy policy(refusingExcess()); // decides once
    int refused = 0;
    for (int i = 0; i < 400; ++i) {
        if (i % 100 == 0) { // before the last report becomes too old
            reported.publish();
            world.clock.advance(milliseconds(20));
        }
        JobSpec expected = Reported::job(i);
        expected.terms = *world.node(0).config().find(expected.queue);
        const AdmissionReport report = Reported::report();
        const bool isAdmitted =
                policy.decide(expected, &report, Duration::zero(), world.clock.now()).isAdmitted;
        const JobAnswer answer = world.submit(0, Reported::job(i));
        REQUIRE(answer == (isAdmitted ? JobAnswer::Accepted : JobAnswer::Overloaded));
        refused += isAdmitted ? 0 : 1;
    }
    CHECK(refused > 100);
    CHECK(refused < 300);
}

// Guards against 503 for a job that another submission, made while the first one waits for the
// answer of the store, is about to store.
TEST_CASE("a job that is being stored by another submission is not refused")
{
    Reported reported;
    FleetWorld &world = reported.world;
    const int number = reported.firstRefused();
    std::vector<JobAnswer> answers;
    const auto submit = [&] {
        world.node(0).submit(
                Reported::job(number), world.clock.now() + seconds(3),
                [&](JobAnswer answer, Time) { answers.push_back(answer); }, world.clock.now());
    };
    world.process(0).store->latency = milliseconds(100);
    submit();
    reported.publish("");
    world.clock.advance(milliseconds(120));
    submit();
    CHECK(answers.empty());
    world.clock.advance(seconds(1));
    CHECK(answers.size() == 2);
    CHECK(std::count(answers.begin(), answers.end(), JobAnswer::Accepted) == 2);
}

// Guards against an age that begins at the watch call that was answered, although the report may
// have been stored during the failed calls before it.
TEST_CASE("a report that is received after failed watch calls may be as old as these")
{
    Reported reported;
    FleetWorld &world = reported.world;
    int number = reported.firstRefused();
    world.process(0).store->silentPrefix = "coordinator";
    world.clock.advance(milliseconds(1100)); // the last watch is answered
    reported.publish();
    world.clock.advance(seconds(4));
    world.process(0).store->silentPrefix.clear();
    world.clock.advance(milliseconds(1600)); // the retry delay and the timeout of the last call
    int refused = 0;
    for (const int last = number + 50; number < last; ++number)
        refused += world.submit(0, Reported::job(number + 1)) == JobAnswer::Accepted ? 0 : 1;
    CHECK(refused == 0);
}

// Guards against queue names that end their label in /metrics.
TEST_CASE("names of queues are escaped in the metrics")
{
    Reported reported;
    FleetWorld &world = reported.world;
    AdmissionReport report = Reported::report();
    report.services.front().service = ServiceId(); // of jobs of an unknown queue
    report.services.front().shapes.push_back({1, 1, 0, ""}); // too small for the job
    reported.publish(encodeAdmissionReport(report));
    world.clock.advance(milliseconds(20));
    JobSpec job = Reported::job(1);
    job.queue = QueueId("a\"} 1\nb\\");
    REQUIRE(world.submit(0, job) == JobAnswer::Overloaded);
    const platform::Frontend frontend(
            world.node(0), [&] { return world.wall(); }, [](const LogEvent &) {});
    const std::string metrics = platform::formatMetrics(world.node(0), frontend, world.clock.now());
    CHECK(metrics.find(
                  "jobs_refused_total{queue=\"a\\\"} 1\\nb\\\\\",reason=\"no-such-worker\"} 1\n")
          != std::string::npos);
}

TEST_CASE("a job without a chance is refused with a delay, is not stored and never runs")
{
    Overloaded overloaded;
    FleetWorld &world = overloaded.world;
    REQUIRE(world.submit(overloaded.entry, overloaded.job("more")) == JobAnswer::Overloaded);
    CHECK(world.node(overloaded.entry).retryAfter(JobId("more")) >= seconds(1));
    CHECK(overloaded.hasLogged("job-not-admitted"));
    CHECK_FALSE(overloaded.isStored("more"));
    world.clock.advance(seconds(10));
    CHECK_FALSE(overloaded.isStored("more"));
}

TEST_CASE(
        "a job that an earlier attempt has stored is accepted, and admitted if that cannot be read")
{
    Overloaded overloaded;
    FleetWorld &world = overloaded.world;
    // Stored a moment ago, through a process whose answer was lost.
    world.store.put("jobs/in/spec/earlier", encodeSpec(overloaded.job("earlier")));
    CHECK(world.submit(overloaded.entry, overloaded.job("earlier")) == JobAnswer::Accepted);
    REQUIRE(world.submit(overloaded.entry, overloaded.job("refused")) == JobAnswer::Overloaded);
    // The store does not answer: as without admission control.
    world.process(overloaded.entry).store->silent = true;
    CHECK(world.submit(overloaded.entry, overloaded.job("unread")) != JobAnswer::Overloaded);
}

TEST_CASE("without a coordinator the report becomes too old, and all jobs are admitted")
{
    Overloaded overloaded;
    FleetWorld &world = overloaded.world;
    REQUIRE(world.submit(overloaded.entry, overloaded.job("refused")) == JobAnswer::Overloaded);
    world.node(overloaded.entry).drain(); // so that it does not become the coordinator
    world.kill(world.coordinator());
    world.clock.advance(milliseconds(3500));
    CHECK(world.submit(overloaded.entry, overloaded.job("admitted")) == JobAnswer::Accepted);
}

TEST_CASE("a process that was suspended does not decide by the report from before")
{
    Overloaded overloaded;
    FleetWorld &world = overloaded.world;
    REQUIRE(world.submit(overloaded.entry, overloaded.job("refused")) == JobAnswer::Overloaded);
    FleetWorld::Process &process = world.process(overloaded.entry);
    process.timers->suspend();
    world.clock.advance(seconds(8));
    std::optional<JobAnswer> answer;
    process.node->submit(
            overloaded.job("resumed"), world.clock.now() + seconds(3),
            [&](JobAnswer value, Time) { answer = value; }, world.clock.now());
    process.timers->resume();
    world.wait([&] { return answer.has_value(); });
    CHECK(answer != JobAnswer::Overloaded);
}

// Guards against a successor that counts workers it has not heard from yet as lost capacity.
TEST_CASE("a new coordinator reports no capacity before its workers had time to answer")
{
    FleetWorld world(1, 4);
    world.admitsUnderShortage = true;
    world.start(0);
    world.runners.at("w1").reachable = false;
    REQUIRE(world.wait([&] { return world.store.items().count("coordinator/backlog") > 0; }));
    const auto report = [&world] {
        return decodeBacklog(world.store.items().at("coordinator/backlog").value)->admission;
    };
    CHECK(report().empty());
    CHECK(world.submit(0, FleetWorld::job("early", 32, "ms=2000")) == JobAnswer::Accepted);
    // The silent worker counts as unreachable from then on.
    CHECK(world.wait([&] { return !report().empty(); }));
}

TEST_CASE("unless switched on, nothing is reported or refused")
{
    FleetWorld world(1, 1);
    REQUIRE(world.wait([&] { return world.coordinator() >= 0; }));
    world.clock.advance(seconds(3));
    for (int i = 0; i < 60; ++i)
        REQUIRE(world.submit(0, FleetWorld::job("load" + std::to_string(i), 32, "ms=2000"))
                == JobAnswer::Accepted);
    world.clock.advance(milliseconds(1500));
    const auto report = decodeBacklog(world.store.items().at("coordinator/backlog").value);
    REQUIRE(report);
    CHECK(report->admission.empty());
}

TEST_CASE("a malformed report for admission is logged, the backlog in its record is kept")
{
    Overloaded overloaded;
    FleetWorld &world = overloaded.world;
    BacklogReport report;
    report.revision = 1;
    report.jobs[QueueId("renewal")] = 7;
    report.admission = "\x83no report";
    world.store.put("coordinator/backlog", encodeBacklog(report));
    REQUIRE(world.wait([&] { return overloaded.hasLogged("record-unreadable"); }, seconds(1)));
    CHECK(world.node(overloaded.entry).backlog(QueueId("renewal")) >= 7);
    CHECK(world.submit(overloaded.entry, overloaded.job("admitted")) == JobAnswer::Accepted);
}

TEST_CASE("code before the report for admission reads records with it, and the other way round")
{
    BacklogReport report;
    report.revision = 12;
    report.jobs[QueueId("renewal")] = 3;
    const std::string former = encodeBacklog(report);
    const std::optional<BacklogReport> ofFormer = decodeBacklog(former);
    REQUIRE(ofFormer);
    CHECK(ofFormer->jobs.at(QueueId("renewal")) == 3);
    CHECK(ofFormer->admission.empty());
    report.admission = std::string("\x00\xff section", 10);
    const std::string present = encodeBacklog(report);
    CHECK(decodeBacklog(present)->admission == report.admission);
    // The former decoder: an array whose first three items it takes by position.
    checkCbor(present);
    const nlohmann::json json = nlohmann::json::from_cbor(present);
    CHECK(json.at(0).get<int>() == 1);
    CHECK(json.at(1).get<std::uint64_t>() == 12);
    CHECK(json.at(2).at(0).at(1).get<int>() == 3);
}

TEST_CASE("the snapshot counts running, waiting and interrupted work by queue")
{
    Overloaded overloaded;
    FleetWorld &world = overloaded.world;
    const Coordinator *coordinator = world.node(world.coordinator()).coordinator();
    REQUIRE(coordinator);
    REQUIRE(coordinator->forecast().rooms().size() == 1);
    const DomainRoom &room = coordinator->forecast().rooms().front();
    CHECK(room.total == 16000);
    CHECK(room.free == 0);
    const ServiceLoad *load = coordinator->forecast().report().find(ServiceId("desk"));
    REQUIRE(load);
    REQUIRE(load->priorities.size() == 1);
    // 4 jobs of 320 tasks of 2 core-seconds, 16 of them running at a time.
    CHECK(load->priorities.front().waitingCoreSeconds > 2300);
    CHECK(load->priorities.front().waitingCoreSeconds <= 2560);
    REQUIRE_FALSE(load->shapes.empty());
    CHECK(load->shapes.back().memory == 64000);
}
