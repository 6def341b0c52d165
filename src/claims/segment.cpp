#include "claims/segment_p.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace monsoonledge {

namespace {

using nlohmann::json;

// Callers choose ids, which may hold any bytes, but JSON requires valid UTF-8; so all bytes but
// visible ASCII characters are percent-encoded, and '%' itself, too.
std::string escape(const std::string &id)
{
    static const char digits[] = "0123456789abcdef";
    std::string text;
    for (const char c : id) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte > 0x20 && byte < 0x7f && c != '%') {
            text += c;
        } else {
            text += '%';
            text += digits[byte >> 4];
            text += digits[byte & 15];
        }
    }
    return text;
}

std::string unescape(const std::string &text)
{
    std::string id;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            id += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            throw std::runtime_error(
                    "not a claim log segment: a request id ends within a percent escape");
        id += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
    }
    return id;
}

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

std::string encodeSegment(const Segment &segment)
{
    json claims = json::array();
    for (const RequestId &id : segment.claims)
        claims.push_back(escape(id.str()));
    json units = json::array();
    for (const UnitOwnership &ownership : segment.units) {
        json entry = {
                {"unit", ownership.unit}, {"known", ownership.known}, {"left", ownership.left}};
        if (!ownership.from.entry.isEmpty())
            entry["from"] = encodeRun(ownership.from);
        units.push_back(std::move(entry));
    }
    json document = {{"run", encodeRun(segment.run)},
                     {"full", segment.full},
                     {"closed", segment.closed},
                     {"claims", std::move(claims)},
                     {"units", std::move(units)}};
    if (segment.closed)
        document["closedBy"] = segment.closedBy;
    return document.dump();
}

Segment decodeSegment(const std::string &text)
{
    try {
        const json document = json::parse(text);
        Segment segment;
        segment.run = decodeRun(document.at("run"));
        segment.full = document.at("full").get<bool>();
        segment.closed = document.at("closed").get<bool>();
        segment.closedBy = document.value("closedBy", "");
        for (const json &id : document.at("claims"))
            segment.claims.emplace_back(unescape(id.get<std::string>()));
        for (const json &entry : document.at("units")) {
            const int unit = entry.at("unit").get<int>();
            if (unit < 0 || unit >= UnitCount)
                throw std::runtime_error(
                        "not a claim log segment: a unit number is not in [0, UnitCount)");
            segment.units.push_back(
                    {unit, entry.contains("from") ? decodeRun(entry.at("from")) : EntryRun(),
                     entry.at("known").get<bool>(), entry.at("left").get<bool>()});
        }
        return segment;
    } catch (const json::exception &error) {
        throw std::runtime_error(std::string("not a claim log segment: ") + error.what());
    } catch (const std::logic_error &error) {
        throw std::runtime_error(std::string("not a claim log segment: ") + error.what());
    }
}

std::string logPrefix(const DomainId &domain, const EntryRun &run)
{
    return "claims/" + domain.str() + '/' + run.str() + '/';
}

std::string segmentKey(const DomainId &domain, const EntryRun &run, std::uint64_t number)
{
    // The number is padded with zeros, so that keys sort by number.
    std::string digits = std::to_string(number);
    digits.insert(0, digits.size() < 8 ? 8 - digits.size() : 0, '0');
    return logPrefix(domain, run) + digits;
}

std::int64_t segmentNumber(const std::string &key)
{
    const std::string digits = key.substr(key.rfind('/') + 1);
    if (digits.empty() || digits.size() > 18
        || digits.find_first_not_of("0123456789") != std::string::npos)
        return -1;
    return std::stoll(digits);
}

} // namespace monsoonledge
