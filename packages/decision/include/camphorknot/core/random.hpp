/// @file
/// Small seeded random source. Every state machine that makes random choices has its own, so that a run can
/// be replayed from its seed.
#pragma once

#include <cstdint>
#include <limits>

namespace camphorknot {

/// splitmix64 generator; satisfies UniformRandomBitGenerator.
///
/// @code
/// random_source random{42};
/// auto index = uniform(random, members.size());
/// @endcode
struct random_source {
    using result_type = std::uint64_t;
    std::uint64_t state = 0;

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }
    constexpr result_type operator()()
    {
        state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t x = state;
        x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
        return x ^ (x >> 31U);
    }
};

/// @return a number in [0, @p bound), or 0 if @p bound is 0.
constexpr std::uint64_t uniform(random_source& random, std::uint64_t bound)
{
    return bound == 0 ? 0 : random() % bound;
}

/// @return a number in [0, 1).
constexpr double uniform_real(random_source& random)
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

} // namespace camphorknot
