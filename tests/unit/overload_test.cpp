// Admission under shortage: the forecast, the decision, and both in a queueing model.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/overloadmodel.h"

#include <cmath>
#include <cstdio>
#include <set>

using namespace monsoonledge;

namespace {

OverloadLoad loadNamed(const std::string &name)
{
    for (const OverloadLoad &load : namedLoads()) {
        if (load.name == name)
            return load;
    }
    throw std::invalid_argument("no such load: " + name);
}

JobSpec job(const std::string &id, int tasks = 10, Duration estimate = milliseconds(500))
{
    JobSpec spec;
    spec.id = JobId(id);
    spec.queue = QueueId("short");
    spec.terms.service = ServiceId("desk");
    spec.terms.slackFactor = 1.5;
    spec.terms.targetLatency = milliseconds(250);
    StepSpec step;
    step.count = tasks;
    step.cpu.value = 2000;
    step.memory.value = 100;
    step.estimate = estimate;
    spec.steps.push_back(step);
    return spec;
}

/// A report with this delay for all new jobs, without free processors.
AdmissionReport reportWithDelay(Duration delay)
{
    AdmissionReport report;
    ServiceLoad service;
    service.service = ServiceId("desk");
    service.total = 100000;
    PriorityLoad load;
    load.delay = delay;
    load.lateDelay = delay;
    load.bestEffortDelay = delay;
    load.bestEffortLateDelay = delay;
    service.priorities.push_back(load);
    service.shapes.push_back({16000, 64000, 0, ""});
    report.services.push_back(service);
    QueueLoad queue;
    queue.queue = QueueId("short");
    queue.admitShare = 0; // so that all that would be worthless is refused
    report.queues.push_back(queue);
    return report;
}

constexpr Time Start{};
constexpr Duration Fresh = milliseconds(500);
// The job above is worthless 3 x (1.5 x 0.5 s + 0.25 s) = 3 s after its submission.
constexpr Duration Endless = seconds(20);

} // namespace

TEST_CASE(
        "under the named loads, admission makes no fewer jobs on time and nothing idle is refused")
{
    constexpr double minShareOfOneLoad = 0.98; // a single load may lose a little, their sum not
    int with = 0;
    int without = 0;
    int byDefault = 0;
    for (const OverloadLoad &load : namedLoads()) {
        CAPTURE(load.name);
        int loadWith = 0;
        int loadWithout = 0;
        for (const std::uint64_t seed : {11U, 23U}) {
            const OverloadResult admitted =
                    OverloadModel(load, JobOrder::Scheduler, ModelAdmission::RefusingExcess, seed)
                            .run();
            const OverloadResult all =
                    OverloadModel(load, JobOrder::Scheduler, ModelAdmission::None, seed).run();
            loadWith += admitted.onTime();
            loadWithout += all.onTime();
            CHECK(admitted.refusalsWhileFree == 0);
        }
        for (const std::uint64_t seed : {11U, 23U})
            byDefault += OverloadModel(load, JobOrder::Scheduler, ModelAdmission::Default, seed)
                                 .run()
                                 .onTime();
        CHECK(loadWith >= minShareOfOneLoad * loadWithout);
        with += loadWith;
        without += loadWithout;
    }
    CHECK(with > without);
    CHECK(byDefault >= without);
}

TEST_CASE("a load that stays at the limit does not switch between refusing and admitting")
{
    const OverloadResult result = OverloadModel(loadNamed("atTheLimit"), JobOrder::Scheduler,
                                                ModelAdmission::RefusingExcess, 11)
                                          .run();
    for (const auto &item : result.switches) {
        CAPTURE(item.first);
        CHECK(item.second <= 12); // of 60 reports: no more than a switch in five seconds
    }
}

TEST_CASE("a flood of the highest priority leaves the other queue its share")
{
    // Without the share, a strict order by priority would let nothing else run.
    OverloadLoad load = loadNamed("highestFlood");
    for (JobKind &kind : load.kinds)
        kind.bestEffort = false;
    load.seconds = 90;
    load.demand = [](std::size_t kind, int) { return kind == 0 ? 6.0 : 0.6; };
    const OverloadResult with =
            OverloadModel(load, JobOrder::Scheduler, ModelAdmission::RefusingExcess, 11).run();
    const OverloadResult without =
            OverloadModel(load, JobOrder::Scheduler, ModelAdmission::None, 11).run();
    CHECK(with.coreSeconds.at("wide") > 2 * without.coreSeconds.at("wide"));
    CHECK(with.reasons.at("short").count("over-share") == 1);
}

TEST_CASE("the largest tenth of a queue's jobs is not refused more than twice as often as the rest")
{
    int refusalsOfAll = 0;
    for (const OverloadLoad &load : namedLoads()) {
        OverloadResult result =
                OverloadModel(load, JobOrder::Scheduler, ModelAdmission::RefusingExcess, 23).run();
        for (auto &item : result.firstAnswers) {
            auto &answers = item.second;
            std::sort(answers.begin(), answers.end());
            const std::size_t rest = answers.size() * 9 / 10;
            const auto refusedIn = [&](std::size_t from, std::size_t until) {
                int refused = 0;
                for (std::size_t i = from; i < until; ++i)
                    refused += answers[i].second ? 0 : 1;
                refusalsOfAll += refused;
                return refused / static_cast<double>(std::max(until - from, std::size_t{1}));
            };
            const double ofRest = refusedIn(0, rest);
            const double ofLargest = refusedIn(rest, answers.size());
            CAPTURE(load.name);
            CAPTURE(item.first);
            // One refused job of a small tenth is not a rate.
            const double oneJob = 1.0 / static_cast<double>(answers.size() - rest);
            CHECK(ofLargest <= 2 * ofRest + oneJob);
        }
    }
    CHECK(refusalsOfAll > 0);
}

TEST_CASE("a job is refused only if its result would be worthless")
{
    AdmissionPolicy policy(refusingExcess());
    // Done after 2.9 s of the 3 s after which its result is worthless, and after 3.1 s.
    AdmissionReport report = reportWithDelay(milliseconds(2400));
    CHECK(policy.decide(job("a"), &report, Fresh, Start).reason == AdmissionReason::InTime);
    report = reportWithDelay(milliseconds(2600));
    const AdmissionDecision refused = policy.decide(job("a"), &report, Fresh, Start);
    CHECK_FALSE(refused.isAdmitted);
    CHECK(refused.reason == AdmissionReason::Worthless);
    CHECK(refused.retryAfter >= seconds(1));
    CHECK(refused.retryAfter % seconds(1) == Duration::zero());
    CHECK(refused.total == 100000);
}

// Guards against refusals of jobs that the scheduler would start before those that already wait.
TEST_CASE("by default only a job that can no longer be on time is refused")
{
    AdmissionPolicy policy;
    const AdmissionReport report = reportWithDelay(Endless);
    const AdmissionDecision admitted = policy.decide(job("a"), &report, Fresh, Start);
    CHECK(admitted.reason == AdmissionReason::InTime);
    const AdmissionReport endless = reportWithDelay(seconds(300));
    const AdmissionDecision refused = policy.decide(job("b"), &endless, Fresh, Start);
    REQUIRE_FALSE(refused.isAdmitted);
    policy.recordRefusal(job("b"), refused, Start);
    CHECK_FALSE(policy.decide(job("b"), &report, Fresh, Start + seconds(4)).isAdmitted);
}

TEST_CASE("the late backlog does not refuse a job that would be on time")
{
    AdmissionPolicy policy(refusingExcess());
    AdmissionReport report = reportWithDelay(Endless);
    report.services[0].priorities[0].delay = milliseconds(200);
    CHECK(policy.decide(job("a"), &report, Fresh, Start).reason == AdmissionReason::InTime);
}

TEST_CASE("refusal of a queue ends at a lower delay than it began")
{
    AdmissionPolicy policy(refusingExcess());
    AdmissionReport report = reportWithDelay(milliseconds(2600));
    CHECK_FALSE(policy.decide(job("a"), &report, Fresh, Start).isAdmitted);
    report = reportWithDelay(milliseconds(2400));
    CHECK_FALSE(policy.decide(job("b"), &report, Fresh, Start).isAdmitted);
    report = reportWithDelay(milliseconds(1800));
    CHECK(policy.decide(job("c"), &report, Fresh, Start).isAdmitted);
    report = reportWithDelay(milliseconds(2400));
    CHECK(policy.decide(job("d"), &report, Fresh, Start).isAdmitted);
}

// Guards against a question that begins or ends the refusal of a queue, or moves its mean path.
TEST_CASE("a preview is the decision that would follow, and later ones are made as without it")
{
    AdmissionPolicy asked;
    AdmissionPolicy other;
    const JobSpec question = job("", 10, seconds(2));
    int number = 0;
    for (const int delayMs : {2400, 2600, 2400, 1800, 2400, 20000, 2400, 1000}) {
        AdmissionReport report = reportWithDelay(milliseconds(delayMs));
        report.queues[0].admitShare = 0.7;
        asked.preview(question, &report, Fresh, Start);
        for (const char *name : {"a", "b", "c"}) {
            const JobSpec next = job(name + std::to_string(number++), 10, milliseconds(500));
            const AdmissionDecision preview = asked.preview(next, &report, Fresh, Start);
            const AdmissionDecision decision = asked.decide(next, &report, Fresh, Start);
            CHECK(preview.reason == decision.reason);
            CHECK(preview.retryAfter == decision.retryAfter);
            CHECK(preview.delay == decision.delay);
            CHECK(other.decide(next, &report, Fresh, Start).reason == decision.reason);
        }
    }
    CHECK(asked.refusals().empty());
    JobSpec serving = question;
    serving.steps[0].longRunning = true;
    const AdmissionReport report = reportWithDelay(seconds(4));
    CHECK(asked.preview(serving, &report, Fresh, Start).delay == seconds(4));
}

TEST_CASE("without a recent report all jobs are admitted")
{
    AdmissionPolicy policy(refusingExcess());
    const AdmissionReport report = reportWithDelay(Endless);
    CHECK_FALSE(policy.decide(job("a"), &report, seconds(3), Start).isAdmitted);
    CHECK(policy.decide(job("a"), &report, seconds(3) + milliseconds(1), Start).reason
          == AdmissionReason::NoReport);
    CHECK(policy.decide(job("a"), nullptr, Fresh, Start).isAdmitted);
    JobSpec other = job("a");
    other.terms.service = ServiceId("not-reported");
    CHECK(policy.decide(other, &report, Fresh, Start).isAdmitted);
}

TEST_CASE("long-running and repeated jobs, and jobs that may be stored, are never refused")
{
    AdmissionPolicy policy(refusingExcess());
    const AdmissionReport report = reportWithDelay(Endless);
    JobSpec serving = job("a");
    serving.steps[0].longRunning = true;
    CHECK(policy.decide(serving, &report, Fresh, Start).isAdmitted);
    JobSpec repeated = job("b");
    repeated.occurrences = 3;
    CHECK(policy.decide(repeated, &report, Fresh, Start).isAdmitted);
    policy.recordAttempt(JobId("c"), Start);
    CHECK(policy.decide(job("c"), &report, Fresh, Start + seconds(5)).reason
          == AdmissionReason::MaybeStored);
}

TEST_CASE("nothing is refused while there are free processors for it, or below the queue's share")
{
    AdmissionPolicy policy(refusingExcess());
    AdmissionReport report = reportWithDelay(Endless);
    report.services[0].free = 20000; // 10 tasks of 2 cores
    CHECK(policy.decide(job("a", 10), &report, Fresh, Start).reason
          == AdmissionReason::FreeCapacity);
    CHECK_FALSE(policy.decide(job("b", 11), &report, Fresh, Start).isAdmitted);
    report.queues[0].isBelowShare = true;
    CHECK(policy.decide(job("b", 11), &report, Fresh, Start).reason == AdmissionReason::BelowShare);
}

TEST_CASE("a task that no worker of the service can hold is refused; width is no reason")
{
    AdmissionPolicy policy(refusingExcess());
    AdmissionReport report = reportWithDelay({});
    report.services[0].shapes.push_back({8000, 32000, 2, "gpu"});
    const auto reasonOf = [&](const JobSpec &spec) {
        return policy.decide(spec, &report, Fresh, Start).reason;
    };
    CHECK(reasonOf(job("wide", 10000)) == AdmissionReason::InTime);
    JobSpec spec = job("cpu");
    spec.steps[0].cpu.value = 17000;
    CHECK(reasonOf(spec) == AdmissionReason::NoSuchWorker);
    spec.steps[0].bestEffort = true; // reserves no processors
    CHECK(reasonOf(spec) != AdmissionReason::NoSuchWorker);
    spec = job("memory");
    spec.steps[0].memory.value = 64001;
    CHECK(reasonOf(spec) == AdmissionReason::NoSuchWorker);
    spec = job("accelerators");
    spec.steps[0].accelerators = 1;
    CHECK(reasonOf(spec) == AdmissionReason::NoSuchWorker);
    spec.steps[0].requirement = "gpu";
    CHECK(reasonOf(spec) == AdmissionReason::InTime);
    spec.steps[0].requirement = "no-such-label";
    CHECK(reasonOf(spec) == AdmissionReason::NoSuchWorker);
    report.services[0].shapes.clear(); // not known
    CHECK(reasonOf(spec) == AdmissionReason::InTime);
}

TEST_CASE("estimates of zero or of a million seconds give bounded delays and decisions")
{
    CHECK(countedDuration({}) == milliseconds(500));
    CHECK(countedDuration(seconds(1000000)) == seconds(30));
    AdmissionPolicy policy(refusingExcess());
    const AdmissionReport report = reportWithDelay(seconds(2));
    CHECK_FALSE(policy.decide(job("a", 1, {}), &report, Fresh, Start).isAdmitted == false);
    const AdmissionDecision longest =
            policy.decide(job("b", 10000, seconds(1000000)), &report, Fresh, Start);
    CHECK(longest.isAdmitted);
    const AdmissionReport endless = reportWithDelay(std::chrono::hours(1));
    const AdmissionDecision refused = policy.decide(job("c", 1, {}), &endless, Fresh, Start);
    CHECK_FALSE(refused.isAdmitted);
    CHECK(refused.retryAfter <= seconds(32));
}

TEST_CASE("a caller that has waited as told is admitted before new callers")
{
    AdmissionSettings settings = refusingExcess();
    settings.maxRetryAfter = seconds(1); // told to wait for 1 to 3 s
    AdmissionPolicy policy(settings);
    const JobSpec spec = job("a", 10, seconds(10)); // worthless after 45.75 s
    const AdmissionReport far = reportWithDelay(seconds(40));
    const AdmissionDecision refused = policy.decide(spec, &far, Fresh, Start);
    REQUIRE_FALSE(refused.isAdmitted);
    policy.recordRefusal(spec, refused, Start);
    CHECK(policy.retryAfter(spec.id) == refused.retryAfter);
    CHECK(policy.refusals().at({spec.queue, AdmissionReason::Worthless}) == 1);
    // Above the delay at which refusal ends.
    const AdmissionReport report = reportWithDelay(milliseconds(32500));
    const Time back = Start + refused.retryAfter;
    CHECK_FALSE(policy.decide(job("b", 10, seconds(10)), &report, Fresh, back).isAdmitted);
    CHECK_FALSE(policy.decide(spec, &report, Fresh, back - seconds(1)).isAdmitted);
    CHECK(policy.decide(spec, &report, Fresh, back).isAdmitted);
    // Its objective counts from the first submission, so it cannot be done in time any more.
    CHECK_FALSE(policy.decide(spec, &report, Fresh, back + seconds(10)).isAdmitted);
}

TEST_CASE("callers that are refused together are told to return at different times")
{
    AdmissionPolicy policy(refusingExcess());
    const AdmissionReport report = reportWithDelay(Endless);
    std::set<Duration> waits;
    for (int i = 0; i < 50; ++i) {
        const JobSpec spec = job("job" + std::to_string(i));
        const Duration wait = policy.decide(spec, &report, Fresh, Start).retryAfter;
        CHECK(wait == policy.decide(spec, &report, Fresh, Start).retryAfter);
        waits.insert(wait);
    }
    CHECK(waits.size() >= 5);
}

TEST_CASE("remembered jobs are bounded in number")
{
    AdmissionSettings settings;
    settings.maxRemembered = 10;
    AdmissionPolicy policy(settings);
    AdmissionDecision refused;
    refused.isAdmitted = false;
    refused.retryAfter = seconds(1);
    for (int i = 0; i < 30; ++i)
        policy.recordRefusal(job("job" + std::to_string(i)), refused, Start);
    CHECK(policy.retryAfter(JobId("job19")) == Duration::zero());
    CHECK(policy.retryAfter(JobId("job29")) == seconds(1));
}

TEST_CASE("rooms count running tasks by their expected end, and leave out closed domains")
{
    CapacitySnapshot snapshot;
    const ServiceId desk("desk");
    for (const char *domain : {"a", "b"}) {
        WorkerUse worker;
        worker.service = desk;
        worker.domain = DomainId(domain);
        worker.shape = {16000, 64000, 0, {}};
        worker.acceptsTasks = worker.domain == DomainId("a");
        worker.isInClosedDomain = !worker.acceptsTasks;
        worker.reserved = 14000;
        worker.reservedLongRunning = 10000;
        snapshot.workers.push_back(worker);
    }
    snapshot.queues.push_back({QueueId("short"), desk, 0, 2, 0});
    // 0.5 s by the estimate, 1 s as learnt, 0.4 s ago.
    snapshot.running.push_back({0, 0, 2000, milliseconds(400), milliseconds(500), false, false});
    snapshot.running.push_back({0, 0, 10000, seconds(9), seconds(1), false, true});
    snapshot.wantedByInterrupted[desk] = 1500;
    CapacityForecast forecast;
    forecast.update(snapshot);
    REQUIRE(forecast.rooms().size() == 2);
    const DomainRoom &open = forecast.rooms()[0];
    CHECK(open.total == 16000);
    CHECK(open.free == 2000);
    CHECK(open.freeing[0] == 0);
    CHECK(open.freeing[1] == 2000);
    CHECK(open.wantedByInterrupted == 1500);
    CHECK_FALSE(open.isClosed);
    CHECK(forecast.rooms()[1].isClosed);
    CHECK(forecast.rooms()[1].total == 0);
    CHECK(forecast.report().find(desk)->free == 500);
}

TEST_CASE("without any capacity the delays stay finite")
{
    CapacitySnapshot snapshot;
    const ServiceId desk("desk");
    WorkerUse worker;
    worker.service = desk;
    snapshot.workers.push_back(worker);
    snapshot.queues.push_back({QueueId("short"), desk, 0, 1, 0});
    snapshot.waiting.push_back({0, false, false, 2000, 1e9, 1e9});
    snapshot.waiting.push_back({0, true, false, 2000, 1e9, 1e9});
    CapacityForecast forecast;
    forecast.update(snapshot);
    const PriorityLoad &load = forecast.report().find(desk)->priorities.at(0);
    CHECK(load.delay == seconds(600));
    CHECK(load.bestEffortDelay == seconds(600));
}

TEST_CASE("the report survives its record, and bad records are rejected")
{
    AdmissionReport report = reportWithDelay(milliseconds(1234));
    report.services[0].free = -500;
    report.services[0].priorities[0].waitingCoreSeconds = 1.5;
    report.queues[0].durationFactor = 1.9;
    report.queues[0].isBelowShare = true;
    const std::string bytes = encodeAdmissionReport(report);
    const std::optional<AdmissionReport> decoded = decodeAdmissionReport(bytes);
    REQUIRE(decoded);
    CHECK(decoded->services[0].free == -500);
    CHECK(decoded->services[0].priorities[0].delay == milliseconds(1234));
    CHECK(decoded->services[0].priorities[0].waitingCoreSeconds == doctest::Approx(1.5));
    CHECK(decoded->services[0].shapes[0].cpu == 16000);
    CHECK(decoded->find(QueueId("short"))->durationFactor == doctest::Approx(1.9));
    CHECK(decoded->find(QueueId("short"))->isBelowShare);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeAdmissionReport(bytes.substr(0, size)));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        for (const char value : {'\x00', '\x1b', '\x7f', '\xff'}) {
            std::string changed = bytes;
            changed[i] = value;
            decodeAdmissionReport(changed); // must not throw
        }
    }
}

TEST_CASE("the error of the forecast is known for both spans after a few reports")
{
    const OverloadResult result = OverloadModel(loadNamed("shortBurst"), JobOrder::Scheduler,
                                                ModelAdmission::RefusingExcess, 11)
                                          .run();
    REQUIRE(result.errors1s.size() > 50);
    REQUIRE(result.errors3s.size() > 50);
    double sum = 0;
    for (const double error : result.errors1s)
        sum += error;
    CHECK(sum / static_cast<double>(result.errors1s.size()) < 0.1); // of all processors
}
