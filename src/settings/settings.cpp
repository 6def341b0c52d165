// Sections:
//   [1] Tables of keys
//   [2] Addresses
//   [3] Keys of the file
//   [4] Rules across keys
//   [5] Public functions
#include "settings/settings.h"

#include "yaml/yaml.h"

#include <arpa/inet.h>

#include <algorithm>
#include <set>

namespace monsoonledge {

namespace {

// [1] Tables of keys

// A domain name is the prefix of request ids before the '~', so it has to leave room for the rest
// within MaxRequestIdBytes.
constexpr std::size_t MaxDomainLength = 32;
constexpr std::size_t MinTokenLength = 16;
constexpr std::size_t MaxTokenLength = 256;
// A settings file with the tokens of 110 teams and 200 peers takes about 40 KB.
constexpr std::size_t MaxSettingsFileBytes = 1024 * 1024;

/// A key in milliseconds, and the field of `Struct` that holds its value.
template<typename Struct> struct DurationKey
{
    const char *name;
    Duration Struct::*field;
    Duration min;
    Duration max;
    const char *description;
};

/// An integer key of "limits", and the field that holds its value.
struct IntegerKey
{
    const char *name;
    int LimitSettings::*field;
    int min;
    int max;
    const char *unit;
    const char *description;
};

const DurationKey<TimingSettings> TimingKeys[] = {
        {"hostListIntervalMs", &TimingSettings::hostListInterval, milliseconds(50), minutes(1),
         "time between two reads of the host list"},
        {"hostGoneMs", &TimingSettings::hostGone, milliseconds(500), minutes(60),
         "absence from the host list before a member may count as dead; at least twice "
         "hostListIntervalMs"},
        {"statusIntervalMs", &TimingSettings::statusInterval, milliseconds(20), minutes(1),
         "time between two status samples of an endpoint"},
        {"takeoverSettleMs", &TimingSettings::takeoverSettle, milliseconds(100), minutes(1),
         "age after the proof of death from which a status sample counts"},
        {"heartbeatIntervalMs", &TimingSettings::heartbeatInterval, milliseconds(50), seconds(2),
         "time between heartbeats to peers of the same failure domain"},
        // Peers close a link on which no message has arrived for 5 s, so 4 s is the maximum.
        {"remoteHeartbeatIntervalMs", &TimingSettings::remoteHeartbeatInterval, milliseconds(50),
         seconds(4), "time between heartbeats to peers of other failure domains"},
        {"claimWriteIntervalMs", &TimingSettings::claimWriteInterval, milliseconds(1), seconds(5),
         "minimum time between two claim writes to the store"},
        {"storeDownAfterMs", &TimingSettings::storeDownAfter, milliseconds(100), minutes(1),
         "time without a response of the store before claims go to peers"},
        {"claimRetentionMs", &TimingSettings::claimRetention, seconds(1), minutes(60),
         "how long a finished request id is remembered"},
        {"mirrorDropAfterMs", &TimingSettings::mirrorDropAfter, milliseconds(100), minutes(1),
         "silence before claims no longer wait for a member; at least twice heartbeatIntervalMs"},
        {"drainLimitMs", &TimingSettings::drainLimit, milliseconds(100), minutes(10),
         "upper bound of a planned stop; more than drainGraceMs plus limits.maxDeadlineMs"},
        {"drainGraceMs", &TimingSettings::drainGrace, milliseconds(0), minutes(1),
         "time between readiness turning false and the listener closing"},
        {"taskLeaseMs", &TimingSettings::taskLease, milliseconds(500), minutes(5),
         "lease of a batch task on its worker"},
};

const DurationKey<LimitSettings> LimitDurationKeys[] = {
        {"callerIdleMs", &LimitSettings::callerIdle, milliseconds(100), minutes(10),
         "a connection without a whole request is closed after this"},
        {"maxDeadlineMs", &LimitSettings::maxDeadline, milliseconds(100), seconds(60),
         "larger X-Deadline-Ms values are cut to this"},
};

const IntegerKey LimitIntegerKeys[] = {
        {"maxConnections", &LimitSettings::maxConnections, 1, 100000, "",
         "callers connected at the same time"},
        {"maxQueued", &LimitSettings::maxQueued, 1, 1000000, "",
         "requests waiting in all class queues"},
        {"maxHeaderBytes", &LimitSettings::maxHeaderBytes, 1024, 1024 * 1024, "bytes",
         "size of the headers of one request"},
        {"maxRememberedBytes", &LimitSettings::maxRememberedBytes, 0, 1024 * 1024 * 1024, "bytes",
         "bodies kept to answer duplicates"},
};

const char *const LogLevels[] = {"debug", "info", "warning", "error"};

std::string formatMs(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

template<typename Struct, std::size_t N>
void addDurationKeys(std::vector<SettingsKey> &keys, const DurationKey<Struct> (&table)[N],
                     const std::string &pathPrefix)
{
    for (const auto &key : table)
        keys.push_back({pathPrefix + key.name, "ms", formatMs(Struct().*key.field),
                        formatMs(key.min) + " to " + formatMs(key.max), key.description});
}

std::vector<SettingsKey> makeSettingsKeys()
{
    const std::string name = "name";
    const std::string domainName = "name, at most " + std::to_string(MaxDomainLength);
    const std::string tokenRange = std::to_string(MinTokenLength) + " to "
                                   + std::to_string(MaxTokenLength) + " visible ASCII characters";
    std::vector<SettingsKey> keys{
            {"entry", "", "", name, "name of this entry process; a restarted process keeps it"},
            {"domain", "", "", domainName, "failure domain of this process; listed in domains"},
            {"host", "", "", name, "id of this host in the host list"},
            {"listen", "ip:port", "", "IP address and port 1 to 65535",
             "for callers and operators"},
            {"peer", "ip:port", "", "IP address and port 1 to 65535, not 0.0.0.0",
             "for other entry processes, which connect to this address"},
            {"domains", "", "", "at least one name, no repeats",
             "all configured failure domains; the same list on every process"},
            {"peers", "", "[]", "list", "all other entry processes"},
            {"peers[].entry", "", "", "name, unique", "name of the peer"},
            {"peers[].domain", "", "", "one of domains", "failure domain of the peer"},
            {"peers[].address", "ip:port", "", "unique", "peer address of the peer"},
            {"store", "ip:port", "", "IP address and port 1 to 65535, not 0.0.0.0",
             "key-value store of the platform"},
            {"hostList", "ip:port", "", "IP address and port 1 to 65535, not 0.0.0.0",
             "host list of the platform"},
            {"tokens", "", "[]", "list; may be empty only if listen is a loopback address",
             "operators; without tokens the operator interface is open"},
            {"tokens[].name", "", "", "name, unique", "appears in logs in place of the token"},
            {"tokens[].role", "", "", "readOnly or operator", "what the token permits"},
            {"tokens[].token", "", "", tokenRange + ", unique", "sent as a bearer token"},
            {"logLevel", "", Settings().logLevel, "debug, info, warning or error",
             "least severe level that is logged"},
    };
    addDurationKeys(keys, TimingKeys, "timing.");
    for (const IntegerKey &key : LimitIntegerKeys)
        keys.push_back({std::string("limits.") + key.name, key.unit,
                        std::to_string(LimitSettings().*key.field),
                        std::to_string(key.min) + " to " + std::to_string(key.max),
                        key.description});
    addDurationKeys(keys, LimitDurationKeys, "limits.");
    return keys;
}

// [2] Addresses

/// Bind: an address to listen on. Connect: an address that this or another process connects to.
enum class AddressUse { Bind, Connect };

bool isLoopback(const Address &address)
{
    return address.ip.rfind("127.", 0) == 0 || address.ip == "::1";
}

bool isIpAddress(const std::string &ip)
{
    in6_addr buffer; // large enough for IPv4 and IPv6 addresses
    return inet_pton(AF_INET, ip.c_str(), &buffer) == 1
           || inet_pton(AF_INET6, ip.c_str(), &buffer) == 1;
}

void readAddress(YamlMapReader &map, const std::string &key, Address &value, AddressUse use)
{
    std::string text;
    if (!map.readString(key, text))
        return;
    try {
        const Address address = parseIpAddress(text);
        if (use == AddressUse::Connect && (address.ip == "0.0.0.0" || address.ip == "::"))
            throw std::invalid_argument("an address to connect to cannot be " + address.ip);
        value = address;
    } catch (const std::invalid_argument &error) {
        map.report(key, "'" + key + "': " + error.what()
                                + ": write an IP address and a port, such as 10.0.0.1:8081");
    }
}

// [3] Keys of the file

template<typename Id>
bool readId(YamlMapReader &map, const std::string &key, Id &id,
            std::size_t maxLength = MaxNameLength)
{
    std::string name;
    if (!map.readName(key, name, maxLength))
        return false;
    id = Id(name);
    return true;
}

void readDomains(YamlMapReader &map, Settings &settings, YamlFindings &findings)
{
    const std::vector<YamlNode> *items = map.findList("domains");
    if (items == nullptr)
        return;
    if (items->empty())
        map.report("domains",
                   "'domains' is empty: write at least the failure domain of this process");
    std::set<DomainId> seen;
    for (const YamlNode &item : *items) {
        const DomainId domain(readName(item, "this domain", findings, MaxDomainLength));
        if (domain.isEmpty())
            continue;
        if (seen.insert(domain).second)
            settings.domains.push_back(domain);
        else
            findings.add(item,
                         "domain '" + domain.str() + "' is repeated in domains: write it once");
    }
}

bool isConfiguredDomain(const Settings &settings, const DomainId &domain)
{
    return std::find(settings.domains.begin(), settings.domains.end(), domain)
           != settings.domains.end();
}

void readPeers(YamlMapReader &map, Settings &settings, YamlFindings &findings)
{
    const std::vector<YamlNode> *items = map.findList("peers");
    if (items == nullptr)
        return;
    std::set<EntryId> entries{settings.entry};
    std::set<Address> addresses{settings.peer};
    for (const YamlNode &item : *items) {
        YamlMapReader peerMap(item, "peers[].", findings);
        PeerSettings peer;
        peerMap.requireKeys({"entry", "domain", "address"});
        if (readId(peerMap, "entry", peer.entry) && !entries.insert(peer.entry).second)
            peerMap.report("entry",
                           "peer '" + peer.entry.str()
                                   + "' is repeated or names this process: list every other "
                                     "entry process once");
        if (readId(peerMap, "domain", peer.domain, MaxDomainLength) && !settings.domains.empty()
            && !isConfiguredDomain(settings, peer.domain))
            peerMap.report("domain",
                           "domain '" + peer.domain.str()
                                   + "' is not listed in domains: write a listed one or add it");
        readAddress(peerMap, "address", peer.address, AddressUse::Connect);
        if (peer.address.port != 0 && !addresses.insert(peer.address).second)
            peerMap.report("address",
                           "address " + peer.address.str()
                                   + " is in use by another entry process: write the address of "
                                     "this peer");
        peerMap.reportUnknownKeys();
        settings.peers.push_back(peer);
    }
}

bool isValidToken(const std::string &text)
{
    return text.size() >= MinTokenLength && text.size() <= MaxTokenLength
           && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

void readTokens(YamlMapReader &map, Settings &settings, YamlFindings &findings)
{
    const std::vector<YamlNode> *items = map.findList("tokens");
    if (items == nullptr)
        return;
    std::set<std::string> names;
    std::set<std::string> tokenTexts;
    for (const YamlNode &item : *items) {
        YamlMapReader tokenMap(item, "tokens[].", findings);
        TokenSettings token;
        tokenMap.requireKeys({"name", "role", "token"});
        if (tokenMap.readName("name", token.name) && !names.insert(token.name).second)
            tokenMap.report("name",
                            "token name '" + token.name + "' is repeated: write another name");
        std::string role;
        if (tokenMap.readString("role", role)) {
            if (role != "readOnly" && role != "operator")
                tokenMap.report("role",
                                "'tokens[].role' is '" + role + "': write readOnly or operator");
            token.role = role == "operator" ? Role::Operator : Role::ReadOnly;
        }
        // Findings are written to logs, so they must not contain the token.
        if (tokenMap.readString("token", token.token)) {
            if (!isValidToken(token.token))
                tokenMap.report("token", "'tokens[].token' has the wrong form: write "
                                                 + std::to_string(MinTokenLength) + " to "
                                                 + std::to_string(MaxTokenLength)
                                                 + " visible ASCII characters without spaces");
            else if (!tokenTexts.insert(token.token).second)
                tokenMap.report(
                        "token",
                        "this 'tokens[].token' is repeated: write a different token for each name");
        }
        tokenMap.reportUnknownKeys();
        settings.tokens.push_back(token);
    }
}

template<typename Struct, std::size_t N>
void readDurations(YamlMapReader &map, const DurationKey<Struct> (&table)[N], Struct &values)
{
    for (const auto &key : table)
        map.readMilliseconds(key.name, values.*key.field, key.min, key.max);
}

void readLogLevel(YamlMapReader &map, std::string &level)
{
    std::string text;
    if (!map.readString("logLevel", text))
        return;
    if (std::find(std::begin(LogLevels), std::end(LogLevels), text) == std::end(LogLevels))
        map.report("logLevel", "'logLevel' is '" + text + "': write debug, info, warning or error");
    level = text;
}

// [4] Rules across keys

void checkAddresses(const Settings &settings, YamlMapReader &map)
{
    if (settings.listen.port != 0 && settings.listen == settings.peer)
        map.report("peer", "'peer' is the same address as 'listen': write another port");
    if (settings.listen.port != 0 && settings.tokens.empty() && !isLoopback(settings.listen))
        map.report("listen",
                   "'listen' is " + settings.listen.str()
                           + " and 'tokens' is empty, which opens the operator interface to "
                             "everyone: write at least one token, or listen on 127.0.0.1");
}

void checkTiming(const Settings &settings, YamlMapReader &timingMap)
{
    const TimingSettings &timing = settings.timing;
    // A single failed read of the host list must not make a live member count as dead.
    if (timing.hostGone < 2 * timing.hostListInterval)
        timingMap.report(
                "hostGoneMs",
                "'timing.hostGoneMs' is less than two reads of the host list, so one failed read "
                "could make a live member count as dead: write at least "
                        + formatMs(2 * timing.hostListInterval));
    // A single lost heartbeat must not exclude a live member from the recording of claims.
    if (timing.mirrorDropAfter < 2 * timing.heartbeatInterval)
        timingMap.report(
                "mirrorDropAfterMs",
                "'timing.mirrorDropAfterMs' would exclude a member from claims after one lost "
                "heartbeat, as it is less than two heartbeats: write at least "
                        + formatMs(2 * timing.heartbeatInterval));
    // A planned stop must not abort a request before its deadline.
    const Duration longestDrain = timing.drainGrace + settings.limits.maxDeadline;
    if (timing.drainLimit <= longestDrain)
        timingMap.report("drainLimitMs",
                         "'timing.drainLimitMs' is not larger than drainGraceMs plus "
                         "limits.maxDeadlineMs, so a planned stop could abort requests "
                         "before their deadline: write more than "
                                 + formatMs(longestDrain));
}

} // namespace

// [5] Public functions

const std::vector<SettingsKey> &settingsKeys()
{
    static const std::vector<SettingsKey> keys = makeSettingsKeys();
    return keys;
}

Address parseIpAddress(const std::string &text)
{
    Address address = parseAddress(text);
    if (!isIpAddress(address.ip))
        throw std::invalid_argument("'" + address.ip + "' is no IP address");
    return address;
}

Settings parseSettings(const std::string &text, const std::string &file)
{
    const YamlNode root = parseYaml(text, file);
    YamlFindings findings(file);
    Settings settings;
    YamlMapReader map(root, "", findings);
    map.requireKeys({"entry", "domain", "host", "listen", "peer", "domains", "store", "hostList"});
    readId(map, "entry", settings.entry);
    readId(map, "domain", settings.domain, MaxDomainLength);
    readId(map, "host", settings.host);
    readAddress(map, "listen", settings.listen, AddressUse::Bind);
    readAddress(map, "peer", settings.peer, AddressUse::Connect);
    readDomains(map, settings, findings);
    if (!settings.domain.isEmpty() && !settings.domains.empty()
        && !isConfiguredDomain(settings, settings.domain))
        map.report("domain", "domain '" + settings.domain.str()
                                     + "' is not listed in domains: write a listed one or add it");
    readPeers(map, settings, findings);
    readAddress(map, "store", settings.store, AddressUse::Connect);
    readAddress(map, "hostList", settings.hostList, AddressUse::Connect);
    readTokens(map, settings, findings);
    readLogLevel(map, settings.logLevel);

    const YamlNode emptyMap{YamlNode::Kind::Map, root.line, root.column, "", false, {}, {}};
    const YamlNode *limitsNode = map.find("limits");
    YamlMapReader limitsMap(limitsNode != nullptr ? *limitsNode : emptyMap, "limits.", findings);
    for (const IntegerKey &key : LimitIntegerKeys)
        limitsMap.readInteger(key.name, settings.limits.*key.field, key.min, key.max);
    readDurations(limitsMap, LimitDurationKeys, settings.limits);
    limitsMap.reportUnknownKeys();
    const YamlNode *timingNode = map.find("timing");
    YamlMapReader timingMap(timingNode != nullptr ? *timingNode : emptyMap, "timing.", findings);
    readDurations(timingMap, TimingKeys, settings.timing);
    timingMap.reportUnknownKeys();

    checkAddresses(settings, map);
    checkTiming(settings, timingMap);
    map.reportUnknownKeys();
    findings.throwIfAny();
    return settings;
}

Settings loadSettings(const std::string &path)
{
    return parseSettings(readTextFile(path, MaxSettingsFileBytes), path);
}

} // namespace monsoonledge
