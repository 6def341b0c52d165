// The report for admission in its stored form.
#include "overload/overload.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace monsoonledge {

namespace {

using Json = nlohmann::json;

constexpr int ReportFormat = 1;
constexpr std::int64_t MaxDelayMs = 3600 * 1000;
constexpr std::int64_t MaxTotal = 1000000000000; // millicores, MiB or core-milliseconds
constexpr double Thousandths = 1000;
constexpr double MaxFactor = 1000;

/// Throws std::exception if the value is not a whole number within the bounds.
std::int64_t decodeNumber(const Json &json, std::int64_t lowest, std::int64_t highest)
{
    if (!json.is_number_integer())
        throw std::invalid_argument("not a whole number");
    const auto value = json.get<std::int64_t>();
    if (value < lowest || value > highest)
        throw std::invalid_argument("out of range");
    return value;
}

Duration decodeDelay(const Json &json)
{
    return milliseconds(decodeNumber(json, 0, MaxDelayMs));
}

std::int64_t thousandths(double value)
{
    return static_cast<std::int64_t>(std::clamp(value, 0.0, 1e9) * Thousandths);
}

Json encodeService(const ServiceLoad &service)
{
    Json priorities = Json::array();
    for (const PriorityLoad &load : service.priorities)
        priorities.push_back(Json::array(
                {load.priority, wholeMilliseconds(load.delay), wholeMilliseconds(load.lateDelay),
                 thousandths(load.waitingCoreSeconds), wholeMilliseconds(load.bestEffortDelay),
                 wholeMilliseconds(load.bestEffortLateDelay),
                 thousandths(load.bestEffortCoreSeconds)}));
    Json shapes = Json::array();
    for (const WorkerShape &shape : service.shapes)
        shapes.push_back(Json::array({shape.label, shape.cpu, shape.memory, shape.accelerators}));
    const auto limited = [](std::int64_t value) {
        return std::clamp<std::int64_t>(value, -MaxTotal, MaxTotal);
    };
    return Json::array({service.service.str(), limited(service.total), limited(service.free),
                        limited(service.bestEffortFree), priorities, shapes});
}

ServiceLoad decodeService(const Json &json)
{
    ServiceLoad service;
    service.service = ServiceId(json.at(0).get<std::string>());
    service.total = decodeNumber(json.at(1), 0, MaxTotal);
    service.free = decodeNumber(json.at(2), -MaxTotal, MaxTotal);
    service.bestEffortFree = decodeNumber(json.at(3), -MaxTotal, MaxTotal);
    for (const Json &row : json.at(4)) {
        PriorityLoad load;
        load.priority = static_cast<int>(decodeNumber(row.at(0), -1000000, 1000000));
        load.delay = decodeDelay(row.at(1));
        load.lateDelay = decodeDelay(row.at(2));
        load.waitingCoreSeconds =
                static_cast<double>(decodeNumber(row.at(3), 0, MaxTotal)) / Thousandths;
        load.bestEffortDelay = decodeDelay(row.at(4));
        load.bestEffortLateDelay = decodeDelay(row.at(5));
        load.bestEffortCoreSeconds =
                static_cast<double>(decodeNumber(row.at(6), 0, MaxTotal)) / Thousandths;
        service.priorities.push_back(load);
    }
    for (const Json &row : json.at(5)) {
        WorkerShape shape;
        shape.label = row.at(0).get<std::string>();
        shape.cpu = decodeNumber(row.at(1), 0, MaxTotal);
        shape.memory = decodeNumber(row.at(2), 0, MaxTotal);
        shape.accelerators = static_cast<int>(decodeNumber(row.at(3), 0, MaxAccelerators));
        service.shapes.push_back(std::move(shape));
    }
    return service;
}

} // namespace

std::string encodeAdmissionReport(const AdmissionReport &report)
{
    Json services = Json::array();
    for (const ServiceLoad &service : report.services)
        services.push_back(encodeService(service));
    Json queues = Json::array();
    for (const QueueLoad &queue : report.queues)
        queues.push_back(Json::array({queue.queue.str(), thousandths(queue.durationFactor),
                                      wholeMilliseconds(queue.shareDelay),
                                      queue.isBelowShare ? 1 : 0, thousandths(queue.admitShare)}));
    std::string bytes;
    Json::to_cbor(Json::array({ReportFormat, services, queues}),
                  nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::optional<AdmissionReport> decodeAdmissionReport(const std::string &bytes)
{
    try {
        checkCbor(bytes); // from_cbor() recurses on nested items
        const Json json = Json::from_cbor(bytes);
        if (json.at(0).get<int>() != ReportFormat)
            return std::nullopt;
        AdmissionReport report;
        for (const Json &row : json.at(1))
            report.services.push_back(decodeService(row));
        for (const Json &row : json.at(2)) {
            QueueLoad queue;
            queue.queue = QueueId(row.at(0).get<std::string>());
            queue.durationFactor = std::min(
                    static_cast<double>(decodeNumber(row.at(1), 0, MaxTotal)) / Thousandths,
                    MaxFactor);
            queue.shareDelay = decodeDelay(row.at(2));
            queue.isBelowShare = decodeNumber(row.at(3), 0, 1) == 1;
            queue.admitShare = static_cast<double>(decodeNumber(row.at(4), 0, 1000)) / Thousandths;
            report.queues.push_back(queue);
        }
        return report;
    } catch (const std::exception &) { // the caller logs the key of the record
        return std::nullopt;
    }
}

const ServiceLoad *AdmissionReport::find(const ServiceId &service) const
{
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&](const ServiceLoad &load) { return load.service == service; });
    return it == services.end() ? nullptr : &*it;
}

const QueueLoad *AdmissionReport::find(const QueueId &queue) const
{
    const auto it = std::find_if(queues.begin(), queues.end(),
                                 [&](const QueueLoad &load) { return load.queue == queue; });
    return it == queues.end() ? nullptr : &*it;
}

} // namespace monsoonledge
