#pragma once

#include "entryfleet/entryfleet.h"

#include <string>

namespace bulrush::test {

/** Servers that tell runs apart by their start. */
struct RestartFleet : EntryFleet
{
    RestartFleet()
        : EntryFleet({"a1", "a2", "b1"})
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
        awaitServing();
    }

    bool allServe()
    {
        return servesKeys("a1") && servesKeys("a2") && servesKeys("b1");
    }
};

} // namespace bulrush::test
