#include "adapters/adapters.h"
#include "adapters/http_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace monsoonledge {

namespace {

constexpr int MaxConnections = 4;
constexpr std::size_t MaxReportBytes = 1024 * 1024;

const char *commandName(TaskCommand command)
{
    switch (command) {
    case TaskCommand::Start:
        return "start";
    case TaskCommand::Renew:
        return "renew";
    case TaskCommand::Throttle:
        return "throttle";
    case TaskCommand::Checkpoint:
        return "checkpoint";
    case TaskCommand::Stop:
        return "stop";
    }
    return "";
}

nlohmann::json orderBody(const TaskOrder &order)
{
    nlohmann::json body = nlohmann::json::object();
    if (order.command == TaskCommand::Start || order.command == TaskCommand::Renew)
        body["leaseMs"] = wholeMilliseconds(order.lease);
    if (order.command == TaskCommand::Start) {
        body["cores"] = static_cast<double>(order.cores.value) / 1000;
        body["memoryMb"] = order.memory.value;
        body["accelerators"] = order.accelerators;
        body["runMs"] = wholeMilliseconds(order.runTime);
        body["checkpoint"] = order.checkpoint;
    }
    if (order.command == TaskCommand::Throttle)
        body["percent"] = order.throttlePercent;
    return body;
}

OrderStatus toOrderStatus(const HttpResult &result)
{
    if (isCertainlyUnsent(result.failure))
        return OrderStatus::Refused;
    if (result.failure != HttpFailure::None)
        return OrderStatus::Unknown;
    const int status = result.response.status;
    if (status / 100 == 2)
        return OrderStatus::Ok;
    return status == 503 || status / 100 == 4 ? OrderStatus::Refused : OrderStatus::Unknown;
}

WorkerTask parseTask(const nlohmann::json &json)
{
    static const std::map<std::string, WorkerTaskState> states{
            {"running", WorkerTaskState::Running},
            {"done", WorkerTaskState::Done},
            {"failed", WorkerTaskState::Failed},
            {"stopped", WorkerTaskState::Stopped}};
    WorkerTask task;
    task.task = TaskId(json.at("task").get<std::string>());
    task.generation.value = json.at("generation").get<std::uint64_t>();
    // A task in an unknown state may still be running. It is reported as running, so that it is not
    // started again.
    const auto state = states.find(json.at("state").get<std::string>());
    task.state = state == states.end() ? WorkerTaskState::Running : state->second;
    task.checkpoint = json.value("checkpoint", std::string());
    task.progress = milliseconds(json.value("progressMs", std::int64_t{0}));
    return task;
}

/// Rejects the whole report if one task cannot be parsed, because a task missing from a report
/// would be taken for one that is not running.
WorkerReport parseReport(const HttpResult &result)
{
    if (result.failure != HttpFailure::None || result.response.status != 200)
        return {};
    try {
        const nlohmann::json json = nlohmann::json::parse(result.response.body);
        WorkerReport report;
        for (const nlohmann::json &task : json.at("tasks"))
            report.tasks.push_back(parseTask(task));
        const nlohmann::json &usage = json.at("usage");
        report.usedCores.value = static_cast<std::uint64_t>(
                std::llround(std::max(usage.at("cores").get<double>(), 0.0) * 1000));
        report.usedMemory.value = usage.at("memoryMb").get<std::uint64_t>();
        report.sampleAge = milliseconds(usage.at("sampleAgeMs").get<std::int64_t>());
        report.ok = true;
        return report;
    } catch (const nlohmann::json::exception &) {
        return {};
    }
}

class WorkerClient : public WorkerPort
{
public:
    WorkerClient(EventLoop &loop, Duration timeout)
        : timeout_(timeout),
          http_(loop, {MaxConnections, std::min<Duration>(timeout, seconds(1)), MaxReportBytes})
    { }

    void order(
            const Address &worker, const TaskOrder &order,
            std::function<void(OrderStatus, const std::string &checkpoint, Time now)> done) override
    {
        const std::string target = "/tasks/" + percentEncode(order.task.str()) + '/'
                                   + std::to_string(order.generation.value) + '/'
                                   + commandName(order.command);
        const std::string body =
                orderBody(order).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        http_.send(worker, "POST", target, {{"Content-Type", "application/json"}}, body, timeout_,
                   [done = std::move(done)](const HttpResult &result, Time now) {
                       std::string checkpoint;
                       const auto json = parseJsonObject(result.response.body);
                       if (json && json->contains("checkpoint")
                           && json->at("checkpoint").is_string())
                           checkpoint = json->at("checkpoint").get<std::string>();
                       done(toOrderStatus(result), checkpoint, now);
                   });
    }

    void report(const Address &worker,
                std::function<void(const WorkerReport &, Time now)> done) override
    {
        http_.send(worker, "GET", "/tasks", {}, {}, timeout_,
                   [done = std::move(done)](const HttpResult &result, Time now) {
                       done(parseReport(result), now);
                   });
    }

private:
    Duration timeout_;
    HttpClient http_;
};

} // namespace

std::unique_ptr<WorkerPort> makeWorkerClient(EventLoop &loop, Duration timeout)
{
    return std::make_unique<WorkerClient>(loop, timeout);
}

} // namespace monsoonledge
