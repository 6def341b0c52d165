// Shared parts of the policy benchmarks: figures with bounds, and the report.
#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

namespace monsoonledge::bench {

/// Collects figures, prints them and compares them with the bounds.
class Report
{
public:
    explicit Report(const YAML::Node &bounds) : bounds_(bounds) { }

    /// A figure without a bound, such as a baseline's.
    void note(const std::string &group, const std::string &name, double value);
    /// A figure that bounds.yaml limits with `min` or `max`. A missing bound counts as broken.
    void check(const std::string &group, const std::string &name, double value);
    void line(const std::string &text);

    /// Writes all figures as JSON and returns whether every bound holds.
    bool finish(const std::string &path) const;

private:
    struct Figure
    {
        std::string group;
        std::string name;
        double value = 0;
        std::string bound;
        bool holds = true;
    };

    YAML::Node bounds_;
    std::vector<Figure> figures_;
};

/// The value at a quantile from 0 to 1; 0 if there are no values. Sorts the values.
double quantile(std::vector<double> &values, double q);
double median(std::vector<double> values);

void runFlood(const YAML::Node &model, Report &report);
void runRouting(const YAML::Node &model, Report &report);
void runOverload(const YAML::Node &model, Report &report);
void runCost(Report &report);

} // namespace monsoonledge::bench
