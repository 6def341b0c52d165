#include "membership/membership.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace monsoonledge {

int unitOfSlot(int slot, int slots, int rotation)
{
    assert(slot >= 0 && slot < slots);
    const auto unit = static_cast<int>(static_cast<std::int64_t>(slot) * UnitCount / slots);
    return (unit + rotation) % UnitCount;
}

int slotRotation(const HostId &host)
{
    return static_cast<int>(stableHash(host.str()) % UnitCount);
}

int slotCountOfUnits(UnitMask units, int slots, int rotation)
{
    int count = 0;
    for (int slot = 0; slot < slots; ++slot)
        count += static_cast<int>((units >> unitOfSlot(slot, slots, rotation)) & 1U);
    return count;
}

int homeUnit(const RequestId &id)
{
    return static_cast<int>(stableHash(id.str()) % UnitCount);
}

DomainId homeDomain(const RequestId &id, const std::vector<DomainId> &configured)
{
    const std::size_t end = id.str().find('~');
    if (end != std::string::npos) {
        DomainId named(id.str().substr(0, end));
        if (std::find(configured.begin(), configured.end(), named) != configured.end())
            return named;
    }
    return rendezvous(id.str(), configured);
}

const Member *DomainRecord::findMember(const EntryId &entry) const
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const Member &m) { return m.run.entry == entry; });
    return found == members.end() ? nullptr : &*found;
}

UnitMask DomainRecord::unitsOf(const EntryRun &run) const
{
    UnitMask mask = 0;
    for (int unit = 0; unit < UnitCount; ++unit) {
        if (units[unit].owner == run)
            mask |= 1U << unit;
    }
    return mask;
}

std::map<EntryId, int> fairShares(const DomainRecord &record)
{
    std::map<EntryId, int> shares;
    for (const Member &member : record.members) {
        if (member.state == MemberState::Active)
            shares[member.run.entry] = 0;
    }
    int remaining = UnitCount;
    int membersLeft = static_cast<int>(shares.size());
    for (auto &[entry, share] : shares) {
        share = (remaining + membersLeft - 1) / membersLeft;
        remaining -= share;
        --membersLeft;
    }
    return shares;
}

namespace {

using nlohmann::json;

json encodeRun(const EntryRun &run)
{
    return {{"entry", run.entry.str()}, {"incarnation", run.incarnation.value}};
}

EntryRun decodeRun(const json &value)
{
    return {EntryId(value.at("entry").get<std::string>()),
            Incarnation{value.at("incarnation").get<std::uint64_t>()}};
}

} // namespace

std::string encodeDomainRecord(const DomainRecord &record)
{
    json members = json::array();
    for (const Member &member : record.members) {
        json item = encodeRun(member.run);
        item["host"] = member.host.str();
        item["ip"] = member.address.ip;
        item["port"] = member.address.port;
        item["state"] = member.state == MemberState::Active ? "active" : "draining";
        members.push_back(std::move(item));
    }
    json units = json::array();
    for (const UnitRecord &unit : record.units) {
        json item = json::object();
        if (unit.owner)
            item["owner"] = encodeRun(*unit.owner);
        if (!unit.lastOwner.entry.isEmpty())
            item["lastOwner"] = encodeRun(unit.lastOwner);
        item["released"] = unit.released;
        units.push_back(std::move(item));
    }
    return json{{"members", std::move(members)}, {"units", std::move(units)}}.dump();
}

DomainRecord decodeDomainRecord(const std::string &text)
{
    try {
        const json document = json::parse(text);
        DomainRecord record;
        for (const json &item : document.at("members")) {
            const std::string state = item.at("state").get<std::string>();
            if (state != "active" && state != "draining")
                throw std::runtime_error(
                        "the state of a member in the domain record must be 'active' or "
                        "'draining', not '"
                        + state + "'");
            record.members.push_back(
                    {decodeRun(item), HostId(item.at("host").get<std::string>()),
                     Address{item.at("ip").get<std::string>(),
                             item.at("port").get<std::uint16_t>()},
                     state == "active" ? MemberState::Active : MemberState::Draining});
        }
        const json &units = document.at("units");
        if (units.size() != UnitCount)
            throw std::runtime_error("the domain record must have " + std::to_string(UnitCount)
                                     + " share units, but has " + std::to_string(units.size()));
        for (int i = 0; i < UnitCount; ++i) {
            const json &item = units.at(i);
            UnitRecord &unit = record.units[i];
            if (item.contains("owner"))
                unit.owner = decodeRun(item.at("owner"));
            if (item.contains("lastOwner"))
                unit.lastOwner = decodeRun(item.at("lastOwner"));
            unit.released = item.at("released").get<bool>();
        }
        return record;
    } catch (const json::exception &error) {
        throw std::runtime_error(std::string("the text is not a domain record: ") + error.what());
    }
}

} // namespace monsoonledge
