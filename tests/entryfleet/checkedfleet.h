#pragma once

#include "entryfleet/entryfleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>

namespace bulrush::test {

/** A fleet that checks at the end of each test case what callers were told against what ran. */
struct CheckedFleet : EntryFleet
{
    using EntryFleet::EntryFleet;

    /** Time in which a copy that is still on its way begins to run. */
    static constexpr std::chrono::milliseconds lateCopyPeriod{300};

    /** Called by Boost.Test after the test case, before the destructor. */
    void teardown()
    {
        expectKeptPromises();
    }

    /** Checks that nothing ran that was answered as not run, and that no payment ran twice. */
    void expectKeptPromises()
    {
        if (ledger().promiseCount() > 0)
            std::this_thread::sleep_for(lateCopyPeriod);
        for (const std::string &broken : ledger().brokenPromises())
            BOOST_ERROR("promise broken: " << broken);
        for (const std::string &repeated : ledger().repeatedRuns(runOncePrefixes()))
            BOOST_ERROR("run more than once: " << repeated);
    }
};

} // namespace bulrush::test
