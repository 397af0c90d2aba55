#include "camphorknot/steering/request_identity.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace camphorknot::steering {

std::string format_identity(const request_identity& identity)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, identity.high);
    return text.data();
}

} // namespace camphorknot::steering
