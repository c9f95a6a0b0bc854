// Checks that lookups are answered despite failures, that bookings run at most once, and that refusals state the right reason and outcome.
#include <boost/test/unit_test.hpp>

#include "core_fixture.hpp"

using namespace plantainpoint;
using namespace std::chrono_literals;

namespace {

class plain_fixture : public core_fixture
{
public:
    plain_fixture() { start(); }

    caller_id requestLookup() { return request("GET", "/press/slots"); }
    caller_id requestBooking(const std::string &key = {}) { return request("POST", "/press/book/7", "press-secret", key); }

    dispatch_plain dispatched()
    {
        BOOST_REQUIRE(lastCommandOf<dispatch_plain>());
        return *lastCommandOf<dispatch_plain>();
    }

    failure refusalReason() const { return lastCommandOf<answer_failure>() ? lastCommandOf<answer_failure>()->reason : failure::None; }
    outcome result() const { return lastCommandOf<answer_failure>()->result; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(core_admission, plain_fixture)

// Guards against a refusal that reveals a route to a caller without a valid key, and against a wrong reason.
BOOST_AUTO_TEST_CASE(refusalsFollowTheOrderOfAdmissionChecks)
{
    const auto reason = [&](const std::string &method, const std::string &path, const std::string &secret) {
        request(method, path, secret);
        BOOST_TEST((result() == outcome::NotRun));
        return refusalReason();
    };
    BOOST_TEST((reason("GET", "/press/slots", "") == failure::MissingKey));
    BOOST_TEST((reason("GET", "/nowhere", "other") == failure::UnknownKey));
    BOOST_TEST((reason("GET", "/nowhere", "press-secret") == failure::UnknownRoute));
    BOOST_TEST((reason("PUT", "/press/slots", "press-secret") == failure::MethodNotAllowed));
    requestCompletion(9'000);
    BOOST_TEST((refusalReason() == failure::PromptTooLong));
    requestCompletion(10, "unheard-of");
    BOOST_TEST((refusalReason() == failure::UnknownModel));
    BOOST_TEST(commandsOf<request_admitted>().empty());
}

// Guards against keyed routes that are served without an admission lease, and against open routes that require one.
BOOST_AUTO_TEST_CASE(openRoutesNeedNeitherKeyNorLease)
{
    request("GET", "/open", "");
    deliver(plain_response{dispatched().attempt, 200, {}, "open"});
    BOOST_TEST(commandsOf<answer_plain>().size() == 1U);
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

// Guards against more admissions than the account's burst allows.
BOOST_AUTO_TEST_CASE(burstIsBounded)
{
    for (int i = 0; i < 60; ++i) {
        requestLookup();
    }
    BOOST_TEST(commandsOf<request_admitted>().size() == 40U);
    BOOST_TEST((refusalReason() == failure::RateExceeded));
    BOOST_TEST((result() == outcome::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(core_lookup, plain_fixture)

// Guards against a lookup that fails although another endpoint can answer it.
BOOST_AUTO_TEST_CASE(failedLookupIsRetriedOnAnotherEndpoint)
{
    requestLookup();
    const auto first = dispatched();
    deliver(attempt_failed{first.attempt, "closed"});
    const auto second = dispatched();
    BOOST_TEST((second.endpoint != first.endpoint));
    deliver(plain_response{first.attempt, 200, {}, "late"});
    deliver(plain_response{second.attempt, 200, {}, "slots"});
    BOOST_TEST(commandsOf<answer_plain>().size() == 1U);
    BOOST_TEST(lastCommandOf<answer_plain>()->body == "slots");
}

// Guards against a slow endpoint that delays a lookup, and against two answers to a hedged lookup.
BOOST_AUTO_TEST_CASE(slowLookupIsHedged)
{
    requestLookup();
    const auto first = dispatched();
    advance(300ms);
    BOOST_TEST(commandsOf<dispatch_plain>().size() == 2U);
    deliver(plain_response{dispatched().attempt, 200, {}, "hedge"});
    deliver(plain_response{first.attempt, 200, {}, "first"});
    BOOST_TEST(commandsOf<answer_plain>().size() == 1U);
    BOOST_TEST(commandsOf<close_attempt>().size() == 1U);
}

// Guards against retries that amplify an overload.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheirBudget)
{
    for (int i = 0; i < 200; ++i) {
        request("GET", "/open", "");
        for (int attemptNumber = 0; attemptNumber < 3 && dispatched().attempt.attempt == static_cast<std::uint32_t>(attemptNumber); ++attemptNumber) {
            deliver(plain_response{dispatched().attempt, 503, {}, {}});
        }
        advance(100ms);
    }
    // The retry budget is 10 at the start and grows by one for every tenth request.
    BOOST_TEST(commandsOf<dispatch_plain>().size() <= 200U + 30U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(core_booking, plain_fixture)

// Guards against a booking that is dispatched twice, and against a booking with an unknown outcome that is reported as not run. Both can come
// from a connection that closes after the request was sent.
BOOST_AUTO_TEST_CASE(bookingWithUnknownOutcomeIsNeitherRepeatedNorReportedNotRun)
{
    requestBooking();
    deliver(attempt_failed{dispatched().attempt, "closed", true});
    advance(10s);
    BOOST_TEST(commandsOf<dispatch_plain>().size() == 1U);
    BOOST_TEST((refusalReason() == failure::OutcomeUnknown));
    BOOST_TEST((result() == outcome::Unknown));
}

// Guards against a booking that is refused although its first attempt did not reach the endpoint, so that it can be sent again safely.
BOOST_AUTO_TEST_CASE(bookingThatDidNotRunIsSentToAnotherEndpoint)
{
    requestBooking();
    deliver(attempt_failed{dispatched().attempt, "connect", false});
    BOOST_TEST(commandsOf<dispatch_plain>().size() == 2U);
    deliver(attempt_failed{dispatched().attempt, "connect", false});
    BOOST_TEST((result() == outcome::Unknown));
}

// Guards against a second dispatch for a repeated idempotency key, and against an answer other than the recorded one.
BOOST_AUTO_TEST_CASE(repeatedIdempotencyKeyGetsTheRecordedOutcome)
{
    requestBooking("slot-7");
    BOOST_TEST(recordsOf<booking_claim>().size() == 1U);
    const auto first = dispatched();
    requestBooking("slot-7");
    BOOST_TEST((refusalReason() == failure::OutcomeUnknown));
    deliver(plain_response{first.attempt, 201, {header{"Content-Type", "text/plain"}}, "booked"});
    advance(1s);
    requestBooking("slot-7");
    BOOST_TEST(commandsOf<dispatch_plain>().size() == 1U);
    BOOST_TEST(commandsOf<answer_plain>().size() == 2U);
    BOOST_TEST(lastCommandOf<answer_plain>()->body == "booked");
    BOOST_TEST(lastCommandOf<answer_plain>()->status == 201);
}

// Guards against an idempotency key that silently stands for two different bookings.
BOOST_AUTO_TEST_CASE(idempotencyKeyOfAnotherBookingIsRefused)
{
    requestBooking("slot-7");
    deliver(plain_response{dispatched().attempt, 201, {}, "booked"});
    advance(1s);
    request("POST", "/press/book/8", "press-secret", "slot-7");
    BOOST_TEST((refusalReason() == failure::BookingKeyReused));
    BOOST_TEST((result() == outcome::NotRun));
}

// Guards against a dispatch without a claim in the log.
BOOST_AUTO_TEST_CASE(bookingWithIdempotencyKeyIsRefusedWhileTheLogIsDown)
{
    logDown = true;
    advance(2s);
    requestBooking("slot-7");
    advance(6s);
    BOOST_TEST(commandsOf<dispatch_plain>().empty());
    BOOST_TEST((refusalReason() == failure::LogUnavailable));
    BOOST_TEST((result() == outcome::NotRun));
}

// Guards against a lost outcome of a booking whose caller disconnected before the answer arrived.
BOOST_AUTO_TEST_CASE(bookingFinishesAfterItsCallerDisconnected)
{
    const auto caller = requestBooking("slot-7");
    deliver(caller_disconnected{caller});
    BOOST_TEST(commandsOf<close_attempt>().empty());
    deliver(plain_response{dispatched().attempt, 201, {}, "booked"});
    advance(1s);
    BOOST_TEST(commandsOf<answer_plain>().empty());
    requestBooking("slot-7");
    BOOST_TEST(lastCommandOf<answer_plain>()->body == "booked");
}

// Guards against two terminal answers when the service answers after the deadline.
BOOST_AUTO_TEST_CASE(lateAnswerToBookingIsOnlyRecorded)
{
    requestBooking("slot-7");
    advance(6s);
    BOOST_TEST((refusalReason() == failure::OutcomeUnknown));
    deliver(plain_response{dispatched().attempt, 201, {}, "booked"});
    advance(1s);
    BOOST_TEST(commandsOf<answer_plain>().empty());
    BOOST_TEST(recordsOf<booking_outcome>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
