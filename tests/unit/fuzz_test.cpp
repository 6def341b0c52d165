// Malformed input for every decoder of messages and records. The seed is fixed; SEED and N in the
// environment choose others, and more rounds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "adapters/adapters.h"
#include "adapters/relaycodec_p.h"
#include "jobs/jobs.h"
#include "platform/platform.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>

using namespace monsoonledge;

namespace {

constexpr std::size_t DeepNesting = 200000; // overflows the stack of a parser that recurses

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Changes a valid message in a few places.
std::string mutate(const std::string &message, Random &random)
{
    static const std::vector<std::string> tokens{"null",
                                                 "-1",
                                                 "1e308",
                                                 "18446744073709551616",
                                                 "\"\"",
                                                 "[]",
                                                 "{}",
                                                 "\xff\xfe",
                                                 "\\ud800",
                                                 std::string(1, '\0'),
                                                 "9007199254740993",
                                                 "true",
                                                 "\x9f",
                                                 "\xfb\x7f\xf0"};
    std::string text = message;
    for (std::uint64_t changes = 1 + random.below(4); changes > 0 && !text.empty(); --changes) {
        const std::size_t at = random.below(text.size());
        const std::size_t length = 1 + random.below(std::min<std::size_t>(text.size() - at, 12));
        switch (random.below(6)) {
        case 0:
            text[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.resize(at);
            break;
        case 2:
            text.erase(at, length);
            break;
        case 3:
            text.insert(at, text.substr(random.below(text.size()), length));
            break;
        case 4:
            text.replace(at, length, tokens[random.below(tokens.size())]);
            break;
        default:
            text[at] = static_cast<char>(static_cast<unsigned char>(text[at])
                                         ^ (1U << random.below(8)));
            break;
        }
    }
    return text;
}

/// Feeds mutations of the message, and a few extreme texts, to the decoder.
void fuzz(const std::string &message, const std::function<void(const std::string &)> &decode)
{
    Random random(numberFromEnvironment("SEED", 1));
    for (std::uint64_t i = numberFromEnvironment("N", 3000); i > 0; --i) {
        const std::string text = mutate(message, random);
        CAPTURE(text);
        REQUIRE_NOTHROW(decode(text));
    }
    for (const char *unit : {"[", "{\"a\":", "\x81", "\xa1\x61\x61", "\x9f", "\x5f"}) {
        std::string text;
        while (text.size() < DeepNesting)
            text += unit;
        REQUIRE_NOTHROW(decode(text));
        REQUIRE_NOTHROW(decode(message + text));
    }
    REQUIRE_NOTHROW(decode(""));
}

JobSpec sampleSpec()
{
    JobSpec spec;
    spec.id = JobId("5c0e7a21d94b36f8");
    spec.queue = QueueId("renewal");
    spec.payload = "text";
    spec.steps.resize(2);
    spec.steps[0].count = 4;
    spec.steps[1].after = {0};
    spec.steps[1].image = "image";
    return spec;
}

JobProgress sampleProgress()
{
    JobProgress progress;
    progress.state = JobState::Active;
    progress.tasks.resize(5);
    progress.tasks[1].phase = TaskPhase::Assigned;
    progress.tasks[1].run.value = 3;
    progress.tasks[1].worker = WorkerId("w1");
    progress.tasks[1].incarnation.value = 1700000000000;
    progress.tasks[1].checkpoint = "00000bb87a21d94b";
    progress.tasks[2] = progress.tasks[1];
    progress.tasks[2].lostStarts = 3;
    progress.tasks[2].crashes = 1;
    return progress;
}

} // namespace

TEST_CASE("no message of the platform ends the process")
{
    fuzz(R"({"ConfigVersion":3,"Routes":[{"Name":"q","Host":"h","Prefix":"/p/","Service":"s",)"
         R"("Priority":1,"MaxAttempts":3,"SlackFactor":1.5,"TargetLatencyMs":300,"Advice":{}}],)"
         R"("Services":[{"Name":"s","AdmissionControl":true}],"Limits":{}})",
         [](const std::string &text) { platform::decodeQueueConfig(text); });
    fuzz(R"({"Service":"s","Address":"10.0.0.1:80","Zone":"a","State":"ready","born":17000,)"
         R"("Capacity":{"Cpu":16000,"MemMb":62500},"Labels":["a","r1"],"ClockMs":5,"Sequence":1})",
         [](const std::string &text) { platform::decodeWorkerEntry("servers/w1", text); });
    fuzz(R"({"TaskSpec":"t","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimatedMs":900},)"
         R"({"Count":20,"Cpu":2000,"EstimatedMs":7000,"After":[0],"Checkpointing":true}]})",
         [](const std::string &text) {
             std::string error;
             const std::optional<JobSpec> spec = platform::decodeJob(text, error);
             CHECK(spec.has_value() == error.empty());
         });
    fuzz(R"({"ClockMs":4821,"born":17000,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,100]],)"
         R"("Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
         [](const std::string &text) { platform::decodeRunReport(text); });
    fuzz("5c0e7a21d94b36f8.0.1.17", [](const std::string &text) { platform::parseTaskName(text); });
}

TEST_CASE("no response of the store ends the process")
{
    for (const int status : {200, 412}) {
        fuzz(R"({"items":[{"Key":"jobs/x","Value":"YWJj","Revision":7,"Created":3,"Lease":0}],)"
             R"("events":[{"Key":"k","Revision":8,"Deleted":true}],"HasMore":true,"At":9,"Lease":4})",
             [status](const std::string &text) {
                 platform::decodeStoreResponse({status, {}, text});
             });
    }
}

TEST_CASE("no record of the store ends the process")
{
    fuzz(encodeSpec(sampleSpec()), [](const std::string &bytes) { decodeSpec(bytes); });
    fuzz(encodeProgress(sampleProgress()), [](const std::string &bytes) {
        const std::optional<JobProgress> progress = decodeProgress(bytes);
        // decodeState() reads only the form that encodeProgress() writes.
        const std::optional<JobState> state = decodeState(bytes);
        if (progress && state)
            CHECK(*state == progress->state);
    });
    BacklogReport report;
    report.revision = 12;
    report.jobs[QueueId("renewal")] = 7;
    fuzz(encodeBacklog(report), [](const std::string &bytes) { decodeBacklog(bytes); });
}

TEST_CASE("no message of a peer ends the process")
{
    PeerHello hello;
    hello.run = {EntryId("e1"), Incarnation{4}};
    hello.domain = DomainId("a");
    for (const std::string &message :
         {encodePeerMessage(hello), encodePeerMessage(SheetRequestMessage{})}) {
        fuzz(message, [](const std::string &bytes) {
            try {
                decodePeerMessage(bytes, {});
            } catch (const std::runtime_error &) { // the link is closed
            }
        });
    }
}

TEST_CASE("no forwarded request or answer ends the process")
{
    const auto decode = [](const std::string &bytes) {
        try {
            const RelayRequest request = decodeRelayRequest(bytes).body;
            CHECK(request.kind <= RelayRequest::Kind::Probe);
            decodeSpec(request.spec);
        } catch (const std::runtime_error &) { // the link is closed
        }
        try {
            const RelayAnswer answer = decodeRelayAnswer(bytes).body;
            CHECK(answer.kind <= RelayAnswer::Kind::Overloaded); // the last one
            CHECK(answer.state <= JobState::Cancelled);
        } catch (const std::runtime_error &) { // the link is closed
        }
    };
    JobSpec spec;
    spec.id = JobId("0123456789abcdef");
    spec.queue = QueueId("renewal");
    spec.steps.resize(2);
    fuzz(encodeRelayRequest(
                 7, {RelayRequest::Kind::Submit, spec.id, encodeSpec(spec), milliseconds(400)}),
         decode);
    fuzz(encodeRelayAnswer(7, {RelayAnswer::Kind::State, JobState::Active}), decode);
}
