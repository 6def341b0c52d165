// The endpoint of a stand-in worker: runs requests and records every run.
#pragma once

#include "standins/server.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace monsoonledge::standins {

struct WorkerSettings
{
    std::string name;
    std::string service; // empty: requests of every service are run
    double serviceMs = 5; // mean service time
    std::uint64_t seed = 1;
    int slots = 8;
    int connections = 60;
    double cores = 16;
    double memoryMb = 60 * 1024;
    double taskSpeed = 1; // milliseconds of task progress per millisecond
};

/// The faults of an endpoint and its worker.
std::map<std::string, double> workerFaults();

/// "<length>-<crc32>" of a request body, so that a caller can check that the endpoint got all of
/// it.
std::string checksum(const std::string &body);

class Endpoint
{
public:
    Endpoint(Loop &loop, const WorkerSettings &settings, const Faults &faults);

    /// POST /run/<service>/<class>. Work over the limits is run and recorded, never refused.
    void run(const Call &call, int connections, const Respond &respond);
    /// GET /status, as old as the fault statusLagMs says.
    Reply status() const;
    /// The endpoint's part of the journal.
    Json journal(bool withRuns) const;
    int running() const { return running_; }

private:
    struct Sample
    {
        std::int64_t takenMs = 0; // CLOCK_MONOTONIC
        int running = 0;
        std::map<std::string, int> byEntry;
    };

    double serviceTimeMs(const std::string &id) const;
    void begin(const std::string &id, const std::string &entry, bool idempotent);
    void end(const std::string &entry);
    void addSample();
    void reply(const std::string &id, const std::string &body, const Respond &respond);

    Loop &loop_;
    const WorkerSettings &settings_;
    const Faults &faults_;
    int running_ = 0;
    std::map<std::string, int> byEntry_; // X-Entry -> running requests
    std::deque<Sample> samples_; // one per change, of the last seconds
    std::string lastId_; // of the last answered request, for the fault cross
    std::map<std::string, int> runs_; // request id -> number of runs
    std::set<std::string> nonIdempotent_;
    std::set<std::string> doubleRuns_;
    int overloads_ = 0;
    int maxRunning_ = 0;
    int maxConnections_ = 0;
    int connectionOverloads_ = 0;
    int refused_ = 0;
    std::int64_t lastStartMs_ = 0; // CLOCK_MONOTONIC
};

} // namespace monsoonledge::standins
