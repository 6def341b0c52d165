// Strong ids and units, time, findings, hashing and seeded random numbers, used by every module.
//
// Sections:
//   [1] Ids
//   [2] Time and units
//   [3] Findings
//   [4] Hashing
//   [5] Random numbers
//   [6] Time by kind of work
//   [7] Structure of CBOR
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonledge {

// [1] Ids

/// A string id that cannot be mixed up with an id of another kind. An empty id means "none".
template<typename Tag> class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string value) : value_(std::move(value)) { }

    const std::string &str() const { return value_; }
    bool isEmpty() const { return value_.empty(); }

    friend bool operator==(const StringId &a, const StringId &b) { return a.value_ == b.value_; }
    friend bool operator!=(const StringId &a, const StringId &b) { return a.value_ != b.value_; }
    friend bool operator<(const StringId &a, const StringId &b) { return a.value_ < b.value_; }
    friend std::ostream &operator<<(std::ostream &out, const StringId &id)
    {
        return out << id.value_;
    }

private:
    std::string value_;
};

/// An entry process, by the name in its settings. A restarted process keeps its EntryId.
using EntryId = StringId<struct EntryTag>;
/// A failure domain.
using DomainId = StringId<struct DomainTag>;
/// A worker or entry host, as named in the host list.
using HostId = StringId<struct HostTag>;
/// A request, chosen by the caller or issued by the system. At most MaxRequestIdBytes long.
using RequestId = StringId<struct RequestTag>;
/// A batch task.
using TaskId = StringId<struct TaskTag>;
/// A service named in the daily sheet.
using ServiceId = StringId<struct ServiceTag>;
/// A class of requests of one service, written "service/class" in the daily sheet.
using ClassId = StringId<struct ClassTag>;
/// A caller, as named by the X-Caller header.
using CallerId = StringId<struct CallerTag>;
/// A team that owns batch work and quotas.
using TeamId = StringId<struct TeamTag>;

constexpr std::size_t MaxRequestIdBytes = 64;
constexpr std::size_t MaxBodyBytes = 256 * 1024; // of a request
constexpr std::size_t MaxAnswerBytes = 1024 * 1024; // of an answer to a request

/// A whole number that cannot be mixed up with a number of another kind.
template<typename Tag> struct Number
{
    std::uint64_t value = 0;

    friend bool operator==(Number a, Number b) { return a.value == b.value; }
    friend bool operator!=(Number a, Number b) { return a.value != b.value; }
    friend bool operator<(Number a, Number b) { return a.value < b.value; }
    friend bool operator<=(Number a, Number b) { return a.value <= b.value; }
    friend bool operator>(Number a, Number b) { return a.value > b.value; }
    friend bool operator>=(Number a, Number b) { return a.value >= b.value; }
    friend std::ostream &operator<<(std::ostream &out, Number n) { return out << n.value; }
};

/// Distinguishes two runs of the same entry process: a later start has a larger incarnation.
using Incarnation = Number<struct IncarnationTag>;
/// Revision of the daily sheet. 0: no sheet.
using Revision = Number<struct RevisionTag>;
/// Version of a value in the store. 0: the key is absent.
using Version = Number<struct VersionTag>;
/// Generation of a batch task; grows by one each time the task is queued again.
using Generation = Number<struct GenerationTag>;

/// One run of an entry process.
struct EntryRun
{
    EntryId entry;
    Incarnation incarnation;

    /// "entry/incarnation", as sent to endpoints in the X-Entry header.
    std::string str() const { return entry.str() + '/' + std::to_string(incarnation.value); }

    friend bool operator==(const EntryRun &a, const EntryRun &b)
    {
        return a.entry == b.entry && a.incarnation == b.incarnation;
    }
    friend bool operator!=(const EntryRun &a, const EntryRun &b) { return !(a == b); }
    friend bool operator<(const EntryRun &a, const EntryRun &b)
    {
        return a.entry != b.entry ? a.entry < b.entry : a.incarnation < b.incarnation;
    }
};

/// A TCP address: an IP number and a port.
struct Address
{
    std::string ip; // dotted quad or IPv6 number, never a host name
    std::uint16_t port = 0;

    std::string str() const { return ip + ':' + std::to_string(port); }
    friend bool operator==(const Address &a, const Address &b)
    {
        return a.ip == b.ip && a.port == b.port;
    }
    friend bool operator!=(const Address &a, const Address &b) { return !(a == b); }
    friend bool operator<(const Address &a, const Address &b)
    {
        return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
    }
};

/// Parses "ip:port". Throws std::invalid_argument if the text has another form.
Address parseAddress(const std::string &text);

// [2] Time and units

/// A span of time with a resolution of one microsecond.
using Duration = std::chrono::microseconds;
/// A point on a monotonic clock that goes on while the host is suspended. Only differences count.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// A duration in whole milliseconds, rounded towards zero, for logs.
inline std::int64_t wholeMilliseconds(Duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

/// A duration in fractional milliseconds, for logs and tables.
inline double toMilliseconds(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// A processor share in thousandths of a core.
using MilliCores = Number<struct MilliCoresTag>;
/// An amount of memory in mebibytes.
using MebiBytes = Number<struct MebiBytesTag>;

// [3] Findings

/// Position in a document. Line and column count from 1; 0 means unknown.
struct Place
{
    std::string file;
    int line = 0;
    int column = 0;
};

/// One thing wrong in a document, with the advice on what to write instead.
struct Finding
{
    Place place;
    std::string message;

    /// "file:line:column: message"
    std::string str() const;
};

using Findings = std::vector<Finding>;

/// All findings, one per line.
std::string formatFindings(const Findings &findings);

/// Thrown when a document cannot be used; carries everything found wrong in it.
class FindingsError : public std::runtime_error
{
public:
    explicit FindingsError(Findings findings);
    const Findings &findings() const { return findings_; }

private:
    Findings findings_;
};

/// Parses a decimal number of at most 19 digits without sign or spaces.
std::optional<std::uint64_t> parseNumber(const std::string &text);

// [4] Hashing

/// A 64-bit hash that is the same on every machine and in every version of the program, because
/// processes must agree on the home of a request id (FNV-1a with a final mix).
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// The candidate with the highest rendezvous weight for the key. Candidates must not be empty. The
/// choice does not depend on their order, and removing one moves only the keys that it had.
const DomainId &rendezvous(std::string_view key, const std::vector<DomainId> &candidates);

// [5] Random numbers

/// A small seeded generator (splitmix64): the same seed gives the same numbers everywhere.
class Random
{
public:
    explicit Random(std::uint64_t seed) : state_(seed) { }

    std::uint64_t next();
    /// A number in [0, bound). The bound must be greater than 0.
    std::uint64_t below(std::uint64_t bound);
    /// A number in [0, 1).
    double unit();

private:
    std::uint64_t state_;
};

// [6] Time by kind of work

/// Kinds of work whose time a process measures separately.
enum class WorkKind {
    Planning, // decisions on all jobs and workers
    Reports, // taking in what a worker reports, and the pace of its tasks
    Encoding, // of messages and records
    Decoding,
    WorkerCalls, // sending calls to workers and taking in the responses
    StoreCalls, // the same for the store
    ClientRequests,
    Logging,
};
constexpr std::size_t WorkKindCount = 8;

/// Adds up the time that one thread spends on each kind of work. While a scope is open within
/// another, its time counts for the inner one only.
class WorkMeter
{
public:
    using Clock = std::function<std::chrono::nanoseconds()>;

    /// `clock` returns a time that only increases.
    explicit WorkMeter(Clock clock) : clock_(std::move(clock)) { }

    /// Measures the work between its construction and its destruction. Without a meter it does
    /// nothing. Scopes must be destroyed in the reverse order of their construction.
    class Scope
    {
    public:
        Scope(WorkMeter *meter, WorkKind kind);
        ~Scope();
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        WorkMeter *meter_;
        std::optional<WorkKind> outer_;
    };

    struct Total
    {
        std::chrono::nanoseconds time{};
        std::uint64_t scopes = 0; // number of scopes that were opened
    };
    const Total &total(WorkKind kind) const { return totals_[static_cast<std::size_t>(kind)]; }

private:
    void switchTo(std::optional<WorkKind> kind);

    Clock clock_;
    std::array<Total, WorkKindCount> totals_{};
    std::optional<WorkKind> current_;
    std::chrono::nanoseconds currentSince_{};
};

/// Name of a kind of work in metrics and logs, such as "worker-calls".
const char *workKindName(WorkKind kind);

// [7] Structure of CBOR

/// Major types of CBOR items, by their number in the encoding.
enum class CborType { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

struct CborItem
{
    CborType type = CborType::Simple;
    std::uint64_t size = 0; // array: items; map: pairs; text and bytes: bytes
};

struct CborLimits
{
    std::size_t maxDepth = 8; // of arrays and maps within each other
    std::size_t maxItems = SIZE_MAX; // of one byte or more; bounds the memory of a parsed message
};

/// Checks that the bytes are one CBOR item and returns its type and size. Throws
/// std::invalid_argument on input over the limits, indefinite lengths, tags, and lengths beyond the
/// end. This must run before a parser that recurses on nested items, because deep input would
/// overflow its stack.
CborItem checkCbor(std::string_view bytes, CborLimits limits = {});

} // namespace monsoonledge

namespace std {
template<typename Tag> struct hash<monsoonledge::StringId<Tag>>
{
    size_t operator()(const monsoonledge::StringId<Tag> &id) const
    {
        return hash<string>()(id.str());
    }
};
} // namespace std
