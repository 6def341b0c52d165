// The coordinator's removal of records that are no longer needed: those of ended jobs, and
// cancellations of jobs that were never submitted.
#include "fleet/fleet.h"

#include "fleet/keys_p.h"

#include <algorithm>

namespace monsoonledge {

namespace {

constexpr Duration CleanupInterval = seconds(2);
constexpr std::size_t RemovalsPerWrite = (MaxTransactionEntries - 1) / 3; // jobs, of 3 keys each
// Each needs a condition and a removal.
constexpr std::size_t CancellationsPerWrite = (MaxTransactionEntries - 1) / 2;

} // namespace

void Coordinator::removeFinishedJobs(Time now)
{
    if (!scheduler_ || now - lastCleanup_ < CleanupInterval || !isWithinRenewalGrace(now))
        return;
    lastCleanup_ = now;
    std::vector<JobId> ids = scheduler_->jobsEndedBefore(now - settings_.finishedJobRetention);
    if (ids.empty())
        return;
    ids.resize(std::min(ids.size(), RemovalsPerWrite));
    Transaction transaction;
    transaction.conditions.push_back({keys::Coordinator, recordRevision_});
    for (const JobId &id : ids) {
        transaction.removals.push_back(keys::spec(id));
        transaction.removals.push_back(keys::cancel(id));
        transaction.removals.push_back(keys::progress(id));
    }
    commit(
            transaction,
            [this, ids](const KeyValueResult &result, Time) {
                if (result.status == KeyValueStatus::Conflict)
                    deposeByConflict();
                if (result.status != KeyValueStatus::Ok)
                    return; // the next cleanup tries again
                for (const JobId &id : ids) {
                    scheduler_->removeJob(id);
                    progressRevisions_.erase(id);
                    jobView_.remove(id);
                }
            },
            now);
}

/// Removes old cancellations of unknown jobs, unless the job has been stored meanwhile: then the
/// cancellation stays as long as the job.
void Coordinator::removeUnknownCancellations(Time now)
{
    if (now < nextCancellationCleanupAt_ || !isWithinRenewalGrace(now))
        return;
    nextCancellationCleanupAt_ = now + CleanupInterval; // later than this call times out
    Transaction transaction;
    transaction.conditions.push_back({keys::Coordinator, recordRevision_});
    std::vector<JobId> ids;
    for (const auto &[id, since] : unknownCancellations_) {
        if (now - since < settings_.finishedJobRetention)
            continue;
        transaction.conditions.push_back({keys::spec(id), StoreRevision{}});
        transaction.removals.push_back(keys::cancel(id));
        ids.push_back(id);
        if (ids.size() == CancellationsPerWrite)
            break;
    }
    if (ids.empty())
        return;
    commit(
            transaction,
            [this, ids](const KeyValueResult &result, Time eventTime) {
                onCancellationsRemoved(ids, result, eventTime);
            },
            now);
}

void Coordinator::onCancellationsRemoved(const std::vector<JobId> &ids,
                                         const KeyValueResult &result, Time now)
{
    if (result.status == KeyValueStatus::Ok) {
        if (ids.size() == CancellationsPerWrite) // there may be more
            nextCancellationCleanupAt_ = now;
        for (const JobId &id : ids) {
            unknownCancellations_.erase(id);
            jobView_.remove(id);
        }
        return;
    }
    if (result.status != KeyValueStatus::Conflict)
        return; // the next cleanup tries again
    if (!isRecordCurrent(result)) {
        deposeByConflict();
        return;
    }
    for (const KeyValue &item : result.items) { // jobs that were stored meanwhile
        const std::optional<JobId> id = keys::parse(keys::SpecPrefix, item.key);
        if (id && item.revision.value > 0)
            unknownCancellations_.erase(*id);
    }
}

} // namespace monsoonledge
