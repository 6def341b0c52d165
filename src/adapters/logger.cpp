#include "adapters/adapters.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <stdexcept>

#include <ctime>

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
                                + "', expected debug, info, warning or error");
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

void writeLine(const LoggerSettings &settings, const LogEvent &event)
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
        // A field with the name of a standard one must not replace it.
        line[line.contains(name) ? "field." + name : name] = value;
    }
    // All lines use one easylogging++ level: levels are filtered here, and easylogging++ compiles
    // its debug level out of builds with NDEBUG.
    CLOG(INFO, LoggerId) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
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

void Logger::write(const LogEvent &event, Time now)
{
    if (event.level < level_)
        return;
    for (auto &[name, suppression] : suppressions_) {
        if (now - suppression.windowStart < minutes(1))
            continue;
        if (suppression.suppressed > 0) {
            writeLine(settings_, {LogLevel::Warning,
                                  "log-lines-suppressed",
                                  "lines of one event were left out because of their number",
                                  {{"suppressedEvent", name},
                                   {"count", std::to_string(suppression.suppressed)}}});
        }
        suppression = {now, 0, 0};
    }
    Suppression &suppression =
            suppressions_.try_emplace(event.event, Suppression{now, 0, 0}).first->second;
    if (suppression.written >= settings_.repeatsPerMinute) {
        ++suppression.suppressed;
        return;
    }
    ++suppression.written;
    writeLine(settings_, event);
}

} // namespace monsoonledge
