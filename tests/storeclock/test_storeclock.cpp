#define BOOST_TEST_MODULE StoreClock

#include "process/storeclock.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace bulrush;
using namespace std::chrono_literals;

namespace {

/** Reading of the store's clock at the epoch of the local clock. */
constexpr Duration storeOffset = 77s;

const Instant start{1000s};

/** \returns the reading of the store's clock at \a given, rounded as by the store. */
constexpr std::uint64_t era = 1;

Duration readingAt(Instant given)
{
    return std::chrono::floor<std::chrono::milliseconds>(given.time_since_epoch() + storeOffset)
        / 10 * 10;
}

} // namespace

BOOST_AUTO_TEST_CASE(datesTheFirstAnswerByItsSendTime)
{
    StoreClock clock;
    const Instant given = start + 1700ms;
    BOOST_TEST((clock.givenAt(start, given + 2ms, readingAt(given), era) == start));
}

BOOST_AUTO_TEST_CASE(quickAnswerDatesLaterLongCalls)
{
    StoreClock clock;
    clock.givenAt(start, start + 4ms, readingAt(start + 2ms), era);
    const Instant given = start + 1800ms;
    const Instant estimated = clock.givenAt(start + 10ms, given + 2ms, readingAt(given), era);
    BOOST_TEST((estimated <= given));
    BOOST_TEST((given - estimated < 40ms));
}

BOOST_AUTO_TEST_CASE(boundIsRelaxedByTheClockDrift)
{
    StoreClock clock;
    clock.givenAt(start, start + 4ms, readingAt(start + 2ms), era);
    const Instant given = start + 100s;
    const Instant estimated = clock.givenAt(given - 2s, given, readingAt(given), era);
    BOOST_TEST((estimated <= given - 100ms));
    BOOST_TEST((given - estimated < 150ms));
}

BOOST_AUTO_TEST_CASE(neverDatesAnAnswerBeforeItsSendTime)
{
    StoreClock clock;
    clock.givenAt(start, start + 2s, readingAt(start + 1900ms), era);
    const Instant sent = start + 3s;
    BOOST_TEST((clock.givenAt(sent, sent + 4ms, readingAt(sent + 2ms), era) >= sent));
}

BOOST_AUTO_TEST_CASE(detectsAChangeOfTheStoreClock)
{
    StoreClock clock;
    clock.givenAt(start, start + 4ms, readingAt(start + 2ms), era);
    const Instant sent = start + 1s;
    // The store's clock has jumped: by the old bound the answer would be dated in the future.
    BOOST_TEST((clock.givenAt(sent, sent + 1500ms, readingAt(sent + 1s) + 1h, era) == sent));
    const Instant given = sent + 4s;
    const Instant estimated = clock.givenAt(sent + 2s, given + 1ms, readingAt(given) + 1h, era);
    BOOST_TEST((estimated <= given));
}

BOOST_AUTO_TEST_CASE(neverDatesAnAnswerTooLate)
{
    std::mt19937_64 random{20261202};
    std::uniform_int_distribution<int> transitTime{0, 300'000};
    std::uniform_int_distribution<int> waitTime{0, 2'000'000};
    for (int run = 0; run < 200; ++run) {
        StoreClock clock;
        // The clock rates differ by the tolerated maximum, in either direction.
        const double rate = 1.0 + (run % 2 == 0 ? 0.00099 : -0.00099);
        Instant now = start;
        for (int i = 0; i < 200; ++i) {
            const Instant sent = now;
            const Instant given =
                sent + std::chrono::microseconds{transitTime(random) + waitTime(random)};
            const Instant received = given + std::chrono::microseconds{transitTime(random)};
            const Duration passed{
                static_cast<std::int64_t>(static_cast<double>((given - start).count()) * rate)};
            const Instant estimated = clock.givenAt(sent, received, readingAt(start + passed), era);
            BOOST_REQUIRE((estimated <= given));
            BOOST_REQUIRE((estimated >= sent));
            now = received;
        }
    }
}

BOOST_AUTO_TEST_CASE(boundOfAnEarlierEraDatesNoAnswer)
{
    StoreClock clock;
    clock.givenAt(start, start + 4ms, readingAt(start + 2ms), era);
    // The restored store's clock is ahead by less than the wait took.
    const Instant sent = start + 1s;
    const Instant given = sent + 100ms;
    const Instant received = sent + 1900ms;
    const Instant estimated = clock.givenAt(sent, received, readingAt(given) + 1500ms, era + 1);
    BOOST_TEST((estimated <= given));
}
