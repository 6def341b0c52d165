// The delay before a repeated call to the store.
#pragma once

#include "base/base.h"

#include <algorithm>
#include <cstdint>

namespace monsoonledge {

/// The delay after this many failed calls in a row, at least one: doubled with each failure, up to
/// the maximum. A store that refuses calls at once would otherwise get several of them a second
/// from every process.
inline Duration retryDelayAfter(std::uint64_t failures, Duration first, Duration longest)
{
    // The limit of the exponent keeps the product from overflowing.
    return std::min(first * (1 << std::min<std::uint64_t>(failures - 1, 8)), longest);
}

} // namespace monsoonledge
