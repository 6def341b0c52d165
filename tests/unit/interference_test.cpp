// Tests of the interference model and of the load trend. The samples are tail latencies of a queue,
// computed as in the model.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "scheduling/scheduling.h"

#include <cmath>

using namespace monsoonledge;

namespace {

/// The tail latency of a serving task with this utilization, as a ratio to its target.
double tailRatioOf(double utilization)
{
    return 1.0 / 6 / (1 - std::min(utilization, 0.99));
}

} // namespace

TEST_CASE("the utilization is computed back from its tail latency")
{
    for (const double utilization : {0.1, 0.3, 0.5, 0.8, 0.9})
        CHECK(InterferenceModel::utilizationFromTail(tailRatioOf(utilization))
              == doctest::Approx(utilization).epsilon(0.01));
    CHECK(InterferenceModel::utilizationFromTail(0.01) == 0);
    CHECK(InterferenceModel::utilizationFromTail(1000) < 1);
}

TEST_CASE("strong and missing interference are told apart while the load swings")
{
    InterferenceModel model;
    const ImageIndex serving = model.indexOf("serving");
    const ImageIndex interfering = model.indexOf("interfering");
    const ImageIndex harmless = model.indexOf("harmless");
    CHECK(model.indexOf("serving") == serving);
    Random random(7);
    LoadTrend load;
    Time now{};
    for (int i = 0; i < 400; ++i) {
        const double real = 0.45 + 0.2 * std::sin(i / 15.0);
        std::vector<BestEffortLoad> bestEffortLoads;
        double slowdown = 1; // of service times
        if (random.below(2) == 0) {
            bestEffortLoads.push_back({interfering, 0.06});
            slowdown += 5 * 0.06;
        }
        if (random.below(2) == 0)
            bestEffortLoads.push_back({harmless, 0.15});
        model.observe(serving, tailRatioOf(real + 1 - 1 / slowdown), bestEffortLoads, load, now);
        now += milliseconds(150);
    }
    CHECK(model.coefficient(interfering, serving) > 3);
    CHECK(model.coefficient(harmless, serving) < 1);
    CHECK(load.loadAt(now) > 0.15);
    CHECK(load.loadAt(now) < 0.75);
}

TEST_CASE("the load trend of a step follows the samples of all its tasks and predicts changes")
{
    // The load swings around its mean by half of it within 10 s, as loads made by users do.
    const auto realLoad = [](Time when) {
        return 0.5 + 0.24 * std::sin(toMilliseconds(when.time_since_epoch()) / 10000 * 2 * M_PI);
    };
    Random random(3);
    LoadTrend load;
    Time now{};
    double worst = 0;
    double sum = 0;
    int count = 0;
    for (int i = 0; i < 600; ++i) {
        now += milliseconds(80); // six tasks that report twice a second
        const double noise = 0.08 * (random.unit() - 0.5);
        load.addSample(realLoad(now) + noise, 1, now);
        if (i < 50)
            continue;
        const Time later = now + milliseconds(300);
        const double error = std::abs(load.loadAt(later) - realLoad(later));
        worst = std::max(worst, error);
        sum += error;
        ++count;
    }
    CHECK(sum / count < 0.05);
    CHECK(worst < 0.17);
    CHECK(load.recentPeak() > 0.65);
    CHECK(load.recentPeak() < 0.9);
    CHECK(LoadTrend().loadAt(now) == doctest::Approx(DefaultServingLoad));
}

TEST_CASE("slowdown and utilization increase are inverse functions of each other")
{
    for (const double serviceTimeIncrease : {0.05, 0.3, 1.0, 4.0}) {
        const double utilization = InterferenceModel::utilizationIncrease(serviceTimeIncrease);
        CHECK(InterferenceModel::slowdownFor(utilization)
              == doctest::Approx(1 + serviceTimeIncrease));
    }
    CHECK(InterferenceModel::slowdownFor(-0.5) == 1);
}

TEST_CASE("strong interference of a pair is recognized after a few samples")
{
    InterferenceModel model;
    const ImageIndex serving = model.indexOf("serving");
    const ImageIndex interfering = model.indexOf("interfering");
    LoadTrend load;
    Time now{};
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(100);
        model.observe(serving, tailRatioOf(0.5), {}, load, now);
    }
    for (int i = 0; i < 3; ++i) {
        now += milliseconds(400);
        model.observe(serving, tailRatioOf(0.5 + 1 - 1 / (1 + 5 * 0.1)), {{interfering, 0.1}}, load,
                      now);
    }
    CHECK(model.coefficient(interfering, serving) > 3);
}
