#pragma once

#include "entryfleet/checkedfleet.h"

#include <string>

namespace bulrush::test {

/** Servers of service catalogue with a start time in their records, which identifies each run. */
struct RestartFleet : CheckedFleet
{
    RestartFleet()
        : CheckedFleet({"a1", "a2", "b1"})
    {
        writeConfig();
        for (const std::string id : {"c1", "c2", "c3", "c4"})
            startServer({id,
                         "catalogue",
                         id == "c1" || id == "c3" ? "a" : "b",
                         true,
                         5,
                         3,
                         false,
                         {},
                         1'764'720'000'000});
        startServer({"p1", "payments", "a"});
        startDaemons();
        waitUntilServing();
    }

    bool allHostsServe()
    {
        return servesKeys("a1") && servesKeys("a2") && servesKeys("b1");
    }
};

} // namespace bulrush::test
