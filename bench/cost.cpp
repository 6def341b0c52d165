// Time, message size and memory of the parts that grow with the fleet. Times vary between machines,
// so no figure here has a bound.

#include "adapters/adapters.h"
#include "admission/admission.h"
#include "batch/batch.h"
#include "bench.h"
#include "claims/segment_p.h"
#include "routing/routing.h"

#include <chrono>
#include <malloc.h>

namespace monsoonledge::bench {

namespace {

const ServiceId Desk("desk");
const ClassId Sync("desk/sync");

/// Median of seven batches, in ns per call.
template<typename Function> double nanoseconds(int calls, Function call)
{
    std::vector<double> batches;
    batches.reserve(7);
    for (int batch = 0; batch < 7; ++batch) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i)
            call(i);
        const std::chrono::duration<double, std::nano> time =
                std::chrono::steady_clock::now() - start;
        batches.push_back(time.count() / calls);
    }
    return median(batches);
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

HostId workerId(int number)
{
    return HostId("zilina1-worker-" + std::to_string(number));
}

void put(Report &report, const std::string &name, double value)
{
    report.note("cost", name, value);
    report.line("       cost." + name + " = " + std::to_string(value));
}

void measureRouting(int workers, Report &report)
{
    HostListing listing;
    listing.ok = true;
    for (int i = 0; i < workers; ++i) {
        HostInfo host;
        host.id = workerId(i);
        host.domain = DomainId("zilina1");
        host.service = Desk;
        host.slots = 8;
        listing.hosts.push_back(host);
    }
    const double before = heapBytes();
    EndpointTable table(RoutingSettings(), DomainId("zilina1"), {EntryId("e"), Incarnation{1}}, 1);
    table.setUnits(0xffff);
    table.applyHosts(listing, Time());
    const double bytes = (heapBytes() - before) / workers;
    const auto suffix = "." + std::to_string(workers);
    put(report, "endpointBytes" + suffix, bytes);
    const double ns = nanoseconds(20000, [&table](int) {
        const auto host = table.chooseEndpoint(Desk, true, {}, Time());
        table.recordStart(*host, Time());
        table.recordResult(*host, RunStatus::Answered, 200, milliseconds(40), Time());
    });
    put(report, "endpointChoiceNs" + suffix, ns);
}

void measureAdmission(int callers, Report &report)
{
    Sheet sheet;
    sheet.services.emplace_back();
    sheet.services[0].id = Desk;
    RequestClass definition;
    definition.id = Sync;
    definition.service = Desk;
    definition.floor = 1;
    sheet.services[0].classes.push_back(definition);
    Admission admission{AdmissionSettings()};
    admission.applySheet(sheet);
    admission.setSlots(Desk, 32);
    std::vector<CallerId> names;
    names.reserve(static_cast<std::size_t>(callers));
    for (int i = 0; i < callers; ++i)
        names.emplace_back("team-" + std::to_string(i));
    const Time deadline{seconds(60)};
    RequestToken token = 0;
    // One request of each caller waits throughout.
    for (const CallerId &caller : names)
        admission.offer({++token, Sync, caller, deadline}, Time());
    const auto serve = [&](int i) {
        admission.offer({++token, Sync, names[static_cast<std::size_t>(i % callers)], deadline},
                        Time());
        const QueuedRequest next = *admission.peek(Desk);
        admission.start(next);
        admission.finish(Sync, next.caller, milliseconds(40));
    };
    const auto suffix = "." + std::to_string(callers);
    put(report, "admissionServeNs" + suffix, nanoseconds(20000, serve));
    const auto refuse = [&](int i) {
        admission.offer({1, Sync, names[static_cast<std::size_t>(i % callers)], Time()}, Time());
    };
    put(report, "admissionRefuseNs" + suffix, nanoseconds(20000, refuse));
}

void measurePlacement(int workers, Report &report)
{
    CapacityIndex index;
    Random random(1);
    for (int i = 0; i < workers; ++i)
        index.set(workerId(i), {static_cast<std::int64_t>(random.below(16000)), 60000, 0});
    const double ns = nanoseconds(5000, [&](int i) {
        index.findCandidates({2000, 4000, 0}, 8);
        index.set(workerId(i % workers),
                  {static_cast<std::int64_t>(random.below(16000)), 60000, 0});
    });
    put(report, "placementNs." + std::to_string(workers), ns);
}

template<typename Message>
void measureMessage(const std::string &name, const Message &message, Report &report)
{
    put(report, name + "Bytes", static_cast<double>(encodePeerMessage(message).size()));
    const double ns = nanoseconds(2000, [&message](int) {
        decodePeerMessage(encodePeerMessage(message), PeerMessageHandlers());
    });
    put(report, name + "EncodeDecodeNs", ns);
}

} // namespace

void runCost(Report &report)
{
    for (const int workers : {50, 73, 400, 1600}) {
        measureRouting(workers, report);
        measurePlacement(workers, report);
    }
    for (const int callers : {1, 20, 110})
        measureAdmission(callers, report);

    Heartbeat heartbeat;
    heartbeat.domain = DomainId("zilina1");
    heartbeat.entry = EntryId("zilina1-entry-1");
    heartbeat.incarnation = Incarnation{1780000000000};
    heartbeat.sequence = heartbeat.acknowledged = 100000;
    heartbeat.sheetRevision = Revision{1800};
    heartbeat.units = 0xffff;
    measureMessage("heartbeat", heartbeat, report);
    ForwardMessage forward;
    forward.correlation = 100000;
    forward.request.id = RequestId("zilina1~1780000000000-12345678.1-100000");
    forward.request.caller = CallerId("team-100");
    forward.request.service = Desk;
    forward.request.requestClass = Sync;
    forward.request.body = std::string(200, 'x');
    measureMessage("forward200", forward, report);

    BatchState state;
    Segment segment;
    segment.run = {heartbeat.entry, heartbeat.incarnation};
    for (int i = 0; i < 590; ++i) {
        BatchTask task;
        task.id = TaskId("tatrasen-2026-12-04.standings." + std::to_string(i));
        task.job = "standings";
        task.state = TaskState::Running;
        task.worker = workerId(i % 73);
        task.checkpoint = "step-100";
        state.tasks.emplace(task.id, task);
    }
    for (int i = 0; i < 1024; ++i)
        segment.claims.emplace_back("zilina1~1780000000000-12345678.1-" + std::to_string(i));
    const auto each = [](const std::string &text, int count) {
        return static_cast<double>(text.size()) / count;
    };
    put(report, "batchStateBytesPerTask", each(encodeBatchState(state), 590));
    put(report, "batchStateEncodeNs", nanoseconds(20, [&](int) { encodeBatchState(state); }));
    put(report, "claimLogBytesPerClaim", each(encodeSegment(segment), 1024));
    put(report, "claimSegmentEncodeNs", nanoseconds(20, [&](int) { encodeSegment(segment); }));
}

} // namespace monsoonledge::bench
