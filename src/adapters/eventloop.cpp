#include "adapters/adapters.h"
#include "adapters/http_p.h"

#include <event2/event.h>

#include <algorithm>
#include <exception>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include <csignal>
#include <ctime>

namespace monsoonledge {

namespace {

struct EventDeleter
{
    void operator()(event *ev) const { event_free(ev); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

constexpr std::chrono::nanoseconds NotArmed = std::chrono::nanoseconds::max();

LogHook &libeventLogHook()
{
    static LogHook hook;
    return hook;
}

std::chrono::nanoseconds readClock(clockid_t clock)
{
    timespec ts{};
    clock_gettime(clock, &ts);
    return seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
}

std::chrono::nanoseconds steadyNanoseconds()
{
    return readClock(CLOCK_MONOTONIC);
}

void onLibeventMessage(int severity, const char *message)
{
    if (libeventLogHook() && severity >= EVENT_LOG_WARN)
        libeventLogHook()({LogLevel::Warning, "libevent", message, {}});
}

} // namespace

struct EventLoop::Private
{
    struct Signal
    {
        EventLoop *loop = nullptr;
        std::function<void(Time)> callback;
        EventPtr event;
    };

    // Due time by the steady clock, and the id, so that timers of the same time fire in their
    // order.
    using TimerKey = std::pair<std::chrono::nanoseconds, TimerId>;

    event_base *base = nullptr;
    // All timers share one event of libevent: most are cancelled before they fire, and an event of
    // its own costs several times more than a place in this map.
    EventPtr timerEvent;
    std::chrono::nanoseconds timerEventDue = NotArmed;
    bool isRunningTimers = false;
    TimerId lastId = 0;
    std::map<TimerKey, std::function<void(Time)>> timers;
    std::unordered_map<TimerId, std::chrono::nanoseconds> timerDues;
    std::vector<std::unique_ptr<Signal>> signals;
    std::exception_ptr callbackException; // thrown by a callback, rethrown by run()
    WorkMeter workMeter{&steadyNanoseconds};

    /// Catches exceptions, which must not propagate through the C code of libevent.
    static void invokeCallback(EventLoop *loop, const std::function<void(Time)> &callback)
    {
        try {
            callback(loop->now());
        } catch (...) {
            loop->d_->callbackException = std::current_exception();
            loop->stop();
        }
    }

    /// Makes the event fire when the first timer is due.
    void armTimerEvent()
    {
        if (isRunningTimers || timers.empty() || timers.begin()->first.first >= timerEventDue)
            return;
        timerEventDue = timers.begin()->first.first;
        const std::chrono::nanoseconds delay = timerEventDue - steadyNanoseconds();
        // Rounded up, because a timer must not fire early.
        const timeval tv =
                toTimeval(std::max(std::chrono::ceil<Duration>(delay), Duration::zero()));
        evtimer_add(timerEvent.get(), &tv);
    }

    /// Runs the timers that are due. Those that are added meanwhile wait for the next pass.
    static void onTimer(evutil_socket_t, short, void *arg)
    {
        auto *loop = static_cast<EventLoop *>(arg);
        Private &d = *loop->d_;
        d.timerEventDue = NotArmed;
        const std::chrono::nanoseconds now = steadyNanoseconds();
        const TimerId lastId = d.lastId;
        d.isRunningTimers = true;
        while (!d.timers.empty() && !d.callbackException) {
            const auto first = d.timers.begin();
            const auto [due, id] = first->first;
            if (due > now || id > lastId)
                break;
            const std::function<void(Time)> callback = std::move(first->second);
            d.timerDues.erase(id);
            d.timers.erase(first);
            invokeCallback(loop, callback);
        }
        d.isRunningTimers = false;
        d.armTimerEvent();
    }

    static void onSignal(evutil_socket_t, short, void *arg)
    {
        auto *signal = static_cast<Signal *>(arg);
        invokeCallback(signal->loop, signal->callback);
    }
};

EventLoop::EventLoop() : d_(std::make_unique<Private>())
{
    // A write to a connection that the peer has closed must return an error instead of killing the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    // By default libevent writes plain text to standard error, which mixes with the JSON lines of
    // the logger.
    event_set_log_callback(&onLibeventMessage);
    event_config *config = event_config_new();
    if (!config)
        throw std::runtime_error("cannot allocate the configuration of the event loop");
    // Batches the epoll changes of each loop pass, which saves system calls for a process that
    // keeps starting and stopping writes on hundreds of connections. The changelist does not
    // support duplicated descriptors (dup()); none are used here.
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    d_->base = event_base_new_with_config(config);
    event_config_free(config);
    if (!d_->base)
        throw std::runtime_error("cannot create the event loop");
    d_->timerEvent.reset(evtimer_new(d_->base, &Private::onTimer, this));
    if (!d_->timerEvent)
        throw std::bad_alloc();
}

EventLoop::~EventLoop()
{
    d_->timers.clear();
    d_->timerEvent.reset();
    d_->signals.clear();
    event_base_free(d_->base);
}

void EventLoop::run()
{
    event_base_loop(d_->base, EVLOOP_NO_EXIT_ON_EMPTY);
    if (d_->callbackException)
        std::rethrow_exception(std::exchange(d_->callbackException, nullptr));
}

void EventLoop::stop()
{
    event_base_loopbreak(d_->base);
}

Time EventLoop::now() const
{
    return Time(std::chrono::duration_cast<Duration>(readClock(CLOCK_BOOTTIME)));
}

std::uint64_t EventLoop::wallMilliseconds()
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(readClock(CLOCK_REALTIME)).count());
}

TimerId EventLoop::after(Duration delay, std::function<void(Time now)> callback)
{
    const TimerId id = ++d_->lastId;
    const std::chrono::nanoseconds due = steadyNanoseconds() + delay;
    d_->timers.emplace(Private::TimerKey(due, id), std::move(callback));
    d_->timerDues.emplace(id, due);
    d_->armTimerEvent();
    return id;
}

void EventLoop::cancel(TimerId id)
{
    const auto it = d_->timerDues.find(id);
    if (it == d_->timerDues.end())
        return;
    d_->timers.erase(Private::TimerKey(it->second, id));
    d_->timerDues.erase(it);
}

void EventLoop::onSignal(int signalNumber, std::function<void(Time now)> callback)
{
    auto signal = std::make_unique<Private::Signal>();
    signal->loop = this;
    signal->callback = std::move(callback);
    signal->event.reset(evsignal_new(d_->base, signalNumber, &Private::onSignal, signal.get()));
    if (!signal->event || evsignal_add(signal->event.get(), nullptr) != 0)
        throw std::runtime_error("cannot handle signal " + std::to_string(signalNumber));
    d_->signals.push_back(std::move(signal));
}

void EventLoop::setLogHook(LogHook hook)
{
    libeventLogHook() = std::move(hook);
}

event_base *EventLoop::base() const
{
    return d_->base;
}

WorkMeter &EventLoop::workMeter()
{
    return d_->workMeter;
}

Duration EventLoop::processorTime()
{
    return std::chrono::duration_cast<Duration>(readClock(CLOCK_PROCESS_CPUTIME_ID));
}

} // namespace monsoonledge
