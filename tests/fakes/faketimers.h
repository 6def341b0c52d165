// A manual clock with one event queue, and timers of one process on it.
//
// All fakes of a test share one FakeClock. Each simulated process has its own FakeTimers, so that a
// test can kill it (nothing is delivered to it any more) or suspend it (deliveries wait).
#pragma once

#include "ports/ports.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace monsoonledge {

class FakeClock
{
public:
    Time now() const { return now_; }
    /// Called after each event, to check what must hold at all times.
    std::function<void()> afterEvent;

    std::uint64_t at(Time when, std::function<void()> action)
    {
        const std::uint64_t id = ++lastId_;
        events_.emplace(std::make_pair(when < now_ ? now_ : when, id), std::move(action));
        return id;
    }
    std::uint64_t after(Duration delay, std::function<void()> action)
    {
        return at(now_ + delay, std::move(action));
    }

    /// Runs all events up to and including now + span, and then sets the clock there.
    void advance(Duration span)
    {
        const Time end = now_ + span;
        while (!events_.empty() && events_.begin()->first.first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key().first;
            event.mapped()();
            if (afterEvent)
                afterEvent();
        }
        now_ = end;
    }

private:
    Time now_{std::chrono::hours(24)}; // late enough that a test may subtract hours from it
    std::uint64_t lastId_ = 0;
    std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events_;
};

class FakeTimers : public TimerPort
{
public:
    explicit FakeTimers(FakeClock &clock) : clock_(clock) { }
    ~FakeTimers() override { kill(); }
    FakeTimers(const FakeTimers &) = delete;
    FakeTimers &operator=(const FakeTimers &) = delete;

    TimerId after(Duration delay, std::function<void(Time now)> callback) override
    {
        const TimerId id = ++lastId_;
        state_->pending.emplace(id, std::move(callback));
        clock_.after(delay, [&clock = clock_, state = state_, id] { fire(clock, state, id); });
        return id;
    }
    void cancel(TimerId id) override { state_->pending.erase(id); }

    FakeClock &clock() { return clock_; }
    /// Drops all deliveries, present and future.
    void kill()
    {
        state_->alive = false;
        state_->pending.clear();
    }
    void suspend() { state_->suspended = true; }
    /// What became due during the suspension is delivered in its order.
    void resume()
    {
        state_->suspended = false;
        std::vector<TimerId> held;
        held.swap(state_->held);
        for (const TimerId id : held)
            clock_.after(Duration(0),
                         [&clock = clock_, state = state_, id] { fire(clock, state, id); });
    }
    bool isSuspended() const { return state_->suspended; }

private:
    struct State
    {
        bool alive = true;
        bool suspended = false;
        std::map<TimerId, std::function<void(Time now)>> pending;
        std::vector<TimerId> held;
    };

    static void fire(FakeClock &clock, const std::shared_ptr<State> &state, TimerId id)
    {
        const auto found = state->pending.find(id);
        if (!state->alive || found == state->pending.end())
            return;
        if (state->suspended) {
            state->held.push_back(id);
            return;
        }
        const auto callback = std::move(found->second);
        state->pending.erase(found);
        callback(clock.now());
    }

    FakeClock &clock_;
    std::shared_ptr<State> state_ = std::make_shared<State>();
    TimerId lastId_ = 0;
};

} // namespace monsoonledge
