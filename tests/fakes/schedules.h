// Runs a test body over many seeds. SEED=n repeats one schedule; SCHEDULES=n changes their number
// and FIRST_SEED=n their first seed.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <doctest/doctest.h>
#include <functional>
#include <string>

namespace monsoonledge {

/// The body returns what went wrong, or an empty text. Ends with the first failing seed.
inline void runSchedules(int count, const std::function<std::string(std::uint64_t seed)> &body)
{
    std::uint64_t first = 1;
    if (const char *text = std::getenv("SCHEDULES"))
        count = std::atoi(text);
    if (const char *text = std::getenv("FIRST_SEED"))
        first = std::strtoull(text, nullptr, 10);
    if (const char *text = std::getenv("SEED")) {
        first = std::strtoull(text, nullptr, 10);
        count = 1;
    }
    REQUIRE(count > 0);
    for (std::uint64_t seed = first; seed < first + static_cast<std::uint64_t>(count); ++seed) {
        const std::string failure = body(seed);
        INFO("repeat with SEED=" << seed);
        REQUIRE(failure == "");
    }
}

} // namespace monsoonledge
