// The history of one job from the logs of many hosts.
#pragma once

#include "base/base.h"

#include <string>
#include <vector>

namespace monsoonledge {

/// One line of a log that concerns the job, or the process that ran it.
struct HistoryLine
{
    std::string time; // RFC 3339, so that text order is the order of time
    std::string host;
    std::string event;
    std::string text; // message and fields
};

struct JobHistory
{
    std::vector<HistoryLine> lines; // by time
    std::string cause; // why the job ended as it did, in one sentence
    int unreadable = 0; // lines that are no JSON objects
};

/// Reads the lines of all logs. `id` is a job's id.
JobHistory explainJob(const std::string &id, const std::vector<std::string> &logs);

/// As printed: one row for each line, then the cause.
std::string formatHistory(const std::string &id, const JobHistory &history);

} // namespace monsoonledge
