// Stand-in of the platform's key-value store.
#include "standins/options.h"
#include "standins/server.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace monsoonledge::standins;

namespace {

constexpr std::size_t MaxValueBytes = 1024 * 1024;

/// Counts the calls of the last second.
class RateLimit
{
public:
    bool allow(double perSecond)
    {
        const std::int64_t now = nowMs();
        while (!calls_.empty() && calls_.front() <= now - 1000) {
            calls_.pop_front();
        }
        if (static_cast<double>(calls_.size()) >= perSecond) {
            return false;
        }
        calls_.push_back(now);
        return true;
    }

private:
    std::deque<std::int64_t> calls_; // CLOCK_MONOTONIC in milliseconds
};

struct Value
{
    std::string text;
    std::uint64_t version = 0;
};

class Store
{
public:
    explicit Store(Loop &loop)
        : loop_(loop),
          faults_({{"down", 0}, // 503 to every call, also to pending watches
                   {"slowMs", 0}, // a call takes effect at once and is answered later
                   {"lateWriteMs", 0}, // a write takes effect this much later
                   {"dropAnswers", 0}, // this many next writes take effect and are not answered
                   {"dropWatches", 0}, // watches are closed without an answer
                   {"rejectShare", 0}, // share of calls answered with 429
                   {"writesPerSecond", 400},
                   {"readsPerSecond", 2000}})
    { }

    void serve(const Call &call, const Respond &respond)
    {
        const std::string &kind = call.path.empty() ? call.method : call.path[0];
        if (kind == "fault") {
            respond(faults_.serve(call));
            dropWatches();
        } else if (kind == "stats") {
            respond(stats());
        } else if (kind == "kv" || kind == "watch" || kind == "list") {
            serveData(call, respond);
        } else {
            respond(Reply::error(404, "unknown path"));
        }
    }

private:
    void serveData(const Call &call, const Respond &respond)
    {
        const std::string kind = call.path[0] == "kv" ? call.method : call.path[0];
        const bool isWrite = kind == "PUT" || kind == "DELETE";
        const std::string key = call.pathFrom(1);
        ++counts_[kind];
        ++calls_;
        if (faults_.isOn("down")) {
            ++counts_["unavailable"];
            respond(Reply::error(503, "the store is down"));
            return;
        }
        if (isWrite) {
            (void)call.number("expect"); // refused before anything is scheduled
        }
        RateLimit &limit = isWrite ? writes_ : reads_;
        if (!limit.allow(faults_.get(isWrite ? "writesPerSecond" : "readsPerSecond"))
            || faults_.hits("rejectShare", std::to_string(calls_))) {
            ++counts_["rejected"];
            respond(Reply::error(429, "too many calls"));
            return;
        }
        if (kind == "watch") {
            watch(key, call, respond);
        } else if (isWrite && faults_.isOn("lateWriteMs")) {
            loop_.after(faults_.get("lateWriteMs"),
                        [this, call, key, respond] { answer(write(key, call), respond); });
        } else if (isWrite) {
            answer(write(key, call), respond);
        } else if (kind == "list") {
            answer(list(call), respond);
        } else if (kind == "GET") {
            answer(read(key), respond);
        } else {
            respond(Reply::error(405, "method not allowed"));
        }
    }

    void answer(const Reply &reply, const Respond &respond)
    {
        if (faults_.isOn("slowMs")) {
            loop_.after(faults_.get("slowMs"), [reply, respond] { respond(reply); });
        } else {
            respond(reply);
        }
    }

    std::uint64_t versionOf(const std::string &key) const
    {
        const auto it = values_.find(key);
        return it == values_.end() ? 0 : it->second.version;
    }

    Reply withVersion(int status, const std::string &key) const
    {
        Reply reply;
        reply.status = status;
        reply.headers.emplace_back("X-Version", std::to_string(versionOf(key)));
        return reply;
    }

    Reply read(const std::string &key) const
    {
        const auto it = values_.find(key);
        Reply reply = withVersion(it == values_.end() ? 404 : 200, key);
        reply.body = it == values_.end() ? std::string() : it->second.text;
        return reply;
    }

    Reply list(const Call &call) const
    {
        const auto found = call.query.find("prefix");
        const std::string prefix = found == call.query.end() ? std::string() : found->second;
        Json keys = Json::array();
        for (auto it = values_.lower_bound(prefix);
             it != values_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
            keys.push_back({{"key", it->first}, {"version", it->second.version}});
        }
        return Reply::ofJson(keys);
    }

    Reply write(const std::string &key, const Call &call)
    {
        const std::uint64_t expected = call.number("expect");
        if (key.empty()) {
            return Reply::error(400, "the key is empty");
        }
        if (call.body.size() > MaxValueBytes) {
            return Reply::error(413, "the value is larger than 1 MB");
        }
        if (versionOf(key) != expected) {
            ++counts_["conflict"];
            return withVersion(409, key);
        }
        if (call.method == "DELETE") {
            values_.erase(key);
        } else {
            // Versions are unique in the store, so that a key that is removed and written again
            // never gets an earlier version.
            values_[key] = Value{call.body, ++lastVersion_};
        }
        ++counts_["written"];
        ++written_[call.path.at(1).substr(0, call.path.at(1).find('/'))];
        bytes_ += call.body.size();
        notify(key);
        Reply reply = withVersion(200, key);
        if (faults_.isOn("dropAnswers")) {
            faults_.set("dropAnswers", faults_.get("dropAnswers") - 1);
            ++counts_["droppedAnswers"];
            reply.close = true;
        }
        return reply;
    }

    void watch(const std::string &key, const Call &call, const Respond &respond)
    {
        const std::uint64_t after = call.number("after");
        const std::uint64_t wait = call.number("wait");
        if (versionOf(key) != after && !faults_.isOn("dropWatches")) {
            answer(read(key), respond);
            return;
        }
        const std::uint64_t id = ++lastWatch_;
        watches_[key][id] = respond;
        // A short delay keeps clients from reconnecting in a tight loop.
        const double delay = faults_.isOn("dropWatches") ? 50 : static_cast<double>(wait);
        loop_.after(delay, [this, key, id] {
            const auto it = watches_.find(key);
            if (it == watches_.end() || it->second.count(id) == 0) {
                return;
            }
            const Respond expired = it->second.at(id);
            it->second.erase(id);
            Reply reply = withVersion(204, key);
            reply.close = faults_.isOn("dropWatches");
            expired(reply);
        });
    }

    void notify(const std::string &key)
    {
        const std::map<std::uint64_t, Respond> waiting = std::move(watches_[key]);
        watches_.erase(key);
        for (const auto &[id, respond] : waiting) {
            answer(read(key), respond);
        }
    }

    /// Ends all pending watches if a fault asks for it.
    void dropWatches()
    {
        if (!faults_.isOn("down") && !faults_.isOn("dropWatches")) {
            return;
        }
        Reply reply = Reply::error(503, "the store is down");
        reply.close = faults_.isOn("dropWatches");
        const auto dropped = std::move(watches_);
        watches_.clear();
        for (const auto &[key, waiting] : dropped) {
            for (const auto &[id, respond] : waiting) {
                respond(reply);
            }
        }
    }

    Reply stats() const
    {
        std::size_t pending = 0;
        for (const auto &[key, waiting] : watches_) {
            pending += waiting.size();
        }
        return Reply::ofJson({{"calls", counts_},
                              {"writtenByPrefix", written_},
                              {"writtenBytes", bytes_},
                              {"pendingWatches", pending},
                              {"keys", values_.size()}});
    }

    Loop &loop_;
    Faults faults_;
    RateLimit writes_;
    RateLimit reads_;
    std::map<std::string, Value> values_;
    std::map<std::string, std::map<std::uint64_t, Respond>> watches_; // key -> watch id
    std::uint64_t lastVersion_ = 0;
    std::uint64_t lastWatch_ = 0;
    std::uint64_t calls_ = 0;
    std::map<std::string, std::uint64_t> counts_; // GET, PUT, DELETE, list, watch and results
    std::map<std::string, std::uint64_t> written_; // by the first part of the key
    std::uint64_t bytes_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, po::options_description(),
                      [](const monsoonledge::Address &address, const po::variables_map &) {
                          Loop loop;
                          Store store(loop);
                          const Server server(loop, address.ip, address.port,
                                              [&store](const Call &call, const Respond &respond) {
                                                  store.serve(call, respond);
                                              });
                          loop.run();
                      });
}
