/// @file
/// Strongly typed identifiers. The identifier of a name is its 64-bit FNV-1a hash, so no process has to
/// allocate numbers. Validation refuses a configuration in which two names collide.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace camphorknot {

/// Identifier that does not convert to an identifier of another kind.
/// @tparam Tag type that distinguishes the kinds; it need not be defined.
///
/// @code
/// auto customer = make_id<customer_id>("gullfoss-weavers");
/// @endcode
template <typename Tag>
struct strong_id {
    std::uint64_t value = 0;
    // clang-tidy mistakes the zero in rewritten comparisons for a null pointer.
    friend constexpr auto operator<=>(strong_id, strong_id) = default; // NOLINT(modernize-use-nullptr)
};

using instance_id = strong_id<struct instance_tag>; ///< Hash of the instance's peer address, "ip:port".
using region_id = strong_id<struct region_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using service_id = strong_id<struct service_tag>;
using route_id = strong_id<struct route_tag>;
using customer_id = strong_id<struct customer_tag>;
using target_id = strong_id<struct target_tag>; ///< Hash of the target's address, "ip:port".
using version_id = strong_id<struct version_tag>;
using move_id = strong_id<struct move_tag>;
using budget_id = strong_id<struct budget_tag>;
using site_id = strong_id<struct site_tag>;

/// Orders the processes that have used the same instance address one after another; higher is newer.
using incarnation = std::uint64_t;

/// @return the 64-bit FNV-1a hash of @p text.
constexpr std::uint64_t hash_name(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    return hash;
}

/// @return the identifier of the object with the name @p name.
template <typename Id>
constexpr Id make_id(std::string_view name)
{
    return Id{hash_name(name)};
}

/// Mixes two values, for rendezvous hashing and derived seeds (finalizer of splitmix64).
constexpr std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6U) + (a >> 2U));
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

} // namespace camphorknot

template <typename Tag>
struct std::hash<camphorknot::strong_id<Tag>> {
    std::size_t operator()(camphorknot::strong_id<Tag> id) const noexcept { return id.value; }
};
