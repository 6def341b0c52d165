// An in-memory store with versioned values, seeded delays and injected faults.
//
// FakeStore holds the values. Each simulated process has its own FakeStoreClient, whose answers are
// delivered through the timers of that process and never from inside the call.
#pragma once

#include "base/base.h"
#include "fakes/faketimers.h"
#include "ports/ports.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace monsoonledge {

class FakeStore
{
public:
    struct Value
    {
        std::string text;
        Version version;
    };

    FakeStore(FakeClock &clock, std::uint64_t seed) : clock_(clock), random_(seed) { }

    // Faults; each can be changed at any time.
    bool down = false; // calls time out and have no effect
    double refuse = 0; // share of calls that are refused at once
    double loseAnswer = 0; // share of calls that take effect and whose answer is lost
    double lateWrite =
            0; // share of writes that time out and take effect up to 2 s later, if at all
    Duration minDelay = milliseconds(1); // one way
    Duration maxDelay = milliseconds(5);
    Duration timeout = milliseconds(300); // after which a client gets Unknown
    Duration watchWait = seconds(5); // after which a watch without a change is answered

    /// Called for each write and remove that took effect.
    std::function<void(const std::string &key, const Value &value)> written;
    int writes = 0; // writes and removes that took effect
    int reads = 0; // gets and lists that were answered

    /// The present value; version 0 if the key is absent.
    Value value(const std::string &key) const
    {
        const auto found = values_.find(key);
        return found == values_.end() ? Value() : found->second;
    }
    const std::map<std::string, Value> &values() const { return values_; }
    /// Writes without a client.
    void put(const std::string &key, const std::string &text)
    {
        StoreValue ignored;
        swap(key, value(key).version, &text, ignored);
    }
    /// All pending watches lose their connection.
    void dropWatches()
    {
        auto dropped = std::move(watches_);
        watches_.clear();
        for (Watch &watch : dropped)
            watch.answer(StoreValue());
    }

private:
    friend class FakeStoreClient;
    using Reply = std::function<void(const StoreValue &)>;
    struct Watch
    {
        std::string key;
        Version known;
        std::uint64_t id;
        Reply answer;
    };

    Duration delay()
    {
        const auto spread = static_cast<std::uint64_t>((maxDelay - minDelay).count()) + 1;
        return minDelay + Duration(random_.below(spread));
    }
    bool chance(double share) { return share > 0 && random_.unit() < share; }

    StoreValue read(const std::string &key) const
    {
        const Value found = value(key);
        return {found.version.value == 0 ? StoreStatus::NotFound : StoreStatus::Ok, found.version,
                found.text};
    }

    /// Compare-and-swap, or remove if the text is null.
    void swap(const std::string &key, Version expected, const std::string *text, StoreValue &result)
    {
        const Version present = value(key).version;
        result = {StoreStatus::Conflict, present, ""};
        if (present != expected)
            return;
        result = {StoreStatus::Ok, Version{text ? ++lastVersion_ : 0}, ""};
        if (text)
            values_[key] = {*text, result.version};
        else
            values_.erase(key);
        ++writes;
        if (written)
            written(key, value(key));
        std::vector<Watch> changed;
        for (std::size_t i = watches_.size(); i-- > 0;) {
            if (watches_[i].key != key)
                continue;
            changed.push_back(std::move(watches_[i]));
            watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
        }
        for (const Watch &watch : changed)
            watch.answer(read(key));
    }

    void addWatch(const std::string &key, Version known, Reply answer)
    {
        if (value(key).version != known) {
            answer(read(key));
            return;
        }
        const std::uint64_t id = ++lastWatch_;
        watches_.push_back({key, known, id, std::move(answer)});
        clock_.after(watchWait, [this, id] {
            for (std::size_t i = 0; i < watches_.size(); ++i) {
                if (watches_[i].id != id)
                    continue;
                const Watch watch = std::move(watches_[i]);
                watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
                watch.answer({StoreStatus::Conflict, watch.known, ""});
                return;
            }
        });
    }

    FakeClock &clock_;
    Random random_;
    std::map<std::string, Value> values_;
    std::vector<Watch> watches_;
    std::uint64_t lastVersion_ = 0;
    std::uint64_t lastWatch_ = 0;
};

class FakeStoreClient : public StorePort
{
public:
    FakeStoreClient(FakeStore &store, FakeTimers &process) : store_(store), process_(process) { }

    /// This client cannot reach the store, nor get answers from it; other clients can.
    bool cut = false;

    void get(const std::string &key, StoreDone done) override
    {
        call(std::move(done), false, [&store = store_, key](const Reply &reply) {
            ++store.reads;
            reply(store.read(key));
        });
    }
    void list(const std::string &prefix, StoreListDone done) override
    {
        auto listing = std::make_shared<StoreListing>();
        call(
                [listing, done = std::move(done)](const StoreValue &value, Time now) {
                    listing->status = value.status;
                    if (value.status != StoreStatus::Ok)
                        listing->keys.clear();
                    done(*listing, now);
                },
                false,
                [&store = store_, prefix, listing](const Reply &reply) {
                    ++store.reads;
                    for (const auto &[key, value] : store.values_) {
                        if (key.compare(0, prefix.size(), prefix) == 0)
                            listing->keys.emplace_back(key, value.version);
                    }
                    reply({StoreStatus::Ok, Version(), ""});
                });
    }
    void compareAndSwap(const std::string &key, Version expected, const std::string &value,
                        StoreDone done) override
    {
        write(key, expected, std::make_shared<std::string>(value), std::move(done));
    }
    void remove(const std::string &key, Version expected, StoreDone done) override
    {
        write(key, expected, nullptr, std::move(done));
    }
    void watch(const std::string &key, Version known, StoreDone done) override
    {
        call(
                std::move(done), false,
                [&store = store_, key, known](const Reply &reply) {
                    store.addWatch(key, known, reply);
                },
                store_.watchWait);
    }

private:
    using Reply = FakeStore::Reply;

    void write(const std::string &key, Version expected, const std::shared_ptr<std::string> &value,
               StoreDone done)
    {
        call(std::move(done), true, [&store = store_, key, expected, value](const Reply &reply) {
            StoreValue result;
            store.swap(key, expected, value.get(), result);
            reply(result);
        });
    }

    /// Sends a call to the store and delivers exactly one answer.
    void call(StoreDone done, bool isWrite, std::function<void(const Reply &)> effect,
              Duration wait = Duration(0))
    {
        auto open = std::make_shared<StoreDone>(std::move(done));
        const auto deliver = [this, open](const StoreValue &value, Duration delay) {
            process_.after(delay, [open, value](Time now) {
                if (const StoreDone callback = std::exchange(*open, nullptr))
                    callback(value, now);
            });
        };
        deliver(StoreValue(), store_.timeout + wait);
        if (store_.chance(store_.refuse)) {
            deliver({StoreStatus::Refused, Version(), ""}, store_.delay());
            return;
        }
        Duration arrival = store_.delay();
        if (isWrite && store_.chance(store_.lateWrite))
            arrival = store_.timeout + Duration(store_.random_.below(2'000'000));
        const bool lost = store_.chance(store_.loseAnswer);
        if (cut)
            return;
        const std::weak_ptr<bool> guard = alive_;
        store_.clock_.after(
                arrival, [this, &store = store_, guard, lost, deliver, effect = std::move(effect)] {
                    if (store.down)
                        return;
                    effect([this, guard, lost, deliver](const StoreValue &value) {
                        if (!guard.expired() && !lost && !cut && !store_.down)
                            deliver(value, store_.delay());
                    });
                });
    }

    FakeStore &store_;
    FakeTimers &process_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace monsoonledge
