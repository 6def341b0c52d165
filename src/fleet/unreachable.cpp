// Sections:
//   [1] Record
//   [2] View
//   [3] Writer
#include "fleet/unreachable_p.h"

#include "fleet/keys_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <limits>
#include <utility>

namespace monsoonledge {

namespace {

using Json = nlohmann::json;

constexpr int RecordFormat = 1;
constexpr Duration RetryDelay = milliseconds(250); // after a failed write
// Workers that are lost together fail their calls within this time, and are listed in one write.
constexpr Duration ListingDelay = milliseconds(200);

std::int64_t millisecondsOf(Time time)
{
    return wholeMilliseconds(time.time_since_epoch());
}

/// Throws std::out_of_range if the time is out of range.
Time decodeTime(const Json &json)
{
    const auto count = json.get<std::int64_t>();
    if (count < 0 || count > std::numeric_limits<std::int32_t>::max() * std::int64_t{1000})
        throw std::out_of_range("a time is out of range");
    return Time(milliseconds(count));
}

} // namespace

// [1] Record

std::string encodeUnreachableWorkers(const UnreachableWorkers &record)
{
    Json rows = Json::array();
    for (const auto &[id, worker] : record.workers)
        rows.push_back({id.str(), worker.incarnation.value,
                        millisecondsOf(worker.leaseExpiry) + 1, // rounded up
                        worker.address.ip, worker.address.port});
    const Json json = Json::array(
            {RecordFormat, record.writer.value, millisecondsOf(record.writtenAt), rows});
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::optional<UnreachableWorkers> decodeUnreachableWorkers(const std::string &bytes)
{
    try {
        checkCbor(bytes); // from_cbor() recurses on nested items
        const Json json = Json::from_cbor(bytes);
        if (json.at(0).get<int>() != RecordFormat)
            return std::nullopt;
        UnreachableWorkers record;
        record.writer.value = json.at(1).get<std::uint64_t>();
        record.writtenAt = decodeTime(json.at(2));
        for (const Json &row : json.at(3)) {
            UnreachableWorker &worker = record.workers[WorkerId(row.at(0).get<std::string>())];
            worker.incarnation.value = row.at(1).get<std::uint64_t>();
            worker.leaseExpiry = decodeTime(row.at(2));
            worker.address = {row.at(3).get<std::string>(), row.at(4).get<std::uint16_t>()};
        }
        return record;
    } catch (const std::exception &) { // the caller logs the key of the record
        return std::nullopt;
    }
}

// [2] View

bool UnreachableView::receive(const KeyValue &item, Time receivedAt)
{
    if (item.revision <= revision_)
        return true;
    revision_ = item.revision;
    std::optional<UnreachableWorkers> record;
    if (!item.deleted)
        record = decodeUnreachableWorkers(item.value);
    if (!record) {
        record_ = {};
        return item.deleted;
    }
    const Duration offset = receivedAt - record->writtenAt;
    const bool isSameClock = record->writer == record_.writer;
    clockOffset_ = isSameClock ? std::min(clockOffset_, offset) : offset;
    record_ = std::move(*record);
    return true;
}

std::map<WorkerId, UnreachableWorker> UnreachableView::workers() const
{
    std::map<WorkerId, UnreachableWorker> workers = record_.workers;
    for (auto &[id, worker] : workers)
        worker.leaseExpiry += clockOffset_;
    return workers;
}

// [3] Writer

UnreachableWriter::UnreachableWriter(FencingToken writer, Commit commit)
    : writer_(writer), commit_(std::move(commit))
{ }

void UnreachableWriter::start(const UnreachableView &stored)
{
    revision_ = stored.revision();
    stored_ = stored.workers();
    for (const auto &[id, worker] : stored_)
        mayBeListed_.insert(id);
}

/// True if the stored record lists these workers, and perhaps others.
bool UnreachableWriter::isComplete(const std::map<WorkerId, UnreachableWorker> &unreachable) const
{
    return std::all_of(unreachable.begin(), unreachable.end(), [this](const auto &entry) {
        const auto found = stored_.find(entry.first);
        return found != stored_.end() && found->second.incarnation == entry.second.incarnation;
    });
}

void UnreachableWriter::update(std::map<WorkerId, UnreachableWorker> unreachable, bool isUrgent,
                               Time now)
{
    if (isComplete(unreachable))
        incompleteSince_.reset();
    else if (!incompleteSince_)
        incompleteSince_ = now;
    const bool isListingDue = incompleteSince_ && now - *incompleteSince_ >= ListingDelay;
    if (!isWriting_ && now >= notBefore_ && (isUrgent || isListingDue))
        write(std::move(unreachable), now);
}

/// The record is replaced and never removed: with a condition on its last revision, a write whose
/// answer was lost cannot take effect after a later one.
void UnreachableWriter::write(std::map<WorkerId, UnreachableWorker> unreachable, Time now)
{
    written_ = {writer_, now, std::move(unreachable)};
    Transaction transaction;
    transaction.conditions.push_back({keys::Unreachable, revision_});
    transaction.puts.push_back({keys::Unreachable, encodeUnreachableWorkers(written_), LeaseId{}});
    isWriting_ = true;
    commit_(
            transaction,
            [this](const KeyValueResult &result, Time eventTime) { onAnswer(result, eventTime); },
            now);
}

void UnreachableWriter::onAnswer(const KeyValueResult &result, Time now)
{
    isWriting_ = false;
    if (result.status == KeyValueStatus::Ok) {
        onStored(result.storeRevision);
        return;
    }
    const auto current =
            std::find_if(result.items.begin(), result.items.end(),
                         [](const KeyValue &item) { return item.key == keys::Unreachable; });
    if (result.status == KeyValueStatus::Conflict && current != result.items.end()) {
        // An earlier write, whose answer was lost, has taken effect. The next one replaces it.
        revision_ = current->revision;
        return;
    }
    if (result.status == KeyValueStatus::Unknown) {
        for (const auto &[id, worker] : written_.workers)
            mayBeListed_.insert(id);
    }
    notBefore_ = now + RetryDelay;
}

void UnreachableWriter::onStored(StoreRevision revision)
{
    revision_ = revision;
    stored_ = written_.workers;
    mayBeListed_.clear();
    for (const auto &[id, worker] : stored_)
        mayBeListed_.insert(id);
}

} // namespace monsoonledge
