#include "app/explain.h"

#include "app/commands.h"
#include "app/exitcodes.h"
#include "yaml/yaml.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace monsoonledge {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxLogBytes = 512U * 1024 * 1024;

/// Events of a process that explain what happened to its jobs.
const std::set<std::string> &processEvents()
{
    static const std::set<std::string> events{"coordinator-elected",
                                              "coordinator-ready",
                                              "coordinator-deposed",
                                              "coordinator-resigned",
                                              "store-lost",
                                              "store-regained",
                                              "stopping"};
    return events;
}

std::string textOf(const Json &line, const char *name)
{
    const auto it = line.find(name);
    return it != line.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::string describeFields(const Json &line)
{
    static const std::set<std::string> standard{"time",  "level", "event",   "domain",
                                                "entry", "host",  "message", "job"};
    std::string text = textOf(line, "message");
    for (const auto &item : line.items()) {
        if (standard.count(item.key()) == 0 && item.value().is_string())
            text += ", " + item.key() + ' ' + item.value().get<std::string>();
    }
    return text;
}

std::string lastText(const std::vector<HistoryLine> &lines, const std::string &event)
{
    const auto it = std::find_if(lines.rbegin(), lines.rend(),
                                 [&](const HistoryLine &line) { return line.event == event; });
    return it == lines.rend() ? std::string() : it->host + ": " + it->text;
}

int countOf(const std::vector<HistoryLine> &lines, const std::string &event,
            const std::string &part)
{
    return static_cast<int>(std::count_if(lines.begin(), lines.end(), [&](const HistoryLine &line) {
        return line.event == event && line.text.find(part) != std::string::npos;
    }));
}

/// What delayed the job, from the ends of its runs and the changes of coordinators in between.
std::string delaysOf(const std::vector<HistoryLine> &lines)
{
    std::ostringstream out;
    const std::map<std::string, std::string> parts{
            {"end failed", "failed runs"},
            {"end lapsed", "runs lost with their worker or its lease"},
            {"end stopped", "runs that were stopped and moved"}};
    for (const auto &[part, name] : parts) {
        if (const int count = countOf(lines, "run-ended", part))
            out << "; " << count << ' ' << name;
    }
    if (const int count = countOf(lines, "start-not-confirmed", ""))
        out << "; " << count << " starts without an answer";
    if (const int count = countOf(lines, "run-stalled", ""))
        out << "; " << count << " runs without progress";
    if (const int count = countOf(lines, "coordinator-elected", ""))
        out << "; " << count << " changes of the coordinator meanwhile";
    if (const int count = countOf(lines, "store-lost", ""))
        out << "; the store was lost " << count << " times meanwhile";
    return out.str();
}

std::string findCause(const std::vector<HistoryLine> &lines)
{
    for (const char *event : {"job-failed", "job-cancelled", "job-completed"}) {
        const std::string text = lastText(lines, event);
        if (!text.empty())
            return std::string(event) + ": " + text + delaysOf(lines);
    }
    if (lastText(lines, "job-accepted").empty()) {
        for (const char *event : {"job-refused", "job-unknown", "job-invalid"}) {
            const std::string text = lastText(lines, event);
            if (!text.empty())
                return std::string(event) + ": " + text;
        }
    }
    const bool isAssigned = !lastText(lines, "tasks-assigned").empty();
    return (isAssigned ? "not ended" : "no task was assigned: no room, or no worker that fits")
           + delaysOf(lines);
}

} // namespace

JobHistory explainJob(const std::string &id, const std::vector<std::string> &logs)
{
    JobHistory history;
    std::vector<HistoryLine> ofProcesses;
    for (const std::string &log : logs) {
        std::istringstream in(log);
        for (std::string text; std::getline(in, text);) {
            const bool mayConcern = text.find(id) != std::string::npos
                                    || text.find("coordinator-") != std::string::npos
                                    || text.find("store-") != std::string::npos
                                    || text.find("stopping") != std::string::npos;
            if (!mayConcern)
                continue;
            // The bench and some collectors put their own text before the line.
            const std::size_t begin = text.find('{');
            const Json line = begin == std::string::npos
                                      ? Json()
                                      : Json::parse(text.substr(begin), nullptr, false);
            if (!line.is_object()) {
                ++history.unreadable;
                continue;
            }
            const HistoryLine entry{textOf(line, "time"), textOf(line, "host"),
                                    textOf(line, "event"), describeFields(line)};
            if (textOf(line, "job") == id)
                history.lines.push_back(entry);
            else if (processEvents().count(entry.event) > 0)
                ofProcesses.push_back(entry);
        }
    }
    const auto byTime = [](const HistoryLine &a, const HistoryLine &b) { return a.time < b.time; };
    std::stable_sort(history.lines.begin(), history.lines.end(), byTime);
    if (history.lines.empty()) {
        history.cause = "no line of the logs names this job";
        return history;
    }
    const std::string first = history.lines.front().time;
    const std::string last = history.lines.back().time;
    for (const HistoryLine &line : ofProcesses) {
        if (line.time >= first && line.time <= last)
            history.lines.push_back(line);
    }
    std::stable_sort(history.lines.begin(), history.lines.end(), byTime);
    history.cause = findCause(history.lines);
    return history;
}

std::string formatHistory(const std::string &id, const JobHistory &history)
{
    std::ostringstream out;
    out << "job " << id << '\n';
    for (const HistoryLine &line : history.lines)
        out << line.time << "  " << line.host << "  " << line.event << ": " << line.text << '\n';
    if (history.unreadable > 0)
        out << history.unreadable << " lines could not be read\n";
    out << "cause: " << history.cause << '\n';
    return out.str();
}

int runExplain(const CommandContext &context)
{
    std::vector<std::string> logs;
    for (const std::string &file : context.logs)
        logs.push_back(readTextFile(file, MaxLogBytes));
    const JobHistory history = explainJob(context.job, logs);
    context.out << formatHistory(context.job, history);
    return history.lines.empty() ? ExitFailed : ExitSuccess;
}

} // namespace monsoonledge
