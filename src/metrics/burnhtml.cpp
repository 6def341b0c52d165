#include "metrics/metrics.h"

#include <algorithm>

namespace monsoonledge {

namespace {

// Sizes of a plot in pixels.
constexpr double BarWidth = 9;
constexpr double BarHeight = 120;
constexpr double PlotLeft = 70;
constexpr double PlotTop = 10;
constexpr std::size_t MaxCallersShown = 10;

struct Cause
{
    const char *name;
    std::uint64_t BurnCauses::*count;
};

constexpr std::array<Cause, 3> Causes{{{"refused", &BurnCauses::refused},
                                       {"unknown", &BurnCauses::unknown},
                                       {"slow", &BurnCauses::slow}}};

const char *const PageHead =
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
        "<meta http-equiv=\"Content-Security-Policy\" "
        "content=\"default-src 'none'; style-src 'unsafe-inline'\">\n"
        "<title>Service-level burn</title>\n<style>\n"
        "body { font: 15px sans-serif; margin: 2em; max-width: 60em; color: #222; }\n"
        "table { border-collapse: collapse; margin: 0.5em 0; }\n"
        "th, td { border-bottom: 1px solid #ccc; padding: 0.25em 0.7em; text-align: right; }\n"
        "th:first-child, td:first-child { text-align: left; }\n"
        ".over { color: #a00; font-weight: bold; }\n"
        "svg { font-size: 12px; }\n"
        ".refused { fill: #c8501e; } .unknown { fill: #7a3b9c; } .slow { fill: #d9a514; }\n"
        ".axis { stroke: #888; } .permitted { stroke: #126; stroke-dasharray: 5 3; }\n"
        "</style>\n</head>\n<body>\n<h1>Service-level burn</h1>\n";

std::string escapeHtml(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += static_cast<unsigned char>(c) < ' ' || c == '\x7f' ? '?' : c;
        }
    }
    return result;
}

std::string cell(const std::string &text, bool over = false)
{
    return std::string(over ? "<td class=\"over\">" : "<td>") + escapeHtml(text) + "</td>";
}

std::string headRow(const std::vector<std::string> &names)
{
    std::string row = "<tr>";
    for (const std::string &name : names)
        row += "<th>" + escapeHtml(name) + "</th>";
    return row + "</tr>\n";
}

std::string causeCells(const BurnCauses &causes)
{
    std::string cells;
    for (const Cause &cause : Causes)
        cells += cell(std::to_string(causes.*cause.count));
    return cells;
}

std::string summaryTable(const BurnReport &report)
{
    std::vector<std::string> names{"class", "objective", "good", "budget left"};
    for (std::size_t i = 0; i < BurnWindowCount; ++i)
        names.push_back(std::string("burn ") + burnWindowName(i));
    for (const Cause &cause : Causes)
        names.emplace_back(cause.name);
    std::string table = "<table>\n" + headRow(names);
    for (const ClassBurn &burn : report.classes) {
        const BurnSums &sums = burn.windows[Burn6Hours];
        table += "<tr>" + cell(burn.id.str()) + cell(formatShare(burn.objective))
                 + cell(formatShare(goodShare(sums)))
                 + cell(formatShare(budgetLeft(burn)), budgetLeft(burn) < 0);
        for (std::size_t i = 0; i < BurnWindowCount; ++i)
            table += cell(formatRate(burnRate(burn, i)), burnRate(burn, i) > 1);
        table += causeCells(sums.causes) + "</tr>\n";
    }
    return table + "</table>\n";
}

std::string textAt(double x, double y, const std::string &text, const char *anchor)
{
    return "<text x=\"" + formatRate(x) + "\" y=\"" + formatRate(y) + "\" text-anchor=\"" + anchor
           + "\">" + escapeHtml(text) + "</text>\n";
}

std::string lineAt(double y, const char *style)
{
    return std::string("<line class=\"") + style + "\" x1=\"" + formatRate(PlotLeft) + "\" x2=\""
           + formatRate(PlotLeft + BarWidth * BurnPointCount) + "\" y1=\"" + formatRate(y)
           + "\" y2=\"" + formatRate(y) + "\"/>\n";
}

/// One bar of causes on top of each other. `scale` is the share at the top of the plot.
std::string bar(const BurnSums &point, std::size_t index, double scale)
{
    std::string text;
    double bottom = PlotTop + BarHeight;
    for (const Cause &cause : Causes) {
        const std::uint64_t count = point.causes.*cause.count;
        if (count == 0)
            continue;
        const double share = static_cast<double>(count) / static_cast<double>(point.total);
        const double height = share / scale * BarHeight;
        bottom -= height;
        text += std::string("<rect class=\"") + cause.name + "\" x=\""
                + formatRate(PlotLeft + BarWidth * static_cast<double>(index)) + "\" y=\""
                + formatRate(bottom) + "\" width=\"" + formatRate(BarWidth - 1) + "\" height=\""
                + formatRate(height) + "\"><title>" + cause.name + ": " + std::to_string(count)
                + " of " + std::to_string(point.total) + "</title></rect>\n";
    }
    return text;
}

std::string plot(const ClassBurn &burn)
{
    const double permitted = 1 - burn.objective;
    double scale = permitted * 2;
    for (const BurnSums &point : burn.series)
        scale = std::max(scale, 1 - goodShare(point));
    const double bottom = PlotTop + BarHeight;
    const double right = PlotLeft + BarWidth * BurnPointCount;
    std::string text = "<svg role=\"img\" width=\"" + formatRate(right + 10) + "\" height=\""
                       + formatRate(bottom + 25) + "\">\n<title>share of bad requests of "
                       + escapeHtml(burn.id.str()) + "</title>\n";
    for (std::size_t i = 0; i < burn.series.size(); ++i)
        text += bar(burn.series[i], i, scale);
    const double permittedAt = bottom - permitted / scale * BarHeight;
    return text + lineAt(bottom, "axis") + lineAt(permittedAt, "permitted")
           + textAt(PlotLeft - 5, PlotTop + 4, formatShare(scale), "end")
           + textAt(PlotLeft - 5, permittedAt + 4, formatShare(permitted), "end")
           + textAt(PlotLeft, bottom + 17, "6 h ago", "start")
           + textAt(right, bottom + 17, "now", "end") + "</svg>\n";
}

std::string callerTable(const std::vector<CallerBurn> &callers)
{
    if (callers.empty())
        return "<p>No bad request.</p>\n";
    std::string table =
            "<table>\n"
            + headRow({"caller", "bad in 1 h", "bad in 6 h", "refused", "unknown", "slow"});
    for (std::size_t i = 0; i < std::min(callers.size(), MaxCallersShown); ++i) {
        const CallerBurn &caller = callers[i];
        table += "<tr>" + cell(caller.caller.empty() ? "-" : caller.caller)
                 + cell(std::to_string(caller.hour1.bad()))
                 + cell(std::to_string(caller.hours6.bad())) + causeCells(caller.hours6)
                 + "</tr>\n";
    }
    return table + "</table>\n";
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text.append(text.empty() ? "" : ", ").append(name);
    return text.empty() ? "none" : text;
}

} // namespace

std::string formatBurnHtml(const BurnReport &report)
{
    std::string page = PageHead;
    page += "<p>Entry processes: " + escapeHtml(joined(report.entries)) + ". Sheet revision "
            + std::to_string(report.sheetRevision.value) + ".</p>\n";
    if (!report.notReached.empty()) {
        page += "<p class=\"over\">Not reached, and missing in all sums:</p>\n<ul>\n";
        for (const std::string &name : report.notReached)
            page += "<li>" + escapeHtml(name) + "</li>\n";
        page += "</ul>\n";
    }
    page += summaryTable(report);
    page += "<p>Counts, good share and budget cover 6 hours. A burn rate of 1 uses up exactly the "
            "error budget of its window. The plots show the share of bad requests in steps of 5 "
            "minutes: <svg width=\"10\" height=\"10\"><rect class=\"refused\" width=\"10\" "
            "height=\"10\"/></svg> refused, <svg width=\"10\" height=\"10\"><rect "
            "class=\"unknown\" width=\"10\" height=\"10\"/></svg> unknown, <svg width=\"10\" "
            "height=\"10\"><rect class=\"slow\" width=\"10\" height=\"10\"/></svg> slow. The "
            "dashed "
            "line is the share that the objective permits.</p>\n";
    for (const ClassBurn &burn : report.classes) {
        page += "<h2>" + escapeHtml(burn.id.str()) + "</h2>\n<p>Latency target "
                + formatRate(toMilliseconds(burn.latencyTarget)) + " ms.</p>\n" + plot(burn)
                + callerTable(burn.callers);
    }
    return page + "</body>\n</html>\n";
}

} // namespace monsoonledge
