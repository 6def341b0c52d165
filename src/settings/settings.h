// The settings of one entry process, read from a YAML file.
#pragma once

#include "base/base.h"

#include <string>
#include <vector>

namespace monsoonledge {

/// Another entry process, of the same or another failure domain.
struct PeerSettings
{
    EntryId entry;
    DomainId domain;
    Address address; // where the peer listens for other entry processes
};

/// What a token permits: only reading, or all operator calls.
enum class Role { ReadOnly, Operator };

/// A token that an operator presents in "Authorization: Bearer <token>".
struct TokenSettings
{
    std::string name; // appears in logs in place of the token
    Role role = Role::ReadOnly;
    std::string token; // at least 16 characters
};

/// Intervals and timeouts, the keys of "timing".
struct TimingSettings
{
    Duration hostListInterval = seconds(1); // between reads of the host list
    Duration hostGone = seconds(30); // absence from the host list before a member may count as dead
    Duration statusInterval = milliseconds(500); // between status samples of an endpoint
    /// A status sample taken this long after the proof that a member is dead, or later, can show
    /// that the member's requests have ended.
    Duration takeoverSettle = milliseconds(500);
    Duration heartbeatInterval = seconds(1); // heartbeats within the failure domain
    Duration remoteHeartbeatInterval = seconds(2); // heartbeats to other failure domains
    Duration claimWriteInterval = milliseconds(25); // minimum time between claim writes
    Duration storeDownAfter = seconds(2); // time of failing writes before claims go to peers
    Duration claimRetention = minutes(10); // how long the claim of an ended request is kept
    Duration mirrorDropAfter = seconds(4); // silence after which claims no longer wait for a member
    Duration drainLimit = seconds(65); // longest planned stop; longer than any deadline
    Duration drainGrace = seconds(1); // from readiness turning false to the closing of the listener
    Duration taskLease = seconds(10); // of a batch task on its worker
};

/// Limits on what callers may use, the keys of "limits".
struct LimitSettings
{
    int maxConnections = 2000; // open connections of callers
    int maxQueued = 4000; // waiting requests, over the queues of all classes
    int maxHeaderBytes = 16 * 1024; // of one request
    Duration callerIdle = seconds(30); // time for a connection to deliver a whole request
    Duration maxDeadline = seconds(60); // larger X-Deadline-Ms values are lowered to this
    int maxRememberedBytes = 8 * 1024 * 1024; // response bodies kept for duplicate requests
};

/// All settings of an entry process.
struct Settings
{
    EntryId entry; // this process
    DomainId domain; // failure domain of this process
    HostId host; // id of this host in the host list
    Address listen; // for callers and operators
    Address peer; // for other entry processes
    std::vector<DomainId> domains; // all failure domains, including the own one
    std::vector<PeerSettings> peers; // all other entry processes
    Address store; // key-value store of the platform
    Address hostList; // host list of the platform
    std::vector<TokenSettings> tokens; // empty: no token is needed; only valid on loopback
    std::string logLevel = "info"; // debug, info, warning or error
    TimingSettings timing;
    LimitSettings limits;
};

/// Describes one key of the settings file. A test compares docs/settings.md with these
/// descriptions.
struct SettingsKey
{
    std::string name; // dotted path, such as "timing.hostGoneMs"
    std::string unit; // "ms", "bytes", "ip:port" or empty
    std::string defaultValue; // empty if the key is required
    std::string range;
    std::string description;
};

/// Returns all keys of the settings file in the order of docs/settings.md.
const std::vector<SettingsKey> &settingsKeys();

/// Parses "ip:port". Throws std::invalid_argument if the text has another form or the ip is a host
/// name rather than a numeric IPv4 or IPv6 address.
Address parseIpAddress(const std::string &text);

/// Parses and validates the text of a settings file. `file` appears in findings. Throws
/// FindingsError with all errors.
Settings parseSettings(const std::string &text, const std::string &file);

/// Reads and validates a settings file. Throws FindingsError with all errors, or with a single one
/// if the file cannot be read.
Settings loadSettings(const std::string &path);

} // namespace monsoonledge
