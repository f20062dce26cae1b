#pragma once

namespace bulrush {

/** Which of two goals a service gives priority to where they conflict. */
enum class Preference {
    Imbalance,    ///< spread the load evenly, even if keys move more often
    Availability, ///< move keys as rarely as possible, so that each is unavailable for less time
};

} // namespace bulrush
