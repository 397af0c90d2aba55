#include "camphorknot/core/invariant.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace camphorknot {
namespace {

void abort_with_report(const invariant_report& report)
{
    std::fprintf(
        stderr,
        "{\"event\":\"invariant_broken\",\"promise\":\"%s\",\"check\":\"%s\",\"file\":\"%s\",\"line\":%u}\n",
        name_of(report.violated).data(), report.check.data(), report.file, report.line);
    std::abort();
}

std::atomic<invariant_handler> current_handler{&abort_with_report};

} // namespace

invariant_handler set_invariant_handler(invariant_handler handler)
{
    return current_handler.exchange(handler == nullptr ? &abort_with_report : handler);
}

void internal::report_broken_invariant(const invariant_report& report)
{
    current_handler.load()(report);
}

} // namespace camphorknot
