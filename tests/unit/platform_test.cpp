// Settings file and messages of the platform.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "findings.h"
#include "platform/platform.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>

using namespace monsoonledge;
using namespace monsoonledge::platform;

namespace {

std::string writeSettingsFile(const std::string &text)
{
    std::string path = "platform_test_settings.yaml";
    std::ofstream(path) << text;
    return path;
}

const char *const ValidSettings = "NodeName: \"edge-a-1\"\n"
                                  "Zone: \"a\"\n"
                                  "Unknown:\n  - 1\n"
                                  "ListenAddresses:\n"
                                  "  Frontend: \"10.1.0.13:8161\"\n"
                                  "  Readiness: \"10.1.0.13:8167\"\n"
                                  "Limits:\n  CpuShare: 0.25\n  CpuCores: 2\n"
                                  "Bounds:\n  GracePeriodS: 6\n  status_s: 120\n  MaxHoldMs: 6000\n"
                                  "platform:\n  Address: \"10.200.1.7:8169\"\n";

} // namespace

TEST_CASE("the settings file is loaded and unknown fields are ignored")
{
    const PlatformSettings settings = loadPlatformSettings(writeSettingsFile(ValidSettings));
    CHECK(settings.nodeName == "edge-a-1");
    CHECK(settings.clientAddress.port == 8161);
    CHECK(settings.storeAddress.str() == "10.200.1.7:8169");
    CHECK(settings.cpuCores == doctest::Approx(0.5));
    CHECK(settings.gracePeriod == seconds(6));
    CHECK(settings.maxWorkerLease == seconds(6));
}

// Guards against a process that does not start because of a range in another form.
TEST_CASE("the relay address is the own address with the first internal port")
{
    const auto relayAddress = [](const std::string &lines) {
        return loadPlatformSettings(writeSettingsFile(ValidSettings + lines)).relayAddress.str();
    };
    const std::string none = Address().str();
    const std::string address = "10.1.0.13:9500";
    const std::string complete = "Ip: \"10.1.0.13\"\nInternalPortRange: \"9500-9509\"\n";
    unsetenv("MONSOONLEDGE_RELAY");
    CHECK(relayAddress(complete) == none); // forwarding is not switched on
    setenv("MONSOONLEDGE_RELAY", "on", 1);
    CHECK(relayAddress(complete) == address);
    CHECK(relayAddress("") == none);
    CHECK(relayAddress("Ip: \"10.1.0.13\"\n") == none);
    CHECK(relayAddress("InternalPortRange: \"9500-9509\"\n") == none);
    CHECK(relayAddress("Ip: \"10.1.0.13\"\nInternalPortRange: \"9500-9509\"\n") == address);
    CHECK(relayAddress("Ip: \"10.1.0.13\"\nInternalPortRange: [9500, 9509]\n") == address);
    CHECK(relayAddress("Ip: \"10.1.0.13\"\nInternalPortRange:\n  Low: 9500\n  High: 9509\n")
          == address);
    CHECK(relayAddress("Ip: \"10.1.0.13\"\nInternalPortRange: none\n") == none);
    CHECK(relayAddress("Ip: \"10.1.0.13\"\nInternalPortRange: 99999\n") == none);
    CHECK(relayAddress("Ip: \"10.1.0.13\"\nInternalPortRange: []\n") == none);
}

TEST_CASE("measuring the speeds of workers is off unless the environment switches it on")
{
    const std::string path = writeSettingsFile(ValidSettings);
    unsetenv("MONSOONLEDGE_SLOW_WORKERS");
    CHECK(!loadPlatformSettings(path).avoidsSlowWorkers);
    setenv("MONSOONLEDGE_SLOW_WORKERS", "off", 1);
    CHECK(!loadPlatformSettings(path).avoidsSlowWorkers);
    setenv("MONSOONLEDGE_SLOW_WORKERS", "on", 1);
    CHECK(loadPlatformSettings(path).avoidsSlowWorkers);
}

TEST_CASE("all invalid settings are reported together, each with its line")
{
    const std::string path = writeSettingsFile("NodeName: \"n\"\nZone: \"a\"\n"
                                               "ListenAddresses:\n  Frontend: \"nowhere\"\n"
                                               "Limits:\n  CpuShare: \"much\"\n");
    const std::string findings = findingsOf([&] { loadPlatformSettings(path); });
    CHECK(findings.find("4: ") != std::string::npos); // line of the invalid address
    CHECK(findings.find("6: ") != std::string::npos); // line of the invalid number
    CHECK(findings.find("Readiness") != std::string::npos);
    CHECK(findings.find("platform") != std::string::npos);
}

TEST_CASE("a job is decoded with absent fields as zero, false or empty")
{
    std::string errorMessage;
    const std::optional<JobSpec> spec = decodeJob(
            R"({"TaskSpec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimatedMs":900,)"
            R"("Affinity":"r1-3"},{"Count":20,"Cpu":2000,"After":[0],"Checkpointing":true,)"
            R"("Fills":true,"Image":"i"}]})",
            errorMessage);
    REQUIRE(spec);
    CHECK(spec->steps.size() == 2);
    CHECK(spec->steps[0].estimate == milliseconds(900));
    CHECK(spec->steps[0].affinity == "r1-3");
    CHECK_FALSE(spec->steps[0].bestEffort);
    CHECK(spec->steps[1].after == std::vector<int>{0});
    CHECK(spec->steps[1].checkpointing);
    CHECK(spec->occurrences == 0);
}

TEST_CASE("malformed and invalid jobs are rejected with a reason")
{
    for (const char *text :
         {"", "[]", "{}", R"({"TaskSpec":1,"Steps":[]})", R"({"TaskSpec":"t","Steps":[]})",
          R"({"TaskSpec":"t","Steps":[{"Count":0}]})",
          R"({"TaskSpec":"t","Steps":[{"Count":1,"After":[0]}]})",
          R"({"TaskSpec":"t","Steps":[{"Count":"many"}]})",
          R"({"TaskSpec":"t","Steps":[{"Count":1}],"RepeatCount":-1})"}) {
        std::string errorMessage;
        CHECK_FALSE(decodeJob(text, errorMessage));
        CHECK_FALSE(errorMessage.empty());
    }
    std::string errorMessage;
    const std::string longText(4001, 'x');
    CHECK_FALSE(
            decodeJob(R"({"TaskSpec":")" + longText + R"(","Steps":[{"Count":1}]})", errorMessage));
}

TEST_CASE("task names are formatted and parsed")
{
    const TaskRef task{JobId("5c0e7a21d94b36f8"), 0, 1, 17};
    CHECK(formatTaskName(task) == "5c0e7a21d94b36f8.0.1.17");
    CHECK(parseTaskName("5c0e7a21d94b36f8.0.1.17") == task);
    for (const char *name :
         {"", "a", "a.0.1", "a.0.1.", "a.0.1.2.3", ".0.1.2", "a.0.-1.2", "a.0.x.1"})
        CHECK_FALSE(parseTaskName(name));
}

TEST_CASE("a worker's report is decoded; malformed reports are rejected")
{
    const std::optional<RunReport> report = decodeRunReport(
            R"({"ClockMs":482113,"born":1700,"Running":[["5c0e.0.1.17",2,"cp",41,812]],)"
            R"("Finished":[[58,"5c0e.0.1.9",1,"done",""]]})");
    REQUIRE(report);
    CHECK(report->clockMs == 482113);
    CHECK(report->incarnation.value == 1700);
    CHECK(report->running.at(0).percent == 41);
    CHECK(report->running.at(0).usage == 812);
    CHECK(report->finished.at(0).outcome == RunOutcome::Done);
    CHECK_FALSE(decodeRunReport(R"({"ClockMs":1,"Running":[["bad",1,"",0]],"Finished":[]})"));
    CHECK_FALSE(
            decodeRunReport(R"({"ClockMs":1,"Running":[],"Finished":[[1,"a.0.0.0",1,"odd",""]]})"));
    CHECK_FALSE(decodeRunReport("not json"));
}

TEST_CASE("a worker's registry entry is decoded; malformed entries are rejected")
{
    const std::string validEntry =
            R"({"Service":"desk","Address":"10.1.0.9:8080","Zone":"a","Slots":8,"State":"draining",)"
            R"("RemainingMs":1500,"born":5,"ClockMs":7,)"
            R"("Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},"Labels":["a","r1-3"]})";
    const std::optional<WorkerEntry> entry = decodeWorkerEntry("servers/i-7f3a91c2", validEntry);
    REQUIRE(entry);
    CHECK(entry->id == WorkerId("i-7f3a91c2"));
    CHECK(entry->draining);
    CHECK(entry->minRemainingTime == milliseconds(1500));
    CHECK(entry->labels.size() == 2);
    for (const char *text : {"", "\xff\xfe", "{}", R"({"State":"odd"})", R"({"State":1})", "null"})
        CHECK_FALSE(decodeWorkerEntry("servers/x", text));
}

TEST_CASE("a queue configuration is decoded or rejected as a whole")
{
    const std::optional<QueueConfig> config = decodeQueueConfig(
            R"({"ConfigVersion":7,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/p/",)"
            R"("TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"desk","MaxAttempts":3,)"
            R"("SlackFactor":1.5}],"Services":[{"Name":"desk","AdmissionControl":true}],"Limits":{}})");
    REQUIRE(config);
    CHECK(config->version == 7);
    CHECK(config->queues.at(0).slackFactor == doctest::Approx(1.5));
    CHECK(config->queues.at(0).targetLatency == milliseconds(300));
    CHECK(config->services.at(0).hasAdmissionControl);
    CHECK_FALSE(decodeQueueConfig("{}"));
    CHECK_FALSE(decodeQueueConfig(R"({"ConfigVersion":8,"Routes":5,"Services":[]})"));
}

TEST_CASE("an unknown queue is answered 404 only while the configuration is known to be current")
{
    FleetWorld world(1);
    world.clock.advance(seconds(2));
    Frontend frontend(
            world.node(0), [&] { return world.wall(); }, [](const LogEvent &) {});
    const auto ask = [&] {
        HttpRequest request;
        request.method = "GET";
        request.path = "/added/";
        request.headers["host"] = "desk.example";
        HttpResponse response;
        frontend.handle(
                request, [&](const HttpResponse &r) { response = r; }, world.clock.now());
        return response;
    };
    CHECK(ask().status == 404);
    world.process(0).store->silent = true;
    world.clock.advance(milliseconds(2500));
    const HttpResponse response = ask();
    CHECK(response.status == 503);
    CHECK(response.headers.count("Retry-After") == 1);
    world.process(0).store->silent = false;
    world.clock.advance(seconds(2));
    CHECK(ask().status == 404);
}
