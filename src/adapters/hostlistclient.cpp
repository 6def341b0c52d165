#include "adapters/adapters.h"
#include "adapters/http_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace monsoonledge {

namespace {

constexpr std::size_t MaxListBytes = 4 * 1024 * 1024; // enough for 1,600 hosts of about 300 bytes

/// Throws nlohmann::json::exception if a field is missing or has another type.
HostInfo parseHost(const nlohmann::json &json)
{
    HostInfo host;
    host.id = HostId(json.at("id").get<std::string>());
    host.kind = json.at("kind").get<std::string>() == "entry" ? HostKind::Entry : HostKind::Worker;
    // A host in a state unknown to this version must not receive new work.
    host.state =
            json.at("state").get<std::string>() == "live" ? HostState::Live : HostState::Leaving;
    host.address = {json.at("address").get<std::string>(), json.at("port").get<std::uint16_t>()};
    host.domain = DomainId(json.at("domain").get<std::string>());
    host.rack = json.value("rack", std::string());
    host.service = ServiceId(json.value("service", std::string()));
    host.slots = json.value("slots", 0);
    host.connections = json.value("connections", 0);
    host.cores = {static_cast<std::uint64_t>(std::llround(json.value("cores", 0.0) * 1000))};
    host.memory = {json.value("memoryMb", std::uint64_t{0})};
    host.accelerators = json.value("accelerators", 0);
    return host;
}

HostListing parseListing(const HttpResult &result)
{
    HostListing listing;
    if (result.failure != HttpFailure::None || result.response.status != 200)
        return listing;
    const auto json = parseJsonObject(result.response.body);
    if (!json || !json->contains("hosts") || !json->at("hosts").is_array())
        return listing;
    listing.ok = true;
    for (const nlohmann::json &item : json->at("hosts")) {
        try {
            listing.hosts.push_back(parseHost(item));
        } catch (const nlohmann::json::exception &) {
            // A host that cannot be parsed is treated as removed. Rejecting the whole list would
            // keep the previous one in use, and hosts that are leaving would continue to receive
            // work.
            continue;
        }
    }
    return listing;
}

class HostListClient : public HostListPort
{
public:
    HostListClient(EventLoop &loop, Address address, Duration timeout)
        : address_(std::move(address)), timeout_(timeout),
          http_(loop, {2, std::min<Duration>(timeout, seconds(1)), MaxListBytes})
    { }

    void read(std::function<void(const HostListing &, Time now)> done) override
    {
        http_.send(address_, "GET", "/hosts", {}, {}, timeout_,
                   [done = std::move(done)](const HttpResult &result, Time now) {
                       done(parseListing(result), now);
                   });
    }

private:
    Address address_;
    Duration timeout_;
    HttpClient http_;
};

} // namespace

std::unique_ptr<HostListPort> makeHostListClient(EventLoop &loop, const Address &address,
                                                 Duration timeout)
{
    return std::make_unique<HostListClient>(loop, address, timeout);
}

} // namespace monsoonledge
