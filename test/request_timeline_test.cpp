// Tests the timeline of one request, merged from the logs of several VMs.
#include <boost/test/unit_test.hpp>

#include <sstream>

#include "request_timeline.hpp"

using namespace plantainpoint;

namespace {

std::string line(const std::string &second, const std::string &text)
{
    return R"({"time":"2026-09-05T06:00:)" + second + R"(.000","level":"INFO","part":"place","text":")" + text + "\"}\n";
}

std::vector<std::string> textsOf(const request_timeline &timeline)
{
    std::vector<std::string> texts;
    for (const auto &entry : timeline.lines()) {
        texts.push_back(entry.vm + ": " + entry.text);
    }
    return texts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_stories)

// Guards against a timeline that lacks the configuration and endpoint state in force at the request, or includes lines of other requests.
BOOST_AUTO_TEST_CASE(timelineIncludesTheKnownState)
{
    std::istringstream log(line("01", "configuration applied version=1 before=0") + line("02", "configuration applied version=2 before=1")
                           + line("03", "endpoint=i-1 service=desk state=ready") + line("03", "endpoint=i-2 service=desk state=ready")
                           + line("04", "request=other waits service=desk") + line("05", "request=id-1 waits service=desk")
                           + line("06", "the directory does not answer") + line("07", "request=id-1 attempt overdue endpoint=i-1")
                           + line("08", "request=id-1 result=overloaded status=503 endpoint=i-1") + line("09", "configuration applied version=3 before=2"));
    request_timeline timeline("id-1");
    timeline.read(log, "vm-a");
    const std::vector<std::string> expected{"vm-a: configuration applied version=2 before=1",
                                            "vm-a: endpoint=i-1 service=desk state=ready",
                                            "vm-a: request=id-1 waits service=desk",
                                            "vm-a: the directory does not answer",
                                            "vm-a: request=id-1 attempt overdue endpoint=i-1",
                                            "vm-a: request=id-1 result=overloaded status=503 endpoint=i-1"};
    const auto texts = textsOf(timeline);
    BOOST_TEST(texts == expected, boost::test_tools::per_element());
}

// Guards against attempts of one caller at two VMs that are listed VM by VM instead of in order of time.
BOOST_AUTO_TEST_CASE(severalVmsAreMergedByTime)
{
    std::istringstream first(line("03", "request=id-1 waits service=desk") + line("07", "request=id-1 result=overloaded status=503"));
    std::istringstream second("  5.0 vm-b " + line("05", "request=id-1 waits service=desk"));
    request_timeline timeline("id-1");
    timeline.read(first, "vm-a");
    timeline.read(second, "all.log");
    const std::vector<std::string> expected{
        "vm-a: request=id-1 waits service=desk", "vm-b: request=id-1 waits service=desk", "vm-a: request=id-1 result=overloaded status=503"};
    const auto texts = textsOf(timeline);
    BOOST_TEST(texts == expected, boost::test_tools::per_element());
}

// Guards against a timeline that includes configuration or endpoint state that the VM knew before it restarted.
BOOST_AUTO_TEST_CASE(restartDiscardsTheKnownState)
{
    std::istringstream log(line("01", "configuration applied version=1 before=0") + line("02", "Started vm=vm-a listen=10.0.0.1:1.")
                           + line("03", "request=id-1 refused reason=stale_configuration"));
    request_timeline timeline("id-1");
    timeline.read(log, "vm-a");
    const std::vector<std::string> expected{"vm-a: Started vm=vm-a listen=10.0.0.1:1.", "vm-a: request=id-1 refused reason=stale_configuration"};
    const auto texts = textsOf(timeline);
    BOOST_TEST(texts == expected, boost::test_tools::per_element());
}

// Guards against lines in which the searched request=ID is only part of a longer word, and against a malformed line that stops the reading.
BOOST_AUTO_TEST_CASE(otherIdsAndMalformedLinesAreSkipped)
{
    std::istringstream log("no JSON\n{\"time\":1}\n{\"time\":\"1\n\n" + line("01", "request=id-12 waits") + line("02", "prerequest=id-1 waits"));
    request_timeline timeline("id-1");
    timeline.read(log, "vm-a");
    BOOST_TEST(timeline.lines().empty());
    BOOST_TEST(timeline.skipped() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
