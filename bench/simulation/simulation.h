#pragma once

#include "process/clock.h"

#include <functional>
#include <queue>
#include <random>
#include <vector>

/**
 * Virtual time: handlers run in the order of their due times, and those with the same due time in
 * the order in which they were scheduled. The same seed gives the same run.
 */
class Simulation
{
public:
    using Handler = std::function<void()>;

    explicit Simulation(unsigned seed);

    void after(bulrush::Duration delay, Handler handler);
    void run(bulrush::Instant end);

    bulrush::Instant now() const;
    std::mt19937_64 &random();
    bulrush::Duration exponential(bulrush::Duration mean);
    bool chance(double probability);
    std::size_t pick(std::size_t count);

private:
    struct Entry
    {
        bulrush::Instant due;
        std::uint64_t order;
        Handler handler;

        bool operator<(const Entry &other) const;
    };

    std::priority_queue<Entry> m_entries;
    bulrush::Instant m_now{};
    std::uint64_t m_nextOrder = 0;
    std::mt19937_64 m_random;
};

inline bulrush::Instant Simulation::now() const
{
    return m_now;
}

inline std::mt19937_64 &Simulation::random()
{
    return m_random;
}
