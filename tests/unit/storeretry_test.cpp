// Calls to a store that fails at once: how often they are repeated.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fakes/faketimers.h"
#include "fleet/fleet.h"

using namespace monsoonledge;

namespace {

constexpr Duration AnswerTime = milliseconds(1);

/// Counts its calls and answers each with the same status.
class FailingStore : public KeyValuePort
{
public:
    explicit FailingStore(TimerPort &timers) : timers_(timers) { }

    void get(const std::string &, KeyValueCallback done) override { answer(std::move(done)); }
    void range(const std::string &, const std::string &, KeyValueCallback done) override
    {
        answer(std::move(done));
    }
    void watch(const std::string &, StoreRevision, Duration, KeyValueCallback done) override
    {
        answer(std::move(done));
    }
    void commit(const Transaction &, KeyValueCallback done) override { answer(std::move(done)); }
    void grantLease(Duration, KeyValueCallback done) override { answer(std::move(done)); }
    void renewLease(LeaseId, KeyValueCallback done) override { answer(std::move(done)); }
    void endLease(LeaseId, KeyValueCallback done) override { answer(std::move(done)); }

    KeyValueStatus status = KeyValueStatus::Unknown;
    int calls = 0;

private:
    void answer(KeyValueCallback done)
    {
        ++calls;
        KeyValueResult result;
        result.status = status;
        timers_.after(AnswerTime,
                      [done = std::move(done), result](Time now) { done(result, now); });
    }

    TimerPort &timers_;
};

/// Workers that are never called.
class NoWorkers : public RunPort
{
public:
    void start(const WorkerEntry &, const StartOrder &, FencingToken, std::uint64_t,
               WorkerCallback) override
    { }
    void stop(const WorkerEntry &, const StopOrder &, FencingToken, WorkerCallback) override { }
    void pace(const WorkerEntry &, const PaceOrder &, FencingToken, WorkerCallback) override { }
    void renew(const WorkerEntry &, FencingToken, std::uint64_t, std::uint64_t, Duration,
               WorkerCallback) override
    { }
};

struct StoreRetryFixture
{
    FakeClock clock;
    FakeTimers timers{clock};
    FailingStore store{timers};
    NoWorkers workers;
    FleetPorts ports{
            store, workers, timers, {}, [] { return WallMilliseconds{}; }, [](const LogEvent &) {}};
};

} // namespace

// Guards against writes that are repeated without a delay: connections that the store resets gave
// thousands of calls a second.
TEST_CASE_FIXTURE(StoreRetryFixture, "a write without an answer is repeated with growing delays")
{
    OnceWriter writer(ports);
    std::optional<CreateOutcome> outcome;
    writer.create(
            "key", "value", clock.now() + seconds(3),
            [&](CreateOutcome result, Time) { outcome = result; }, clock.now());
    clock.advance(seconds(4));
    CHECK(store.calls >= 4);
    CHECK(store.calls <= 12);
    REQUIRE(outcome);
    CHECK(*outcome == CreateOutcome::Unknown);
}

// Guards against a repeated write that delays the writes of other callers.
TEST_CASE_FIXTURE(StoreRetryFixture,
                  "a new write does not wait for the next attempt of another one")
{
    OnceWriter writer(ports);
    writer.create(
            "key", "value", clock.now() + seconds(3), [](CreateOutcome, Time) {}, clock.now());
    clock.advance(milliseconds(300));
    store.status = KeyValueStatus::Ok;
    std::optional<Time> createdAt;
    writer.create(
            "other", "value", clock.now() + seconds(3),
            [&](CreateOutcome, Time now) { createdAt = now; }, clock.now());
    const Time submittedAt = clock.now();
    clock.advance(seconds(1));
    REQUIRE(createdAt);
    CHECK(*createdAt - submittedAt <= milliseconds(10));
}

// Guards against a watch that calls a store which refuses it at once several times a second.
TEST_CASE_FIXTURE(StoreRetryFixture, "a watch that is refused is repeated with growing delays")
{
    store.status = KeyValueStatus::NotApplied;
    PrefixWatch watch(ports, "prefix/", seconds(1), Duration::zero(),
                      {[](const std::vector<KeyValue> &, Time) {},
                       [](const std::vector<KeyValue> &, Time) {}});
    watch.start();
    clock.advance(seconds(6));
    CHECK(store.calls >= 8);
    CHECK(store.calls <= 14);
    store.status = KeyValueStatus::Ok;
    clock.advance(milliseconds(700));
    CHECK(watch.isLoaded());
}
