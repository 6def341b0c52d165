// Sections:
//   [1] Parts of a sheet
//   [2] Rules across parts
//   [3] Public functions
#include "sheet/sheet.h"

#include "yaml/yaml.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace monsoonledge {

namespace {

// [1] Parts of a sheet

// The sum of decimal floors such as 0.1 + 0.2 + 0.7 may exceed 1 by a rounding error.
constexpr double FloorSumTolerance = 1e-9;
constexpr Duration MaxDeadline = seconds(60); // the maximum of limits.maxDeadlineMs
constexpr int MaxTasksPerJob = 100000;
constexpr double MaxCores = 1024; // per slot or batch task
constexpr int MaxMemoryMb = 16 * 1024 * 1024;
constexpr double MaxMinutes = 7 * 24 * 60;

/// Adds a finding if the name is already in `seen`, the names of the same list; else inserts it.
void checkUnique(std::set<std::string> &seen, const std::string &name, const std::string &subject,
                 const std::string &key, YamlMapReader &map)
{
    if (!name.empty() && !seen.insert(name).second)
        map.report(key,
                   subject + " '" + name + "' is repeated: write another name or merge the two");
}

void readCores(YamlMapReader &map, const std::string &key, MilliCores &value, double min,
               double max)
{
    double cores = 0;
    if (map.readNumber(key, cores, min, max))
        value.value = static_cast<std::uint64_t>(std::llround(cores * 1000));
}

void readMemory(YamlMapReader &map, const std::string &key, MebiBytes &value)
{
    int memory = 0;
    if (map.readInteger(key, memory, 0, MaxMemoryMb))
        value.value = static_cast<std::uint64_t>(memory);
}

void readMinutes(YamlMapReader &map, const std::string &key, Duration &value, double min)
{
    double number = 0;
    if (map.readNumber(key, number, min, MaxMinutes))
        value = Duration(std::llround(number * 60e6));
}

RequestClass readClass(const YamlNode &node, const ServiceId &service, YamlFindings &findings,
                       std::set<std::string> &names)
{
    RequestClass result;
    result.service = service;
    YamlMapReader map(node, "classes[].", findings);
    map.requireKeys({"name", "idempotent"});
    std::string name;
    if (map.readName("name", name))
        checkUnique(names, name, "class", "name", map);
    result.id = ClassId(service.str() + '/' + name);
    map.readBool("idempotent", result.idempotent);
    map.readMilliseconds("latencyTargetMs", result.latencyTarget, milliseconds(1), MaxDeadline);
    map.readNumber("objective", result.objective, 0.5, 0.9999);
    map.readNumber("floor", result.floor, 0, 1);
    map.readNumber("weight", result.weight, 0, 1000);
    map.readMilliseconds("deadlineMs", result.deadline, milliseconds(1), MaxDeadline);
    map.readNumber("callerShare", result.callerShare, 0.001, 1);
    if (result.latencyTarget > result.deadline)
        map.report("latencyTargetMs",
                   "the latency target of class '" + name
                           + "' is above its deadline: write a smaller latencyTargetMs or a larger "
                             "deadlineMs");
    if (result.floor == 0 && result.weight == 0)
        map.report("weight",
                   "class '" + name
                           + "' has neither floor nor weight and would never run: write a weight "
                             "above 0");
    map.reportUnknownKeys();
    return result;
}

Service readService(const YamlNode &node, YamlFindings &findings, std::set<std::string> &names)
{
    Service service;
    YamlMapReader map(node, "services[].", findings);
    map.requireKeys({"name", "classes"});
    std::string name;
    if (map.readName("name", name))
        checkUnique(names, name, "service", "name", map);
    service.id = ServiceId(name);
    readCores(map, "slotCores", service.slotCores, 0.001, MaxCores);
    readMemory(map, "slotMemoryMb", service.slotMemory);
    if (const std::vector<YamlNode> *items = map.findList("classes")) {
        std::set<std::string> classNames;
        double floorSum = 0;
        for (const YamlNode &item : *items) {
            service.classes.push_back(readClass(item, service.id, findings, classNames));
            floorSum += service.classes.back().floor;
        }
        if (items->empty())
            map.report("classes", "service '" + name + "' has no class: write at least one");
        if (floorSum > 1 + FloorSumTolerance)
            map.report("classes", "the floors of service '" + name + "' add up to "
                                          + formatNumber(floorSum)
                                          + ": lower them to a sum of at most 1");
    }
    map.reportUnknownKeys();
    return service;
}

bool isTimeOfDay(const std::string &text)
{
    if (text.size() != 5 || text[2] != ':')
        return false;
    for (const std::size_t i : {0, 1, 3, 4}) {
        if (text[i] < '0' || text[i] > '9')
            return false;
    }
    return text.substr(0, 2) < "24" && text.substr(3) < "60";
}

BatchJob readJob(const YamlNode &node, YamlFindings &findings, std::set<std::string> &names)
{
    BatchJob job;
    YamlMapReader map(node, "batch[].", findings);
    map.requireKeys({"name", "team"});
    if (map.readName("name", job.name))
        checkUnique(names, job.name, "batch work", "name", map);
    std::string team;
    if (map.readName("team", team))
        job.team = TeamId(team);
    map.readInteger("count", job.count, 1, MaxTasksPerJob);
    readCores(map, "cores", job.cores, 0.001, MaxCores);
    readMemory(map, "memoryMb", job.memory);
    map.readInteger("accelerators", job.accelerators, 0, 1024);
    readMinutes(map, "runMinutes", job.runTime, 0.001);
    readMinutes(map, "checkpointMinutes", job.checkpointInterval, 0);
    std::string finishBy;
    if (map.readString("finishBy", finishBy)) {
        if (!isTimeOfDay(finishBy))
            map.report("finishBy",
                       "'finishBy' of batch work '" + job.name
                               + "' has the wrong form: write a time of day from 00:00 to 23:59");
        job.finishBy = finishBy;
    }
    map.readBool("idempotent", job.idempotent);
    map.reportUnknownKeys();
    return job;
}

Team readTeam(const YamlNode &node, YamlFindings &findings, std::set<std::string> &names)
{
    Team team;
    YamlMapReader map(node, "teams[].", findings);
    map.requireKeys({"name"});
    std::string name;
    if (map.readName("name", name))
        checkUnique(names, name, "team", "name", map);
    team.id = TeamId(name);
    readCores(map, "maxCores", team.maxCores, 0, 1000000);
    map.readInteger("maxTasks", team.maxTasks, 0, 1000000);
    map.reportUnknownKeys();
    return team;
}

void readGuards(const YamlNode &node, Guards &guards, YamlFindings &findings)
{
    YamlMapReader map(node, "guards.", findings);
    map.readNumber("headroom", guards.headroom, 0, 0.9);
    map.readNumber("throttleAt", guards.throttleAt, 0.05, 1);
    map.readNumber("evictAt", guards.evictAt, 0.05, 1);
    map.readInteger("maxEvictionsPerMinute", guards.maxEvictionsPerMinute, 0, 10000);
    // Throttling is the milder measure, so it has to begin at a lower use than eviction.
    if (guards.evictAt <= guards.throttleAt)
        map.report("evictAt", "'guards.evictAt' is " + formatNumber(guards.evictAt)
                                      + ": write more than throttleAt, which is "
                                      + formatNumber(guards.throttleAt));
    map.reportUnknownKeys();
}

// [2] Rules across parts

void readYieldOrder(YamlMapReader &map, Sheet &sheet, YamlFindings &findings)
{
    const std::vector<YamlNode> *items = map.findList("yieldOrder");
    if (items == nullptr)
        return;
    std::set<std::string> seen;
    for (const YamlNode &item : *items) {
        const std::string name = readName(item, "this name in yieldOrder", findings);
        if (name.empty())
            continue;
        if (!seen.insert(name).second)
            findings.add(
                    item,
                    "'" + name
                            + "' is repeated in yieldOrder, which contradicts itself: write it "
                              "once");
        else if (sheet.findJob(name) == nullptr)
            findings.add(item,
                         "yieldOrder names '" + name
                                 + "', which is no batch work of this sheet: write a name from "
                                   "'batch' or remove it");
        sheet.yieldOrder.push_back(name);
    }
}

std::string formatCores(MilliCores cores)
{
    return formatNumber(static_cast<double>(cores.value) / 1000);
}

/// Returns why no task of the job can ever run: each resource of which it needs more than the
/// largest worker offers, or more cores than the quota of its team.
std::vector<std::string> unschedulableReasons(const BatchJob &job, const Sheet &sheet,
                                              const LargestWorker &largestWorker)
{
    std::vector<std::string> reasons;
    const double usableShare = 1 - sheet.guards.headroom;
    // Rounding to the nearest value lets a task of 9 cores fit into 0.9 of 10 cores.
    const MilliCores usableCores{static_cast<std::uint64_t>(
            std::llround(static_cast<double>(largestWorker.cores.value) * usableShare))};
    const MebiBytes usableMemory{static_cast<std::uint64_t>(
            std::llround(static_cast<double>(largestWorker.memory.value) * usableShare))};
    if (largestWorker.cores.value > 0 && job.cores > usableCores)
        reasons.push_back("it needs " + formatCores(job.cores)
                          + " cores and the largest worker offers " + formatCores(usableCores)
                          + " after headroom");
    if (largestWorker.memory.value > 0 && job.memory > usableMemory)
        reasons.push_back("it needs " + std::to_string(job.memory.value)
                          + " MB and the largest worker offers "
                          + std::to_string(usableMemory.value) + " after headroom");
    // Zero accelerators can be the true number, so this check depends on known cores instead.
    if (largestWorker.cores.value > 0 && job.accelerators > largestWorker.accelerators)
        reasons.push_back("it needs " + std::to_string(job.accelerators)
                          + " accelerators and the largest worker has "
                          + std::to_string(largestWorker.accelerators));
    for (const Team &team : sheet.teams) {
        if (team.id == job.team && team.maxCores.value > 0 && job.cores > team.maxCores)
            reasons.push_back("it needs " + formatCores(job.cores) + " cores and its team may use "
                              + formatCores(team.maxCores));
    }
    return reasons;
}

/// Adds findings for jobs of unlisted teams and for jobs that can never run.
void checkJobs(const std::vector<YamlNode> &nodes, const Sheet &sheet,
               const LargestWorker &largestWorker, YamlFindings &findings)
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const BatchJob &job = sheet.jobs[i];
        const bool teamKnown = std::any_of(sheet.teams.begin(), sheet.teams.end(),
                                           [&](const Team &team) { return team.id == job.team; });
        if (!job.team.isEmpty() && !teamKnown)
            findings.add(nodes[i],
                         "team '" + job.team.str() + "' of batch work '" + job.name
                                 + "' is not listed in teams: write a listed one or add it");
        for (const std::string &reason : unschedulableReasons(job, sheet, largestWorker))
            findings.add(nodes[i], "batch work '" + job.name + "' can never run, because " + reason
                                           + ": write a smaller size");
    }
}

} // namespace

// [3] Public functions

const RequestClass *Sheet::findClass(const ClassId &id) const
{
    for (const Service &service : services) {
        for (const RequestClass &requestClass : service.classes) {
            if (requestClass.id == id)
                return &requestClass;
        }
    }
    return nullptr;
}

const Service *Sheet::findService(const ServiceId &id) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const Service &service) { return service.id == id; });
    return found != services.end() ? &*found : nullptr;
}

const BatchJob *Sheet::findJob(const std::string &jobName) const
{
    const auto found = std::find_if(jobs.begin(), jobs.end(),
                                    [&](const BatchJob &job) { return job.name == jobName; });
    return found != jobs.end() ? &*found : nullptr;
}

Sheet parseSheet(const std::string &text, const std::string &file,
                 const LargestWorker &largestWorker)
{
    // A sheet has to fit into one message between entry processes.
    if (text.size() > MaxBodyBytes)
        throw FindingsError(
                {{{file, 0, 0},
                  "the sheet has " + std::to_string(text.size()) + " bytes: shorten it to at most "
                          + std::to_string(MaxBodyBytes)}});
    const YamlNode root = parseYaml(text, file);
    YamlFindings findings(file);
    Sheet sheet;
    YamlMapReader map(root, "", findings);
    map.requireKeys({"name"});
    map.readName("name", sheet.name);
    std::set<std::string> serviceNames;
    if (const std::vector<YamlNode> *items = map.findList("services")) {
        for (const YamlNode &item : *items)
            sheet.services.push_back(readService(item, findings, serviceNames));
    }
    std::set<std::string> jobNames;
    const std::vector<YamlNode> *jobNodes = map.findList("batch");
    if (jobNodes != nullptr) {
        for (const YamlNode &item : *jobNodes)
            sheet.jobs.push_back(readJob(item, findings, jobNames));
    }
    readYieldOrder(map, sheet, findings);
    std::set<std::string> teamNames;
    if (const std::vector<YamlNode> *items = map.findList("teams")) {
        for (const YamlNode &item : *items)
            sheet.teams.push_back(readTeam(item, findings, teamNames));
    }
    if (const YamlNode *guards = map.find("guards"))
        readGuards(*guards, sheet.guards, findings);
    if (jobNodes != nullptr)
        checkJobs(*jobNodes, sheet, largestWorker, findings);
    map.reportUnknownKeys();
    findings.throwIfAny();
    return sheet;
}

} // namespace monsoonledge
