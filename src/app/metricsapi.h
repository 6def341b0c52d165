// The parts of the HTTP interface that read the metrics of an entry process.
#pragma once

#include "adapters/adapters.h"
#include "metrics/metrics.h"
#include "node/node.h"

namespace monsoonledge {

/// Tells `metrics` of each answered request. Both objects must outlive the event loop.
void connectMetrics(Node &node, Metrics &metrics, const EventLoop &loop);

HttpResponse metricsResponse(const Node &node, Metrics &metrics);
HttpResponse burnResponse(const Node &node, Metrics &metrics, Time now);

} // namespace monsoonledge
