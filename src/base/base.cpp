#include "base/base.h"

#include <cassert>

namespace monsoonledge {

Address parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size())
        throw std::invalid_argument("expected ip:port, got '" + text + "'");
    const std::string portText = text.substr(colon + 1);
    if (portText.find_first_not_of("0123456789") != std::string::npos || portText.size() > 5)
        throw std::invalid_argument("port is not a number in '" + text + "'");
    const unsigned long port = std::stoul(portText);
    if (port == 0 || port > 65535)
        throw std::invalid_argument("port is out of the range 1 to 65535 in '" + text + "'");
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::string Finding::str() const
{
    std::string text = place.file;
    if (place.line > 0)
        text += ':' + std::to_string(place.line) + ':' + std::to_string(place.column);
    return text + ": " + message;
}

std::string formatFindings(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings)
        text += finding.str() + '\n';
    return text;
}

FindingsError::FindingsError(Findings findings)
    : std::runtime_error(formatFindings(findings)), findings_(std::move(findings))
{ }

namespace {

std::uint64_t mix(std::uint64_t x)
{
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

} // namespace

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t h = 0xcbf29ce484222325ULL ^ mix(seed);
    for (const char c : text) {
        h ^= static_cast<unsigned char>(c);
        h *= 0x100000001b3ULL;
    }
    return mix(h);
}

const DomainId &rendezvous(std::string_view key, const std::vector<DomainId> &candidates)
{
    assert(!candidates.empty());
    const DomainId *best = &candidates.front();
    std::uint64_t bestWeight = 0;
    for (const DomainId &candidate : candidates) {
        const std::uint64_t weight = stableHash(key, stableHash(candidate.str()));
        if (weight > bestWeight || (weight == bestWeight && candidate < *best)) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    return *best;
}

std::uint64_t Random::next()
{
    state_ += 0x9e3779b97f4a7c15ULL;
    return mix(state_);
}

std::uint64_t Random::below(std::uint64_t bound)
{
    assert(bound > 0);
    return next() % bound;
}

double Random::unit()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    // 19 digits always fit into 64 bits.
    if (text.empty() || text.size() > 19
        || text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::stoull(text);
}

WorkMeter::Scope::Scope(WorkMeter *meter, WorkKind kind) : meter_(meter)
{
    if (!meter_)
        return;
    outer_ = meter_->current_;
    ++meter_->totals_[static_cast<std::size_t>(kind)].scopes;
    meter_->switchTo(kind);
}

WorkMeter::Scope::~Scope()
{
    if (meter_)
        meter_->switchTo(outer_);
}

void WorkMeter::switchTo(std::optional<WorkKind> kind)
{
    const std::chrono::nanoseconds now = clock_();
    if (current_)
        totals_[static_cast<std::size_t>(*current_)].time += now - currentSince_;
    current_ = kind;
    currentSince_ = now;
}

const char *workKindName(WorkKind kind)
{
    switch (kind) {
    case WorkKind::Planning:
        return "planning";
    case WorkKind::Reports:
        return "reports";
    case WorkKind::Encoding:
        return "encoding";
    case WorkKind::Decoding:
        return "decoding";
    case WorkKind::WorkerCalls:
        return "worker-calls";
    case WorkKind::StoreCalls:
        return "store-calls";
    case WorkKind::ClientRequests:
        return "client-requests";
    case WorkKind::Logging:
        return "logging";
    }
    return "unknown";
}

} // namespace monsoonledge
