// Entries of the store, reports of workers and submissions that no worker, client or operator
// should write. Each names nothing to use; it must neither end the process nor affect the entries
// beside it. Build with MONSOONLEDGE_SANITIZE, because overflows are silent otherwise.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/fleetworld.h"
#include "platform/platform.h"

#include <nlohmann/json.hpp>

#include <cmath>

using namespace monsoonledge;
using namespace monsoonledge::platform;

namespace {

constexpr int DeepNesting = 100000;

/// Texts of JSON values that cannot be a count, a capacity or a time.
const std::vector<std::string> OddNumbers{"1e400",
                                          "1e308",
                                          "99999999999999999999999999",
                                          "18446744073709551615",
                                          "9223372036854775807",
                                          "9199999999999999999",
                                          "9007199254740993000",
                                          "-1",
                                          "-9223372036854775808",
                                          "\"NaN\"",
                                          "NaN",
                                          "true",
                                          "[]",
                                          "{}"};

const std::vector<std::string> OddAddresses{"\"10.1.0.9:0\"",
                                            "\"10.1.0.9:65536\"",
                                            "\"10.1.0.9:99999999999\"",
                                            "\"10.1.0.9:-1\"",
                                            "\"10.1.0.9:\"",
                                            "\"10.1.0.9\"",
                                            "\":8080\"",
                                            "\"10.1.0.9:port\"",
                                            "\"\"",
                                            "8080",
                                            "null"};

std::string nested(const std::string &opening, const std::string &closing)
{
    std::string text;
    for (int i = 0; i < DeepNesting; ++i)
        text += opening;
    text += '1';
    for (int i = 0; i < DeepNesting; ++i)
        text += closing;
    return text;
}

const std::string ValidEntry =
        R"({"Service":"desk","Address":"10.1.0.9:8080","Zone":"a","State":"ready",)"
        R"("RemainingMs":1500,"born":1000,"ClockMs":7,)"
        R"("Capacity":{"Cpu":16000,"MemMb":64000,"Gpu":2},"Labels":["a","r1"]})";

/// Replaces the value of a field, which must be in the text.
std::string withField(std::string text, const std::string &name, const std::string &value)
{
    const std::size_t begin = text.find('"' + name + "\":") + name.size() + 3;
    REQUIRE(begin != std::string::npos + name.size() + 3);
    std::size_t end = begin;
    if (text[end] == '[' || text[end] == '"')
        end = text.find(text[end] == '[' ? ']' : '"', end + 1) + 1;
    else
        end = text.find_first_of(",}]", end);
    return text.replace(begin, end - begin, value);
}

/// Values under servers/ that must not be decoded as a worker.
std::vector<std::string> oddEntries()
{
    std::vector<std::string> entries{"",
                                     "null",
                                     "[]",
                                     "\"text\"",
                                     "nonsense",
                                     "\xff\xfe\xfd",
                                     std::string("\0\0", 2),
                                     std::string(200000, 'x'),
                                     nested("[", "]"),
                                     nested("{\"a\":", "}"),
                                     withField(ValidEntry, "Labels", nested("[", "]")),
                                     withField(ValidEntry, "Labels", "[1]"),
                                     withField(ValidEntry, "Labels", "\"a\""),
                                     withField(ValidEntry, "State", "\"odd\""),
                                     withField(ValidEntry, "Service", "\"\xff\""),
                                     withField(ValidEntry, "Service", "1"),
                                     withField(ValidEntry, "Zone", "{}")};
    for (const char *name : {"RemainingMs", "born", "ClockMs", "Cpu", "MemMb", "Gpu"}) {
        for (const std::string &number : OddNumbers)
            entries.push_back(withField(ValidEntry, name, number));
    }
    for (const std::string &address : OddAddresses)
        entries.push_back(withField(ValidEntry, "Address", address));
    return entries;
}

const std::string ValidReport =
        R"({"ClockMs":482113,"born":1700,"Running":[["5c0e.0.1.17",2,"cp",41,812]],)"
        R"("Finished":[[58,"5c0e.0.1.9",1,"done",""]]})";

std::string jobWith(const std::string &stepFields, const std::string &fields = {})
{
    return R"({"TaskSpec":"t","Steps":[{)" + stepFields + "}]" + fields + "}";
}

} // namespace

TEST_CASE("an entry that names no worker is rejected")
{
    REQUIRE(decodeWorkerEntry("servers/w1", ValidEntry));
    for (const std::string &entry : oddEntries()) {
        const std::string shown = entry.substr(0, 300);
        CAPTURE(shown);
        CHECK_FALSE(decodeWorkerEntry("servers/w1", entry));
    }
    // Otherwise such an entry could replace the one of another worker.
    for (const char *key : {"servers/", "servers/x/w1", "servers//w1", "w1"}) {
        CAPTURE(key);
        CHECK_FALSE(decodeWorkerEntry(key, ValidEntry));
    }
}

TEST_CASE("of a repeated field, one value is used; many labels are accepted or rejected as a whole")
{
    const auto entry = decodeWorkerEntry("servers/w1", "{\"Zone\":\"b\"," + ValidEntry.substr(1));
    REQUIRE(entry);
    std::string labels = "[\"a\"";
    for (int i = 0; i < 1000000; ++i)
        labels += ",\"a\"";
    const auto labelled =
            decodeWorkerEntry("servers/w1", withField(ValidEntry, "Labels", labels + "]"));
    CHECK_FALSE(labelled);
}

TEST_CASE("numbers out of range in a worker's report make it malformed or are limited")
{
    REQUIRE(decodeRunReport(ValidReport));
    for (const std::string &number : OddNumbers) {
        CAPTURE(number);
        CHECK_FALSE(decodeRunReport(withField(ValidReport, "ClockMs", number)));
        CHECK_FALSE(decodeRunReport(withField(ValidReport, "born", number)));
        std::string position = ValidReport;
        CHECK_FALSE(decodeRunReport(position.replace(position.find("58"), 2, number)));
        std::string run = ValidReport;
        CHECK_FALSE(decodeRunReport(run.replace(run.find(",2,") + 1, 1, number)));
    }
    for (const char *number : {"1e308", "-1e308", "-1", "9223372036854775807", "4294967296"}) {
        CAPTURE(number);
        std::string text = ValidReport;
        text.replace(text.find("41"), 2, number);
        text.replace(text.find("812"), 3, number);
        const auto report = decodeRunReport(text);
        REQUIRE(report);
        CHECK(report->running.at(0).percent >= 0);
        CHECK(report->running.at(0).percent <= 100);
        CHECK(report->running.at(0).usage >= 0);
        CHECK(report->running.at(0).usage <= 1e9);
    }
}

TEST_CASE("numbers out of range in a configuration are limited; the rest of it holds")
{
    for (const char *number : {"1e308", "-1e308", "9223372036854775807", "-9223372036854775808",
                               "99999999999999999999999999", "2147483648"}) {
        CAPTURE(number);
        std::string text = R"({"ConfigVersion":7,"Routes":[{"Name":"r")";
        for (const char *name : {"TargetLatencyMs", "Priority", "MaxAttempts", "SlackFactor"})
            text.append(",\"").append(name).append("\":").append(number);
        text += R"(},{"Name":"s","MaxAttempts":3}],"Services":[]})";
        const auto config = decodeQueueConfig(text);
        REQUIRE(config);
        CHECK(config->queues.at(0).maxAttempts >= 1);
        CHECK(std::fabs(config->queues.at(0).slackFactor) <= 1e6);
        CHECK(config->queues.at(0).targetLatency >= Duration::zero());
        CHECK(config->queues.at(0).targetLatency <= milliseconds(1000LL * 366 * 86400));
        CHECK(config->queues.at(1).maxAttempts == 3);
    }
}

TEST_CASE("a job with numbers out of range is rejected with a reason")
{
    std::string reason;
    REQUIRE(decodeJob(jobWith(R"("Count":1)"), reason));
    for (const char *name : {"Count", "Cpu", "MemMb", "Gpu", "EstimatedMs", "AntiAffinity",
                             "TargetMs", "MaxUnavailable"}) {
        for (const std::string &number : OddNumbers) {
            const std::string text = jobWith((std::string(name) == "Count" ? "" : "\"Count\":1,")
                                             + std::string("\"") + name + "\":" + number);
            CAPTURE(text);
            reason.clear();
            CHECK_FALSE(decodeJob(text, reason));
            CHECK_FALSE(reason.empty());
        }
    }
    for (const std::string &number : OddNumbers) {
        CAPTURE(number);
        CHECK_FALSE(decodeJob(jobWith(R"("Count":1,"After":[)" + number + "]"), reason));
        for (const char *name : {"RepeatCount", "StartAtMs", "IntervalMs"})
            CHECK_FALSE(decodeJob(
                    jobWith(R"("Count":1)", std::string(",\"") + name + "\":" + number), reason));
    }
    // All occurrences may be due at once, and each task takes memory.
    CHECK_FALSE(decodeJob(jobWith(R"("Count":10000)", R"(,"RepeatCount":100000)"), reason));
    CHECK(decodeJob(jobWith(R"("Count":1)", R"(,"RepeatCount":100000)"), reason));
}

TEST_CASE("a stored specification that no client could have submitted is malformed")
{
    JobSpec spec = FleetWorld::job("5c0e7a21d94b36f8");
    REQUIRE(decodeSpec(encodeSpec(spec)));
    const auto isRejected = [&](const std::function<void(JobSpec &)> &change) {
        JobSpec changed = spec;
        change(changed);
        return !decodeSpec(encodeSpec(changed));
    };
    CHECK(isRejected([](JobSpec &s) { s.steps.clear(); }));
    CHECK(isRejected([](JobSpec &s) { s.steps[0].count = 2000000000; }));
    CHECK(isRejected([](JobSpec &s) { s.steps[0].count = -1; }));
    CHECK(isRejected([](JobSpec &s) { s.steps[0].after = {5}; }));
    CHECK(isRejected([](JobSpec &s) { s.steps[0].after = {-1}; }));
    CHECK(isRejected([](JobSpec &s) { s.steps[0].cpu.value = UINT64_MAX; }));
    CHECK(isRejected([](JobSpec &s) { s.steps[0].estimate = Duration::max(); }));
    CHECK(isRejected([](JobSpec &s) { s.occurrences = 2000000000; }));
    CHECK(isRejected([](JobSpec &s) { s.firstDue.value = UINT64_MAX; }));
}

TEST_CASE("an odd value in a response of the store leaves the other items in place")
{
    std::vector<std::string> values{"1",     "null",     "{}",           "[]",
                                    "true",  "\"!!!!\"", "\"e30\"",      "\"=\"",
                                    "\"e\"", "\"\"",     "\"e30=e30=\"", "\"\xff\xfe\""};
    for (std::size_t length = 1; length < 200; ++length) // also without the required padding
        values.push_back('"' + std::string(length, 'A') + '"');
    for (const char *list : {"items", "events"}) {
        for (const std::string &value : values) {
            CAPTURE(value);
            const KeyValueResult result = decodeStoreResponse(
                    {200,
                     {},
                     std::string("{\"") + list
                             + R"(":[{"Key":"servers/a","Value":"e30=","Revision":5},)"
                               R"({"Key":"servers/b","Value":)"
                             + value + R"(,"Revision":6},{"Key":"servers/\u0000\n","Revision":7},)"
                             + R"({"Key":"servers/c","Value":"e30=","Revision":8}],"At":9})"});
            REQUIRE(result.status == KeyValueStatus::Ok);
            REQUIRE(result.items.size() == 4);
            CHECK(result.items[0].value == "{}");
            CHECK(result.items[3].value == "{}");
            CHECK(result.storeRevision.value == 9);
            CHECK_FALSE(decodeWorkerEntry(result.items[1].key, result.items[1].value));
        }
    }
    const KeyValueResult oddKey = decodeStoreResponse(
            {200, {}, "{\"items\":[{\"Key\":\"servers/\xff\",\"Value\":\"e30=\"}],\"At\":9}"});
    CHECK(oddKey.status == KeyValueStatus::Ok);
}

TEST_CASE("good workers are used beside odd entries, at the first load and while it is watched")
{
    for (const bool isWatched : {false, true}) {
        CAPTURE(isWatched);
        FleetWorld world(0);
        for (const std::string id : {"w0", "w1", "w2", "w3"})
            world.store.put("servers/" + id, ValidEntry);
        const auto putOddEntries = [&] {
            int number = 0;
            for (const std::string &entry : oddEntries())
                world.store.put("servers/odd" + std::to_string(number++), entry);
            world.store.put(std::string("servers/\xff\0\n", 11), "odd");
            world.store.put("servers/x/w1", withField(ValidEntry, "born", "4000000000000"));
        };
        if (!isWatched)
            putOddEntries();
        world.workerDecoder = decodeWorkerEntry;
        world.processes.resize(1);
        world.start(0);
        REQUIRE(world.wait([&] {
            return world.node(0).isCoordinator() && world.node(0).coordinator()->scheduler();
        }));
        CHECK(world.submit(0, FleetWorld::job("before", 8)) == JobAnswer::Accepted);
        if (isWatched)
            putOddEntries();
        CHECK(world.submit(0, FleetWorld::job("beside", 8)) == JobAnswer::Accepted);
        CHECK(world.wait([&] { return world.state(0, "before") == JobState::Completed; }));
        CHECK(world.wait([&] { return world.state(0, "beside") == JobState::Completed; }));
        CHECK(world.node(0).coordinator()->scheduler()->workers().size() == 4);
        CHECK(world.runners.findings == std::vector<std::string>{});
    }
}

TEST_CASE("a job whose progress record is unreadable is not started again by a new coordinator")
{
    JobProgress short1;
    short1.state = JobState::Active;
    short1.tasks.resize(1); // of 4
    const std::string whole = encodeProgress(short1);
    for (const std::string &record :
         {std::string(), std::string("nonsense"), std::string(100000, '\x81'),
          whole.substr(0, whole.size() - 1), whole, std::string("\x83\x01\x01\x80")}) {
        CAPTURE(record.size());
        FleetWorld world(2);
        world.clock.advance(seconds(2));
        const int first = world.coordinator();
        REQUIRE(first >= 0);
        const int second = 1 - first;
        CHECK(world.submit(first, FleetWorld::job("odd", 4, "ms=4000")) == JobAnswer::Accepted);
        CHECK(world.submit(first, FleetWorld::job("good", 4, "ms=4000")) == JobAnswer::Accepted);
        world.clock.advance(milliseconds(500));
        REQUIRE(world.runners.runningCount() == 8);
        world.kill(first);
        world.store.put("jobs/progress/odd", record);
        world.clock.advance(seconds(4));
        REQUIRE(world.coordinator() == second);
        CHECK(std::count(world.log.begin(), world.log.end(), "record-unreadable") >= 1);
        CHECK(world.wait([&] { return world.state(second, "good") == JobState::Completed; }));
        // The runs that went on have ended by themselves, and nothing has begun again.
        world.clock.advance(seconds(10));
        for (const auto &[task, count] : world.runners.starts)
            CHECK(count == 1);
        CHECK(world.runners.runningCount() == 0);
        CHECK(world.runners.findings == std::vector<std::string>{});
        CHECK(world.state(second, "odd") == JobState::Active);
        CHECK(world.node(second).backlog(QueueId("renewal")) == 0);
        world.start(first); // reads the record when a client asks
        world.clock.advance(seconds(2));
        CHECK(world.state(first, "odd") == JobState::Active);
        CHECK(world.store.items().count("jobs/in/spec/odd") == 1);
        CHECK(world.cancel(first, "odd") == JobAnswer::Accepted);
        world.clock.advance(seconds(1));
        CHECK(world.state(first, "odd") == JobState::Cancelled);
        CHECK(world.state(second, "odd") == JobState::Cancelled);
    }
}

TEST_CASE("a record whose state alone can be read shows a final state")
{
    FleetWorld world(1);
    world.store.put("jobs/in/spec/ended", encodeSpec(FleetWorld::job("ended")));
    world.store.put("jobs/progress/ended", std::string("\x83\x01\x02\x9f", 4));
    world.clock.advance(seconds(3));
    CHECK(world.state(0, "ended") == JobState::Completed);
    CHECK(world.runners.starts.empty());
}

TEST_CASE("a malformed specification costs no other job")
{
    FleetWorld world(2);
    JobSpec odd = FleetWorld::job("odd2");
    odd.steps[0].after = {3};
    world.store.put("jobs/in/spec/odd1", "nonsense");
    world.clock.advance(seconds(2));
    world.store.put("jobs/in/spec/odd2", encodeSpec(odd));
    world.store.put("jobs/in/spec/odd3", "");
    CHECK(world.submit(0, FleetWorld::job("good")) == JobAnswer::Accepted);
    CHECK(world.wait([&] { return world.state(1, "good") == JobState::Completed; }));
    CHECK(world.runners.starts.size() == 4);
}
