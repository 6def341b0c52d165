// Stand-in of the users' platform in one process: its store, its workers and their registry, and
// the submissions of jobs. It loads one coordinator with a steady mix of jobs, to measure what the
// coordinator costs.
//
// The workers share one listening socket on all loopback addresses. Each has an address of its own,
// from 127.1.0.1 on, so that the program under test opens connections of its own to each; which
// worker a call is for is told by its Expect-Instance header.
#include "adapters/adapters.h"
#include "fakes/fakekeyvalue.h"
#include "fakes/fakerunners.h"
#include "platform/platform.h"
#include "standins/options.h"

#include <array>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <iostream>

using namespace monsoonledge;

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t StorePort = 8169;
constexpr std::uint16_t WorkerPort = 8170;
constexpr int ImageCount = 6; // of each kind of step
constexpr int SizeCount = 7; // of the processors of best-effort steps
constexpr Duration TickInterval = milliseconds(1); // of the fakes' clock

struct LoadSettings
{
    int workers = 540;
    double shortJobsPerSecond = 10.5; // 14 tasks of 1 s on 3.2 cores
    double wideJobsPerSecond = 15.6; // two steps of 39 tasks of 1.7 s on 1.8 cores, the second one
                                     // best-effort
    int servingJobs = 40; // of 24 tasks that run on
    int bestEffortJobs = 40; // of 24 tasks that run on
};

Json encodeItem(const KeyValue &item)
{
    if (item.deleted)
        return {{"Key", item.key}, {"Revision", item.revision.value}, {"Deleted", true}};
    return {{"Key", item.key},
            {"Revision", item.revision.value},
            {"Value", platform::encodeBase64(item.value)}};
}

std::string queryValue(const HttpRequest &request, const std::string &name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string() : it->second;
}

HttpResponse jsonResponse(int status, const Json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

/// Serves the store's interface from a FakeKeyValuePort.
class StoreServer
{
public:
    StoreServer(EventLoop &loop, FakeKeyValuePort &store)
        : store_(store), server_(loop, settings(),
                                 [this](const HttpRequest &request, HttpResponder respond, Time) {
                                     serve(request, std::move(respond));
                                 })
    { }

private:
    static HttpServerSettings settings()
    {
        HttpServerSettings result;
        result.address = {"127.0.0.1", StorePort};
        result.maxBodyBytes = 4 * 1024 * 1024;
        return result;
    }

    void serve(const HttpRequest &request, HttpResponder respond)
    {
        const auto answer = [respond = std::move(respond),
                             path = request.path](const KeyValueResult &result, Time) {
            respond(encode(path, result));
        };
        const Json body = request.body.empty() ? Json() : Json::parse(request.body);
        if (request.path == "/-/kv-key")
            store_.get(queryValue(request, "Key"), answer);
        else if (request.path == "/-/kv-range")
            store_.range(queryValue(request, "Prefix"), queryValue(request, "After"), answer);
        else if (request.path == "/-/kv-watch")
            store_.watch(queryValue(request, "Prefix"), {std::stoull(queryValue(request, "After"))},
                         milliseconds(std::stoll(queryValue(request, "WaitMs"))), answer);
        else if (request.path == "/-/kv-txn")
            store_.commit(decodeTransaction(body), answer);
        else if (request.path == "/-/kv-lease")
            store_.grantLease(milliseconds(body.at("TtlMs").get<int>()), answer);
        else if (request.path.rfind("/-/kv-keep/", 0) == 0)
            store_.renewLease(leaseOf(request.path), answer);
        else
            store_.endLease(leaseOf(request.path), answer);
    }

    static LeaseId leaseOf(const std::string &path)
    {
        return {std::stoull(path.substr(path.rfind('/') + 1))};
    }

    static Transaction decodeTransaction(const Json &body)
    {
        Transaction transaction;
        for (const Json &row : body.at("Expected"))
            transaction.conditions.push_back({row.at("Key"), {row.at("Revision")}});
        for (const Json &row : body.at("Puts"))
            transaction.puts.push_back({row.at("Key"),
                                        platform::decodeBase64(row.at("Value").get<std::string>()),
                                        {row.value("Lease", std::uint64_t{0})}});
        for (const Json &key : body.at("Remove"))
            transaction.removals.push_back(key);
        return transaction;
    }

    static HttpResponse encode(const std::string &path, const KeyValueResult &result)
    {
        switch (result.status) {
        case KeyValueStatus::Ok:
            break;
        case KeyValueStatus::NotFound:
            return jsonResponse(404, Json::object());
        case KeyValueStatus::Conflict:
            return jsonResponse(412, {{"items", encodeItems(result.items)}});
        case KeyValueStatus::Compacted:
            return jsonResponse(410, Json::object());
        case KeyValueStatus::NotApplied:
        case KeyValueStatus::Unknown:
            return jsonResponse(503, Json::object());
        }
        if (path == "/-/kv-key")
            return jsonResponse(200, encodeItem(result.items.at(0)));
        if (path == "/-/kv-txn")
            return jsonResponse(200, {{"Revision", result.storeRevision.value}});
        if (path == "/-/kv-lease")
            return jsonResponse(200, {{"Lease", result.lease.value}});
        return jsonResponse(
                200, {{path == "/-/kv-watch" ? "events" : "items", encodeItems(result.items)},
                      {"HasMore", result.hasMore},
                      {"At", result.storeRevision.value}});
    }

    static Json encodeItems(const std::vector<KeyValue> &items)
    {
        Json rows = Json::array();
        for (const KeyValue &item : items)
            rows.push_back(encodeItem(item));
        return rows;
    }

    FakeKeyValuePort &store_;
    HttpServer server_;
};

/// Serves the interface of all workers from a FakeRunPort, and counts their calls.
class WorkerServer
{
public:
    WorkerServer(EventLoop &loop, FakeRunners &runners, FakeRunPort &port)
        : runners_(runners), port_(port),
          server_(loop, settings(),
                  [this](const HttpRequest &request, HttpResponder respond, Time now) {
                      serve(request, std::move(respond), now);
                  })
    { }

    std::map<std::string, std::uint64_t> calls; // by path

private:
    static HttpServerSettings settings()
    {
        HttpServerSettings result;
        result.address = {"0.0.0.0", WorkerPort};
        result.maxConnections = 8000;
        return result;
    }

    void serve(const HttpRequest &request, HttpResponder respond, Time now)
    {
        ++calls[request.path];
        const auto worker =
                runners_.all().find(WorkerId(headerValue(request.headers, "expect-instance")));
        if (worker == runners_.all().end()) {
            respond(jsonResponse(421, Json::object()));
            return;
        }
        const WorkerEntry &entry = worker->second.entry;
        const Json body = Json::parse(request.body);
        const FencingToken token{body.at("FencingToken").get<std::uint64_t>()};
        const auto answer = [this, respond = std::move(respond), path = request.path,
                             now](const WorkerCallResult &result, Time) {
            respond(encode(path, result, now));
        };
        const std::uint64_t leaseEnd = body.value("DeadlineMs", std::uint64_t{0});
        if (request.path == "/-/hold") {
            port_.renew(entry, token, leaseEnd, body.at("AckCursor"),
                        milliseconds(body.value("WaitMs", 0)), answer);
            return;
        }
        const std::optional<TaskRef> task =
                platform::parseTaskName(body.at("Task").get<std::string>());
        const RunNumber run{body.at("Attempt").get<std::uint64_t>()};
        if (request.path == "/-/run-start")
            port_.start(entry, {*task, run, entry.id, entry.incarnation, body.at("TaskSpec"), {}},
                        token, leaseEnd, answer);
        else if (request.path == "/-/run-stop")
            port_.stop(entry, {*task, run, entry.id}, token, answer);
        else
            port_.pace(entry, {*task, run, entry.id, body.at("Percent")}, token, answer);
    }

    static double usageOf(const TaskRef &task, Time now)
    {
        // A tail latency that swings around 300 ms, with a phase of its own for each task.
        const double seconds = toMilliseconds(now.time_since_epoch()) / 1000;
        return std::round(300 + 200 * std::sin(seconds / 2 + task.index));
    }

    static HttpResponse encode(const std::string &path, const WorkerCallResult &result, Time now)
    {
        Json body{{"ClockMs", result.report.clockMs}};
        if (result.status == WorkerCallStatus::Fenced)
            body["Reason"] = "fence";
        else if (result.status == WorkerCallStatus::OldRun)
            body["Reason"] = "old";
        else if (result.status == WorkerCallStatus::Refused)
            body["Reason"] = "late";
        if (body.contains("Reason"))
            return jsonResponse(409, body);
        if (path != "/-/hold")
            return jsonResponse(200, body);
        body["born"] = result.report.incarnation.value;
        body["Running"] = Json::array();
        for (const ActiveRun &run : result.report.running)
            body["Running"].push_back({platform::formatTaskName(run.task), run.run.value,
                                       run.checkpoint, 100, usageOf(run.task, now)});
        body["Finished"] = Json::array();
        for (const FinishedRun &run : result.report.finished)
            body["Finished"].push_back({run.position, platform::formatTaskName(run.task),
                                        run.run.value, runOutcomeName(run.outcome),
                                        run.checkpoint});
        return jsonResponse(200, body);
    }

    FakeRunners &runners_;
    FakeRunPort &port_;
    HttpServer server_;
};

/// The store, the workers and the load, on a fake clock that follows the steady clock.
class Platform
{
public:
    explicit Platform(const LoadSettings &load)
        : load_(load), timers_(clock_), store_(clock_), storePort_(store_, timers_),
          runners_(clock_), runPort_(runners_, timers_), storeServer_(loop_, storePort_),
          workerServer_(loop_, runners_, runPort_)
    {
        putConfig();
        for (int i = 0; i < load_.workers; ++i)
            addWorker(i);
    }

    void run(Duration span)
    {
        loop_.onSignal(SIGTERM, [this](Time) { loop_.stop(); });
        lastTick_ = loop_.now();
        scheduleTick();
        loop_.after(span, [this](Time) { loop_.stop(); });
        scheduleReport();
        submitLongRunning();
        loop_.run();
    }

private:
    void scheduleTick()
    {
        loop_.after(TickInterval, [this](Time now) {
            const Duration passed = now - std::exchange(lastTick_, now);
            submitDue(passed);
            clock_.advance(passed);
            scheduleTick();
        });
    }

    void putConfig()
    {
        const auto route = [](const char *name, int priority) {
            return Json{{"Name", name},
                        {"Host", "desk.example"},
                        {"Prefix", std::string("/") + name},
                        {"Service", "desk"},
                        {"Priority", priority},
                        {"MaxAttempts", 3},
                        {"SlackFactor", 2},
                        {"TargetLatencyMs", 1000}};
        };
        const Json config{{"ConfigVersion", 1},
                          {"Routes", {route("short", 0), route("wide", 1), route("feed", 2)}},
                          {"Services", {{{"Name", "desk"}, {"AdmissionControl", true}}}}};
        store_.put("op/config", config.dump());
    }

    void addWorker(int index)
    {
        WorkerEntry entry;
        entry.id = WorkerId("worker-" + std::to_string(index));
        entry.incarnation.value = EventLoop::wallMilliseconds();
        runners_.add(entry);
        const std::string ip =
                "127.1." + std::to_string(index / 200) + '.' + std::to_string(1 + index % 200);
        const Json value{{"Service", "desk"},
                         {"Address", ip + ':' + std::to_string(WorkerPort)},
                         {"Zone", "a"},
                         {"State", "ready"},
                         {"born", entry.incarnation.value},
                         {"Capacity", {{"Cpu", 16000}, {"MemMb", 62500}, {"Gpu", 0}}},
                         {"Labels", {"a", "r" + std::to_string(index / 8)}}};
        store_.put("servers/" + entry.id.str(), value.dump());
    }

    JobSpec jobOf(const char *queue, const std::string &payload)
    {
        std::array<char, 17> id{};
        std::snprintf(id.data(), id.size(), "%016d", ++jobs_);
        JobSpec spec;
        spec.id = JobId(id.data());
        spec.queue = QueueId(queue);
        spec.payload = payload;
        spec.submitted = {EventLoop::wallMilliseconds()};
        return spec;
    }

    static StepSpec stepOf(int count, std::uint64_t cpu, Duration estimate)
    {
        StepSpec step;
        step.count = count;
        step.cpu.value = cpu;
        step.memory.value = 256;
        step.estimate = estimate;
        return step;
    }

    void submit(const JobSpec &spec)
    {
        store_.put("jobs/in/spec/" + spec.id.str(), encodeSpec(spec));
    }

    void submitDue(Duration passed)
    {
        dueShortJobs_ += load_.shortJobsPerSecond * toMilliseconds(passed) / 1000;
        dueWideJobs_ += load_.wideJobsPerSecond * toMilliseconds(passed) / 1000;
        for (; dueShortJobs_ >= 1; --dueShortJobs_) {
            JobSpec spec = jobOf("short", "ms=1000");
            spec.steps.push_back(stepOf(14, 3200, seconds(1)));
            submit(spec);
        }
        for (; dueWideJobs_ >= 1; --dueWideJobs_) {
            JobSpec spec = jobOf("wide", "ms=1700");
            spec.steps.push_back(stepOf(39, 1800, milliseconds(1700)));
            spec.steps.push_back(stepOf(39, 1800, milliseconds(1700)));
            spec.steps[1].after = {0};
            spec.steps[1].bestEffort = true;
            spec.steps[1].cpu.value = 1000 + 400 * static_cast<std::uint64_t>(jobs_ % SizeCount);
            spec.steps[1].image = "batch-" + std::to_string(jobs_ % ImageCount);
            submit(spec);
        }
    }

    void submitLongRunning()
    {
        for (int i = 0; i < load_.servingJobs + load_.bestEffortJobs; ++i) {
            JobSpec spec = jobOf("feed", "ms=3600000");
            spec.steps.push_back(stepOf(24, 2000, milliseconds(400)));
            StepSpec &step = spec.steps[0];
            step.longRunning = true;
            step.bestEffort = i >= load_.servingJobs;
            step.image = (step.bestEffort ? "filler-" : "feed-") + std::to_string(i % ImageCount);
            if (!step.bestEffort) {
                step.tailLatencyTarget = milliseconds(400);
                step.antiAffinity = 1;
            }
            submit(spec);
        }
    }

    /// Prints one line each second, of figures since the start.
    void scheduleReport()
    {
        loop_.after(seconds(1), [this](Time) {
            std::cout << Json{{"calls", workerServer_.calls},
                              {"storeRevision", store_.range("op/config", "").storeRevision.value},
                              {"jobs", jobs_},
                              {"runningTasks", runners_.runningCount()},
                              {"findings", runners_.findings}}
                                 .dump()
                      << std::endl;
            scheduleReport();
        });
    }

    LoadSettings load_;
    EventLoop loop_;
    FakeClock clock_;
    FakeTimers timers_;
    FakeKeyValueStore store_;
    FakeKeyValuePort storePort_;
    FakeRunners runners_;
    FakeRunPort runPort_;
    StoreServer storeServer_;
    WorkerServer workerServer_;
    Time lastTick_{};
    int jobs_ = 0;
    double dueShortJobs_ = 0;
    double dueWideJobs_ = 0;
};

} // namespace

namespace {

/// The defaults are the load of 540 workers. `factor` is for the jobs that end.
void scaleToWorkers(LoadSettings &load, double factor)
{
    const double share = static_cast<double>(load.workers) / LoadSettings().workers;
    load.shortJobsPerSecond *= factor * share;
    load.wideJobsPerSecond *= factor * share;
    load.servingJobs = static_cast<int>(std::lround(load.servingJobs * share));
    load.bestEffortJobs = static_cast<int>(std::lround(load.bestEffortJobs * share));
}

} // namespace

int main(int argc, char **argv)
{
    LoadSettings load;
    int spanSeconds = 20;
    namespace po = boost::program_options;
    po::options_description options("Options");
    options.add_options()("help", "print this help")(
            "workers", po::value(&load.workers)->default_value(load.workers), "number of workers")(
            "load", po::value<double>()->default_value(1), "factor on the rate of submissions")(
            "seconds", po::value(&spanSeconds)->default_value(spanSeconds), "time to run");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.count("help") != 0) {
            std::cout << options;
            return 0;
        }
        scaleToWorkers(load, values["load"].as<double>());
        Platform(load).run(seconds(spanSeconds));
        return 0;
    } catch (const std::exception &error) {
        std::cerr << argv[0] << ": " << error.what() << '\n';
        return 2;
    }
}
