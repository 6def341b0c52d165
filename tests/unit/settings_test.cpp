#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "findings.h"
#include "settings/settings.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace monsoonledge;

namespace {

const std::string ValidSettings =
        "entry: a\n" // line 1
        "domain: north\n"
        "host: host-a\n"
        "listen: 127.0.0.1:8080\n"
        "peer: 127.0.0.1:9080\n" // line 5
        "domains: [north, south]\n"
        "store: 127.0.0.1:7100\n"
        "hostList: 127.0.0.1:7200\n"
        "peers:\n"
        "  - {entry: b, domain: south, address: \"127.0.0.1:9081\"}\n" // line 10
        "tokens:\n"
        "  - {name: x, role: operator, token: 0123456789abcdef}\n"
        "timing: {hostGoneMs: 20000}\n"
        "limits: {maxQueued: 10}\n";

std::string settingsFindings(const std::string &text)
{
    return findingsOf([&] { parseSettings(text, "f"); });
}

std::string findingsAfterReplacing(const std::string &from, const std::string &to)
{
    return settingsFindings(replaced(ValidSettings, from, to));
}

} // namespace

TEST_CASE("settings take their values from the file, and absent keys keep their defaults")
{
    const Settings settings = parseSettings(ValidSettings, "f");
    CHECK(settings.listen == Address{"127.0.0.1", 8080});
    CHECK(settings.peers.at(0).domain == DomainId("south"));
    CHECK(settings.tokens.at(0).role == Role::Operator);
    CHECK(settings.timing.hostGone == seconds(20));
    CHECK(settings.timing.drainLimit == seconds(65));
    CHECK(settings.limits.maxQueued == 10);
}

TEST_CASE("the example settings are valid")
{
    CHECK(settingsFindings(readSourceFile("examples/entry.yaml")).empty());
}

TEST_CASE("each kind of invalid value is reported with its line")
{
    struct Case
    {
        const char *from;
        const char *to;
        const char *finding;
    };
    const Case cases[] = {
            {"host: host-a", "host: 'a b'", "3: 'host' is the quoted text \"a b\": write a name"},
            {"host: host-a\n", "", "1: 'host' is missing"},
            {"host: host-a", "host:", "3: 'host' has no value"},
            {"host: host-a", "host: [a]", "3: 'host' is a list"},
            {"host: host-a", "host: host-a\nhost: b", "4: 'host' is repeated"},
            {"host: host-a", "host: host-a\nlogLevle: info",
             "4: unknown key 'logLevle': write 'logL"},
            {"host: host-a", "host: host-a\nlogLevel: loud",
             "4: 'logLevel' is 'loud': write debug"},
            {"listen: 127.0.0.1:8080", "listen: localhost:8080",
             "4: 'listen': 'localhost' is no IP"},
            {"listen: 127.0.0.1:8080", "listen: 127.0.0.1", "4: 'listen': expected ip:port"},
            {"peer: 127.0.0.1:9080", "peer: 0.0.0.0:9080",
             "5: 'peer': an address to connect to cannot be"},
            {"peer: 127.0.0.1:9080", "peer: 127.0.0.1:8080", "5: 'peer' is the same address"},
            {"domain: north", "domain: west", "2: domain 'west' is not listed"},
            {"[north, south]", "[north, south, north]", "6: domain 'north' is repeated"},
            {"entry: b", "entry: a", "10: peer 'a' is repeated or names this process"},
            {"domain: south", "domain: west", "10: domain 'west' is not listed"},
            {"127.0.0.1:9081", "127.0.0.1:9080", "10: address 127.0.0.1:9080 is in use"},
            {"entry: b, ", "", "10: 'peers[].entry' is missing"},
            {"role: operator", "role: root", "12: 'tokens[].role' is 'root': write readOnly"},
            {"0123456789abcdef", "short", "12: 'tokens[].token' has the wrong form: write 16"},
            {"hostGoneMs: 20000", "hostGoneMs: 20s",
             "13: 'timing.hostGoneMs' is '20s': write a whole"},
            {"hostGoneMs: 20000", "hostGoneMs: \"20000\"", "13: 'timing.hostGoneMs' is the quoted"},
            {"hostGoneMs: 20000", "hostGoneMs: 1500",
             "13: 'timing.hostGoneMs' is less than two reads"},
            {"hostGoneMs: 20000", "mirrorDropAfterMs: 1900", "less than two heartbeats: write at"},
            {"hostGoneMs: 20000", "drainLimitMs: 61000", "13: 'timing.drainLimitMs' is not larger"},
            {"hostGoneMs: 20000", "hostGoneS: 20",
             "13: unknown key 'hostGoneS': write 'hostGoneMs'"},
            {"maxQueued: 10", "maxQueued: 0",
             "14: 'limits.maxQueued' is '0': write a whole number"},
            {"maxQueued: 10", "maxDeadlineMs: 60001", "14: 'limits.maxDeadlineMs' is '60001'"},
            {"limits: {maxQueued: 10}", "limits: 3", "14: limits is '3': write a map"},
    };
    for (const Case &testCase : cases) {
        const std::string findings = findingsAfterReplacing(testCase.from, testCase.to);
        CAPTURE(testCase.to);
        CAPTURE(findings);
        CHECK(findings.find(testCase.finding) != std::string::npos);
        CHECK(std::count(findings.begin(), findings.end(), '\n') == 1);
    }
}

TEST_CASE("all findings are reported together, in the order of the file")
{
    const std::string findings = settingsFindings(replaced(
            replaced(ValidSettings, "host: host-a\n", "host: '/'\n"), "maxQueued", "maxQ"));
    CHECK(findings.find("3: 'host'") == 0);
    CHECK(findings.find("\n14: unknown key 'maxQ'") != std::string::npos);
}

TEST_CASE("without tokens, only a loopback address is accepted for the operator interface")
{
    const std::string tokens = "tokens:\n  - {name: x, role: operator, token: 0123456789abcdef}\n";
    const std::string withoutTokens = replaced(ValidSettings, tokens, "");
    CHECK(settingsFindings(withoutTokens).empty());
    CHECK(settingsFindings(replaced(withoutTokens, "127.0.0.1:8080", "0.0.0.0:8080"))
                  .find("4: 'listen' is 0.0.0.0")
          == 0);
    CHECK(findingsAfterReplacing("127.0.0.1:8080", "0.0.0.0:8080").empty());
}

TEST_CASE("a token never appears in findings, because findings are logged")
{
    CHECK(findingsAfterReplacing("0123456789abcdef", "0123456789 secret").find("secret")
          == std::string::npos);
}

TEST_CASE("a syntax error, alias, tag or second document is one finding with its line")
{
    CHECK(settingsFindings("entry: a\n  domain: b\n").find("2: wrong YAML syntax") == 0);
    CHECK(settingsFindings("entry: &x a\nhost: *x\n").find("2: aliases are not supported") == 0);
    CHECK(settingsFindings("entry: a\nhost: !!str b\n").find("2: tags such as") == 0);
    CHECK(settingsFindings("entry: a\n---\nhost: b\n").find("2: a second YAML document") == 0);
    CHECK(settingsFindings("").find("0: this is empty") == 0);
}

TEST_CASE("deep nesting is reported as a finding and does not overflow the stack")
{
    CHECK(settingsFindings(std::string(100000, '[')).find("wrong YAML syntax")
          != std::string::npos);
}

TEST_CASE("a file that cannot be read is reported as a finding")
{
    CHECK(findingsOf([] { loadSettings("/nonexistent"); }).find("0: cannot be read") == 0);
    CHECK(findingsOf([] { loadSettings("/"); }).find("0: cannot be read") == 0);
}

TEST_CASE("docs/settings.md lists exactly the keys that settingsKeys() returns")
{
    const std::string page = readSourceFile("docs/settings.md");
    std::string rows;
    for (const SettingsKey &key : settingsKeys())
        rows += "| `" + key.name + "` | " + key.unit + " | "
                + (key.defaultValue.empty() ? "required" : key.defaultValue) + " | " + key.range
                + " | " + key.description + " |\n";
    CHECK_MESSAGE(page.find("| --- |\n" + rows + "\n") != std::string::npos,
                  "the table of docs/settings.md has to be:\n", rows);
}
