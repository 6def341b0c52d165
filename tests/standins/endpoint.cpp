#include "standins/endpoint.h"

#include "base/base.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace monsoonledge::standins {

namespace {

constexpr std::int64_t SampleHistoryMs = 10000; // the largest statusLagMs

} // namespace

std::map<std::string, double> workerFaults()
{
    return {{"refuse", 0}, // share refused before running: 503 with X-Not-Run
            {"lateMs", 0}, // answers arrive this long after the run has ended
            {"lateShare", 1}, // share of answers that lateMs applies to
            {"truncate", 0}, // share of answers that are shorter than announced
            {"cross", 0}, // share of answers that belong to another request
            {"closeBeforeAnswer", 0}, // share of runs after which the connection is closed
            {"failFast", 0}, // share answered with 500 at once; tasks fail at once
            {"leaving", 0}, // the status says so, and refusals carry X-Leaving
            {"statusLagMs", 0}, // age of status samples and usage figures
            {"usageFactor", 1}}; // observed use of tasks in relation to the declared one
}

std::string checksum(const std::string &body)
{
    std::uint32_t crc = 0xFFFFFFFFU;
    for (const char c : body) {
        crc ^= static_cast<unsigned char>(c);
        for (int bit = 0; bit < 8; ++bit) {
            crc = (crc >> 1U) ^ ((crc & 1U) != 0 ? 0xEDB88320U : 0U);
        }
    }
    char text[16];
    std::snprintf(text, sizeof text, "%08x", crc ^ 0xFFFFFFFFU);
    return std::to_string(body.size()) + '-' + text;
}

Endpoint::Endpoint(Loop &loop, const WorkerSettings &settings, const Faults &faults)
    : loop_(loop), settings_(settings), faults_(faults)
{
    addSample();
}

double Endpoint::serviceTimeMs(const std::string &id) const
{
    // Half constant and half exponential. The draw depends on the id and not on the order of
    // arrival, so that two runs with the same seed agree.
    const double unit = Random(stableHash(id, settings_.seed)).unit();
    return settings_.serviceMs * (0.5 + 0.5 * std::min(8.0, -std::log(1.0 - unit)));
}

void Endpoint::run(const Call &call, int connections, const Respond &respond)
{
    maxConnections_ = std::max(maxConnections_, connections);
    connectionOverloads_ += connections > settings_.connections ? 1 : 0;
    const std::string id = call.header("x-request-id");
    if (call.path.size() != 3 || call.method != "POST" || id.empty()
        || (!settings_.service.empty() && call.path[1] != settings_.service)) {
        Reply reply = Reply::error(503, "no such service, or no X-Request-Id");
        reply.headers = {{"X-Not-Run", "1"}, {"X-Request-Id", id}};
        ++refused_;
        respond(reply);
        return;
    }
    if (faults_.hits("refuse", id)) {
        Reply reply = Reply::error(503, "refused before running");
        reply.headers = {{"X-Not-Run", "1"}, {"X-Request-Id", id}};
        if (faults_.isOn("leaving")) {
            reply.headers.emplace_back("X-Leaving", "1");
        }
        ++refused_;
        respond(reply);
        return;
    }
    const std::string entry = call.header("x-entry");
    begin(id, entry, call.header("x-idempotent") != "0");
    if (faults_.hits("failFast", id)) {
        end(entry);
        Reply reply = Reply::error(500, "failed");
        reply.headers = {{"X-Request-Id", id}};
        respond(reply);
        return;
    }
    loop_.after(serviceTimeMs(id), [this, id, entry, respond, body = call.body] {
        end(entry);
        if (faults_.isOn("lateMs") && faults_.hits("lateShare", id)) {
            loop_.after(faults_.get("lateMs"),
                        [this, id, body, respond] { reply(id, body, respond); });
        } else {
            reply(id, body, respond);
        }
    });
}

void Endpoint::begin(const std::string &id, const std::string &entry, bool idempotent)
{
    lastStartMs_ = nowMs();
    ++running_;
    ++byEntry_[entry];
    maxRunning_ = std::max(maxRunning_, running_);
    overloads_ += running_ > settings_.slots ? 1 : 0;
    const int runs = ++runs_[id];
    if (!idempotent) {
        nonIdempotent_.insert(id);
    }
    if (runs > 1 && nonIdempotent_.count(id) != 0) {
        doubleRuns_.insert(id);
    }
    addSample();
}

void Endpoint::end(const std::string &entry)
{
    --running_;
    if (--byEntry_[entry] == 0) {
        byEntry_.erase(entry);
    }
    addSample();
}

void Endpoint::addSample()
{
    const std::int64_t now = nowMs();
    samples_.push_back(Sample{now, running_, byEntry_});
    while (samples_.size() > 1 && samples_[1].takenMs <= now - SampleHistoryMs) {
        samples_.pop_front();
    }
}

void Endpoint::reply(const std::string &id, const std::string &body, const Respond &respond)
{
    Reply reply;
    // A crossed answer is the whole answer to another request.
    const bool crossed = faults_.hits("cross", id);
    const std::string shown = crossed ? (lastId_.empty() ? "another-request" : lastId_) : id;
    reply.headers = {{"X-Request-Id", shown}};
    reply.body = Json{{"id", shown}, {"echo", checksum(body)}, {"worker", settings_.name}}.dump();
    reply.truncate = faults_.hits("truncate", id);
    reply.close = faults_.hits("closeBeforeAnswer", id);
    lastId_ = id;
    respond(reply);
}

Reply Endpoint::status() const
{
    const auto lag = static_cast<std::int64_t>(faults_.get("statusLagMs"));
    const std::int64_t now = nowMs();
    const Sample *sample = &samples_.front();
    for (const Sample &candidate : samples_) {
        if (candidate.takenMs <= now - lag) {
            sample = &candidate;
        }
    }
    return Reply::ofJson({{"slots", settings_.slots},
                          {"running", sample->running},
                          {"runningBy", sample->byEntry},
                          {"sampleAgeMs", std::max(lag, std::int64_t{0})},
                          {"leaving", faults_.isOn("leaving")}});
}

Json Endpoint::journal(bool withRuns) const
{
    Json journal = {{"overloads", overloads_},
                    {"maxRunning", maxRunning_},
                    {"maxConnections", maxConnections_},
                    {"connectionOverloads", connectionOverloads_},
                    {"refused", refused_},
                    {"lastStartMs", lastStartMs_},
                    {"distinctRuns", runs_.size()},
                    {"doubleRuns", doubleRuns_}};
    if (withRuns) {
        journal["runs"] = runs_;
        journal["nonIdempotent"] = nonIdempotent_;
    }
    return journal;
}

} // namespace monsoonledge::standins
