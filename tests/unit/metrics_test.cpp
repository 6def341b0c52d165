#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "metrics/metrics.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <sstream>

using namespace monsoonledge;

namespace {

const Time Start{minutes(10000)}; // at the start of a slot of 15 s and of 15 min
const ClassId Urgent("desk/urgent");
const EntryRun Entry1{EntryId("e1"), Incarnation{1}};
const EntryRun Entry2{EntryId("e2"), Incarnation{7}};

Sheet oneClass(const ClassId &id, double objective, Duration target)
{
    RequestClass definition;
    definition.id = id;
    definition.service = ServiceId("desk");
    definition.objective = objective;
    definition.latencyTarget = target;
    Service service;
    service.id = definition.service;
    service.classes = {definition};
    Sheet sheet;
    sheet.services = {service};
    return sheet;
}

/// Metrics with one class: 99% of the requests within 100 ms.
struct Fixture
{
    Fixture() { metrics.applySheet(oneClass(Urgent, 0.99, milliseconds(100)), Revision{3}); }

    void add(int count, Outcome outcome, Duration latency, Time now, const char *caller = "a")
    {
        for (int i = 0; i < count; ++i)
            metrics.record(Urgent, CallerId(caller), outcome, latency, now);
    }
    ClassBurn burn(Time now) { return metrics.burn(Entry1, now).classes.at(0); }

    Metrics metrics;
};

/// Value of the sample with this exact name and labels; -1 if there is none.
double sampleOf(const std::string &text, const std::string &sample)
{
    const std::size_t found = text.find('\n' + sample + ' ');
    return found == std::string::npos ? -1 : std::stod(text.substr(found + sample.size() + 2));
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("a quantile is within five percent on the whole axis")
{
    // Guards against bins that are wider than documented, and against values in the wrong bin.
    for (double us = 100; us <= 100e6; us *= 1.037) {
        LatencyHistogram histogram;
        const Duration latency(std::llround(us));
        histogram.add(latency);
        const auto estimate = static_cast<double>(histogram.quantile(0.5).count());
        CHECK(estimate / static_cast<double>(latency.count()) == doctest::Approx(1).epsilon(0.05));
    }
    LatencyHistogram ends;
    ends.add(Duration(0));
    CHECK(ends.quantile(1) == Duration(100));
    ends.add(minutes(10));
    CHECK(ends.quantile(0.5) == Duration(100));
    CHECK(ends.quantile(1) == seconds(100));
}

TEST_CASE("a value on a bound is counted up to it and the next microsecond is not")
{
    // Guards against the half-open bins of the library, which exclude the upper edge that the
    // Prometheus format includes.
    const auto bounds = LatencyHistogram::bounds();
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        LatencyHistogram histogram;
        const auto edge = static_cast<Duration::rep>(std::floor(bounds[i] * 1e6 + 1e-6));
        histogram.add(Duration(edge));
        histogram.add(Duration(edge + 1));
        CHECK(histogram.cumulative()[i] == 1);
    }
    CHECK(bounds.front() == doctest::Approx(0.0001));
    CHECK(bounds.back() == doctest::Approx(100));
}

TEST_CASE("callers beyond the bound are counted as other in counts and in the burn")
{
    // Guards against memory that callers can fill with invented names.
    Fixture fixture;
    for (int i = 0; i < 1000; ++i)
        fixture.add(1, Outcome::NotRun, milliseconds(1), Start,
                    ("caller" + std::to_string(i)).c_str());
    fixture.add(1, Outcome::NotRun, milliseconds(1), Start, std::string(500, 'x').c_str());
    fixture.add(1, Outcome::NotRun, milliseconds(1), Start, OtherCaller);
    const std::string text = fixture.metrics.prometheus(ProcessGauges());
    CHECK(countOf(text, "outcome=\"not-run\"") == MaxCallersPerClass + 1);
    CHECK(sampleOf(text, "monsoonledge_requests_total{class=\"desk/urgent\",caller=\"other\","
                         "outcome=\"not-run\"}")
          == 1002 - MaxCallersPerClass);
    const ClassBurn burn = fixture.burn(Start);
    CHECK(burn.callers.size() == MaxCallersPerClass + 1);
    std::uint64_t sum = 0;
    for (const CallerBurn &caller : burn.callers)
        sum += caller.hours6.bad();
    CHECK(sum == 1002);
    CHECK(fixture.burn(Start + minutes(360)).callers.empty());
}

TEST_CASE("the caller with the most bad requests is named although many others came first")
{
    Fixture fixture;
    for (int i = 0; i < 200; ++i)
        fixture.add(1, Outcome::NotRun, milliseconds(1), Start,
                    ("early" + std::to_string(i)).c_str());
    fixture.add(50, Outcome::Unknown, seconds(1), Start + minutes(20), "worst");
    for (int i = 0; i < 200; ++i)
        fixture.add(1, Outcome::NotRun, milliseconds(1), Start + minutes(80),
                    ("late" + std::to_string(i)).c_str());
    const ClassBurn burn = fixture.burn(Start + minutes(80));
    const auto worst = std::find_if(burn.callers.begin(), burn.callers.end(),
                                    [](const CallerBurn &c) { return c.caller == "worst"; });
    REQUIRE(worst != burn.callers.end());
    CHECK(worst->hours6.unknown == 50);
    CHECK(worst->hour1.bad() == 0);
}

TEST_CASE("burn rates and budget follow a hand-worked example")
{
    // 4 h ago: 800 requests, of which 2 were refused. Now: 200 requests, of which 1 was refused,
    // 2 are unknown and 3 were slow. The objective permits 1% bad requests.
    // 6 h: 8 of 1000 = 0.8%, burn 0.8, budget left 0.2. 5 min to 1 h: 6 of 200 = 3%, burn 3.
    Fixture fixture;
    fixture.add(798, Outcome::Done, milliseconds(100), Start); // exactly the target is good
    fixture.add(2, Outcome::NotRun, milliseconds(1), Start, "b");
    const Time now = Start + minutes(240);
    fixture.add(194, Outcome::Done, milliseconds(20), now);
    fixture.add(1, Outcome::NotRun, milliseconds(1), now, "b");
    fixture.add(2, Outcome::Unknown, milliseconds(1), now, "c");
    fixture.add(3, Outcome::Done, microseconds(100001), now, "b");
    const ClassBurn burn = fixture.burn(now);
    for (const std::size_t window : {Burn5Minutes, Burn30Minutes, Burn1Hour}) {
        CHECK(burn.windows[window].total == 200);
        CHECK(burnRate(burn, window) == doctest::Approx(3));
    }
    CHECK(burn.windows[Burn6Hours].causes.refused == 3);
    CHECK(burn.windows[Burn6Hours].causes.unknown == 2);
    CHECK(burn.windows[Burn6Hours].causes.slow == 3);
    CHECK(burnRate(burn, Burn6Hours) == doctest::Approx(0.8));
    CHECK(goodShare(burn.windows[Burn6Hours]) == doctest::Approx(0.992));
    CHECK(budgetLeft(burn) == doctest::Approx(0.2));
    REQUIRE(burn.callers.size() == 2);
    CHECK(burn.callers[0].caller == "b");
    CHECK(burn.callers[0].hours6.bad() == 6);
    CHECK(burn.callers[0].hour1.bad() == 4);
    CHECK(burn.series.back().total == 200);
    CHECK(burn.series[BurnPointCount - 1 - 48].total == 800);
}

TEST_CASE("an event leaves each window within one slot of its length")
{
    // Guards against windows that are off by a slot, and against a ring that is not cleared.
    for (std::size_t window = 0; window < BurnWindowCount; ++window) {
        const Duration length = burnWindowLength(window);
        Fixture fixture;
        fixture.add(1, Outcome::NotRun, milliseconds(1), Start + BurnSlot - microseconds(1));
        CHECK(fixture.burn(Start + length - microseconds(1)).windows[window].total == 1);
        CHECK(fixture.burn(Start + length).windows[window].total == 0);
        CHECK(burnRate(fixture.burn(Start + length), window) == 0);
    }
    Fixture fixture;
    fixture.add(1, Outcome::NotRun, milliseconds(1), Start);
    CHECK(fixture.burn(Start + minutes(345)).callers.size() == 1);
    CHECK(fixture.burn(Start + minutes(360)).callers.empty());
    CHECK(fixture.burn(Start + minutes(360 * 100)).windows[Burn6Hours].total == 0);
}

TEST_CASE("a ring that goes round many times equals counting every event")
{
    Fixture fixture;
    Random random(11);
    std::vector<Time> events;
    Time now = Start;
    for (int i = 0; i < 4000; ++i) {
        now += seconds(static_cast<int>(random.below(i % 500 == 0 ? 30000 : 60)));
        fixture.add(1, Outcome::NotRun, milliseconds(1), now);
        events.push_back(now);
    }
    const ClassBurn burn = fixture.burn(now);
    const auto slot = now.time_since_epoch() / BurnSlot;
    for (std::size_t window = 0; window < BurnWindowCount; ++window) {
        const auto slots = burnWindowLength(window) / BurnSlot;
        const auto expected = std::count_if(events.begin(), events.end(), [&](Time event) {
            return event.time_since_epoch() / BurnSlot > slot - slots;
        });
        CHECK(burn.windows[window].total == static_cast<std::uint64_t>(expected));
    }
}

TEST_CASE("the merged report of two processes equals that of one that saw all requests")
{
    Fixture first;
    Fixture second;
    Fixture all;
    Random random(5);
    Time now = Start;
    for (int i = 0; i < 5000; ++i) {
        now += seconds(static_cast<int>(random.below(8)));
        const auto outcome = static_cast<Outcome>(random.below(3));
        const Duration latency = milliseconds(static_cast<int>(random.below(200)));
        const std::string caller(1, static_cast<char>('a' + random.below(5)));
        (random.below(2) == 0 ? first : second).add(1, outcome, latency, now, caller.c_str());
        all.add(1, outcome, latency, now, caller.c_str());
    }
    BurnReport merged = decodeBurn(encodeBurn(first.metrics.burn(Entry1, now)));
    const BurnReport other = decodeBurn(encodeBurn(second.metrics.burn(Entry2, now)));
    CHECK(mergeBurn(merged, other));
    CHECK_FALSE(mergeBurn(merged, other)); // an entry process is not counted twice
    BurnReport expected = all.metrics.burn(Entry1, now);
    expected.entries = merged.entries;
    const auto byName = [](const CallerBurn &a, const CallerBurn &b) {
        return a.caller < b.caller;
    };
    for (BurnReport *report : {&merged, &expected}) {
        std::vector<CallerBurn> &callers = report->classes.at(0).callers;
        std::sort(callers.begin(), callers.end(), byName);
    }
    CHECK(encodeBurn(merged) == encodeBurn(expected));
}

TEST_CASE("objective and target of a merged class come from the newer sheet")
{
    Fixture older;
    older.add(1, Outcome::Done, milliseconds(1), Start);
    Metrics newer;
    newer.applySheet(oneClass(Urgent, 0.9, milliseconds(70)), Revision{4});
    newer.record(Urgent, CallerId(), Outcome::Done, milliseconds(1), Start);
    for (const bool newerFirst : {false, true}) {
        BurnReport report = (newerFirst ? newer : older.metrics).burn(Entry1, Start);
        mergeBurn(report, (newerFirst ? older.metrics : newer).burn(Entry2, Start));
        CHECK(report.classes.at(0).objective == doctest::Approx(0.9));
        CHECK(report.classes.at(0).latencyTarget == milliseconds(70));
        CHECK(report.sheetRevision == Revision{4});
    }
}

TEST_CASE("a response that is no burn report is refused")
{
    Fixture fixture;
    fixture.add(1, Outcome::NotRun, milliseconds(1), Start);
    const std::string valid = encodeBurn(fixture.metrics.burn(Entry1, Start));
    CHECK_NOTHROW(decodeBurn(valid));
    const std::vector<std::pair<std::string, std::string>> replacements{
            {"\"total\":1", "\"total\":-1"},
            {"\"total\":1", "\"total\":1e300"},
            {"\"total\":1", "\"total\":0"},
            {"\"objective\":0.99", "\"objective\":1"},
            {"\"series\":[[0,0,0,0],", "\"series\":["},
            {"\"windows\"", "\"other\""}};
    for (const auto &item : replacements) {
        std::string text = valid;
        const std::size_t at = text.find(item.first);
        REQUIRE(at != std::string::npos);
        text.replace(at, item.first.size(), item.second);
        CHECK_THROWS_AS(decodeBurn(text), std::runtime_error);
    }
    for (const char *text : {"", "[]", "null", "{}", "{\"classes\":3}"})
        CHECK_THROWS_AS(decodeBurn(text), std::runtime_error);
}

TEST_CASE("hostile names of classes and callers cannot add lines or labels to /metrics")
{
    Metrics metrics;
    const ClassId hostile("a\"} 1\nfake_metric{x=\"\\\r\xff");
    metrics.record(hostile, CallerId("c\\\"\n# TYPE"), Outcome::Done, milliseconds(5), Start);
    const std::string text = metrics.prometheus(ProcessGauges());
    CHECK(text.find("class=\"a\\\"} 1\\nfake_metric{x=\\\"\\\\??\",caller=\"c\\\\\\\"\\n# TYPE\"")
          != std::string::npos);
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        CHECK((line.rfind("# HELP ", 0) == 0 || line.rfind("# TYPE monsoonledge_", 0) == 0
               || line.rfind("monsoonledge_", 0) == 0));
    }
    CHECK(text.find('\r') == std::string::npos);
    CHECK(prometheusLabel("queue", "caf\xc3\xa9 \xc3") == "queue=\"caf\xc3\xa9 ?\"");
}

TEST_CASE("/metrics holds buckets, counts by outcome and the gauges of the process")
{
    Fixture fixture;
    fixture.add(2, Outcome::Done, milliseconds(1), Start);
    fixture.add(1, Outcome::Unknown, seconds(200), Start);
    fixture.add(1, Outcome::NotRun, microseconds(1), Start); // quick, not in the histogram
    ProcessGauges gauges;
    gauges.queued = 4;
    gauges.storeClaims = false;
    gauges.batchTasks["running"] = 9;
    const std::string text = fixture.metrics.prometheus(gauges);
    const std::string name = "monsoonledge_request_duration_seconds";
    CHECK(sampleOf(text, name + "_bucket{class=\"desk/urgent\",le=\"0.001\"}") == 2);
    CHECK(sampleOf(text, name + "_bucket{class=\"desk/urgent\",le=\"0.000464158883\"}") == 0);
    CHECK(sampleOf(text, name + "_bucket{class=\"desk/urgent\",le=\"100\"}") == 2);
    CHECK(sampleOf(text, name + "_bucket{class=\"desk/urgent\",le=\"+Inf\"}") == 3);
    CHECK(sampleOf(text, name + "_count{class=\"desk/urgent\"}") == 3);
    CHECK(sampleOf(text, name + "_sum{class=\"desk/urgent\"}") == doctest::Approx(200.002));
    CHECK(countOf(text, "_bucket{") == LatencyHistogram::BoundCount + 1);
    CHECK(sampleOf(text, "monsoonledge_queued_requests") == 4);
    CHECK(sampleOf(text, "monsoonledge_claim_mode{mode=\"peer\"}") == 1);
    CHECK(sampleOf(text, "monsoonledge_batch_tasks{state=\"running\"}") == 9);
    CHECK(sampleOf(text, "monsoonledge_sheet_revision") == 3);
}

TEST_CASE("a class that is no longer in the sheet is forgotten")
{
    // Guards against memory that grows with each sheet that renames its classes.
    Fixture fixture;
    fixture.add(1, Outcome::Done, milliseconds(1), Start);
    fixture.metrics.applySheet(oneClass(ClassId("desk/new"), 0.99, seconds(1)), Revision{4});
    CHECK(fixture.metrics.burn(Entry1, Start).classes.empty());
    CHECK(countOf(fixture.metrics.prometheus(ProcessGauges()), "desk/urgent") == 0);
}

TEST_CASE("the HTML report escapes all names and loads nothing from elsewhere")
{
    // Names come from other processes, so a page must not run what they contain.
    Fixture fixture;
    fixture.add(3, Outcome::Done, seconds(1), Start, "<script>alert('1')</script>");
    BurnReport report = fixture.metrics.burn(Entry1, Start);
    report.classes[0].id = ClassId("x\"><img src=a onerror=b>&\n");
    report.entries = {"<b>e1</b>"};
    report.notReached = {"127.0.0.1:1: </ul><iframe>"};
    const std::string page = formatBurnHtml(report);
    for (const char *part : {"<script", "<img", "<b>", "<iframe", "http:", "https:", "src=\""})
        CHECK(page.find(part) == std::string::npos);
    CHECK(page.find("&lt;script&gt;alert(&#39;1&#39;)&lt;/script&gt;") != std::string::npos);
    CHECK(page.find("<h2>x&quot;&gt;&lt;img src=a onerror=b&gt;&amp;?</h2>") != std::string::npos);
    CHECK(page.find("127.0.0.1:1: &lt;/ul&gt;&lt;iframe&gt;") != std::string::npos);
    CHECK(page.find("<title>slow: 3 of 3</title>") != std::string::npos);
    CHECK(page.find("default-src 'none'") != std::string::npos);
}
