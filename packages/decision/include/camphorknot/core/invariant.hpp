/// @file
/// Checks of the system's promises, active in every build type.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace camphorknot {

/// The promises of docs/design.md, section 1.2.
enum class promise : std::uint8_t {
    p1_shift_cap,
    p2_region_load,
    p3_keys,
    p4_customer_rate,
    p5_bad_version,
    p6_whole_answer,
    p7_not_run,
    p8_at_most_once,
    p9_leaving_target,
    p10_graceful_stop,
    p11_configuration,
};

/// @return the stable name of @p value.
constexpr std::string_view name_of(promise value)
{
    constexpr std::array<std::string_view, 11> names = {
        "p1_shift_cap",      "p2_region_load",    "p3_keys",          "p4_customer_rate",
        "p5_bad_version",    "p6_whole_answer",   "p7_not_run",       "p8_at_most_once",
        "p9_leaving_target", "p10_graceful_stop", "p11_configuration"};
    return names[static_cast<std::size_t>(value)];
}

/// A promise that was found broken, and where.
struct invariant_report {
    promise violated;
    std::string_view check; ///< Stable name of the check.
    const char* file;       ///< Source file of the check.
    unsigned line;          ///< Line of the check.
};

/// Called with each broken invariant. It must not throw.
using invariant_handler = void (*)(const invariant_report&);

/// Replaces the handler; the default one writes the report to standard error and aborts, since going on would
/// break the promise further. The randomised runs install one that records the seed first.
/// @return the handler before.
invariant_handler set_invariant_handler(invariant_handler handler);

namespace internal {
void report_broken_invariant(const invariant_report& report);
} // namespace internal

/// Reports @p check as broken unless @p holds.
inline void check_invariant(bool holds, promise about, std::string_view check,
                            const char* file = __builtin_FILE(), unsigned line = __builtin_LINE())
{
    if (!holds) [[unlikely]] {
        internal::report_broken_invariant({about, check, file, line});
    }
}

} // namespace camphorknot
