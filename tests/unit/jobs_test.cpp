// Tests of job specifications, of routing to queues, and of the encoding of records.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "jobs/jobs.h"

using namespace monsoonledge;

namespace {

JobSpec fullSpec()
{
    JobSpec spec;
    spec.id = JobId("5c0e7a21d94b36f8");
    spec.queue = QueueId("renewal");
    spec.payload = "text with \"quotes\" and \x01";
    StepSpec step;
    step.count = 3;
    step.cpu.value = 1500;
    step.memory.value = 300;
    step.accelerators = 1;
    step.estimate = milliseconds(900);
    step.checkpointing = step.gang = step.colocated = true;
    step.requirement = "gpu";
    step.affinity = "r1";
    step.antiAffinity = 2;
    step.image = "image";
    step.tailLatencyTarget = milliseconds(24);
    step.maxUnavailable = 1;
    spec.steps.push_back(step);
    step.after = {0};
    step.gang = false;
    step.longRunning = step.bestEffort = step.speculative = true;
    spec.steps.push_back(step);
    spec.occurrences = 4;
    spec.firstDue.value = 1700000000000;
    spec.interval = seconds(3);
    spec.submitted.value = 1700000000123;
    spec.terms.service = ServiceId("desk");
    spec.terms.priority = 2;
    spec.terms.maxAttempts = 3;
    spec.terms.slackFactor = 1.5;
    spec.terms.targetLatency = milliseconds(300);
    return spec;
}

} // namespace

TEST_CASE("a specification is the same after encoding and decoding")
{
    const JobSpec spec = fullSpec();
    const std::optional<JobSpec> decoded = decodeSpec(encodeSpec(spec));
    REQUIRE(decoded);
    CHECK(encodeSpec(*decoded) == encodeSpec(spec));
    CHECK(decoded->steps[1].after == std::vector<int>{0});
    CHECK(decoded->terms.service == ServiceId("desk"));
    CHECK(decoded->terms.maxAttempts == 3);
    CHECK(decoded->terms.targetLatency == milliseconds(300));
    CHECK(decoded->steps[1].bestEffort);
    CHECK_FALSE(decoded->steps[1].gang);
    CHECK(decoded->interval == seconds(3));
}

TEST_CASE("progress is the same after encoding and decoding, and its state can be decoded alone")
{
    JobProgress progress;
    progress.state = JobState::Active;
    progress.tasks.resize(3);
    progress.tasks[1] = {TaskPhase::Assigned, {7}, 2, WorkerId("i-1"), {1700}, "checkpoint"};
    progress.tasks[2].phase = TaskPhase::Done;
    progress.tasks[2].run.value = 1;
    const std::string bytes = encodeProgress(progress);
    const std::optional<JobProgress> decoded = decodeProgress(bytes);
    REQUIRE(decoded);
    CHECK(encodeProgress(*decoded) == bytes);
    CHECK(decoded->tasks[1].worker == WorkerId("i-1"));
    CHECK(decoded->tasks[1].checkpoint == "checkpoint");
    for (const JobState state : {JobState::Pending, JobState::Completed, JobState::Cancelled}) {
        progress.state = state;
        CHECK(decodeState(encodeProgress(progress)) == state);
    }
}

TEST_CASE("counts of lost starts are kept, and records from before they were counted can be read")
{
    JobProgress progress;
    progress.tasks.resize(1);
    progress.tasks[0] = {TaskPhase::Assigned, {7}, 2, WorkerId("w"), {17}, "c"};
    // An array of three: format 1, state 1, and one task of six items.
    const std::string old("\x83\x01\x01\x81\x86\x01\x07\x02\x61w\x11\x61"
                          "c",
                          13);
    progress.state = JobState::Active;
    CHECK(encodeProgress(progress) == old); // a former version can read it
    const std::optional<JobProgress> decodedOld = decodeProgress(old);
    REQUIRE(decodedOld);
    CHECK(decodedOld->tasks[0].lostStarts == 0);
    CHECK(decodedOld->tasks[0].crashes == 0);

    progress.tasks[0].lostStarts = 3;
    progress.tasks[0].crashes = 1;
    const std::string bytes = encodeProgress(progress);
    const std::optional<JobProgress> decoded = decodeProgress(bytes);
    REQUIRE(decoded);
    CHECK(decoded->tasks[0].lostStarts == 3);
    CHECK(decoded->tasks[0].crashes == 1);
    CHECK(decoded->tasks[0].checkpoint == "c");
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeProgress(bytes.substr(0, length)));
    for (const char *count : {"\x20", "\x61x", "\xf6", "\x1a\x7f\xff\xff\xff"}) { // -1, text, null
        const std::string start = bytes.substr(0, bytes.size() - 1);
        CHECK_FALSE(decodeProgress(start + count));
    }
}

// Guards against BUDGET: a successor that does not know the losses starts the task once more.
TEST_CASE("the losses of a task are part of its record, and records without them can be read")
{
    JobProgress progress;
    progress.tasks.resize(1);
    TaskProgress &task = progress.tasks[0];
    task.phase = TaskPhase::Assigned;
    task.run.value = 3;
    task.lostStarts = 2;
    task.crashes = 1;
    task.startConfirmed = true;
    const std::string former = encodeProgress(progress); // the form before losses were described
    const std::optional<JobProgress> decodedFormer = decodeProgress(former);
    REQUIRE(decodedFormer);
    CHECK(decodedFormer->tasks[0].crashes == 1);
    CHECK(decodedFormer->tasks[0].startConfirmed);
    CHECK(decodedFormer->tasks[0].losses.empty());

    task.orderedAt.value = 1700000000000;
    StartLoss loss;
    loss.run.value = 2;
    loss.worker = WorkerId("w1");
    loss.incarnation.value = 1699999999999;
    loss.address = "10.0.0.1:80";
    loss.place = "z/r1";
    loss.orderedAt.value = 1700000000001;
    loss.end = LossEnd::Removed;
    loss.wasReachable = true;
    loss.isCorrelated = true;
    task.losses = {loss, StartLoss()};
    task.losses[1].isConfirmed = true;
    task.losses[1].isOnlySuspect = true;
    const std::string bytes = encodeProgress(progress);
    const std::optional<JobProgress> decoded = decodeProgress(bytes);
    REQUIRE(decoded);
    CHECK(decoded->tasks[0].orderedAt.value == 1700000000000);
    REQUIRE(decoded->tasks[0].losses.size() == 2);
    const StartLoss &first = decoded->tasks[0].losses[0];
    CHECK(first.run.value == 2);
    CHECK(first.worker == loss.worker);
    CHECK(first.incarnation == loss.incarnation);
    CHECK(first.address == loss.address);
    CHECK(first.place == loss.place);
    CHECK(first.orderedAt.value == loss.orderedAt.value);
    CHECK(first.end == LossEnd::Removed);
    CHECK((first.wasReachable && first.isCorrelated));
    CHECK_FALSE((first.isConfirmed || first.isOnlySuspect));
    const StartLoss &second = decoded->tasks[0].losses[1];
    CHECK((second.isConfirmed && second.isOnlySuspect));
    CHECK_FALSE((second.wasReachable || second.isCorrelated));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeProgress(bytes.substr(0, length)));
    task.losses[0].end = static_cast<LossEnd>(5);
    CHECK_FALSE(decodeProgress(encodeProgress(progress)));
    task.losses.assign(65, loss);
    CHECK_FALSE(decodeProgress(encodeProgress(progress)));
}

TEST_CASE("truncated records are rejected, and decoding changed bytes does not crash")
{
    const std::string spec = encodeSpec(fullSpec());
    JobProgress progress;
    progress.tasks.resize(2);
    progress.tasks[0].run.value = 1;
    const std::string encoded = encodeProgress(progress);
    for (std::size_t length = 0; length < spec.size(); ++length)
        CHECK_FALSE(decodeSpec(spec.substr(0, length)));
    for (std::size_t length = 0; length < encoded.size(); ++length)
        CHECK_FALSE(decodeProgress(encoded.substr(0, length)));
    Random random(3);
    for (int i = 0; i < 5000; ++i) {
        // A changed record may still be valid, so only a crash is a failure.
        std::string bytes = random.below(2) == 0 ? spec : encoded;
        bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        decodeSpec(bytes);
        decodeProgress(bytes);
        decodeState(bytes);
    }
}

TEST_CASE("jobs that can never run are rejected with a reason")
{
    JobSpec spec;
    CHECK(validateJob(spec) == "a job needs at least one step");
    spec.steps.resize(2);
    CHECK(validateJob(spec).empty());
    spec.steps[0].after = {0};
    CHECK(validateJob(spec) == "step 0 waits for a step that is not before it");
    spec.steps[0].after = {};
    spec.steps[1].after = {1};
    CHECK(validateJob(spec) == "step 1 waits for a step that is not before it");
    spec.steps[1].after = {-1};
    CHECK_FALSE(validateJob(spec).empty());
    spec.steps[1].after = {};
    spec.steps[1].count = 0;
    CHECK(validateJob(spec) == "step 1 has no tasks");
    spec.steps[1].count = 10001;
    CHECK_FALSE(validateJob(spec).empty());
}

TEST_CASE("the critical path is the longest chain of dependent steps")
{
    JobSpec spec;
    spec.steps.resize(3);
    spec.steps[0].estimate = milliseconds(100);
    spec.steps[1].estimate = milliseconds(300);
    spec.steps[2].estimate = milliseconds(50);
    spec.steps[2].after = {0};
    CHECK(criticalPath(spec) == milliseconds(300));
    spec.steps[2].after = {0, 1};
    CHECK(criticalPath(spec) == milliseconds(350));
}

TEST_CASE("a request is routed to the queue with the longest matching prefix")
{
    QueueConfig config;
    config.queues.resize(2);
    config.queues[0].id = QueueId("short");
    config.queues[0].httpHost = config.queues[1].httpHost = "desk.example";
    config.queues[0].pathPrefix = "/a/";
    config.queues[1].id = QueueId("long");
    config.queues[1].pathPrefix = "/a/b/";
    CHECK(config.route("desk.example", "/a/b/1")->id == QueueId("long"));
    CHECK(config.route("desk.example", "/a/1")->id == QueueId("short"));
    CHECK(config.route("desk.example", "/b/1") == nullptr);
    CHECK(config.route("other.example", "/a/1") == nullptr);
}
