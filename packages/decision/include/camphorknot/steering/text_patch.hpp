/// @file
/// Difference between two versions of a text, so that a small change of a large text costs few bytes.
///
/// The format of the text is of no concern, but matching works best where braces or line ends are frequent,
/// as in JSON.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Longest result of a patch, in bytes.
inline constexpr std::size_t max_patch_result_bytes = std::size_t{8} * 1024 * 1024;

/// Part of a patch: inserted bytes, then a range of the base.
struct patch_step {
    std::uint32_t inserted = 0; ///< Bytes to take from the inserted text.
    std::uint32_t offset = 0;   ///< Of the range in the base, in bytes.
    std::uint32_t length = 0;   ///< Of the range, in bytes.
};

/// Makes one text of another.
struct text_patch {
    std::uint64_t base_checksum = 0;
    std::uint64_t result_checksum = 0;
    std::uint32_t result_bytes = 0;
    std::vector<patch_step> steps{};
    std::string inserted{}; ///< Of all steps, in order.
};

/// Why a patch was not applied.
enum class patch_fault : std::uint8_t {
    none,
    other_base, ///< It was made for another text.
    malformed,  ///< A range is outside the base, or the result is not the one that was described.
};

/// @return the stable name of @p fault.
std::string_view name_of(patch_fault fault);

/// @return the patch that makes @p result of @p base. Both must be shorter than 4 GiB.
text_patch make_patch(std::string_view base, std::string_view result);

/// @return the result, which is exactly the text that the patch was made for; or why there is none.
result<std::string, patch_fault> apply_patch(std::string_view base, const text_patch& patch);

/// @return the size of the patch in a message, in bytes, at most.
std::size_t size_of(const text_patch& patch);

} // namespace camphorknot::steering
