#include "adapters/adapters.h"
#include "adapters/http_p.h"

#include <event2/event.h>

#include <exception>
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
    struct Timer
    {
        EventLoop *loop = nullptr;
        TimerId id = 0;
        std::function<void(Time)> callback;
        EventPtr event;
    };
    struct Signal
    {
        EventLoop *loop = nullptr;
        std::function<void(Time)> callback;
        EventPtr event;
    };

    event_base *base = nullptr;
    TimerId lastId = 0;
    std::unordered_map<TimerId, std::unique_ptr<Timer>> timers;
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

    static void onTimer(evutil_socket_t, short, void *arg)
    {
        auto *timer = static_cast<Timer *>(arg);
        EventLoop *loop = timer->loop;
        const std::function<void(Time)> callback = std::move(timer->callback);
        loop->d_->timers.erase(timer->id);
        invokeCallback(loop, callback);
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
}

EventLoop::~EventLoop()
{
    d_->timers.clear();
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
    auto timer = std::make_unique<Private::Timer>();
    timer->loop = this;
    timer->id = ++d_->lastId;
    timer->callback = std::move(callback);
    timer->event.reset(evtimer_new(d_->base, &Private::onTimer, timer.get()));
    if (!timer->event)
        throw std::bad_alloc();
    const timeval tv = toTimeval(delay);
    evtimer_add(timer->event.get(), &tv);
    const TimerId id = timer->id;
    d_->timers.emplace(id, std::move(timer));
    return id;
}

void EventLoop::cancel(TimerId id)
{
    d_->timers.erase(id);
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
