#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fakes/faketimers.h"
#include "metrics/metrics.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace monsoonledge;

namespace {

struct Fixture
{
    Fixture()
        : meter([this] { return clock.now().time_since_epoch(); }), timers(clock),
          monitor(timers, meter,
                  {[this] { return processorTime; },
                   [this](const LogEvent &event) { log.push_back(event); }})
    {
        monitor.start(clock.now());
    }

    /// The event loop does nothing but this for a while.
    void block(Duration span)
    {
        timers.suspend();
        const WorkMeter::Scope scope(&meter, WorkKind::Planning);
        clock.advance(span);
        processorTime += span;
        timers.resume();
    }

    static std::string field(const LogEvent &event, const std::string &name)
    {
        const auto it =
                std::find_if(event.fields.begin(), event.fields.end(),
                             [&](const auto &candidate) { return candidate.first == name; });
        return it == event.fields.end() ? "" : it->second;
    }

    FakeClock clock;
    WorkMeter meter;
    FakeTimers timers;
    Duration processorTime{};
    std::vector<LogEvent> log;
    LoopMonitor monitor;
};

} // namespace

TEST_CASE("an idle event loop is not logged")
{
    Fixture f;
    f.clock.advance(seconds(10));
    CHECK(f.log.empty());
    CHECK(f.monitor.delays().count() == 100);
    CHECK(f.monitor.recentDelay() == Duration::zero());
}

TEST_CASE("a busy event loop is logged once a second, with what it spent its time on")
{
    Fixture f;
    f.clock.advance(milliseconds(250));
    f.block(milliseconds(180));
    f.clock.advance(seconds(1));
    REQUIRE(f.log.size() == 1);
    CHECK(f.log[0].event == "loop-busy");
    CHECK(Fixture::field(f.log[0], "delayMs") == "130.0");
    CHECK(Fixture::field(f.log[0], "processorMs") == "180.0");
    CHECK(Fixture::field(f.log[0], "planning") == "180.0 ms for 1");
    CHECK(Fixture::field(f.log[0], "decoding").empty());
    CHECK(f.monitor.recentDelay() == milliseconds(130));
    f.clock.advance(seconds(3));
    CHECK(f.log.size() == 1);
    CHECK(f.monitor.recentDelay() == Duration::zero());
}
