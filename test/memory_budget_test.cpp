// Tests how held bytes are counted, and that large bodies cannot use up what small ones need.
#include <boost/test/unit_test.hpp>

#include <optional>

#include "memory_budget.hpp"

using namespace plantainpoint;

namespace {

constexpr std::size_t kilobyte = 1024;

struct budget_fixture {
    std::shared_ptr<memory_budget> budget = std::make_shared<memory_budget>(800 * kilobyte);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memory_budgets, budget_fixture)

// Guards against large uploads that keep bookings and lookups out.
BOOST_AUTO_TEST_CASE(smallBodiesHaveAPartOfTheirOwn)
{
    memory_share first(budget);
    BOOST_TEST(first.take(600 * kilobyte));
    memory_share second(budget);
    BOOST_TEST(!second.take(101 * kilobyte));
    BOOST_TEST(second.size() == 0U);
    BOOST_TEST(second.take(100 * kilobyte));
    memory_share small(budget);
    BOOST_TEST(small.take(60 * kilobyte));
    BOOST_TEST(budget->held() == 760 * kilobyte);
    BOOST_TEST(!memory_share(budget).take(41 * kilobyte));
}

// Guards against a body that is admitted in small steps and takes the part of the small ones.
BOOST_AUTO_TEST_CASE(growingBodiesCountByTheirWholeSize)
{
    memory_share first(budget);
    std::size_t size = 0;
    while (first.take(size + 10 * kilobyte)) {
        size += 10 * kilobyte;
    }
    BOOST_TEST(size == 700 * kilobyte);
}

// Guards against bytes that are counted twice when a body grows, or that are never released.
BOOST_AUTO_TEST_CASE(sharesReleaseWhatTheyHold)
{
    {
        memory_share share(budget);
        BOOST_TEST(share.take(100 * kilobyte));
        BOOST_TEST(share.take(300 * kilobyte));
        BOOST_TEST(share.take(200 * kilobyte));
        BOOST_TEST(budget->held() == 300 * kilobyte);
        memory_share moved(std::move(share));
        BOOST_TEST(budget->held() == 300 * kilobyte);
        memory_share replaced(budget);
        replaced.charge(50 * kilobyte);
        replaced = std::move(moved);
        BOOST_TEST(budget->held() == 300 * kilobyte);
    }
    BOOST_TEST(budget->held() == 0U);
}

// Guards against answers that are not counted: they cannot be refused, and new bodies wait for their end.
BOOST_AUTO_TEST_CASE(answersCountBeyondTheLimit)
{
    memory_share answer(budget);
    answer.charge(900 * kilobyte);
    BOOST_TEST(budget->isExceeded());
    memory_share body(budget);
    BOOST_TEST(!body.take(1));
    answer.charge(0);
    BOOST_TEST(body.take(1));
}

// Guards against a share that outlives the server whose budget it counts in.
BOOST_AUTO_TEST_CASE(sharesKeepTheirBudget)
{
    std::optional<memory_share> share(std::in_place, budget);
    BOOST_TEST(share->take(kilobyte));
    const std::weak_ptr<memory_budget> watched = budget;
    budget.reset();
    BOOST_TEST(!watched.expired());
    share.reset();
    BOOST_TEST(watched.expired());
}

BOOST_AUTO_TEST_SUITE_END()
