// The history of a job from logs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "app/explain.h"

using namespace monsoonledge;

namespace {

std::string line(const std::string &time, const std::string &host, const std::string &event,
                 const std::string &fields = {})
{
    return R"({"time":")" + time + R"(","level":"info","event":")" + event + R"(","host":")" + host
           + R"(","message":"text")" + fields + "}\n";
}

const std::string Job = R"(,"job":"5c0e7a21d94b36f8")";

} // namespace

TEST_CASE("lines of several hosts come in their order, with the cause last")
{
    const std::string first =
            line("T1", "a", "job-accepted", Job) + line("T0", "a", "store-regained");
    const std::string second = line("T4", "b", "job-failed", Job)
                               + line("T2", "b", "tasks-assigned", Job)
                               + line("T3", "b", "run-ended", Job + R"(,"end":"failed")")
                               + line("T2", "b", "job-accepted", R"(,"job":"other")");
    const JobHistory history = explainJob("5c0e7a21d94b36f8", {first, second});
    REQUIRE(history.lines.size() == 4);
    CHECK(history.lines[0].event == "job-accepted");
    CHECK(history.lines[2].event == "run-ended");
    CHECK(history.cause.find("job-failed") == 0);
    CHECK(history.cause.find("1 failed runs") != std::string::npos);
}

TEST_CASE("refusals, unknown outcomes and jobs without a worker are told apart")
{
    CHECK(explainJob("5c0e7a21d94b36f8", {line("T1", "a", "job-refused", Job)}).cause
          == "job-refused: a: text");
    CHECK(explainJob("5c0e7a21d94b36f8", {line("T1", "a", "job-unknown", Job)}).cause
          == "job-unknown: a: text");
    // A refusal at one process and acceptance at another: the job was accepted.
    const std::string both =
            line("T1", "a", "job-refused", Job) + line("T2", "b", "job-accepted", Job);
    CHECK(explainJob("5c0e7a21d94b36f8", {both}).cause.find("no task was assigned") == 0);
}

TEST_CASE("a change of the coordinator is part of the history of jobs that it concerned")
{
    const std::string log =
            line("T1", "a", "job-accepted", Job) + line("T2", "b", "coordinator-elected")
            + line("T3", "b", "job-completed", Job) + line("T4", "c", "coordinator-elected");
    const JobHistory history = explainJob("5c0e7a21d94b36f8", {log});
    CHECK(history.lines.size() == 3);
    CHECK(history.cause.find("1 changes of the coordinator") != std::string::npos);
}

TEST_CASE("damaged lines are counted, unknown jobs are said to be unknown")
{
    const JobHistory history =
            explainJob("5c0e7a21d94b36f8", {"5c0e7a21d94b36f8 not json\n{\"5c0e7a21d94b36f8\n"
                                            + line("T1", "a", "job-accepted", Job) + "  3.1 host "
                                            + line("T2", "a", "job-completed", Job)});
    CHECK(history.unreadable == 2);
    CHECK(history.lines.size() == 2);
    CHECK(formatHistory("5c0e7a21d94b36f8", history).find("2 lines could not be read")
          != std::string::npos);
    CHECK(explainJob("0000000000000000", {"", "x"}).cause == "no line of the logs names this job");
}
