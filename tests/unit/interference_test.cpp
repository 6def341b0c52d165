// The estimate of what filling tasks do to serving tasks, on tails made by a queue.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "scheduling/scheduling.h"

#include <cmath>

using namespace monsoonledge;

namespace {

/// The tail, in relation to its target, of a serving task with this utilization.
double tailOf(double utilization)
{
    return 1.0 / 6 / (1 - std::min(utilization, 0.99));
}

} // namespace

TEST_CASE("a tail gives back the utilization that it comes from")
{
    for (const double utilization : {0.1, 0.3, 0.5, 0.8, 0.9})
        CHECK(InterferenceModel::utilizationOf(tailOf(utilization))
              == doctest::Approx(utilization).epsilon(0.01));
    CHECK(InterferenceModel::utilizationOf(0.01) == 0);
    CHECK(InterferenceModel::utilizationOf(1000) < 1);
}

TEST_CASE("pressing and calm pairs are told apart while the load swings")
{
    InterferenceModel model;
    const ImageIndex serving = model.indexOf("serving");
    const ImageIndex pressing = model.indexOf("pressing");
    const ImageIndex calm = model.indexOf("calm");
    CHECK(model.indexOf("serving") == serving);
    Random random(7);
    LoadTrend load;
    Time now{};
    for (int i = 0; i < 400; ++i) {
        const double real = 0.45 + 0.2 * std::sin(i / 15.0);
        std::vector<FillLoad> fills;
        double stretch = 1; // of service times
        if (random.below(2) == 0) {
            fills.push_back({pressing, 0.06});
            stretch += 5 * 0.06;
        }
        if (random.below(2) == 0)
            fills.push_back({calm, 0.15});
        model.observe(serving, tailOf(real + 1 - 1 / stretch), fills, load, now);
        now += milliseconds(150);
    }
    CHECK(model.pressure(pressing, serving) > 3);
    CHECK(model.pressure(calm, serving) < 1);
    CHECK(load.at(now) > 0.15);
    CHECK(load.at(now) < 0.75);
}
