#include "sheet/sheet.h"
#include "yaml/yaml.h"

#include <algorithm>
#include <utility>

namespace monsoonledge {

namespace {

/// A part of a sheet, such as a class, with its keys and values as written in YAML.
struct SheetPart
{
    std::string subject; // unique in the sheet, such as "class strip-desk/renewal"
    std::vector<std::pair<std::string, std::string>> values;
};

std::string formatBool(bool value)
{
    return value ? "true" : "false";
}

std::string formatCores(MilliCores cores)
{
    return formatNumber(static_cast<double>(cores.value) / 1000);
}

std::string formatMs(Duration duration)
{
    return formatNumber(toMilliseconds(duration));
}

std::string formatMinutes(Duration duration)
{
    return formatNumber(toMilliseconds(duration) / 60000);
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return '[' + text + ']';
}

SheetPart makeClassPart(const RequestClass &requestClass)
{
    return {"class " + requestClass.id.str(),
            {{"idempotent", formatBool(requestClass.idempotent)},
             {"latencyTargetMs", formatMs(requestClass.latencyTarget)},
             {"objective", formatNumber(requestClass.objective)},
             {"floor", formatNumber(requestClass.floor)},
             {"weight", formatNumber(requestClass.weight)},
             {"deadlineMs", formatMs(requestClass.deadline)},
             {"callerShare", formatNumber(requestClass.callerShare)}}};
}

SheetPart makeJobPart(const BatchJob &job)
{
    return {"batch " + job.name,
            {{"team", job.team.str()},
             {"count", std::to_string(job.count)},
             {"cores", formatCores(job.cores)},
             {"memoryMb", std::to_string(job.memory.value)},
             {"accelerators", std::to_string(job.accelerators)},
             {"runMinutes", formatMinutes(job.runTime)},
             {"checkpointMinutes", formatMinutes(job.checkpointInterval)},
             {"finishBy", job.finishBy},
             {"idempotent", formatBool(job.idempotent)}}};
}

std::vector<SheetPart> listParts(const Sheet &sheet)
{
    std::vector<SheetPart> parts;
    parts.push_back({"sheet", {{"name", sheet.name}, {"yieldOrder", joinNames(sheet.yieldOrder)}}});
    for (const Service &service : sheet.services) {
        parts.push_back({"service " + service.id.str(),
                         {{"slotCores", formatCores(service.slotCores)},
                          {"slotMemoryMb", std::to_string(service.slotMemory.value)}}});
        for (const RequestClass &requestClass : service.classes)
            parts.push_back(makeClassPart(requestClass));
    }
    for (const BatchJob &job : sheet.jobs)
        parts.push_back(makeJobPart(job));
    for (const Team &team : sheet.teams)
        parts.push_back({"team " + team.id.str(),
                         {{"maxCores", formatCores(team.maxCores)},
                          {"maxTasks", std::to_string(team.maxTasks)}}});
    parts.push_back(
            {"guards",
             {{"headroom", formatNumber(sheet.guards.headroom)},
              {"throttleAt", formatNumber(sheet.guards.throttleAt)},
              {"evictAt", formatNumber(sheet.guards.evictAt)},
              {"maxEvictionsPerMinute", std::to_string(sheet.guards.maxEvictionsPerMinute)}}});
    return parts;
}

const SheetPart *findPart(const std::vector<SheetPart> &parts, const std::string &subject)
{
    const auto found = std::find_if(parts.begin(), parts.end(),
                                    [&](const SheetPart &part) { return part.subject == subject; });
    return found != parts.end() ? &*found : nullptr;
}

std::string formatAdded(const SheetPart &part)
{
    std::string values;
    for (const auto &[key, value] : part.values) {
        if (!values.empty())
            values += ", ";
        values.append(key).append(" ").append(value);
    }
    return part.subject + ": added (" + values + ')';
}

std::string formatChange(const SheetPart &part, const std::string &key, const std::string &before,
                         const std::string &after)
{
    std::string line = part.subject;
    return line.append(": ").append(key).append(" ").append(before).append(" -> ").append(after);
}

} // namespace

// Parts of the same subject have the same keys in the same order, so values are compared by index.
std::vector<std::string> diffSheets(const Sheet &before, const Sheet &after)
{
    const std::vector<SheetPart> oldParts = listParts(before);
    const std::vector<SheetPart> newParts = listParts(after);
    std::vector<std::string> lines;
    for (const SheetPart &part : newParts) {
        const SheetPart *oldPart = findPart(oldParts, part.subject);
        if (oldPart == nullptr) {
            lines.push_back(formatAdded(part));
            continue;
        }
        for (std::size_t i = 0; i < part.values.size(); ++i) {
            const auto &[key, value] = part.values[i];
            if (oldPart->values[i].second != value)
                lines.push_back(formatChange(part, key, oldPart->values[i].second, value));
        }
    }
    for (const SheetPart &part : oldParts) {
        if (findPart(newParts, part.subject) == nullptr)
            lines.push_back(part.subject + ": removed");
    }
    return lines;
}

} // namespace monsoonledge
