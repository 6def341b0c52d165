#include "adapters/adapters.h"
#include "adapters/http_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr int MaxConnections = 8;
constexpr int MaxWatchConnections = 64; // one for each pending watch
constexpr Duration WatchWait = seconds(10);
constexpr std::size_t MaxResponseBytes = 4 * 1024 * 1024; // a listing may be larger than one value

class StoreClient : public StorePort
{
public:
    StoreClient(EventLoop &loop, Address address, Duration timeout)
        : loop_(loop), address_(std::move(address)), timeout_(timeout),
          http_(loop, {MaxConnections, std::min<Duration>(timeout, seconds(1)), MaxResponseBytes}),
          watchHttp_(loop, {MaxWatchConnections, std::min<Duration>(timeout, seconds(1)),
                            MaxResponseBytes})
    { }

    void get(const std::string &key, StoreDone done) override
    {
        http_.send(address_, "GET", "/kv/" + percentEncode(key), {}, {}, timeout_,
                   [done = std::move(done)](const HttpResult &result, Time now) {
                       done(parseValue(result), now);
                   });
    }

    void list(const std::string &prefix, StoreListDone done) override
    {
        http_.send(address_, "GET", "/list?prefix=" + percentEncode(prefix), {}, {}, timeout_,
                   [done = std::move(done)](const HttpResult &result, Time now) {
                       done(parseListing(result), now);
                   });
    }

    void compareAndSwap(const std::string &key, Version expected, const std::string &value,
                        StoreDone done) override
    {
        if (value.size() > MaxStoreValueBytes) {
            loop_.after(Duration::zero(), [done = std::move(done)](Time now) {
                done({StoreStatus::Refused, {}, {}}, now);
            });
            return;
        }
        http_.send(address_, "PUT", writeTarget(key, expected), {}, value, timeout_,
                   [done = std::move(done)](const HttpResult &result, Time now) {
                       StoreValue written = parseStatus(result);
                       if (written.status == StoreStatus::Ok
                           && !parseVersion(result, written.version))
                           written.status = StoreStatus::Unknown;
                       done(written, now);
                   });
    }

    void remove(const std::string &key, Version expected, StoreDone done) override
    {
        http_.send(address_, "DELETE", writeTarget(key, expected), {}, {}, timeout_,
                   [done = std::move(done)](const HttpResult &result, Time now) {
                       StoreValue removed = parseStatus(result);
                       // An absent key does not have the expected version.
                       if (removed.status == StoreStatus::NotFound)
                           removed.status = StoreStatus::Conflict;
                       done(removed, now);
                   });
    }

    void watch(const std::string &key, Version known, StoreDone done) override
    {
        const std::string target = "/watch/" + percentEncode(key)
                                   + "?after=" + std::to_string(known.value)
                                   + "&wait=" + std::to_string(wholeMilliseconds(WatchWait));
        watchHttp_.send(address_, "GET", target, {}, {}, WatchWait + timeout_,
                        [done = std::move(done), known](const HttpResult &result, Time now) {
                            if (result.failure == HttpFailure::None
                                && result.response.status == 204)
                                done({StoreStatus::Conflict, known, {}}, now);
                            else
                                done(parseValue(result), now);
                        });
    }

private:
    static std::string writeTarget(const std::string &key, Version expected)
    {
        return "/kv/" + percentEncode(key) + "?expect=" + std::to_string(expected.value);
    }

    static bool parseVersion(const HttpResult &result, Version &version)
    {
        const auto number = parseNumber(headerValue(result.response.headers, "x-version"));
        version.value = number.value_or(0);
        return number.has_value();
    }

    static StoreStatus toStoreStatus(const HttpResult &result)
    {
        if (result.failure != HttpFailure::None)
            return isCertainlyUnsent(result.failure) ? StoreStatus::Refused : StoreStatus::Unknown;
        switch (result.response.status) {
        case 200:
            return StoreStatus::Ok;
        case 404:
            return StoreStatus::NotFound;
        case 409:
            return StoreStatus::Conflict;
        default:
            break;
        }
        // After a 4xx or 503 nothing was written. Any other 5xx may have been sent after a write.
        const bool refused = result.response.status == 503 || result.response.status / 100 == 4;
        return refused ? StoreStatus::Refused : StoreStatus::Unknown;
    }

    /// Returns the status and, for a conflict, the current version.
    static StoreValue parseStatus(const HttpResult &result)
    {
        StoreValue value;
        value.status = toStoreStatus(result);
        if (value.status == StoreStatus::Conflict && !parseVersion(result, value.version))
            value.status = StoreStatus::Unknown;
        return value;
    }

    static StoreValue parseValue(const HttpResult &result)
    {
        StoreValue value = parseStatus(result);
        if (value.status == StoreStatus::Ok) {
            if (parseVersion(result, value.version))
                value.value = result.response.body;
            else
                value.status = StoreStatus::Unknown;
        }
        return value;
    }

    static StoreListing parseListing(const HttpResult &result)
    {
        StoreListing listing;
        listing.status = parseStatus(result).status;
        if (listing.status != StoreStatus::Ok)
            return listing;
        try {
            for (const nlohmann::json &item : nlohmann::json::parse(result.response.body)) {
                listing.keys.emplace_back(item.at("key").get<std::string>(),
                                          Version{item.at("version").get<std::uint64_t>()});
            }
            std::sort(listing.keys.begin(), listing.keys.end());
        } catch (const nlohmann::json::exception &) {
            // A partial listing must not be taken for a complete one.
            return {};
        }
        return listing;
    }

    EventLoop &loop_;
    Address address_;
    Duration timeout_;
    HttpClient http_;
    HttpClient watchHttp_;
};

} // namespace

std::unique_ptr<StorePort> makeStoreClient(EventLoop &loop, const Address &address,
                                           Duration timeout)
{
    return std::make_unique<StoreClient>(loop, address, timeout);
}

} // namespace monsoonledge
