// Keys of the system's own records in the store. Private to src/fleet.
#pragma once

#include "jobs/jobs.h"

#include <optional>
#include <string>

namespace monsoonledge::keys {

inline const std::string Coordinator = "coordinator";
inline const std::string Challenge = "coordinator/challenge";
inline const std::string Backlog = "coordinator/backlog";
inline const std::string Unreachable = "coordinator/unreachable"; // workers without a lease
inline const std::string JobsPrefix = "jobs/"; // covers all records of jobs
inline const std::string JobInputPrefix = "jobs/in/"; // submissions and cancellations by clients
inline const std::string SpecPrefix = "jobs/in/spec/";
inline const std::string CancelPrefix = "jobs/in/cancel/";
inline const std::string ProgressPrefix = "jobs/progress/";

/// Addresses at which the entry processes answer requests of each other.
inline const std::string EntryPrefix = "entry/";

inline std::string entry(const std::string &name)
{
    return EntryPrefix + name;
}

inline std::string spec(const JobId &id)
{
    return SpecPrefix + id.str();
}

inline std::string cancel(const JobId &id)
{
    return CancelPrefix + id.str();
}

inline std::string progress(const JobId &id)
{
    return ProgressPrefix + id.str();
}

/// Returns the id of the job if the key starts with the prefix, otherwise nothing.
inline std::optional<JobId> parse(const std::string &prefix, const std::string &key)
{
    if (key.size() <= prefix.size() || key.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return JobId(key.substr(prefix.size()));
}

} // namespace monsoonledge::keys
