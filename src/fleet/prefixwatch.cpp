#include "fleet/fleet.h"

#include "fleet/retrydelay_p.h"

#include <algorithm>
#include <unordered_set>

namespace monsoonledge {

namespace {

constexpr Duration RetryDelay = milliseconds(150); // doubled with each failure, up to the maximum
constexpr Duration MaxRetryDelay = milliseconds(600);
constexpr Duration HoldCheckInterval = milliseconds(50); // while more urgent calls come first
// The store ends an answer to a watch at about 1 MB, with later changes left for the next one.
constexpr std::size_t MaxCompleteAnswerBytes = 256 * 1024;

StoreRevision highestRevision(const std::vector<KeyValue> &items)
{
    StoreRevision highest;
    for (const KeyValue &item : items)
        highest = std::max(highest, item.revision);
    return highest;
}

bool hasRepeatedKey(const std::vector<KeyValue> &items)
{
    std::unordered_set<std::string> keys;
    return std::any_of(items.begin(), items.end(),
                       [&keys](const KeyValue &item) { return !keys.insert(item.key).second; });
}

} // namespace

PrefixWatch::PrefixWatch(const FleetPorts &ports, std::string prefix, Duration wait, Duration pause,
                         Hooks hooks, Delivery delivery)
    : ports_(ports), prefix_(std::move(prefix)), wait_(wait), pause_(pause),
      hooks_(std::move(hooks)), delivery_(delivery)
{ }

PrefixWatch::~PrefixWatch() = default;

void PrefixWatch::start()
{
    scheduleStep(Duration::zero(), &PrefixWatch::reload);
}

void PrefixWatch::startAfter(StoreRevision revision)
{
    isLoaded_ = true;
    revision_ = revision;
    scheduleStep(Duration::zero(), &PrefixWatch::watchNext);
}

void PrefixWatch::reload(Time now)
{
    loadedItems_.clear();
    lastLoadedKey_.clear();
    revision_ = {};
    loadSentAt_ = now;
    loadPage(now);
}

/// Continues with a watch, or, if the owner needs only the latest state and has fallen behind,
/// loads it.
void PrefixWatch::scheduleWatch(bool isBehind, Duration delay)
{
    const bool loads = isBehind && delivery_ == Delivery::LatestState;
    scheduleStep(delay, loads ? &PrefixWatch::reload : &PrefixWatch::watchNext);
}

void PrefixWatch::scheduleStep(Duration delay, void (PrefixWatch::*step)(Time now))
{
    ports_.timers.after(delay, [this, step, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (!alive.expired())
            (this->*step)(now);
    });
}

/// The delay before a failed call is repeated: half of the usual one up to one and a half. When the
/// store resets all connections, the watches of all processes fail at the same moment.
Duration PrefixWatch::repetitionDelay() const
{
    const Duration delay = retryDelayAfter(failuresInARow_, RetryDelay, MaxRetryDelay);
    const std::uint64_t hash = stableHash(prefix_, ports_.spreadSeed + failedCalls_);
    return delay / 2 + Duration(hash % static_cast<std::uint64_t>(delay.count()));
}

void PrefixWatch::scheduleRepetition(Duration delay, void (PrefixWatch::*step)(Time now))
{
    ports_.timers.after(delay, [this, step, alive = std::weak_ptr<int>(alive_)](Time now) {
        if (alive.expired())
            return;
        if (ports_.holdsWatches && ports_.holdsWatches(now))
            scheduleRepetition(HoldCheckInterval, step);
        else
            (this->*step)(now);
    });
}

/// Logs the first of several failures in a row. The line of the first success after it counts them.
void PrefixWatch::onCallFailed(const std::string &call, const KeyValueResult &result, Time now)
{
    ++failedCalls_;
    if (++failuresInARow_ > 1)
        return;
    failingSince_ = callSentAt_;
    ports_.log({LogLevel::Info,
                "watch-failed",
                "the store has not answered a call of the watch; it is repeated",
                {{"prefix", prefix_},
                 {"call", call},
                 {"after", std::to_string(revision_.value)},
                 {"tookMs", std::to_string(wholeMilliseconds(now - callSentAt_))},
                 {"error", result.detail}}});
}

void PrefixWatch::onCallAnswered(const KeyValueResult &result, Time now)
{
    lastStoreContact_ = now;
    const Time firstCallSentAt = failuresInARow_ > 0 ? failingSince_ : callSentAt_;
    lastAnswer_ = {firstCallSentAt, now - callSentAt_, result.items.size(), 0};
    for (const KeyValue &item : result.items)
        lastAnswer_.bytes += item.value.size();
    if (failuresInARow_ == 0)
        return;
    ports_.log({LogLevel::Info,
                "watch-recovered",
                "the store answers the calls of the watch again",
                {{"prefix", prefix_},
                 {"failures", std::to_string(failuresInARow_)},
                 {"forMs", std::to_string(wholeMilliseconds(now - failingSince_))},
                 {"tookMs", std::to_string(wholeMilliseconds(lastAnswer_.took))},
                 {"items", std::to_string(lastAnswer_.items)},
                 {"bytes", std::to_string(lastAnswer_.bytes)}}});
    failuresInARow_ = 0;
}

void PrefixWatch::loadPage(Time now)
{
    callSentAt_ = now;
    ports_.store.range(prefix_, lastLoadedKey_,
                       [this, alive = std::weak_ptr<int>(alive_)](const KeyValueResult &result,
                                                                  Time eventTime) {
                           if (!alive.expired())
                               onPage(result, eventTime);
                       });
}

void PrefixWatch::onPage(const KeyValueResult &result, Time now)
{
    if (result.status != KeyValueStatus::Ok) {
        onCallFailed("load", result, now);
        scheduleRepetition(repetitionDelay(), &PrefixWatch::loadPage);
        return;
    }
    onCallAnswered(result, now);
    // Keys may change between the reads of two pages. The watch starts at the revision of the first
    // page and so reports these changes, some of them a second time.
    if (revision_.value == 0)
        revision_ = result.storeRevision;
    loadedItems_.insert(loadedItems_.end(), result.items.begin(), result.items.end());
    if (result.hasMore && !result.items.empty()) {
        lastLoadedKey_ = result.items.back().key;
        loadPage(now);
        return;
    }
    onLoaded(now);
}

void PrefixWatch::onLoaded(Time now)
{
    const std::vector<KeyValue> items = std::move(loadedItems_);
    loadedItems_.clear();
    // A load that finds changes took long enough for more of them to follow.
    const StoreRevision newest = highestRevision(items);
    const bool isBehind = isLoaded_ && newest > newestItem_;
    newestItem_ = std::max(newestItem_, newest);
    isLoaded_ = true;
    confirmedAt_ = loadSentAt_;
    if (hooks_.changed)
        scheduleWatch(isBehind, Duration::zero());
    hooks_.loaded(items, now); // may destroy this object
}

void PrefixWatch::watchNext(Time now)
{
    callSentAt_ = now;
    ports_.store.watch(prefix_, revision_, wait_,
                       [this, alive = std::weak_ptr<int>(alive_)](const KeyValueResult &result,
                                                                  Time eventTime) {
                           if (!alive.expired())
                               onEvents(result, eventTime);
                       });
}

void PrefixWatch::onEvents(const KeyValueResult &result, Time now)
{
    if (result.status == KeyValueStatus::Compacted) {
        ports_.log({LogLevel::Info,
                    "watch-compacted",
                    "the store has compacted its history; the keys are loaded again",
                    {{"prefix", prefix_},
                     {"after", std::to_string(revision_.value)},
                     {"failures", std::to_string(failuresInARow_)}}});
        reload(now);
        return;
    }
    if (result.status != KeyValueStatus::Ok) {
        onCallFailed("watch", result, now);
        scheduleRepetition(repetitionDelay(), delivery_ == Delivery::LatestState
                                                      ? &PrefixWatch::reload
                                                      : &PrefixWatch::watchNext);
        return;
    }
    onCallAnswered(result, now);
    revision_ = std::max(revision_, result.storeRevision);
    newestItem_ = std::max(newestItem_, highestRevision(result.items));
    if (lastAnswer_.bytes < MaxCompleteAnswerBytes)
        confirmedAt_ = callSentAt_;
    scheduleWatch(hasRepeatedKey(result.items), result.items.empty() ? Duration::zero() : pause_);
    if (!result.items.empty())
        hooks_.changed(result.items, now); // may destroy this object
}

} // namespace monsoonledge
