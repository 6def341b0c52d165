// HTTP server, timers and fault switches shared by the stand-ins. The stand-ins use evhttp directly
// so that a fault in src/adapters cannot hide on both sides of a connection.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct event_base;

namespace monsoonledge::standins {

using Json = nlohmann::json;

/// CLOCK_MONOTONIC in milliseconds, comparable between all processes of one machine.
std::int64_t nowMs();

/// An event loop on one thread. SIGTERM and SIGINT end run().
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    void run();
    /// Calls back once. A delay of zero or less means the next pass of the loop.
    void after(double delayMs, std::function<void()> callback);
    event_base *base() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

struct Call
{
    std::string method;
    std::vector<std::string> path; // decoded segments
    std::map<std::string, std::string> query; // decoded
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    /// The decoded segments from `first` on, joined by '/'.
    std::string pathFrom(std::size_t first) const;
    /// Empty if there is no such header.
    std::string header(const std::string &name) const;
    /// Throws std::invalid_argument if the parameter is missing or no number.
    std::uint64_t number(const std::string &queryName) const;
    /// The body as a JSON object; an empty body is an empty object.
    Json json() const;
};

struct Reply
{
    int status = 200;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    bool close = false; // close the connection without sending anything
    bool truncate = false; // announce a longer body than is sent, then close

    static Reply ofJson(const Json &json, int status = 200);
    static Reply error(int status, const std::string &message);
};

/// Sends the reply of one call. Called exactly once, at once or later.
using Respond = std::function<void(const Reply &)>;

class Server
{
public:
    using Handler = std::function<void(const Call &, const Respond &)>;

    /// An exception from the handler is answered with 400. Throws std::runtime_error if the address
    /// cannot be bound.
    Server(Loop &loop, const std::string &ip, std::uint16_t port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Open connections that have carried at least one call.
    int connections() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

/// Fault switches by name. Each is a number; true counts as 1 and 0 is off.
class Faults
{
public:
    explicit Faults(std::map<std::string, double> defaults, std::uint64_t seed = 1);

    /// Serves /fault: POST changes the switches named in the JSON body after setting all to their
    /// defaults if it contains "reset"; GET and POST answer with all switches. Throws
    /// std::invalid_argument if a switch is unknown or no number.
    Reply serve(const Call &call);
    double get(const std::string &name) const { return values_.at(name); }
    bool isOn(const std::string &name) const { return get(name) > 0; }
    void set(const std::string &name, double value) { values_.at(name) = value; }
    /// Whether the fault hits the call with this id: the switch is the share of calls hit. The same
    /// seed, switch and id give the same result.
    bool hits(const std::string &name, const std::string &id) const;

private:
    std::map<std::string, double> defaults_;
    std::map<std::string, double> values_;
    std::uint64_t seed_;
};

} // namespace monsoonledge::standins
