// The named loads of docs/overload-and-evacuation.md, section 5: admission under shortage beside
// other policies, in the queueing model of tests/fakes/overloadmodel.h.
#include "bench.h"

#include "fakes/overloadmodel.h"

#include <cstdio>

namespace monsoonledge::bench {

namespace {

struct PolicyModel
{
    const char *name;
    JobOrder order;
    ModelAdmission admission;
};

constexpr PolicyModel Policies[] = {
        {"admission", JobOrder::Scheduler, ModelAdmission::Default},
        {"excess refused", JobOrder::Scheduler, ModelAdmission::RefusingExcess},
        {"no admission", JobOrder::Scheduler, ModelAdmission::None},
        {"arrival order", JobOrder::Arrival, ModelAdmission::None},
        {"earliest deadline", JobOrder::Deadline, ModelAdmission::None},
        {"shortest first", JobOrder::ShortestFirst, ModelAdmission::None}};

/// The sums over all seeds.
OverloadResult sumOf(const OverloadLoad &load, const PolicyModel &policy, const YAML::Node &seeds)
{
    OverloadResult sum;
    for (const YAML::Node &seed : seeds) {
        const OverloadResult result =
                OverloadModel(load, policy.order, policy.admission, seed.as<std::uint64_t>()).run();
        for (const auto &[kind, counts] : result.kinds) {
            OverloadCounts &total = sum.kinds[kind];
            total.onTime += counts.onTime;
            total.late += counts.late;
            total.worthless += counts.worthless;
            total.refused += counts.refused;
        }
        sum.refusalsWhileFree += result.refusalsWhileFree;
    }
    return sum;
}

} // namespace

void runOverload(const YAML::Node &model, Report &report)
{
    report.line("overload: jobs of each kind, all seeds");
    report.line(
            "load                policy             kind    on time   late  worthless  refused");
    double onTime[std::size(Policies)] = {};
    int refusedWhileFree = 0;
    for (const OverloadLoad &load : namedLoads()) {
        for (std::size_t i = 0; i < std::size(Policies); ++i) {
            const OverloadResult result = sumOf(load, Policies[i], model["seeds"]);
            refusedWhileFree += result.refusalsWhileFree;
            onTime[i] += result.onTime();
            report.note("overload", load.name + '.' + Policies[i].name + ".onTime",
                        result.onTime());
            for (const auto &[kind, counts] : result.kinds) {
                char row[128];
                std::snprintf(row, sizeof row, "%-19s %-18s %-7s %7d %6d %10d %8d",
                              load.name.c_str(), Policies[i].name, kind.c_str(), counts.onTime,
                              counts.late, counts.worthless, counts.refused);
                report.line(row);
            }
        }
    }
    report.check("overload", "onTimeRelativeToNoAdmission", onTime[0] / onTime[2]);
    report.check("overload", "excessOnTimeRelativeToNoAdmission", onTime[1] / onTime[2]);
    report.check("overload", "refusedWhileFree", refusedWhileFree);
}

} // namespace monsoonledge::bench
