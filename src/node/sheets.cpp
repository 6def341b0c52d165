// The daily sheet: watching the store, adopting newer sheets, and writing submitted sheets.

#include "node/node.h"
#include "node/node_p.h"

#include <nlohmann/json.hpp>

namespace monsoonledge {

namespace {

// Maximum number of unconfirmed writes of one sheet before the outcome is reported as unknown.
constexpr int MaxSheetWrites = 5;
constexpr Duration SheetConfirmDelay = milliseconds(200);
constexpr Duration WatchRetryDelay = milliseconds(500);

std::string encodeSheetVersion(const SheetVersion &version)
{
    return nlohmann::json{{"revision", version.revision.value},
                          {"author", version.author},
                          {"text", version.text}}
            .dump();
}

SheetVersion decodeSheetVersion(const std::string &value)
{
    const nlohmann::json json = nlohmann::json::parse(value);
    SheetVersion version;
    version.revision.value = json.at("revision").get<std::uint64_t>();
    version.author = json.at("author").get<std::string>();
    version.text = json.at("text").get<std::string>();
    return version;
}

} // namespace

void Node::watchSheet()
{
    ports_.store.watch(SheetKey, sheetStoreVersion_, [this](const StoreValue &value, Time now) {
        onSheetRead(value, now);
        const bool storeResponded = value.status == StoreStatus::Ok
                                    || value.status == StoreStatus::Conflict
                                    || value.status == StoreStatus::NotFound;
        ports_.timers.after(storeResponded ? Duration::zero() : WatchRetryDelay,
                            [this](Time) { watchSheet(); });
    });
}

void Node::onSheetRead(const StoreValue &value, Time now)
{
    if (value.status == StoreStatus::NotFound) {
        sheetStoreVersion_ = Version();
        if (sheetVersion_.revision.value > 0)
            restoreSheet(Version(), now);
        return;
    }
    if (value.status != StoreStatus::Ok)
        return;
    sheetStoreVersion_ = value.version;
    try {
        const SheetVersion version = decodeSheetVersion(value.value);
        if (version.revision < sheetVersion_.revision)
            restoreSheet(value.version, now);
        else
            adoptSheet(version, "store", now);
    } catch (const std::exception &error) {
        log(LogLevel::Error, "sheet-unreadable", error.what());
    }
}

void Node::restoreSheet(Version expectedVersion, Time)
{
    log(LogLevel::Warning, "sheet-restored", "the store holds an older sheet than the one in force",
        {{"revision", std::to_string(sheetVersion_.revision.value)}});
    ports_.store.compareAndSwap(
            SheetKey, expectedVersion, encodeSheetVersion(sheetVersion_),
            [this, expectedVersion](const StoreValue &value, Time) {
                if (value.status == StoreStatus::Ok || value.status == StoreStatus::Conflict)
                    return;
                // The watch reports a value only once, so the write is repeated until the store
                // answers Ok or Conflict, or its version changes.
                ports_.timers.after(WatchRetryDelay, [this, expectedVersion](Time now) {
                    if (sheetStoreVersion_ == expectedVersion)
                        restoreSheet(expectedVersion, now);
                });
            });
}

bool Node::adoptSheet(const SheetVersion &version, const char *source, Time now)
{
    if (version.revision <= sheetVersion_.revision)
        return false;
    try {
        sheet_ = parseSheet(version.text, "sheet");
    } catch (const FindingsError &error) {
        // Sheets are checked before they are accepted. This one was accepted by a newer version of
        // the program, which may know more keys.
        log(LogLevel::Error, "sheet-rejected", error.what(),
            {{"revision", std::to_string(version.revision.value)}});
        return false;
    }
    sheetVersion_ = version;
    admission_.applySheet(sheet_);
    batch_.applySheet(sheet_, now);
    updateUsableUnits(now);
    log(LogLevel::Info, "sheet-in-force", "a newer sheet is in force",
        {{"revision", std::to_string(version.revision.value)},
         {"author", version.author},
         {"source", source}});
    sendHeartbeats(now);
    return true;
}

void Node::putSheet(const std::string &text, const std::string &author, Revision expect,
                    const PutDone &done, Time)
{
    PutResult result;
    try {
        parseSheet(text, "sheet");
    } catch (const FindingsError &error) {
        result.status = PutStatus::Invalid;
        result.findings = error.findings();
        ports_.timers.after(Duration::zero(), [done, result](Time later) { done(result, later); });
        return;
    }
    ports_.store.get(SheetKey, [this, text, author, expect, done](const StoreValue &value,
                                                                  Time now) {
        PutResult outcome;
        if (value.status != StoreStatus::Ok && value.status != StoreStatus::NotFound) {
            outcome.status = PutStatus::StoreUnreachable;
            done(outcome, now);
            return;
        }
        onSheetRead(value, now);
        if (expect != sheetVersion_.revision) {
            outcome.status = PutStatus::Conflict;
            outcome.revision = sheetVersion_.revision;
            outcome.author = sheetVersion_.author;
            done(outcome, now);
            return;
        }
        const SheetVersion version{Revision{sheetVersion_.revision.value + 1}, author, text};
        writeSheet({version, value.version, MaxSheetWrites}, done);
    });
}

void Node::writeSheet(const SheetWrite &write, const PutDone &done)
{
    ports_.store.compareAndSwap(SheetKey, write.expectedVersion, encodeSheetVersion(write.version),
                                [this, write, done](const StoreValue &value, Time now) {
                                    PutResult result;
                                    result.revision = write.version.revision;
                                    if (value.status == StoreStatus::Ok) {
                                        adoptSheet(write.version, "operator", now);
                                        result.status = PutStatus::Accepted;
                                        done(result, now);
                                    } else {
                                        confirmSheetWrite(write, done);
                                    }
                                });
}

void Node::confirmSheetWrite(const SheetWrite &write, const PutDone &done)
{
    ports_.store.get(SheetKey, [this, write, done](const StoreValue &value, Time now) {
        const bool read = value.status == StoreStatus::Ok || value.status == StoreStatus::NotFound;
        if (read)
            onSheetRead(value, now);
        if (read && value.version != write.expectedVersion) {
            const SheetVersion &inForce = sheetVersion_;
            const bool isOwnWrite = inForce.revision == write.version.revision
                                    && inForce.author == write.version.author
                                    && inForce.text == write.version.text;
            PutResult result;
            result.status = isOwnWrite ? PutStatus::Accepted : PutStatus::Conflict;
            result.revision = inForce.revision;
            result.author = inForce.author;
            done(result, now);
            return;
        }
        if (write.attemptsLeft <= 1) {
            PutResult result;
            result.status = PutStatus::Unknown;
            result.revision = write.version.revision;
            done(result, now);
            return;
        }
        // The earlier write may still take effect. Repeating it with the same expected version is
        // safe: at most one of the two succeeds.
        SheetWrite next = write;
        --next.attemptsLeft;
        ports_.timers.after(SheetConfirmDelay,
                            [this, next, done](Time) { writeSheet(next, done); });
    });
}

std::vector<EntryId> Node::peersWithoutCurrentSheet() const
{
    std::vector<EntryId> entries;
    for (const auto &item : peers_) {
        const bool current = item.second.up && item.second.hasHeartbeat
                             && item.second.lastHeartbeat.sheetRevision >= sheetVersion_.revision;
        if (!current)
            entries.push_back(item.first);
    }
    return entries;
}

} // namespace monsoonledge
