#include "fleet/fleet.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr Duration CollectDelay = milliseconds(1); // requests that arrive together
constexpr Duration RetryDelay = milliseconds(60); // after an answer that was lost
constexpr int MaxInFlight = 3;
constexpr std::size_t MaxBatch = MaxTransactionEntries / 2; // a condition and a put for each key
constexpr int MaxRefusals = 2; // attempts that certainly did nothing, until the caller is told

} // namespace

OnceWriter::OnceWriter(const FleetPorts &ports) : ports_(ports) { }

OnceWriter::~OnceWriter() = default;

void OnceWriter::create(const std::string &key, const std::string &value, Time deadline, Done done,
                        Time now)
{
    (void)now;
    queue_.push_back({key, value, deadline, std::move(done)});
    flushLater(CollectDelay);
}

void OnceWriter::flushLater(Duration delay)
{
    ports_.timers.after(delay, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (!alive.expired())
            flush(now);
    });
}

void OnceWriter::flush(Time now)
{
    (void)now;
    while (!queue_.empty() && inFlight_ < MaxInFlight) {
        auto batch = std::make_shared<Batch>();
        Transaction transaction;
        std::vector<Item> rest;
        for (Item &item : queue_) {
            const bool isRepeated =
                    std::any_of(batch->begin(), batch->end(),
                                [&](const Item &other) { return other.key == item.key; });
            if (batch->size() >= MaxBatch || isRepeated) {
                rest.push_back(std::move(item));
                continue;
            }
            transaction.conditions.push_back({item.key, StoreRevision{}});
            transaction.puts.push_back({item.key, item.value, LeaseId{}});
            ++item.attempts;
            batch->push_back(std::move(item));
        }
        queue_ = std::move(rest);
        ++inFlight_;
        sent_ += batch->size();
        ports_.store.commit(transaction, [this, batch, alive = std::weak_ptr<int>(alive_)](
                                                 const KeyValueResult &result, Time later) {
            if (!alive.expired())
                onAnswer(batch, result, later);
        });
    }
}

void OnceWriter::onAnswer(const std::shared_ptr<Batch> &batch, const KeyValueResult &result,
                          Time now)
{
    --inFlight_;
    sent_ -= batch->size();
    for (Item &item : *batch) {
        if (result.status == KeyValueStatus::Ok) {
            item.done(CreateOutcome::Created, now);
            continue;
        }
        const auto current =
                std::find_if(result.items.begin(), result.items.end(),
                             [&](const KeyValue &other) { return other.key == item.key; });
        if (result.status == KeyValueStatus::Conflict && current != result.items.end()
            && current->revision.value > 0) {
            const bool isOwn = item.maybeWritten && current->value == item.value;
            item.done(isOwn ? CreateOutcome::Created : CreateOutcome::Exists, now);
            continue;
        }
        retry(std::move(item), result.status == KeyValueStatus::Unknown, now);
    }
    flush(now);
}

void OnceWriter::retry(Item item, bool maybeWritten, Time now)
{
    item.maybeWritten = item.maybeWritten || maybeWritten;
    if (!item.maybeWritten && item.attempts >= MaxRefusals) {
        item.done(CreateOutcome::NotDone, now);
        return;
    }
    if (now + RetryDelay >= item.deadline) {
        item.done(item.maybeWritten ? CreateOutcome::Unknown : CreateOutcome::NotDone, now);
        return;
    }
    queue_.push_back(std::move(item));
    flushLater(RetryDelay);
}

} // namespace monsoonledge
