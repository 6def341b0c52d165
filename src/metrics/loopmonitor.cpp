#include "metrics/metrics.h"

#include <algorithm>
#include <cstdio>

namespace monsoonledge {

namespace {

constexpr Duration CheckInterval = milliseconds(100);
constexpr Duration ReportInterval = seconds(1);
constexpr Duration BusyDelay = milliseconds(50); // from which on the loop counts as busy

std::string formatMilliseconds(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

} // namespace

LoopMonitor::LoopMonitor(TimerPort &timers, const WorkMeter &meter, Hooks hooks)
    : timers_(timers), meter_(meter), hooks_(std::move(hooks))
{ }

LoopMonitor::~LoopMonitor() = default;

void LoopMonitor::start(Time now)
{
    secondStart_ = readTotals(now);
    scheduleCheck(now);
}

void LoopMonitor::scheduleCheck(Time now)
{
    timers_.after(CheckInterval, [this, due = now + CheckInterval,
                                  alive = std::weak_ptr<int>(alive_)](Time firedAt) {
        if (alive.expired())
            return;
        check(std::max(firedAt - due, Duration::zero()), firedAt);
        scheduleCheck(firedAt);
    });
}

void LoopMonitor::check(Duration delay, Time now)
{
    delays_.add(delay);
    longestDelay_ = std::max(longestDelay_, delay);
    if (now - secondStart_.at < ReportInterval)
        return;
    recentDelay_ = std::exchange(longestDelay_, Duration::zero());
    const Totals totals = readTotals(now);
    logIfBusy(totals);
    secondStart_ = totals;
}

void LoopMonitor::logIfBusy(const Totals &totals)
{
    if (recentDelay_ < BusyDelay)
        return;
    const Duration used = totals.processorTime - secondStart_.processorTime;
    LogEvent event{LogLevel::Info,
                   "loop-busy",
                   "the event loop runs late; the fields tell what it did since the last line",
                   {{"delayMs", formatMilliseconds(toMilliseconds(recentDelay_))},
                    {"overMs", std::to_string(wholeMilliseconds(totals.at - secondStart_.at))},
                    {"processorMs", formatMilliseconds(toMilliseconds(used))}}};
    for (std::size_t i = 0; i < WorkKindCount; ++i) {
        const std::uint64_t scopes = totals.work[i].scopes - secondStart_.work[i].scopes;
        if (scopes == 0)
            continue;
        const std::chrono::duration<double, std::milli> time =
                totals.work[i].time - secondStart_.work[i].time;
        event.fields.emplace_back(workKindName(static_cast<WorkKind>(i)),
                                  formatMilliseconds(time.count()) + " ms for "
                                          + std::to_string(scopes));
    }
    hooks_.log(event);
}

LoopMonitor::Totals LoopMonitor::readTotals(Time now) const
{
    Totals totals;
    totals.at = now;
    totals.processorTime = hooks_.processorTime();
    for (std::size_t i = 0; i < WorkKindCount; ++i)
        totals.work[i] = meter_.total(static_cast<WorkKind>(i));
    return totals;
}

} // namespace monsoonledge
