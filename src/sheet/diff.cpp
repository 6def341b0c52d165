#include "sheet/sheet.h"
#include "yaml/yaml.h"

#include <algorithm>
#include <utility>

namespace monsoonledge {

namespace {

/// A part of a sheet, such as a class, with its keys and values as written in YAML.
struct Item
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

Item describeClass(const RequestClass &c)
{
    return {"class " + c.id.str(),
            {{"idempotent", formatBool(c.idempotent)},
             {"latencyTargetMs", formatMs(c.latencyTarget)},
             {"objective", formatNumber(c.objective)},
             {"floor", formatNumber(c.floor)},
             {"weight", formatNumber(c.weight)},
             {"deadlineMs", formatMs(c.deadline)},
             {"callerShare", formatNumber(c.callerShare)}}};
}

Item describeJob(const BatchJob &job)
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

std::vector<Item> describeSheet(const Sheet &sheet)
{
    std::vector<Item> items;
    items.push_back({"sheet", {{"name", sheet.name}, {"yieldOrder", joinNames(sheet.yieldOrder)}}});
    for (const Service &service : sheet.services) {
        items.push_back({"service " + service.id.str(),
                         {{"slotCores", formatCores(service.slotCores)},
                          {"slotMemoryMb", std::to_string(service.slotMemory.value)}}});
        for (const RequestClass &requestClass : service.classes)
            items.push_back(describeClass(requestClass));
    }
    for (const BatchJob &job : sheet.jobs)
        items.push_back(describeJob(job));
    for (const Team &team : sheet.teams)
        items.push_back({"team " + team.id.str(),
                         {{"maxCores", formatCores(team.maxCores)},
                          {"maxTasks", std::to_string(team.maxTasks)}}});
    items.push_back(
            {"guards",
             {{"headroom", formatNumber(sheet.guards.headroom)},
              {"throttleAt", formatNumber(sheet.guards.throttleAt)},
              {"evictAt", formatNumber(sheet.guards.evictAt)},
              {"maxEvictionsPerMinute", std::to_string(sheet.guards.maxEvictionsPerMinute)}}});
    return items;
}

const Item *findItem(const std::vector<Item> &items, const std::string &subject)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const Item &item) { return item.subject == subject; });
    return found != items.end() ? &*found : nullptr;
}

std::string formatAdded(const Item &item)
{
    std::string values;
    for (const auto &[key, value] : item.values) {
        if (!values.empty())
            values += ", ";
        values.append(key).append(" ").append(value);
    }
    return item.subject + ": added (" + values + ')';
}

std::string formatChange(const Item &item, const std::string &key, const std::string &before,
                         const std::string &after)
{
    std::string line = item.subject;
    return line.append(": ").append(key).append(" ").append(before).append(" -> ").append(after);
}

} // namespace

// Parts of the same subject have the same keys in the same order, so values are compared by index.
std::vector<std::string> diffSheets(const Sheet &before, const Sheet &after)
{
    const std::vector<Item> oldItems = describeSheet(before);
    const std::vector<Item> newItems = describeSheet(after);
    std::vector<std::string> lines;
    for (const Item &item : newItems) {
        const Item *old = findItem(oldItems, item.subject);
        if (old == nullptr) {
            lines.push_back(formatAdded(item));
            continue;
        }
        for (std::size_t i = 0; i < item.values.size(); ++i) {
            const auto &[key, value] = item.values[i];
            if (old->values[i].second != value)
                lines.push_back(formatChange(item, key, old->values[i].second, value));
        }
    }
    for (const Item &item : oldItems) {
        if (findItem(newItems, item.subject) == nullptr)
            lines.push_back(item.subject + ": removed");
    }
    return lines;
}

} // namespace monsoonledge
