#include "fleet/fleet.h"

namespace monsoonledge {

namespace {

constexpr Duration RetryDelay = milliseconds(150);

} // namespace

PrefixWatch::PrefixWatch(const FleetPorts &ports, std::string prefix, Duration wait, Duration pause,
                         Hooks hooks)
    : ports_(ports), prefix_(std::move(prefix)), wait_(wait), pause_(pause),
      hooks_(std::move(hooks))
{ }

PrefixWatch::~PrefixWatch() = default;

void PrefixWatch::start()
{
    reload();
}

void PrefixWatch::startAfter(StoreRevision revision)
{
    isLoaded_ = true;
    revision_ = revision;
    watchNext();
}

void PrefixWatch::reload()
{
    loadedItems_.clear();
    revision_ = {};
    loadPage({});
}

void PrefixWatch::scheduleStep(Duration delay, void (PrefixWatch::*step)())
{
    ports_.timers.after(delay, [this, step, alive = std::weak_ptr<int>(alive_)](Time) {
        if (!alive.expired())
            (this->*step)();
    });
}

void PrefixWatch::loadPage(const std::string &afterKey)
{
    ports_.store.range(
            prefix_, afterKey,
            [this, alive = std::weak_ptr<int>(alive_)](const KeyValueResult &result, Time now) {
                if (!alive.expired())
                    onPage(result, now);
            });
}

void PrefixWatch::onPage(const KeyValueResult &result, Time now)
{
    if (result.status != KeyValueStatus::Ok) {
        scheduleStep(RetryDelay, &PrefixWatch::reload);
        return;
    }
    lastStoreContact_ = now;
    // Keys may change between the reads of two pages. The watch starts at the revision of the first
    // page and so reports these changes, some of them a second time.
    if (revision_.value == 0)
        revision_ = result.storeRevision;
    loadedItems_.insert(loadedItems_.end(), result.items.begin(), result.items.end());
    if (result.hasMore && !result.items.empty()) {
        loadPage(result.items.back().key);
        return;
    }
    isLoaded_ = true;
    const std::vector<KeyValue> items = std::move(loadedItems_);
    loadedItems_.clear();
    if (hooks_.changed)
        scheduleStep(Duration::zero(), &PrefixWatch::watchNext);
    hooks_.loaded(items, now); // may destroy this object
}

void PrefixWatch::watchNext()
{
    ports_.store.watch(
            prefix_, revision_, wait_,
            [this, alive = std::weak_ptr<int>(alive_)](const KeyValueResult &result, Time now) {
                if (!alive.expired())
                    onEvents(result, now);
            });
}

void PrefixWatch::onEvents(const KeyValueResult &result, Time now)
{
    if (result.status == KeyValueStatus::Compacted) {
        ports_.log({LogLevel::Info,
                    "watch-compacted",
                    "the store has compacted its history; the keys are loaded again",
                    {{"prefix", prefix_}}});
        reload();
        return;
    }
    if (result.status != KeyValueStatus::Ok) {
        scheduleStep(RetryDelay, &PrefixWatch::watchNext);
        return;
    }
    lastStoreContact_ = now;
    revision_ = std::max(revision_, result.storeRevision);
    scheduleStep(result.items.empty() ? Duration::zero() : pause_, &PrefixWatch::watchNext);
    if (!result.items.empty())
        hooks_.changed(result.items, now); // may destroy this object
}

} // namespace monsoonledge
