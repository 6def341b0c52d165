// Constants and helpers shared by coordinator.cpp and orders.cpp. Private to src/fleet.
#pragma once

#include "base/base.h"

namespace monsoonledge {

/// Lowest assumed rate of a worker's clock relative to this host's. The clock may run 2% slow.
constexpr double MinWorkerClockRate = 0.975;
/// Added to the end of a worker's lease before the lease counts as expired.
constexpr Duration LeaseExpiryMargin = milliseconds(150);

/// How long a lease of this duration on a worker's clock may last on this host's clock.
inline Duration longestDurationOf(Duration lease)
{
    return std::chrono::duration_cast<Duration>(lease / MinWorkerClockRate) + LeaseExpiryMargin;
}

} // namespace monsoonledge
