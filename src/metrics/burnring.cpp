#include "metrics/burnring_p.h"

#include <algorithm>

namespace monsoonledge {

BurnRing::SlotCauses &BurnRing::SlotCauses::operator+=(const SlotCauses &other)
{
    refused += other.refused;
    unknown += other.unknown;
    slow += other.slow;
    return *this;
}

BurnRing::BurnRing(Time now)
    : slots_(static_cast<std::size_t>(SlotCount)), current_(now.time_since_epoch() / BurnSlot)
{
    callers_.reserve(MaxCallersPerClass);
    other_.name = OtherCaller;
}

std::size_t BurnRing::ringIndex(std::int64_t slot, std::int64_t count)
{
    return static_cast<std::size_t>(slot % count);
}

void BurnRing::advance(Time now)
{
    const std::int64_t slot = now.time_since_epoch() / BurnSlot;
    for (std::int64_t i = std::max(current_, slot - SlotCount) + 1; i <= slot; ++i)
        slots_[ringIndex(i, SlotCount)] = Slot();
    const std::int64_t before = current_ / SlotsPerCallerSlot;
    const std::int64_t after = slot / SlotsPerCallerSlot;
    for (std::int64_t i = std::max(before, after - CallerSlotCount) + 1; i <= after; ++i)
        clearCallers(ringIndex(i, CallerSlotCount));
    current_ = std::max(current_, slot);
}

void BurnRing::clearCallers(std::size_t index)
{
    const auto clear = [index](Caller &caller) {
        caller.bad -= caller.slots[index].wide().bad();
        caller.slots[index] = SlotCauses();
    };
    std::for_each(callers_.begin(), callers_.end(), clear);
    clear(other_);
    callers_.erase(std::remove_if(callers_.begin(), callers_.end(),
                                  [](const Caller &caller) { return caller.bad == 0; }),
                   callers_.end());
}

BurnRing::Caller &BurnRing::place(const std::string &name)
{
    if (name == OtherCaller || name.size() > MaxRequestIdBytes)
        return other_;
    const auto found = std::find_if(callers_.begin(), callers_.end(),
                                    [&](const Caller &caller) { return caller.name == name; });
    if (found != callers_.end())
        return *found;
    if (callers_.size() < MaxCallersPerClass) {
        callers_.emplace_back();
        callers_.back().name = name;
        return callers_.back();
    }
    Caller &least =
            *std::min_element(callers_.begin(), callers_.end(),
                              [](const Caller &a, const Caller &b) { return a.bad < b.bad; });
    other_.bad += least.bad;
    for (std::size_t i = 0; i < least.slots.size(); ++i)
        other_.slots[i] += least.slots[i];
    least = Caller();
    least.name = name;
    return least;
}

void BurnRing::add(const BurnCauses &cause, const std::string &caller, Time now)
{
    advance(now);
    const SlotCauses narrow{static_cast<std::uint32_t>(cause.refused),
                            static_cast<std::uint32_t>(cause.unknown),
                            static_cast<std::uint32_t>(cause.slow)};
    Slot &slot = slots_[ringIndex(current_, SlotCount)];
    ++slot.total;
    slot.causes += narrow;
    if (cause.bad() == 0)
        return;
    Caller &placed = place(caller);
    placed.bad += cause.bad();
    placed.slots[ringIndex(current_ / SlotsPerCallerSlot, CallerSlotCount)] += narrow;
}

BurnSums BurnRing::sum(std::int64_t newest, std::int64_t count) const
{
    BurnSums sums;
    for (std::int64_t i = newest - count + 1; i <= newest; ++i) {
        // Before the clock's origin there are no events.
        if (i < 0)
            continue;
        const Slot &slot = slots_[ringIndex(i, SlotCount)];
        sums += {slot.total, slot.causes.wide()};
    }
    return sums;
}

CallerBurn BurnRing::callerBurn(const Caller &caller) const
{
    CallerBurn burn;
    burn.caller = caller.name;
    for (const SlotCauses &slot : caller.slots)
        burn.hours6 += slot.wide();
    const std::int64_t newest = current_ / SlotsPerCallerSlot;
    const std::int64_t hour = minutes(60) / CallerBurnSlot;
    for (std::int64_t i = std::max<std::int64_t>(newest - hour + 1, 0); i <= newest; ++i)
        burn.hour1 += caller.slots[ringIndex(i, CallerSlotCount)].wide();
    return burn;
}

void BurnRing::read(ClassBurn &burn, Time now)
{
    advance(now);
    for (std::size_t i = 0; i < BurnWindowCount; ++i)
        burn.windows[i] = sum(current_, burnWindowLength(i) / BurnSlot);
    const std::int64_t slotsPerPoint = BurnPoint / BurnSlot;
    for (std::size_t i = 0; i < BurnPointCount; ++i) {
        const auto age = static_cast<std::int64_t>(BurnPointCount - 1 - i) * slotsPerPoint;
        burn.series[i] = sum(current_ - age, slotsPerPoint);
    }
    burn.callers.clear();
    for (const Caller &caller : callers_)
        burn.callers.push_back(callerBurn(caller));
    if (other_.bad > 0)
        burn.callers.push_back(callerBurn(other_));
    std::stable_sort(burn.callers.begin(), burn.callers.end(),
                     [](const CallerBurn &a, const CallerBurn &b) {
                         return a.hours6.bad() > b.hours6.bad();
                     });
}

} // namespace monsoonledge
