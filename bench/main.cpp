#include "bench.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>

namespace monsoonledge::bench {

void Report::note(const std::string &group, const std::string &name, double value)
{
    Figure figure;
    figure.group = group;
    figure.name = name;
    figure.value = value;
    figures_.push_back(figure);
}

void Report::check(const std::string &group, const std::string &name, double value)
{
    note(group, name, value);
    Figure &figure = figures_.back();
    const YAML::Node bound = bounds_[group][name];
    if (bound && bound["min"]) {
        figure.bound = ">= " + bound["min"].as<std::string>();
        figure.holds = value >= bound["min"].as<double>();
    } else if (bound && bound["max"]) {
        figure.bound = "<= " + bound["max"].as<std::string>();
        figure.holds = value <= bound["max"].as<double>();
    } else {
        figure.bound = "missing in bounds.yaml";
        figure.holds = false;
    }
    std::printf("%-6s %s.%s = %.3f (bound %s)\n", figure.holds ? "ok" : "BROKEN", group.c_str(),
                name.c_str(), value, figure.bound.c_str());
}

void Report::line(const std::string &text)
{
    std::printf("%s\n", text.c_str());
}

bool Report::finish(const std::string &path) const
{
    nlohmann::json json = nlohmann::json::array();
    bool holds = true;
    for (const Figure &figure : figures_) {
        json.push_back({{"group", figure.group},
                        {"name", figure.name},
                        {"value", figure.value},
                        {"bound", figure.bound},
                        {"holds", figure.holds}});
        holds = holds && figure.holds;
    }
    std::ofstream(path) << json.dump(1) << '\n';
    return holds;
}

double quantile(std::vector<double> &values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(q * last))];
}

double median(std::vector<double> values)
{
    return quantile(values, 0.5);
}

} // namespace monsoonledge::bench

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: monsoonledge_bench MODEL.yaml BOUNDS.yaml OUTPUT.json\n");
        return 2;
    }
    using namespace monsoonledge::bench;
    const YAML::Node model = YAML::LoadFile(argv[1]);
    Report report(YAML::LoadFile(argv[2]));
    runFlood(model, report);
    runRouting(model, report);
    runOverload(model, report);
    runCost(report);
    return report.finish(argv[3]) ? 0 : 1;
}
