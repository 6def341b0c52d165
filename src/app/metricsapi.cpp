#include "app/metricsapi.h"

#include <bitset>

namespace monsoonledge {

namespace {

void syncSheet(const Node &node, Metrics &metrics)
{
    if (node.sheetVersion().revision != metrics.sheetRevision())
        metrics.applySheet(node.sheet(), node.sheetVersion().revision);
}

ProcessGauges readGauges(const Node &node)
{
    ProcessGauges gauges;
    gauges.queued = static_cast<std::size_t>(node.admission().queued());
    gauges.running = static_cast<std::size_t>(node.endpoints().running());
    gauges.ownedUnits = std::bitset<UnitCount>(node.membership().usableUnits()).count();
    gauges.claims = node.claims().size();
    gauges.storeClaims = node.claims().mode() == ClaimMode::Store;
    gauges.storeReachable = node.membership().storeReachable();
    for (const auto &item : node.endpoints().endpoints())
        gauges.endpointsEjected += item.second.ejected ? 1 : 0;
    for (const TaskState state : {TaskState::Queued, TaskState::Claimed, TaskState::Running,
                                  TaskState::Evicting, TaskState::Done, TaskState::Failed})
        gauges.batchTasks[taskStateName(state)] = 0;
    for (const auto &item : node.batch().state().tasks)
        ++gauges.batchTasks[taskStateName(item.second.state)];
    return gauges;
}

} // namespace

void connectMetrics(Node &node, Metrics &metrics, const EventLoop &loop)
{
    node.answered.connect([&node, &metrics, &loop](const ClassId &requestClass,
                                                   const CallerId &caller, Outcome outcome,
                                                   Duration latency) {
        syncSheet(node, metrics);
        metrics.record(requestClass, caller, outcome, latency, loop.now());
    });
}

HttpResponse metricsResponse(const Node &node, Metrics &metrics)
{
    syncSheet(node, metrics);
    HttpResponse response;
    response.headers["Content-Type"] = "text/plain; version=0.0.4; charset=utf-8";
    response.body = metrics.prometheus(readGauges(node));
    return response;
}

HttpResponse burnResponse(const Node &node, Metrics &metrics, Time now)
{
    syncSheet(node, metrics);
    HttpResponse response;
    response.headers["Content-Type"] = "application/json";
    response.body = encodeBurn(metrics.burn(node.self(), now)) + '\n';
    return response;
}

} // namespace monsoonledge
