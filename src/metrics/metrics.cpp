#include "metrics/metrics.h"

#include "metrics/burnring_p.h"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <cstdio>

namespace monsoonledge {

namespace {

struct CallerMetrics
{
    LatencyHistogram latency; // of requests that ran or may have run
    std::array<std::uint64_t, 3> outcomes{}; // indexed by Outcome
};

constexpr std::array<const char *, 3> OutcomeNames{"done", "not-run", "unknown"};

// 144 bins, two for values outside the axis, and the allocations around them.
constexpr std::size_t HistogramBytes = (LatencyHistogram::BinsPerDecade * 6 + 2) * 8 + 128;
static_assert((HistogramBytes + sizeof(CallerMetrics) + MaxRequestIdBytes + 96)
                              * (MaxCallersPerClass + 1)
                      < Metrics::MaxCountBytesPerClass,
              "the documented bound is too small");

/// Text of a label value. Control characters and bytes that are not UTF-8, which the format
/// requires, are replaced.
std::string escapeLabel(const std::string &text)
{
    using Utf8 = boost::locale::utf::utf_traits<char>;
    std::string result;
    for (auto it = text.begin(); it != text.end();) {
        const auto first = it;
        const auto point = Utf8::decode(it, text.end());
        if (point == '\\' || point == '"')
            result.append(1, '\\').append(1, *first);
        else if (point == '\n')
            result += "\\n";
        else if (point < ' ' || point == 0x7f || !boost::locale::utf::is_valid_codepoint(point))
            result += '?';
        else
            result.append(first, it);
    }
    return result;
}

std::string formatNumber(double value)
{
    std::array<char, 32> buffer{};
    const int length = std::snprintf(buffer.data(), buffer.size(), "%.9g", value);
    return {buffer.data(), static_cast<std::size_t>(length)};
}

double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Writes one family of samples after the other.
class PrometheusWriter
{
public:
    void family(const char *name, const char *type, const char *help)
    {
        name_ = std::string("monsoonledge_") + name;
        text_ += "# HELP " + name_ + ' ' + help + "\n# TYPE " + name_ + ' ' + type + '\n';
    }

    void sample(const std::string &labels, const std::string &value, const char *suffix = "")
    {
        text_ += name_ + suffix;
        if (!labels.empty())
            text_ += '{' + labels + '}';
        text_ += ' ' + value + '\n';
    }

    void gauge(const char *name, const char *help, std::uint64_t value)
    {
        family(name, "gauge", help);
        sample("", std::to_string(value));
    }

    std::string take() { return std::move(text_); }

private:
    std::string text_;
    std::string name_;
};

void writeHistogram(PrometheusWriter &out, const std::string &labels,
                    const LatencyHistogram &histogram)
{
    const auto bounds = LatencyHistogram::bounds();
    const auto counts = histogram.cumulative();
    for (std::size_t i = 0; i < bounds.size(); ++i)
        out.sample(labels + ",le=\"" + formatNumber(bounds[i]) + '"', std::to_string(counts[i]),
                   "_bucket");
    out.sample(labels + ",le=\"+Inf\"", std::to_string(histogram.count()), "_bucket");
    out.sample(labels, formatNumber(toSeconds(histogram.sum())), "_sum");
    out.sample(labels, std::to_string(histogram.count()), "_count");
}

void writeGauges(PrometheusWriter &out, const ProcessGauges &gauges, Revision revision)
{
    out.gauge("queued_requests", "Requests that wait for a slot.", gauges.queued);
    out.gauge("running_requests", "Requests that run on endpoints.", gauges.running);
    out.gauge("owned_units", "Share units that this process may use.", gauges.ownedUnits);
    out.gauge("claims_remembered", "Claims of non-idempotent requests in memory.", gauges.claims);
    out.family("claim_mode", "gauge", "1 for the place where claims are recorded now.");
    out.sample("mode=\"store\"", gauges.storeClaims ? "1" : "0");
    out.sample("mode=\"peer\"", gauges.storeClaims ? "0" : "1");
    out.gauge("store_reachable", "1 if the store responds.", gauges.storeReachable ? 1 : 0);
    out.gauge("sheet_revision", "Revision of the sheet in force; 0 without one.", revision.value);
    out.gauge("endpoints_ejected", "Endpoints ejected for their errors.", gauges.endpointsEjected);
    out.family("batch_tasks", "gauge", "Batch tasks by state, as known to this process.");
    for (const auto &item : gauges.batchTasks)
        out.sample(prometheusLabel("state", item.first), std::to_string(item.second));
}

BurnCauses judge(Outcome outcome, Duration latency, Duration target)
{
    BurnCauses cause;
    cause.refused = outcome == Outcome::NotRun ? 1 : 0;
    cause.unknown = outcome == Outcome::Unknown ? 1 : 0;
    cause.slow = outcome == Outcome::Done && latency > target ? 1 : 0;
    return cause;
}

} // namespace

std::string prometheusLabel(const std::string &name, const std::string &value)
{
    return name + "=\"" + escapeLabel(value) + '"';
}

struct Metrics::ClassMetrics
{
    explicit ClassMetrics(Time now) : burn(now) { }

    CallerMetrics &caller(const std::string &name)
    {
        const auto found = callers.find(name);
        if (found != callers.end())
            return found->second;
        // A place is kept for OtherCaller.
        const std::size_t named = callers.size() - callers.count(OtherCaller);
        const bool fits = named < MaxCallersPerClass && name.size() <= MaxRequestIdBytes;
        return callers[fits ? name : OtherCaller];
    }

    std::map<std::string, CallerMetrics> callers;
    BurnRing burn;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::applySheet(const Sheet &sheet, Revision revision)
{
    revision_ = revision;
    definitions_.clear();
    for (const Service &service : sheet.services) {
        for (const RequestClass &definition : service.classes)
            definitions_[definition.id] = definition;
    }
    for (auto item = classes_.begin(); item != classes_.end();)
        item = definitions_.count(item->first) > 0 ? std::next(item) : classes_.erase(item);
}

Metrics::ClassMetrics &Metrics::find(const ClassId &requestClass, Time now)
{
    std::unique_ptr<ClassMetrics> &found = classes_[requestClass];
    if (!found)
        found = std::make_unique<ClassMetrics>(now);
    return *found;
}

void Metrics::record(const ClassId &requestClass, const CallerId &caller, Outcome outcome,
                     Duration latency, Time now)
{
    ClassMetrics &metrics = find(requestClass, now);
    CallerMetrics &counts = metrics.caller(caller.str());
    ++counts.outcomes[static_cast<std::size_t>(outcome)];
    // Refusals are quick and would hide the latency of the requests that run.
    if (outcome != Outcome::NotRun)
        counts.latency.add(latency);
    const auto definition = definitions_.find(requestClass);
    const Duration target = definition == definitions_.end() ? RequestClass().latencyTarget
                                                             : definition->second.latencyTarget;
    metrics.burn.add(judge(outcome, latency, target), caller.str(), now);
}

std::string Metrics::prometheus(const ProcessGauges &gauges) const
{
    PrometheusWriter out;
    out.family("request_duration_seconds", "histogram",
               "Time from arrival to answer of requests that ran or may have run.");
    for (const auto &item : classes_) {
        LatencyHistogram sum;
        for (const auto &caller : item.second->callers)
            sum.add(caller.second.latency);
        writeHistogram(out, prometheusLabel("class", item.first.str()), sum);
    }
    out.family("requests_total", "counter", "Answered requests.");
    for (const auto &item : classes_) {
        for (const auto &caller : item.second->callers) {
            const std::string labels = prometheusLabel("class", item.first.str()) + ','
                                       + prometheusLabel("caller", caller.first);
            for (std::size_t i = 0; i < OutcomeNames.size(); ++i)
                out.sample(labels + ',' + prometheusLabel("outcome", OutcomeNames[i]),
                           std::to_string(caller.second.outcomes[i]));
        }
    }
    out.family("caller_latency_seconds", "gauge",
               "Latency of a caller's requests since the start, within 5 percent.");
    for (const auto &item : classes_) {
        for (const auto &caller : item.second->callers) {
            const std::string labels = prometheusLabel("class", item.first.str()) + ','
                                       + prometheusLabel("caller", caller.first);
            for (const double q : {0.5, 0.99})
                out.sample(labels + ",quantile=\"" + formatNumber(q) + '"',
                           formatNumber(toSeconds(caller.second.latency.quantile(q))));
        }
    }
    writeGauges(out, gauges, revision_);
    return out.take();
}

BurnReport Metrics::burn(const EntryRun &self, Time now)
{
    BurnReport report;
    report.entries = {self.str()};
    report.sheetRevision = revision_;
    for (const auto &item : classes_) {
        const auto found = definitions_.find(item.first);
        const RequestClass definition =
                found == definitions_.end() ? RequestClass() : found->second;
        ClassBurn burn;
        burn.id = item.first;
        burn.service = ServiceId(item.first.str().substr(0, item.first.str().find('/')));
        burn.objective = definition.objective;
        burn.latencyTarget = definition.latencyTarget;
        item.second->burn.read(burn, now);
        report.classes.push_back(std::move(burn));
    }
    return report;
}

} // namespace monsoonledge
