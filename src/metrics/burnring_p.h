// Events of one class in the last six hours.
#pragma once

#include "metrics/metrics.h"

namespace monsoonledge {

/// A ring of counters per slot, and coarser rings for the callers with the most bad requests. When
/// there is no room for a caller, the one with the fewest bad requests is moved to OtherCaller.
class BurnRing
{
public:
    explicit BurnRing(Time now);

    /// Counts one request; all causes zero: a good one.
    void add(const BurnCauses &cause, const std::string &caller, Time now);
    /// Fills in windows, callers and series.
    void read(ClassBurn &burn, Time now);

private:
    // 32 bits hold the events of 15 minutes up to 4.7 million a second.
    struct SlotCauses
    {
        std::uint32_t refused = 0;
        std::uint32_t unknown = 0;
        std::uint32_t slow = 0;

        SlotCauses &operator+=(const SlotCauses &other);
        BurnCauses wide() const { return {refused, unknown, slow}; }
    };
    struct Slot
    {
        std::uint32_t total = 0;
        SlotCauses causes;
    };

    static constexpr std::int64_t SlotCount = BurnSpan / BurnSlot;
    static constexpr std::int64_t CallerSlotCount = BurnSpan / CallerBurnSlot;
    static constexpr std::int64_t SlotsPerCallerSlot = CallerBurnSlot / BurnSlot;

    struct Caller
    {
        std::string name;
        std::uint64_t bad = 0; // in all slots
        std::array<SlotCauses, CallerSlotCount> slots;
    };

    static_assert(sizeof(Slot) * SlotCount
                                  + (sizeof(Caller) + MaxRequestIdBytes + 1)
                                            * (MaxCallersPerClass + 1)
                          < Metrics::MaxBurnBytesPerClass,
                  "the documented bound is too small");

    static std::size_t ringIndex(std::int64_t slot, std::int64_t count);
    void advance(Time now);
    void clearCallers(std::size_t index);
    Caller &place(const std::string &name);
    CallerBurn callerBurn(const Caller &caller) const;
    BurnSums sum(std::int64_t newest, std::int64_t count) const;

    std::vector<Slot> slots_;
    std::int64_t current_ = 0; // number of the present slot since the clock's origin
    std::vector<Caller> callers_;
    Caller other_;
};

} // namespace monsoonledge
