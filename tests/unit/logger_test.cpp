#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "adapters/adapters.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace monsoonledge;

namespace {

/// Captures the lines written to std::cout during its lifetime.
class StdoutCapture
{
public:
    StdoutCapture() : originalBuffer_(std::cout.rdbuf(text_.rdbuf())) { }
    ~StdoutCapture() { std::cout.rdbuf(originalBuffer_); }
    StdoutCapture(const StdoutCapture &) = delete;
    StdoutCapture &operator=(const StdoutCapture &) = delete;

    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> result;
        std::istringstream in(text_.str());
        for (std::string line; std::getline(in, line);)
            result.push_back(nlohmann::json::parse(line));
        return result;
    }

private:
    std::ostringstream text_;
    std::streambuf *originalBuffer_;
};

LoggerSettings makeSettings()
{
    LoggerSettings settings;
    settings.domain = DomainId("martin");
    settings.entry = EntryId("e1");
    settings.host = HostId("h1");
    settings.maxLinesPerMinute = 3;
    return settings;
}

} // namespace

TEST_CASE("untrusted text can neither break a line nor overwrite a standard field")
{
    const StdoutCapture capture;
    Logger logger(makeSettings());
    const std::string text = "a\"b\n{\"level\":\"error\"} %level %msg \xff";
    logger.write({LogLevel::Warning, "odd-input", text, {{"request", text}, {"level", "x"}}}, {});
    REQUIRE(capture.lines().size() == 1);
    const nlohmann::json line = capture.lines()[0];
    const std::string cleaned = "a\"b\n{\"level\":\"error\"} %level %msg \xef\xbf\xbd";
    CHECK(line["message"] == cleaned);
    CHECK(line["request"] == cleaned);
    CHECK(line["level"] == "warning");
    CHECK(line["field.level"] == "x");
    CHECK(line["event"] == "odd-input");
    CHECK(line["domain"] == "martin");
    CHECK(line["entry"] == "e1");
    CHECK(line["host"] == "h1");
    const auto time = line["time"].get<std::string>();
    CHECK(time.size() == 24); // 2026-01-31T12:00:00.000Z
    CHECK(time.back() == 'Z');
}

TEST_CASE("events below the level are omitted, and an unknown level throws")
{
    const StdoutCapture capture;
    Logger logger(makeSettings());
    logger.write({LogLevel::Debug, "d", "", {}}, {});
    logger.setLevel("debug");
    logger.write({LogLevel::Debug, "d", "", {}}, {});
    logger.setLevel("error");
    logger.write({LogLevel::Warning, "w", "", {}}, {});
    CHECK(capture.lines().size() == 1);
    CHECK_THROWS_AS(logger.setLevel("loud"), std::invalid_argument);
}

TEST_CASE("lines over the rate limit of an event are counted, and other events are still written")
{
    const StdoutCapture capture;
    Logger logger(makeSettings());
    for (int i = 0; i < 10; ++i)
        logger.write({LogLevel::Info, "refused", "", {}}, Time(seconds(10)));
    logger.write({LogLevel::Info, "other", "", {}}, Time(seconds(11)));
    CHECK(capture.lines().size() == 4);
    logger.write({LogLevel::Info, "other", "", {}}, Time(seconds(70)));
    const auto lines = capture.lines();
    REQUIRE(lines.size() == 6);
    CHECK(lines[4]["event"] == "log-lines-suppressed");
    CHECK(lines[4]["suppressedEvent"] == "refused");
    CHECK(lines[4]["count"] == "7");
    CHECK(lines[5]["event"] == "other");
}

TEST_CASE("a long message of control characters is shortened and does not end the process")
{
    const StdoutCapture capture;
    Logger logger(makeSettings());
    const std::string text(3000, '\x01');
    logger.write({LogLevel::Warning, "odd-input", text, {{"request", text}}}, {});
    REQUIRE(capture.lines().size() == 1);
    const nlohmann::json line = capture.lines()[0];
    CHECK(line.dump().size() <= 4000);
    CHECK(line["message"].get<std::string>().size() >= 100);
}
