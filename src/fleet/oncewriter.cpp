#include "fleet/fleet.h"

#include "fleet/retrydelay_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr Duration BatchDelay = milliseconds(1); // so that simultaneous writes share a batch
constexpr Duration RetryDelay = milliseconds(60); // doubled with each attempt, up to the maximum
constexpr Duration MaxRetryDelay = milliseconds(480);
constexpr Duration StallTime = milliseconds(450); // a reachable store answers sooner, even if slow
constexpr std::size_t MaxInFlight = 3; // transactions
// A transaction has a condition and a put for each key.
constexpr std::size_t MaxBatchSize = MaxTransactionEntries / 2;
constexpr std::uint64_t MaxUnappliedAttempts =
        2; // attempts without effect, after which the write has failed

} // namespace

OnceWriter::OnceWriter(const FleetPorts &ports) : ports_(ports) { }

OnceWriter::~OnceWriter() = default;

void OnceWriter::create(const std::string &key, const std::string &value, Time deadline,
                        CreateCallback done, Time now)
{
    if (isStalled(now)) {
        done(CreateOutcome::NotApplied, now);
        return;
    }
    queue_.push_back({key, value, deadline, std::move(done)});
    scheduleFlush(BatchDelay);
}

bool OnceWriter::isStalled(Time now) const
{
    return std::any_of(
            inFlight_.begin(), inFlight_.end(),
            [now](const std::shared_ptr<Batch> &batch) { return now - batch->sentAt > StallTime; });
}

void OnceWriter::scheduleFlush(Duration delay)
{
    ports_.timers.after(delay, [this, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (!alive.expired())
            flush(now);
    });
}

void OnceWriter::flush(Time now)
{
    while (!queue_.empty() && inFlight_.size() < MaxInFlight) {
        auto batch = std::make_shared<Batch>();
        batch->sentAt = now;
        Transaction transaction;
        std::vector<Item> remaining;
        for (Item &item : queue_) {
            const bool isRepeated =
                    std::any_of(batch->items.begin(), batch->items.end(),
                                [&](const Item &other) { return other.key == item.key; });
            if (batch->items.size() >= MaxBatchSize || isRepeated || item.notBefore > now) {
                remaining.push_back(std::move(item));
                continue;
            }
            transaction.conditions.push_back({item.key, StoreRevision{}});
            transaction.puts.push_back({item.key, item.value, LeaseId{}});
            ++item.attempts;
            batch->items.push_back(std::move(item));
        }
        queue_ = std::move(remaining);
        if (batch->items.empty()) // the rest of the queue waits for its next attempt
            return;
        inFlight_.push_back(batch);
        ports_.timers.after(StallTime + milliseconds(1),
                            [this, alive = std::weak_ptr<int>(alive_)](Time eventTime) {
                                if (!alive.expired() && isStalled(eventTime))
                                    refuseQueued(eventTime);
                            });
        ports_.store.commit(transaction, [this, batch, alive = std::weak_ptr<int>(alive_)](
                                                 const KeyValueResult &result, Time eventTime) {
            if (!alive.expired())
                onAnswer(batch, result, eventTime);
        });
    }
}

/// Refuses the queued writes while the store does not answer, except those that may have been
/// written.
void OnceWriter::refuseQueued(Time now)
{
    std::vector<Item> remaining;
    for (Item &item : queue_) {
        if (item.maybeWritten)
            remaining.push_back(std::move(item));
        else
            item.done(CreateOutcome::NotApplied, now);
    }
    queue_ = std::move(remaining);
}

void OnceWriter::onAnswer(const std::shared_ptr<Batch> &batch, const KeyValueResult &result,
                          Time now)
{
    inFlight_.erase(std::remove(inFlight_.begin(), inFlight_.end(), batch), inFlight_.end());
    for (Item &item : batch->items) {
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
    if (!item.maybeWritten && item.attempts >= MaxUnappliedAttempts) {
        item.done(CreateOutcome::NotApplied, now);
        return;
    }
    const Duration delay = retryDelayAfter(item.attempts, RetryDelay, MaxRetryDelay);
    // If other writes are unanswered too, the store is unreachable, and retrying would only keep
    // the caller waiting.
    if (now + delay >= item.deadline || (item.maybeWritten && isStalled(now))) {
        item.done(item.maybeWritten ? CreateOutcome::Unknown : CreateOutcome::NotApplied, now);
        return;
    }
    item.notBefore = now + delay;
    queue_.push_back(std::move(item));
    scheduleFlush(delay);
}

} // namespace monsoonledge
