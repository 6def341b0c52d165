// Sections:
//   [1] Sums and rates
//   [2] Merge
//   [3] JSON
#include "metrics/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace monsoonledge {

namespace {

using Json = nlohmann::ordered_json;

struct WindowDefinition
{
    const char *name;
    Duration length;
};

constexpr std::array<WindowDefinition, BurnWindowCount> Windows{
        {{"5m", minutes(5)}, {"30m", minutes(30)}, {"1h", minutes(60)}, {"6h", minutes(360)}}};

} // namespace

// [1] Sums and rates

BurnCauses &BurnCauses::operator+=(const BurnCauses &other)
{
    refused += other.refused;
    unknown += other.unknown;
    slow += other.slow;
    return *this;
}

BurnSums &BurnSums::operator+=(const BurnSums &other)
{
    total += other.total;
    causes += other.causes;
    return *this;
}

const char *burnWindowName(std::size_t window)
{
    return Windows.at(window).name;
}

Duration burnWindowLength(std::size_t window)
{
    return Windows.at(window).length;
}

double goodShare(const BurnSums &sums)
{
    if (sums.total == 0)
        return 1;
    return 1 - static_cast<double>(sums.causes.bad()) / static_cast<double>(sums.total);
}

double burnRate(const ClassBurn &burn, std::size_t window)
{
    return (1 - goodShare(burn.windows.at(window))) / (1 - burn.objective);
}

double budgetLeft(const ClassBurn &burn)
{
    return 1 - burnRate(burn, Burn6Hours);
}

std::string formatRate(double rate)
{
    std::array<char, 64> buffer{};
    const int length = std::snprintf(buffer.data(), buffer.size(), "%.2f", rate);
    return {buffer.data(), static_cast<std::size_t>(length)};
}

std::string formatShare(double share)
{
    return formatRate(share * 100) + '%';
}

// [2] Merge

namespace {

void mergeCallers(std::vector<CallerBurn> &callers, const std::vector<CallerBurn> &others)
{
    for (const CallerBurn &other : others) {
        const auto found =
                std::find_if(callers.begin(), callers.end(), [&](const CallerBurn &caller) {
                    return caller.caller == other.caller;
                });
        if (found == callers.end()) {
            callers.push_back(other);
            continue;
        }
        found->hour1 += other.hour1;
        found->hours6 += other.hours6;
    }
    std::stable_sort(callers.begin(), callers.end(), [](const CallerBurn &a, const CallerBurn &b) {
        return a.hours6.bad() > b.hours6.bad();
    });
}

void mergeClass(ClassBurn &into, const ClassBurn &other, bool otherIsNewer)
{
    if (otherIsNewer) {
        into.objective = other.objective;
        into.latencyTarget = other.latencyTarget;
    }
    for (std::size_t i = 0; i < into.windows.size(); ++i)
        into.windows[i] += other.windows[i];
    for (std::size_t i = 0; i < into.series.size(); ++i)
        into.series[i] += other.series[i];
    mergeCallers(into.callers, other.callers);
}

} // namespace

bool mergeBurn(BurnReport &report, const BurnReport &other)
{
    for (const std::string &entry : other.entries) {
        if (std::find(report.entries.begin(), report.entries.end(), entry) != report.entries.end())
            return false;
    }
    const bool otherIsNewer = other.sheetRevision > report.sheetRevision;
    for (const ClassBurn &burn : other.classes) {
        const auto found = std::lower_bound(
                report.classes.begin(), report.classes.end(), burn,
                [](const ClassBurn &a, const ClassBurn &b) { return a.id < b.id; });
        if (found != report.classes.end() && found->id == burn.id)
            mergeClass(*found, burn, otherIsNewer);
        else
            report.classes.insert(found, burn);
    }
    report.entries.insert(report.entries.end(), other.entries.begin(), other.entries.end());
    report.notReached.insert(report.notReached.end(), other.notReached.begin(),
                             other.notReached.end());
    report.sheetRevision = std::max(report.sheetRevision, other.sheetRevision);
    return true;
}

// [3] JSON

namespace {

/// Numbers larger than this would overflow when the sums of a few entry processes are added.
constexpr std::uint64_t MaxCount = std::uint64_t(1) << 53;

Json encodeCauses(const BurnCauses &causes)
{
    return {{"refused", causes.refused}, {"unknown", causes.unknown}, {"slow", causes.slow}};
}

Json encodeClass(const ClassBurn &burn)
{
    Json windows = Json::object();
    for (std::size_t i = 0; i < burn.windows.size(); ++i) {
        Json window = encodeCauses(burn.windows[i].causes);
        window["total"] = burn.windows[i].total;
        window["burnRate"] = burnRate(burn, i);
        windows[burnWindowName(i)] = std::move(window);
    }
    Json callers = Json::array();
    for (const CallerBurn &caller : burn.callers)
        callers.push_back({{"caller", caller.caller},
                           {"1h", encodeCauses(caller.hour1)},
                           {"6h", encodeCauses(caller.hours6)}});
    Json series = Json::array();
    for (const BurnSums &point : burn.series)
        series.push_back(
                {point.total, point.causes.refused, point.causes.unknown, point.causes.slow});
    return {{"class", burn.id.str()},
            {"service", burn.service.str()},
            {"objective", burn.objective},
            {"latencyTargetMs", toMilliseconds(burn.latencyTarget)},
            {"budgetLeft", budgetLeft(burn)},
            {"windows", windows},
            {"callers", callers},
            {"series", series}};
}

std::uint64_t decodeCount(const Json &value)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > MaxCount)
        throw std::runtime_error("a count is no whole number from 0 to 2^53");
    return value.get<std::uint64_t>();
}

BurnCauses decodeCauses(const Json &value)
{
    return {decodeCount(value.at("refused")), decodeCount(value.at("unknown")),
            decodeCount(value.at("slow"))};
}

BurnSums checkSums(const BurnSums &sums)
{
    if (sums.causes.bad() > sums.total)
        throw std::runtime_error("more requests are bad than were answered");
    return sums;
}

BurnSums decodePoint(const Json &value)
{
    return checkSums(
            {decodeCount(value.at(0)),
             {decodeCount(value.at(1)), decodeCount(value.at(2)), decodeCount(value.at(3))}});
}

ClassBurn decodeClass(const Json &value)
{
    ClassBurn burn;
    burn.id = ClassId(value.at("class").get<std::string>());
    burn.service = ServiceId(value.at("service").get<std::string>());
    burn.objective = value.at("objective").get<double>();
    if (!(burn.objective >= 0 && burn.objective < 1))
        throw std::runtime_error("an objective is not between 0 and 1");
    const double targetMs = value.at("latencyTargetMs").get<double>();
    if (!(targetMs >= 0 && targetMs < 1e9))
        throw std::runtime_error("a latency target is out of range");
    burn.latencyTarget = Duration(std::llround(targetMs * 1000));
    for (std::size_t i = 0; i < burn.windows.size(); ++i) {
        const Json &window = value.at("windows").at(burnWindowName(i));
        burn.windows[i] = checkSums({decodeCount(window.at("total")), decodeCauses(window)});
    }
    for (const Json &caller : value.at("callers"))
        burn.callers.push_back({caller.at("caller").get<std::string>(),
                                decodeCauses(caller.at("1h")), decodeCauses(caller.at("6h"))});
    const Json &series = value.at("series");
    if (series.size() != burn.series.size())
        throw std::runtime_error("the series has another length");
    for (std::size_t i = 0; i < burn.series.size(); ++i)
        burn.series[i] = decodePoint(series.at(i));
    return burn;
}

} // namespace

std::string encodeBurn(const BurnReport &report)
{
    Json body{{"entries", report.entries},
              {"notReached", report.notReached},
              {"sheetRevision", report.sheetRevision.value},
              {"slotSeconds", std::chrono::duration_cast<seconds>(BurnSlot).count()},
              {"seriesSeconds", std::chrono::duration_cast<seconds>(BurnPoint).count()},
              {"classes", Json::array()}};
    for (const ClassBurn &burn : report.classes)
        body["classes"].push_back(encodeClass(burn));
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

BurnReport decodeBurn(const std::string &text)
{
    try {
        const Json body = Json::parse(text);
        BurnReport report;
        report.sheetRevision = Revision{decodeCount(body.at("sheetRevision"))};
        // Classes are merged one by one into a sorted list, which also joins repeated ones.
        for (const Json &value : body.at("classes")) {
            BurnReport one;
            one.classes.push_back(decodeClass(value));
            mergeBurn(report, one);
        }
        report.entries = body.at("entries").get<std::vector<std::string>>();
        report.notReached = body.at("notReached").get<std::vector<std::string>>();
        return report;
    } catch (const nlohmann::json::exception &error) {
        throw std::runtime_error(std::string("the response is no burn report: ") + error.what());
    }
}

} // namespace monsoonledge
