// The platform's store in virtual time: transactions, leases, watches with a limited history.
//
// One FakeKeyValueStore is shared by all processes of a test. Each process has a FakeKeyValuePort,
// through which faults are injected: refusing, silence, answers that are lost after the call took
// effect, at once or late, and a slow link.
#pragma once

#include "fakes/faketimers.h"
#include "fleet/fleet.h"

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace monsoonledge {

/// Small, so that tests load several pages.
constexpr std::size_t FakePageSize = 50;
/// The store ends the answer to a watch with the event that reaches this size.
constexpr std::size_t FakeMaxWatchBytes = 1024 * 1024;

/// Sum of the sizes of all values.
inline std::size_t valueBytes(const KeyValueResult &result)
{
    std::size_t bytes = 0;
    for (const KeyValue &item : result.items)
        bytes += item.value.size();
    return bytes;
}

class FakeKeyValueStore
{
public:
    explicit FakeKeyValueStore(FakeClock &clock) : clock_(clock) { }

    FakeClock &clock() { return clock_; }
    const std::map<std::string, KeyValue> &items() const { return items_; }

    void put(const std::string &key, const std::string &value, LeaseId lease = {})
    {
        KeyValue item{key, value, StoreRevision{++revision_}, false};
        items_[key] = item;
        if (lease.value > 0)
            leaseKeys_[lease.value].push_back(key);
        record(item);
    }

    void remove(const std::string &key)
    {
        if (items_.erase(key) > 0)
            record({key, {}, StoreRevision{++revision_}, true});
    }

    KeyValueResult get(const std::string &key) const
    {
        KeyValueResult result = ok();
        const auto it = items_.find(key);
        if (it == items_.end())
            result.status = KeyValueStatus::NotFound;
        else
            result.items.push_back(it->second);
        return result;
    }

    KeyValueResult range(const std::string &prefix, const std::string &after) const
    {
        KeyValueResult result = ok();
        for (const auto &[key, item] : items_) {
            if (key.compare(0, prefix.size(), prefix) != 0 || key <= after)
                continue;
            if (result.items.size() == FakePageSize) {
                result.hasMore = true;
                break;
            }
            result.items.push_back(item);
        }
        return result;
    }

    KeyValueResult commit(const Transaction &transaction)
    {
        KeyValueResult result;
        bool holds = true;
        for (const Condition &condition : transaction.conditions) {
            const auto it = items_.find(condition.key);
            KeyValue current{condition.key, {}, {}, false};
            if (it != items_.end())
                current = it->second;
            holds = holds && current.revision == condition.revision;
            result.items.push_back(current);
        }
        if (!holds) {
            result.status = KeyValueStatus::Conflict;
            return result;
        }
        for (const PutOperation &put : transaction.puts) {
            if (put.lease.value > 0 && leaseEnds_.count(put.lease.value) == 0) {
                result.status = KeyValueStatus::NotFound;
                return result;
            }
        }
        ++revision_;
        for (const PutOperation &operation : transaction.puts) {
            --revision_; // all changes of a transaction have one revision
            put(operation.key, operation.value, operation.lease);
        }
        for (const std::string &key : transaction.removals) {
            if (items_.erase(key) > 0)
                record({key, {}, StoreRevision{revision_}, true});
        }
        result = ok();
        return result;
    }

    LeaseId grant(Duration ttl)
    {
        const std::uint64_t id = ++lastLease_;
        leaseTtls_[id] = ttl;
        leaseEnds_[id] = clock_.now() + ttl;
        expireAt(id, leaseEnds_[id]);
        return {id};
    }

    /// While leases are paused, none ends; then each has as much time left as before.
    void pauseLeases() { pausedAt_ = clock_.now(); }
    void resumeLeases()
    {
        if (!pausedAt_)
            return;
        const Duration pause = clock_.now() - *std::exchange(pausedAt_, std::nullopt);
        for (auto &[id, end] : leaseEnds_) {
            end += pause;
            expireAt(id, end);
        }
    }

    /// Removes the keys of all leases, which can still be renewed.
    void revokeKeys()
    {
        for (auto &[lease, keys] : leaseKeys_) {
            for (const std::string &key : std::exchange(keys, {}))
                remove(key);
        }
    }

    bool keep(LeaseId lease)
    {
        const auto it = leaseEnds_.find(lease.value);
        if (it == leaseEnds_.end())
            return false;
        it->second = clock_.now() + leaseTtls_[lease.value];
        expireAt(lease.value, it->second);
        return true;
    }

    void endLease(LeaseId lease)
    {
        leaseEnds_.erase(lease.value);
        for (const std::string &key : std::exchange(leaseKeys_[lease.value], {}))
            remove(key);
    }

    /// Events after the revision; empty if there are none.
    KeyValueResult eventsAfter(const std::string &prefix, StoreRevision after) const
    {
        KeyValueResult result = ok();
        if (after < historyStart_) {
            result.status = KeyValueStatus::Compacted;
            return result;
        }
        const auto first = std::partition_point(
                history_.begin(), history_.end(),
                [after](const KeyValue &event) { return event.revision <= after; });
        for (auto it = first; it != history_.end(); ++it) {
            const KeyValue &event = *it;
            if (event.key.compare(0, prefix.size(), prefix) != 0)
                continue;
            result.items.push_back(event);
            if (valueBytes(result) < FakeMaxWatchBytes)
                continue;
            result.storeRevision = event.revision; // the next call continues from here
            break;
        }
        return result;
    }

    /// Drops the history, so that watches have to load again.
    void compact()
    {
        history_.clear();
        historyStart_ = {revision_};
        wake();
    }

    using Waiter = std::function<bool()>; // true: has answered
    void addWaiter(Waiter waiter) { waiters_.push_back(std::move(waiter)); }

private:
    KeyValueResult ok() const
    {
        KeyValueResult result;
        result.status = KeyValueStatus::Ok;
        result.storeRevision = {revision_};
        return result;
    }

    void record(const KeyValue &event)
    {
        history_.push_back(event);
        clock_.after(Duration::zero(), [this] { wake(); });
    }

    void wake()
    {
        waiters_.remove_if([](const Waiter &waiter) { return waiter(); });
    }

    void expireAt(std::uint64_t id, Time end)
    {
        clock_.at(end, [this, id] {
            const auto it = leaseEnds_.find(id);
            if (!pausedAt_ && it != leaseEnds_.end() && it->second <= clock_.now())
                endLease({id});
        });
    }

    FakeClock &clock_;
    std::uint64_t revision_ = 1;
    std::uint64_t lastLease_ = 0;
    std::optional<Time> pausedAt_;
    std::map<std::string, KeyValue> items_;
    std::vector<KeyValue> history_;
    StoreRevision historyStart_{};
    std::map<std::uint64_t, Duration> leaseTtls_;
    std::map<std::uint64_t, Time> leaseEnds_;
    std::map<std::uint64_t, std::vector<std::string>> leaseKeys_;
    std::list<Waiter> waiters_;
};

class FakeKeyValuePort : public KeyValuePort
{
public:
    FakeKeyValuePort(FakeKeyValueStore &store, FakeTimers &timers) : store_(store), timers_(timers)
    { }

    Duration latency = milliseconds(2); // each way
    bool refusing = false; // answers NotApplied at once
    bool silent = false; // nothing arrives there, and nothing comes back
    bool resetting = false; // answers Unknown at once, without an effect
    bool isDeaf = false; // calls take effect, but nothing comes back
    /// Called for each call, with the name of the function and the key, if there is one.
    std::function<void(const std::string &call, const std::string &key)> onCall;
    std::string silentPrefix; // watches and loads of this prefix get no answer; empty: none
    bool losesAnswers = false; // of changes, which are made
    Duration lostAreLate{}; // the changes whose answers are lost are made so much later
    int entryReads = 0; // ranges over the relay addresses
    std::uint64_t bytesPerSecond = 0; // of the host's link from the store; 0: not limited

    void get(const std::string &key, KeyValueCallback done) override
    {
        noteCall("get", key);
        call([this, key] { return store_.get(key); }, done, false);
    }
    void range(const std::string &prefix, const std::string &afterKey,
               KeyValueCallback done) override
    {
        noteCall("range", prefix);
        entryReads += prefix == "entry/" ? 1 : 0;
        if (failPrefix(prefix, done))
            return;
        call([this, prefix, afterKey] { return store_.range(prefix, afterKey); }, done, false);
    }
    void commit(const Transaction &transaction, KeyValueCallback done) override
    {
        noteCall("commit", transaction.puts.empty() ? "" : transaction.puts.front().key);
        call([this, transaction] { return store_.commit(transaction); }, done, true);
    }
    void grantLease(Duration ttl, KeyValueCallback done) override
    {
        noteCall("grantLease", "");
        call(
                [this, ttl] {
                    KeyValueResult result;
                    result.status = KeyValueStatus::Ok;
                    result.lease = store_.grant(ttl);
                    return result;
                },
                done, false);
    }
    void renewLease(LeaseId lease, KeyValueCallback done) override
    {
        noteCall("renewLease", "");
        call(
                [this, lease] {
                    KeyValueResult result;
                    result.status =
                            store_.keep(lease) ? KeyValueStatus::Ok : KeyValueStatus::NotFound;
                    return result;
                },
                done, false);
    }
    void endLease(LeaseId lease, KeyValueCallback done) override
    {
        noteCall("endLease", "");
        call(
                [this, lease] {
                    store_.endLease(lease);
                    KeyValueResult result;
                    result.status = KeyValueStatus::Ok;
                    return result;
                },
                done, false);
    }
    void watch(const std::string &prefix, StoreRevision after, Duration wait,
               KeyValueCallback done) override
    {
        noteCall("watch", prefix);
        if (fail(done) || failPrefix(prefix, done))
            return;
        auto answered = std::make_shared<bool>(false);
        const Time deadline = store_.clock().now() + wait + Timeout;
        const auto answer = [this, answered, deadline, done](const KeyValueResult &result) {
            *answered = true;
            deliver(result, deadline, done);
        };
        const auto look = [this, prefix, after, answered, answer] {
            if (*answered)
                return true;
            const KeyValueResult result = store_.eventsAfter(prefix, after);
            if (result.status == KeyValueStatus::Ok && result.items.empty())
                return false;
            answer(result);
            return true;
        };
        store_.clock().after(latency, [this, look] {
            if (!look())
                store_.addWaiter(look);
        });
        store_.clock().after(latency + wait, [this, prefix, after, answered, answer] {
            if (!*answered)
                answer(store_.eventsAfter(prefix, after));
        });
    }

private:
    static constexpr Duration Timeout = milliseconds(900);

    void noteCall(const std::string &call, const std::string &key)
    {
        if (onCall)
            onCall(call, key);
    }

    /// Delivers through the process's own timers, so that a dead process hears nothing. An answer
    /// that has not arrived as a whole by the deadline is lost.
    void deliver(const KeyValueResult &result, Time deadline, const KeyValueCallback &done)
    {
        if (silent || isDeaf) {
            timers_.after(Timeout, [done](Time now) { done({}, now); });
            return;
        }
        const Duration transfer = bytesPerSecond == 0
                                          ? Duration::zero()
                                          : Duration(valueBytes(result) * 1000000 / bytesPerSecond);
        const Duration left = deadline - store_.clock().now();
        const bool isLost = bytesPerSecond > 0 && latency + transfer > left;
        timers_.after(isLost ? left : latency + transfer, [result, done, isLost](Time now) {
            done(isLost ? KeyValueResult{} : result, now);
        });
    }

    bool fail(const KeyValueCallback &done)
    {
        if (!refusing && !silent && !resetting)
            return false;
        KeyValueResult result;
        result.status = refusing ? KeyValueStatus::NotApplied : KeyValueStatus::Unknown;
        timers_.after(refusing || resetting ? latency : Timeout,
                      [result, done](Time now) { done(result, now); });
        return true;
    }

    bool failPrefix(const std::string &prefix, const KeyValueCallback &done)
    {
        if (silentPrefix.empty() || prefix != silentPrefix)
            return false;
        timers_.after(Timeout, [done](Time now) { done({}, now); });
        return true;
    }

    void call(std::function<KeyValueResult()> act, const KeyValueCallback &done, bool isChange)
    {
        if (fail(done))
            return;
        const bool isLost = isChange && losesAnswers;
        const Duration delay = isLost ? latency + lostAreLate : latency;
        const Time deadline = store_.clock().now() + Timeout;
        store_.clock().after(delay, [this, act = std::move(act), deadline, done, isLost] {
            const KeyValueResult result = act();
            if (!isLost)
                deliver(result, deadline, done);
        });
        if (isLost)
            timers_.after(Timeout, [done](Time now) { done({}, now); });
    }

    FakeKeyValueStore &store_;
    FakeTimers &timers_;
};

} // namespace monsoonledge
