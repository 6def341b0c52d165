#include "adapters/adapters.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <stdexcept>
#include <utility>

#include <ctime>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace monsoonledge {

namespace {

constexpr std::array<const char *, 4> LevelNames{"debug", "info", "warning", "error"};
constexpr const char *LoggerId = "monsoonledge";

LogLevel parseLevel(const std::string &name)
{
    for (std::size_t i = 0; i < LevelNames.size(); ++i) {
        if (name == LevelNames[i])
            return static_cast<LogLevel>(i);
    }
    throw std::invalid_argument("unknown log level '" + name
                                + "': expected debug, info, warning or error");
}

std::string utcTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const auto second = static_cast<std::time_t>(millis / 1000);
    std::tm parts{};
    gmtime_r(&second, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(1000 + millis % 1000).substr(1);
    return std::string(text.data(), length) + '.' + fraction + 'Z';
}

constexpr std::size_t MaxLineBytes = 4000; // below the 4096 bytes that a writable pipe has room for

/// Returns true if a line can be written without blocking on the reader.
bool isOutputWritable()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) != 0 || output.revents != 0;
}

std::string formatAll(const LoggerSettings &settings, const LogEvent &event)
{
    nlohmann::ordered_json line;
    line["time"] = utcTime();
    line["level"] = LevelNames.at(static_cast<std::size_t>(event.level));
    line["event"] = event.event;
    line["domain"] = settings.domain.str();
    line["entry"] = settings.entry.str();
    line["host"] = settings.host.str();
    line["message"] = event.message;
    for (const auto &[name, value] : event.fields) {
        // A field of the event must not overwrite a standard field of the same name.
        line[line.contains(name) ? "field." + name : name] = value;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Shortens the message and the fields until the line has at most MaxLineBytes. In JSON, a control
/// character takes several times its size.
std::string formatLine(const LoggerSettings &settings, const LogEvent &event)
{
    std::string line = formatAll(settings, event);
    if (line.size() <= MaxLineBytes)
        return line;
    LogEvent shortened = event;
    for (std::size_t limit = MaxLineBytes / 4; line.size() > MaxLineBytes && limit > 0;
         limit /= 2) {
        shortened.message.resize(std::min(shortened.message.size(), limit));
        for (auto &[name, value] : shortened.fields)
            value.resize(std::min(value.size(), limit / event.fields.size()));
        line = formatAll(settings, shortened);
    }
    return line;
}

} // namespace

Logger::Logger(LoggerSettings settings) : settings_(std::move(settings))
{
    setLevel(settings_.level);
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::getLogger(LoggerId);
    el::Loggers::reconfigureLogger(LoggerId, configurations);
}

void Logger::setLevel(const std::string &level)
{
    level_ = parseLevel(level);
    settings_.level = level;
}

/// Returns false if the line was dropped.
bool Logger::writeLine(const LogEvent &event)
{
    if (!isOutputWritable()) {
        ++droppedLines_;
        return false;
    }
    // All lines use the same easylogging++ level. write() filters by level, and easylogging++ omits
    // its debug level from builds with NDEBUG.
    CLOG(INFO, LoggerId) << formatLine(settings_, event);
    return true;
}

void Logger::write(const LogEvent &event, Time now)
{
    if (event.level < level_)
        return;
    for (auto &[name, suppression] : suppressions_) {
        if (now - suppression.windowStart < minutes(1))
            continue;
        if (suppression.suppressed > 0) {
            writeLine({LogLevel::Warning,
                       "log-lines-suppressed",
                       "log lines of one event were suppressed: more than the limit per minute",
                       {{"suppressedEvent", name},
                        {"count", std::to_string(suppression.suppressed)}}});
        }
        suppression = {now, 0, 0};
    }
    Suppression &suppression =
            suppressions_.try_emplace(event.event, Suppression{now, 0, 0}).first->second;
    if (suppression.written >= settings_.maxLinesPerMinute) {
        ++suppression.suppressed;
        return;
    }
    ++suppression.written;
    if (!writeLine(event) || droppedLines_ == 0)
        return;
    const int dropped = std::exchange(droppedLines_, 0);
    writeLine({LogLevel::Warning,
               "log-lines-dropped",
               "log lines were dropped: the reader of standard output was too slow",
               {{"count", std::to_string(dropped)}}});
}

} // namespace monsoonledge
