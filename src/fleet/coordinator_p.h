// Shared by the parts of the coordinator. Private to src/fleet.
#pragma once

#include "base/base.h"

#include <cstdint>

namespace monsoonledge {

constexpr double WorkerClockRate = 0.975; // a worker's clock may be 2% slow
constexpr Duration LapseMargin = milliseconds(150); // after the end of a worker's lease

inline std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace monsoonledge
