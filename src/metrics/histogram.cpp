#include "metrics/metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace bh = boost::histogram;

namespace monsoonledge {

namespace {

constexpr double LowestMicroseconds = 100;
constexpr double HighestMicroseconds = 100e6;
constexpr int BinCount = LatencyHistogram::BinsPerDecade * LatencyHistogram::Decades;
constexpr int BinsPerBound = LatencyHistogram::BinsPerDecade / 3;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts = bh::histogram<std::tuple<LogAxis>, bh::dense_storage<std::uint64_t>>;

/// Geometric middle of a bin; the ends of the axis for the bins outside it.
Duration middle(int bin)
{
    if (bin < 0)
        return Duration(static_cast<Duration::rep>(LowestMicroseconds));
    if (bin >= BinCount)
        return Duration(static_cast<Duration::rep>(HighestMicroseconds));
    const double decades = (bin + 0.5) / LatencyHistogram::BinsPerDecade;
    return Duration(std::llround(LowestMicroseconds * std::pow(10, decades)));
}

} // namespace

struct LatencyHistogram::Bins
{
    Counts counts =
            bh::make_histogram_with(bh::dense_storage<std::uint64_t>(),
                                    LogAxis(BinCount, LowestMicroseconds, HighestMicroseconds));
};

LatencyHistogram::LatencyHistogram() : bins_(std::make_unique<Bins>()) { }
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&other) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&other) noexcept = default;

void LatencyHistogram::add(Duration latency)
{
    // A bin of the library excludes its upper edge, a Prometheus bucket includes it. Latencies are
    // whole microseconds and all edges but the powers of ten lie at least 0.005 us away from them,
    // so this shift moves only values on an edge. It is larger than the rounding of the axis.
    const double shift = 0.001;
    bins_->counts(std::max(static_cast<double>(latency.count()) - shift, 0.0));
    ++count_;
    sum_ += latency;
}

void LatencyHistogram::add(const LatencyHistogram &other)
{
    bins_->counts += other.bins_->counts;
    count_ += other.count_;
    sum_ += other.sum_;
}

std::uint64_t LatencyHistogram::count() const
{
    return count_;
}

Duration LatencyHistogram::quantile(double q) const
{
    if (count_ == 0)
        return Duration::zero();
    const auto rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (int bin = -1; bin < BinCount; ++bin) {
        seen += bins_->counts.at(bin);
        if (seen >= std::max<std::uint64_t>(rank, 1))
            return middle(bin);
    }
    return middle(BinCount);
}

std::array<double, LatencyHistogram::BoundCount> LatencyHistogram::bounds()
{
    std::array<double, BoundCount> result{};
    for (int i = 0; i < BoundCount; ++i)
        result[static_cast<std::size_t>(i)] = LowestMicroseconds / 1e6 * std::pow(10, i / 3.0);
    return result;
}

std::array<std::uint64_t, LatencyHistogram::BoundCount> LatencyHistogram::cumulative() const
{
    std::array<std::uint64_t, BoundCount> result{};
    std::uint64_t sum = 0;
    int bin = -1;
    for (int i = 0; i < BoundCount; ++i) {
        for (; bin < i * BinsPerBound; ++bin)
            sum += bins_->counts.at(bin);
        result[static_cast<std::size_t>(i)] = sum;
    }
    return result;
}

} // namespace monsoonledge
