#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "findings.h"
#include "sheet/sheet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace monsoonledge;

namespace {

const std::string ValidSheet = "name: day\n" // line 1
                               "services:\n"
                               "  - name: desk\n"
                               "    slotCores: 0.75\n"
                               "    classes:\n" // line 5
                               "      - {name: renewal, idempotent: false, floor: 0.6}\n"
                               "      - {name: sync, idempotent: true, floor: 0.4}\n"
                               "batch:\n"
                               "  - {name: plan, team: ops, cores: 2.5, runMinutes: 1.5}\n"
                               "  - {name: index, team: ops, memoryMb: 2048}\n" // line 10
                               "yieldOrder: [index, plan]\n"
                               "teams: [{name: ops, maxCores: 100}]\n"
                               "guards: {headroom: 0.1, throttleAt: 0.8, evictAt: 0.9}\n";

std::string sheetFindings(const std::string &text,
                          const LargestWorker &largestWorker = LargestWorker())
{
    return findingsOf([&] { parseSheet(text, "f", largestWorker); });
}

} // namespace

TEST_CASE("values of the sheet are stored in the unit of their field")
{
    const Sheet sheet = parseSheet(ValidSheet, "f");
    CHECK(sheet.name == "day");
    CHECK(sheet.findService(ServiceId("desk"))->slotCores.value == 750);
    const RequestClass *renewal = sheet.findClass(ClassId("desk/renewal"));
    REQUIRE(renewal != nullptr);
    CHECK(renewal->service == ServiceId("desk"));
    CHECK_FALSE(renewal->idempotent);
    CHECK(renewal->floor == doctest::Approx(0.6));
    CHECK(renewal->deadline == seconds(5));
    const BatchJob *plan = sheet.findJob("plan");
    REQUIRE(plan != nullptr);
    CHECK(plan->cores.value == 2500);
    CHECK(plan->runTime == seconds(90));
    CHECK(sheet.findJob("index")->memory.value == 2048);
    CHECK(sheet.yieldOrder == std::vector<std::string>{"index", "plan"});
    CHECK(sheet.teams.at(0).maxCores.value == 100000);
    CHECK(sheet.findClass(ClassId("desk/none")) == nullptr);
}

TEST_CASE("the example sheets are valid and mark what must run at most once as not idempotent")
{
    const Sheet tatrasen = parseSheet(readSourceFile("examples/tatrasen.yaml"), "f");
    CHECK_FALSE(tatrasen.findClass(ClassId("strip-desk/renewal"))->idempotent);
    CHECK_FALSE(tatrasen.findClass(ClassId("strip-desk/fit-report"))->idempotent);
    CHECK(tatrasen.findClass(ClassId("strip-desk/courier-sync"))->idempotent);
    const Sheet asociacion = parseSheet(readSourceFile("examples/asociacion.yaml"), "f");
    CHECK(asociacion.findClass(ClassId("ledger/results"))->idempotent);
    CHECK_FALSE(asociacion.findClass(ClassId("ledger/finish-entry"))->idempotent);
    CHECK_FALSE(asociacion.findClass(ClassId("ledger/measurement"))->idempotent);
    CHECK_FALSE(asociacion.findJob("rating-reissue")->idempotent);
    CHECK(asociacion.findJob("standings-rebuild")->checkpointInterval > seconds(0));
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
            {"name: day\n", "", "1: 'name' is missing"},
            {"name: day", "name: day\nserivces: []", "2: unknown key 'serivces': write 'services'"},
            {"name: day", "name: day\nname: night", "2: 'name' is repeated"},
            {"slotCores: 0.75", "slotCores: 0",
             "4: 'services[].slotCores' is '0': write a number from"},
            {"slotCores: 0.75", "slotCores: nan", "4: 'services[].slotCores' is 'nan'"},
            {"slotCores: 0.75", "slotMemoryMb: 1.5",
             "4: 'services[].slotMemoryMb' is '1.5': write a"},
            {"idempotent: false, ", "", "6: 'classes[].idempotent' is missing"},
            {"idempotent: false", "idempotent: no",
             "6: 'classes[].idempotent' is 'no': write true or"},
            {"floor: 0.6", "floor: 1.5",
             "6: 'classes[].floor' is '1.5': write a number from 0 to 1"},
            {"floor: 0.6", "floor: 0.7", "6: the floors of service 'desk' add up to 1.1"},
            {"floor: 0.6", "weight: 0", "6: class 'renewal' has neither floor nor weight"},
            {"floor: 0.6", "deadlineMs: 400", "6: the latency target of class 'renewal' is above"},
            {"floor: 0.6", "callerShare: 0", "6: 'classes[].callerShare' is '0'"},
            {"floor: 0.6", "objective: 99", "6: 'classes[].objective' is '99'"},
            {"name: sync", "name: renewal", "7: class 'renewal' is repeated"},
            {"name: sync", "name: a/b", "7: 'classes[].name' is 'a/b': write a name"},
            {"name: plan", "name: index", "10: batch work 'index' is repeated"},
            {"cores: 2.5", "cores: 101",
             "9: batch work 'plan' can never run, because it needs 101"},
            {"cores: 2.5", "finishBy: \"24:00\"",
             "9: 'finishBy' of batch work 'plan' has the wrong"},
            {"cores: 2.5", "finishBy: 6am",
             "9: 'finishBy' of batch work 'plan' has the wrong form"},
            {"cores: 2.5", "count: 0", "9: 'batch[].count' is '0'"},
            {"team: ops, cores", "team: opps, cores", "9: team 'opps' of batch work 'plan' is not"},
            {"[index, plan]", "[index, plan, index]", "11: 'index' is repeated in yieldOrder"},
            {"[index, plan]", "[indx]", "11: yieldOrder names 'indx'"},
            {"{name: ops, maxCores: 100}", "{name: ops}, {name: ops}",
             "12: team 'ops' is repeated"},
            {"headroom: 0.1", "headroom: 0.95", "13: 'guards.headroom' is '0.95'"},
            {"evictAt: 0.9", "evictAt: 0.8",
             "13: 'guards.evictAt' is 0.8: write more than throttleAt"},
    };
    for (const Case &testCase : cases) {
        const std::string findings =
                sheetFindings(replaced(ValidSheet, testCase.from, testCase.to));
        CAPTURE(testCase.to);
        CAPTURE(findings);
        CHECK(findings.find(testCase.finding) != std::string::npos);
    }
}

TEST_CASE("repeated services and services without classes are reported")
{
    const std::string findings = sheetFindings(
            "name: x\nservices:\n  - name: a\n    classes: []\n  - name: a\n    classes:\n"
            "      - {name: c, idempotent: true}\n");
    CHECK(findings.find("4: service 'a' has no class") == 0);
    CHECK(findings.find("\n5: service 'a' is repeated") != std::string::npos);
}

TEST_CASE("a job that fits on no worker is rejected with all reasons")
{
    LargestWorker worker{MilliCores{16000}, MebiBytes{60000}, 0};
    CHECK(sheetFindings(ValidSheet, worker).empty());
    const std::string tooLarge =
            replaced(ValidSheet, "cores: 2.5", "cores: 14.5, memoryMb: 55000, accelerators: 1");
    CHECK(sheetFindings(tooLarge).empty());
    const std::string findings = sheetFindings(tooLarge, worker);
    CHECK(findings.find("9: batch work 'plan' can never run, because it needs 14.5 cores and the "
                        "largest worker offers 14.4 after headroom")
          == 0);
    CHECK(findings.find("needs 55000 MB") != std::string::npos);
    CHECK(findings.find("needs 1 accelerators") != std::string::npos);
    CHECK(sheetFindings(replaced(ValidSheet, "cores: 2.5", "cores: 14.4"), worker).empty());
}

TEST_CASE("floors whose sum exceeds 1 by a rounding error are accepted")
{
    CHECK(sheetFindings("name: x\nservices:\n  - name: a\n    classes:\n"
                        "      - {name: c, idempotent: true, floor: 0.1}\n"
                        "      - {name: d, idempotent: true, floor: 0.2}\n"
                        "      - {name: e, idempotent: true, floor: 0.7}\n")
                  .empty());
}

TEST_CASE("a sheet larger than one message between entry processes is rejected")
{
    CHECK(sheetFindings(ValidSheet + '#' + std::string(MaxBodyBytes, 'x')).find("0: the sheet has")
          == 0);
}

TEST_CASE("differences name the part of the sheet, the key and both values")
{
    const Sheet before = parseSheet(ValidSheet, "f");
    CHECK(diffSheets(before, before).empty());
    std::string text = replaced(ValidSheet, "floor: 0.6", "floor: 0.5");
    text = replaced(text, "name: index, team: ops", "name: audit, team: ops");
    text = replaced(text, "[index, plan]", "[plan]");
    text = replaced(text, "evictAt: 0.9", "evictAt: 0.95");
    const std::vector<std::string> lines = diffSheets(before, parseSheet(text, "f"));
    const std::string added = "batch audit: added (team ops, count 1, cores 1, memoryMb 2048, "
                              "accelerators 0, runMinutes 10, checkpointMinutes 5, finishBy 06:00, "
                              "idempotent false)";
    const std::vector<std::string> expected{
            "sheet: yieldOrder [index, plan] -> [plan]",
            "class desk/renewal: floor 0.6 -> 0.5",
            added,
            "guards: evictAt 0.9 -> 0.95",
            "batch index: removed",
    };
    CHECK(lines == expected);
}

TEST_CASE("changing only the order of services or classes is no difference")
{
    const std::string sync = "      - {name: sync, idempotent: true, floor: 0.4}\n";
    const std::string reordered =
            replaced(replaced(ValidSheet, sync, ""), "    classes:\n", "    classes:\n" + sync);
    CHECK(diffSheets(parseSheet(ValidSheet, "f"), parseSheet(reordered, "f")).empty());
}
