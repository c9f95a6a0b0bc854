// lookups are answered in spite of failures; bookings run at most once; refusals are in order and true
#include <boost/test/unit_test.hpp>

#include "core_fixture.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

namespace {

class plain_fixture : public core_fixture
{
public:
    plain_fixture() { start(); }

    caller_id lookup() { return request("GET", "/press/slots"); }
    caller_id book(const std::string &key = {}) { return request("POST", "/press/book/7", "press-secret", key); }

    dispatch_plain dispatched()
    {
        BOOST_REQUIRE(last<dispatch_plain>());
        return *last<dispatch_plain>();
    }

    failure refusal() const { return last<answer_failure>() ? last<answer_failure>()->reason : failure::None; }
    outcome result() const { return last<answer_failure>()->result; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(core_admission, plain_fixture)

// guards against a refusal that reveals a route to a caller without a valid key, and against a wrong reason
BOOST_AUTO_TEST_CASE(refusalsFollowTheOrderOfAdmission)
{
    const auto reason = [&](const std::string &method, const std::string &path, const std::string &secret) {
        request(method, path, secret);
        BOOST_TEST((result() == outcome::NotRun));
        return refusal();
    };
    BOOST_TEST((reason("GET", "/press/slots", "") == failure::MissingKey));
    BOOST_TEST((reason("GET", "/nowhere", "other") == failure::UnknownKey));
    BOOST_TEST((reason("GET", "/nowhere", "press-secret") == failure::UnknownRoute));
    BOOST_TEST((reason("PUT", "/press/slots", "press-secret") == failure::MethodNotAllowed));
    complete(9'000);
    BOOST_TEST((refusal() == failure::PromptTooLong));
    complete(10, "unheard-of");
    BOOST_TEST((refusal() == failure::UnknownModel));
    BOOST_TEST(all<request_admitted>().empty());
}

// guards against keyed routes that are served without an admission lease, and open routes that need one
BOOST_AUTO_TEST_CASE(openRoutesNeedNeitherKeyNorLease)
{
    request("GET", "/open", "");
    give(plain_response{dispatched().attempt, 200, {}, "open"});
    BOOST_TEST(all<answer_plain>().size() == 1U);
    vm_core starting(vm_settings{incarnation_id{vm_name{"vm-2"}, 1}}, clock, wallClock);
    caller_request call{1, "GET", "/press/slots"};
    call.key = digestOf("press-secret");
    starting.handle(call);
    const auto commands = starting.take();
    const auto isStale = [](const command &entry) {
        const auto *const answer = std::get_if<answer_failure>(&entry);
        return answer != nullptr && answer->reason == failure::StaleConfiguration && answer->retryAfter;
    };
    BOOST_TEST((std::any_of(commands.begin(), commands.end(), isStale)));
}

// guards against more admissions than the burst of the account allows
BOOST_AUTO_TEST_CASE(burstIsBounded)
{
    for (int i = 0; i < 60; ++i) {
        lookup();
    }
    BOOST_TEST(all<request_admitted>().size() == 40U);
    BOOST_TEST((refusal() == failure::RateExceeded));
    BOOST_TEST((result() == outcome::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(core_lookup, plain_fixture)

// guards against a lookup that fails although another endpoint can answer it
BOOST_AUTO_TEST_CASE(failedLookupIsRetriedOnAnotherEndpoint)
{
    lookup();
    const auto first = dispatched();
    give(attempt_failed{first.attempt, "closed"});
    const auto second = dispatched();
    BOOST_TEST((second.endpoint != first.endpoint));
    give(plain_response{first.attempt, 200, {}, "late"});
    give(plain_response{second.attempt, 200, {}, "slots"});
    BOOST_TEST(all<answer_plain>().size() == 1U);
    BOOST_TEST(last<answer_plain>()->body == "slots");
}

// guards against a slow endpoint that delays a lookup, and against two answers of a hedged one
BOOST_AUTO_TEST_CASE(slowLookupIsHedged)
{
    lookup();
    const auto first = dispatched();
    advance(300ms);
    BOOST_TEST(all<dispatch_plain>().size() == 2U);
    give(plain_response{dispatched().attempt, 200, {}, "hedge"});
    give(plain_response{first.attempt, 200, {}, "first"});
    BOOST_TEST(all<answer_plain>().size() == 1U);
    BOOST_TEST(all<close_attempt>().size() == 1U);
}

// guards against retries that amplify an overload
BOOST_AUTO_TEST_CASE(retriesStayWithinTheirBudget)
{
    for (int i = 0; i < 200; ++i) {
        request("GET", "/open", "");
        for (int k = 0; k < 3 && dispatched().attempt.attempt == static_cast<std::uint32_t>(k); ++k) {
            give(plain_response{dispatched().attempt, 503, {}, {}});
        }
        advance(100ms);
    }
    // 10 at the start, and one for every tenth request
    BOOST_TEST(all<dispatch_plain>().size() <= 200U + 30U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(core_booking, plain_fixture)

// guards against a booking that is dispatched twice, and an uncertain one that is called not run
BOOST_AUTO_TEST_CASE(uncertainBookingIsNeitherRepeatedNorCalledNotRun)
{
    book();
    give(attempt_failed{dispatched().attempt, "closed", true});
    advance(10s);
    BOOST_TEST(all<dispatch_plain>().size() == 1U);
    BOOST_TEST((refusal() == failure::OutcomeUnknown));
    BOOST_TEST((result() == outcome::Unknown));
}

// guards against a booking that is refused although it can still be sent safely
BOOST_AUTO_TEST_CASE(bookingThatCertainlyDidNotRunIsSentElsewhere)
{
    book();
    give(attempt_failed{dispatched().attempt, "connect", false});
    BOOST_TEST(all<dispatch_plain>().size() == 2U);
    give(attempt_failed{dispatched().attempt, "connect", false});
    BOOST_TEST((result() == outcome::Unknown));
}

// guards against a second dispatch for a repeated key, and against an answer other than the recorded one
BOOST_AUTO_TEST_CASE(repeatedKeyGetsTheRecordedOutcome)
{
    book("slot-7");
    BOOST_TEST(recorded<booking_claim>().size() == 1U);
    const auto first = dispatched();
    book("slot-7");
    BOOST_TEST((refusal() == failure::OutcomeUnknown));
    give(plain_response{first.attempt, 201, {header{"Content-Type", "text/plain"}}, "booked"});
    advance(1s);
    book("slot-7");
    BOOST_TEST(all<dispatch_plain>().size() == 1U);
    BOOST_TEST(all<answer_plain>().size() == 2U);
    BOOST_TEST(last<answer_plain>()->body == "booked");
    BOOST_TEST(last<answer_plain>()->status == 201);
}

// guards against a key that silently stands for two different bookings
BOOST_AUTO_TEST_CASE(keyOfAnotherRequestIsRefused)
{
    book("slot-7");
    give(plain_response{dispatched().attempt, 201, {}, "booked"});
    advance(1s);
    request("POST", "/press/book/8", "press-secret", "slot-7");
    BOOST_TEST((refusal() == failure::BookingKeyReused));
    BOOST_TEST((result() == outcome::NotRun));
}

// guards against a dispatch without a claim
BOOST_AUTO_TEST_CASE(bookingWithKeyIsRefusedWhileTheLogIsDown)
{
    logDown = true;
    advance(2s);
    book("slot-7");
    advance(6s);
    BOOST_TEST(all<dispatch_plain>().empty());
    BOOST_TEST((refusal() == failure::LogUnavailable));
    BOOST_TEST((result() == outcome::NotRun));
}

// guards against a lost outcome of a booking whose caller did not wait
BOOST_AUTO_TEST_CASE(bookingIsFinishedWithoutItsCaller)
{
    const auto caller = book("slot-7");
    give(caller_disconnected{caller});
    BOOST_TEST(all<close_attempt>().empty());
    give(plain_response{dispatched().attempt, 201, {}, "booked"});
    advance(1s);
    BOOST_TEST(all<answer_plain>().empty());
    book("slot-7");
    BOOST_TEST(last<answer_plain>()->body == "booked");
}

// guards against two terminal answers when the service answers after the deadline
BOOST_AUTO_TEST_CASE(lateAnswerOfBookingIsOnlyRecorded)
{
    book("slot-7");
    advance(6s);
    BOOST_TEST((refusal() == failure::OutcomeUnknown));
    give(plain_response{dispatched().attempt, 201, {}, "booked"});
    advance(1s);
    BOOST_TEST(all<answer_plain>().empty());
    BOOST_TEST(recorded<booking_outcome>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
