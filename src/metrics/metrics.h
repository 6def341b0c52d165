// Metrics of one entry process and the burn of its error budgets.
//
// A Metrics object is told of each answered request. It keeps latency histograms and counts since
// the start of the process, and the events of the last six hours for the burn report. It lives in
// memory only: a restart begins with empty counts.
//
// Sections:
//   [1] Latency histogram
//   [2] Burn of error budgets
//   [3] Reports of several entry processes
//   [4] Metrics of one entry process
//   [5] Load of the event loop
#pragma once

#include "base/base.h"
#include "ports/ports.h"
#include "sheet/sheet.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace monsoonledge {

// [1] Latency histogram

/// A histogram of latencies on a logarithmic axis from 0.1 ms to 100 s.
///
/// Each decade has 24 bins, so a bin's upper edge is 10.1% above its lower edge. The estimate of a
/// quantile is the geometric middle of a bin, at most 4.92% from the true value. Shorter and longer
/// latencies are counted as 0.1 ms and 100 s. An edge belongs to the bin below it.
class LatencyHistogram
{
public:
    static constexpr int BinsPerDecade = 24;
    static constexpr int Decades = 6;
    static constexpr int BoundCount = Decades * 3 + 1; // three bounds per decade, both ends

    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&other) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&other) noexcept;

    void add(Duration latency);
    void add(const LatencyHistogram &other);
    std::uint64_t count() const;
    Duration sum() const { return sum_; }
    /// The latency that the share `q` (0 to 1) of all values does not exceed. Zero if it is empty.
    Duration quantile(double q) const;
    /// Upper bounds of the coarse buckets, in seconds.
    static std::array<double, BoundCount> bounds();
    /// For each bound, the number of values up to it.
    std::array<std::uint64_t, BoundCount> cumulative() const;

private:
    struct Bins;
    std::unique_ptr<Bins> bins_;
    std::uint64_t count_ = 0;
    Duration sum_{};
};

// [2] Burn of error budgets

/// A request is bad if it was refused, its outcome is unknown, or it took longer than the latency
/// target of its class. Each bad request has one cause.
struct BurnCauses
{
    std::uint64_t refused = 0; // not run
    std::uint64_t unknown = 0;
    std::uint64_t slow = 0; // done, later than the target

    std::uint64_t bad() const { return refused + unknown + slow; }
    BurnCauses &operator+=(const BurnCauses &other);
};

struct BurnSums
{
    std::uint64_t total = 0; // answered requests
    BurnCauses causes;

    BurnSums &operator+=(const BurnSums &other);
};

/// Events are counted in slots of this length. A window consists of the present slot and those
/// before it, so it is at most one slot shorter than its name says.
constexpr Duration BurnSlot = seconds(15);
constexpr Duration BurnSpan = minutes(360);
/// Callers are counted in coarser slots to save memory.
constexpr Duration CallerBurnSlot = minutes(15);
/// Length of a point in the series that the report plots.
constexpr Duration BurnPoint = minutes(5);
constexpr std::size_t BurnPointCount = BurnSpan / BurnPoint;

enum BurnWindow { Burn5Minutes, Burn30Minutes, Burn1Hour, Burn6Hours, BurnWindowCount };

/// "5m", "30m", "1h" or "6h".
const char *burnWindowName(std::size_t window);
Duration burnWindowLength(std::size_t window);

/// Bad requests of one caller.
struct CallerBurn
{
    std::string caller; // OtherCaller: those that had no place in the list
    BurnCauses hour1; // the last 45 to 60 minutes
    BurnCauses hours6; // the last 5:45 to 6:00 hours
};

struct ClassBurn
{
    ClassId id;
    ServiceId service;
    double objective = 0.99; // share of requests that must be good
    Duration latencyTarget{};
    std::array<BurnSums, BurnWindowCount> windows;
    std::vector<CallerBurn> callers; // most bad requests in six hours first
    std::array<BurnSums, BurnPointCount> series; // oldest point first
};

/// Share of bad requests divided by the share that the objective permits. 1 uses up exactly the
/// budget of the window; 0 without any request.
double burnRate(const ClassBurn &burn, std::size_t window);
double goodShare(const BurnSums &sums);
/// Share of the six-hour error budget that is left; negative if overspent.
double budgetLeft(const ClassBurn &burn);

/// "99.25%"
std::string formatShare(double share);
/// "3.00"
std::string formatRate(double rate);

// [3] Reports of several entry processes

struct BurnReport
{
    std::vector<std::string> entries; // EntryRun::str() of the processes whose sums it holds
    std::vector<std::string> notReached; // addresses and reasons
    Revision sheetRevision;
    std::vector<ClassBurn> classes; // sorted by id
};

/// Adds the sums of `other`. Objectives and targets come from the higher sheet revision. Returns
/// false, and adds nothing, if an entry process of `other` is already in the report.
bool mergeBurn(BurnReport &report, const BurnReport &other);

/// JSON with raw sums, and the burn rates that follow from them.
std::string encodeBurn(const BurnReport &report);
/// Throws std::runtime_error if the text is no report. The burn rates in it are ignored.
BurnReport decodeBurn(const std::string &text);

/// One self-contained HTML page with inline SVG plots.
std::string formatBurnHtml(const BurnReport &report);

// [4] Metrics of one entry process

/// A label in the Prometheus text format, with its value escaped, such as `queue="a"`.
std::string prometheusLabel(const std::string &name, const std::string &value);

/// Callers of a class that are counted by name; the rest is counted as OtherCaller.
constexpr std::size_t MaxCallersPerClass = 64;
constexpr const char *OtherCaller = "other";

/// State of the process at the time of a scrape.
struct ProcessGauges
{
    std::size_t queued = 0; // requests
    std::size_t running = 0; // requests
    std::size_t ownedUnits = 0;
    std::size_t claims = 0; // remembered
    bool storeClaims = true; // claims are recorded in the store; false: by peers
    bool storeReachable = false;
    std::size_t endpointsEjected = 0;
    std::map<std::string, std::size_t> batchTasks; // by state
};

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Takes objectives and latency targets over, and forgets classes that the sheet does not have;
    /// this bounds the memory by the classes of a sheet. Past events are not judged again.
    void applySheet(const Sheet &sheet, Revision revision);
    Revision sheetRevision() const { return revision_; }

    void record(const ClassId &requestClass, const CallerId &caller, Outcome outcome,
                Duration latency, Time now);

    /// The Prometheus text format, version 0.0.4.
    std::string prometheus(const ProcessGauges &gauges) const;
    BurnReport burn(const EntryRun &self, Time now);

    /// Upper bound of the memory for the burn of one class.
    static constexpr std::size_t MaxBurnBytesPerClass = 56 * 1024;
    /// Upper bound of the memory for the histograms and counts of one class.
    static constexpr std::size_t MaxCountBytesPerClass = 96 * 1024;

private:
    struct ClassMetrics;
    ClassMetrics &find(const ClassId &requestClass, Time now);

    std::map<ClassId, std::unique_ptr<ClassMetrics>> classes_;
    std::map<ClassId, RequestClass> definitions_;
    Revision revision_;
};

// [5] Load of the event loop

/// Measures how late the event loop runs its timers, and what it spends its time on. While it is
/// busy, writes one log line a second that says on what.
class LoopMonitor
{
public:
    struct Hooks
    {
        std::function<Duration()> processorTime; // used by this process since its start
        LogHook log;
    };

    LoopMonitor(TimerPort &timers, const WorkMeter &meter, Hooks hooks);
    ~LoopMonitor();
    LoopMonitor(const LoopMonitor &) = delete;
    LoopMonitor &operator=(const LoopMonitor &) = delete;

    void start(Time now);
    /// Delays of the timers of this monitor.
    const LatencyHistogram &delays() const { return delays_; }
    /// The longest delay within the last whole second.
    Duration recentDelay() const { return recentDelay_; }

private:
    /// Totals at the start of the present second.
    struct Totals
    {
        Time at{};
        Duration processorTime{};
        std::array<WorkMeter::Total, WorkKindCount> work{};
    };

    void scheduleCheck(Time now);
    void check(Duration delay, Time now);
    void logIfBusy(const Totals &totals);
    Totals readTotals(Time now) const;

    TimerPort &timers_;
    const WorkMeter &meter_;
    Hooks hooks_;
    LatencyHistogram delays_;
    Totals secondStart_;
    Duration longestDelay_{}; // in the present second
    Duration recentDelay_{};
    std::shared_ptr<int> alive_ = std::make_shared<int>();
};

} // namespace monsoonledge
