#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "admission/admission.h"

#include <doctest/doctest.h>

using namespace monsoonledge;

namespace {

const Time Start{seconds(100)};
const ServiceId Desk("desk");
const ClassId Urgent("desk/urgent");
const ClassId Bulk("desk/bulk");

Sheet sheetWithTwoClasses(double urgentFloor, double bulkFloor)
{
    RequestClass urgent;
    urgent.id = Urgent;
    urgent.service = Desk;
    urgent.floor = urgentFloor;
    urgent.weight = 4;
    RequestClass bulk = urgent;
    bulk.id = Bulk;
    bulk.floor = bulkFloor;
    bulk.weight = 1;
    Service service;
    service.id = Desk;
    service.classes = {urgent, bulk};
    Sheet sheet;
    sheet.services = {service};
    return sheet;
}

/// An Admission with the classes `Urgent` and `Bulk` on ten slots of one service.
struct AdmissionFixture
{
    explicit AdmissionFixture(double urgentFloor, double bulkFloor) : admission(AdmissionSettings())
    {
        admission.applySheet(sheetWithTwoClasses(urgentFloor, bulkFloor));
        admission.setSlots(Desk, 10);
    }

    Refusal offer(const ClassId &id, const char *caller, Time now, Duration deadline = seconds(5))
    {
        return admission.offer({++lastToken, id, CallerId(caller), now + deadline}, now);
    }

    /// Starts up to `slots` waiting requests and returns them.
    std::vector<QueuedRequest> startWaiting(int slots)
    {
        std::vector<QueuedRequest> started;
        while (static_cast<int>(started.size()) < slots) {
            const auto next = admission.peek(Desk);
            if (!next)
                break;
            admission.start(*next);
            started.push_back(*next);
        }
        return started;
    }

    Admission admission;
    RequestToken lastToken = 0;
};

} // namespace

TEST_CASE("a flood of one class leaves the other class its floor")
{
    for (const bool urgentFloods : {false, true}) {
        CAPTURE(urgentFloods);
        AdmissionFixture fixture(0.3, 0.3);
        const ClassId flooding = urgentFloods ? Urgent : Bulk;
        const ClassId other = urgentFloods ? Bulk : Urgent;
        for (int i = 0; i < 100; ++i)
            fixture.offer(flooding, "flood", Start);
        for (int i = 0; i < 10; ++i)
            REQUIRE(fixture.offer(other, "other", Start) == Refusal::None);
        fixture.startWaiting(10);
        CHECK(fixture.admission.running(other) >= 3);
        CHECK(fixture.admission.running(Urgent) + fixture.admission.running(Bulk) == 10);
    }
}

TEST_CASE("slots that a floor does not use go to the other class")
{
    AdmissionFixture fixture(0.5, 0);
    for (int i = 0; i < 20; ++i)
        fixture.offer(Bulk, "b", Start);
    fixture.startWaiting(10);
    CHECK(fixture.admission.running(Bulk) == 10);
}

TEST_CASE("a request that cannot be answered by its deadline is refused when it arrives")
{
    AdmissionFixture fixture(0, 0);
    int accepted = 0;
    while (fixture.offer(Bulk, "b", Start, milliseconds(200)) == Refusal::None)
        ++accepted;
    // 10 slots at 20 ms each serve about 90 requests in the 180 ms that are left for waiting.
    CHECK(accepted > 60);
    CHECK(accepted < 120);
    CHECK(fixture.admission.check(Bulk, CallerId("b"), Start + milliseconds(200), Start)
          == Refusal::DeadlineUnreachable);
}

TEST_CASE("a period of slow answers does not make an idle class refuse everything")
{
    AdmissionFixture fixture(0, 0);
    for (int i = 0; i < 200; ++i) {
        fixture.offer(Bulk, "b", Start);
        fixture.startWaiting(1);
        fixture.admission.finish(Bulk, CallerId("b"), seconds(4));
    }
    CHECK(fixture.offer(Bulk, "b", Start, seconds(2)) == Refusal::None);
    CHECK(fixture.admission.expire(Start).empty());
}

TEST_CASE("one caller does not take the whole class")
{
    AdmissionFixture fixture(0, 0);
    for (int i = 0; i < 50; ++i)
        fixture.offer(Bulk, "loud", Start);
    for (int i = 0; i < 5; ++i)
        fixture.offer(Bulk, "quiet", Start);
    int quiet = 0;
    for (const QueuedRequest &request : fixture.startWaiting(10))
        quiet += request.caller == CallerId("quiet") ? 1 : 0;
    CHECK(quiet == 5);
}

TEST_CASE("waiting requests whose deadline can no longer be met are returned once")
{
    AdmissionFixture fixture(0, 0);
    fixture.offer(Bulk, "a", Start, milliseconds(100));
    fixture.offer(Bulk, "b", Start, seconds(5));
    CHECK(fixture.admission.expire(Start).empty());
    CHECK(fixture.admission.expire(Start + milliseconds(90)) == std::vector<RequestToken>{1});
    CHECK(fixture.admission.expire(Start + milliseconds(90)).empty());
    CHECK(fixture.admission.queued() == 1);
}

TEST_CASE("retries stay within a tenth of the first attempts, for the class and for each caller")
{
    RetryBudget budget{RetryBudgetSettings()};
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordFirstAttempt(Bulk, CallerId("a"));
        while (budget.tryTakeRetry(Bulk, CallerId("a")))
            ++retries;
    }
    CHECK(retries <= 100);
    CHECK(retries >= 95);
    CHECK_FALSE(budget.tryTakeRetry(Bulk, CallerId("stranger")));
}
