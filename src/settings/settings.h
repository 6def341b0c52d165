// Settings of one entry process, read from a YAML file.
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
    Address address; // peer interface
};

enum class Role { ReadOnly, Operator };

/// A token that an operator presents in "Authorization: Bearer <token>".
struct TokenSettings
{
    std::string name; // appears in logs in place of the token
    Role role = Role::ReadOnly;
    std::string token; // at least 16 characters
};

struct TimingSettings
{
    Duration hostListInterval = seconds(1); // between two reads of the host list
    Duration hostGone = seconds(30); // absence from the list before a member may count as dead
    Duration statusInterval = milliseconds(500); // between two status samples of an endpoint
    Duration takeoverSettle = milliseconds(500); // age of a sample after the proof of death
    Duration heartbeatInterval = seconds(1); // to peers of the same failure domain
    Duration remoteHeartbeatInterval = seconds(2); // to peers of other failure domains
    Duration claimWriteInterval = milliseconds(25); // minimum time between two claim writes
    Duration storeDownAfter = seconds(2); // store time-outs before claims go to peers
    Duration claimRetention = minutes(10); // how long a finished request id is remembered
    Duration mirrorDropAfter = seconds(4); // silence before claims no longer wait for a member
    Duration drainLimit = seconds(65); // planned stop: upper bound, larger than any deadline
    Duration drainGrace = seconds(1); // planned stop: readiness is false before the listener closes
    Duration taskLease = seconds(10); // lease of a batch task on its worker
};

struct LimitSettings
{
    int maxConnections = 2000; // callers connected at the same time
    int maxQueued = 4000; // requests waiting in all class queues
    int maxHeaderBytes = 16 * 1024;
    Duration callerIdle = seconds(30); // a connection without a whole request is closed after this
    Duration maxDeadline = seconds(60); // larger X-Deadline-Ms values are cut to this
    int maxRememberedBytes = 8 * 1024 * 1024; // bodies kept to answer duplicates
};

struct Settings
{
    EntryId entry;
    DomainId domain;
    HostId host; // this host's id in the host list
    Address listen; // callers and operators
    Address peer; // other entry processes
    std::vector<DomainId> domains; // all configured failure domains, including its own
    std::vector<PeerSettings> peers;
    Address store;
    Address hostList;
    std::vector<TokenSettings> tokens; // empty: the operator interface is open (loopback only)
    std::string logLevel = "info"; // debug, info, warning or error
    TimingSettings timing;
    LimitSettings limits;
};

/// One key of the settings file, for documentation and its test.
struct SettingsKey
{
    std::string name; // dotted path, such as "timing.hostGoneMs"
    std::string unit; // "ms", "bytes", "ip:port" or empty
    std::string defaultValue; // empty if the key is required
    std::string range;
    std::string note;
};

/// All keys in the order of the file.
const std::vector<SettingsKey> &settingsKeys();

/// Parses "ip:port" and checks that the ip is a number. Throws std::invalid_argument.
Address parseIpAddress(const std::string &text);

/// Parses and checks the text of a settings file. `file` appears in findings. Throws FindingsError
/// with everything found wrong.
Settings parseSettings(const std::string &text, const std::string &file);

/// Reads a settings file. Throws FindingsError, also if the file cannot be read.
Settings loadSettings(const std::string &path);

} // namespace monsoonledge
