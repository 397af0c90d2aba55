#include "camphorknot/steering/text_patch.hpp"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <xxhash.h>

namespace camphorknot::steering {
namespace {

// Shorter pieces recur too often to be found at the right place.
constexpr std::size_t min_piece_bytes = 32;
// Longest encoding of a number and of the header of a step.
constexpr std::size_t bytes_per_step = 16;
constexpr std::size_t bytes_per_patch = 48;

std::uint64_t checksum(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

// The beginning of @p text up to a closing brace or a line end.
std::string_view next_piece(std::string_view text)
{
    const std::size_t end = text.find_first_of("}\n", min_piece_bytes - 1);
    return text.substr(0, end == std::string_view::npos ? text.size() : end + 1);
}

// Offsets in the base of its pieces; the first one of equal pieces.
std::unordered_map<std::string_view, std::uint32_t> index_pieces(std::string_view base)
{
    std::unordered_map<std::string_view, std::uint32_t> offsets;
    for (std::size_t offset = 0; offset < base.size();) {
        const std::string_view piece = next_piece(base.substr(offset));
        offsets.try_emplace(piece, static_cast<std::uint32_t>(offset));
        offset += piece.size();
    }
    return offsets;
}

void append_inserted(text_patch& patch, std::string_view text)
{
    if (patch.steps.empty() || patch.steps.back().length > 0) {
        patch.steps.emplace_back();
    }
    patch.steps.back().inserted += static_cast<std::uint32_t>(text.size());
    patch.inserted += text;
}

void append_range(text_patch& patch, std::uint32_t offset, std::size_t length)
{
    const auto bytes = static_cast<std::uint32_t>(length);
    if (!patch.steps.empty()) {
        patch_step& last = patch.steps.back();
        if (last.length == 0) {
            last.offset = offset;
            last.length = bytes;
            return;
        }
        if (last.offset + last.length == offset) {
            last.length += bytes;
            return;
        }
    }
    patch.steps.push_back({0, offset, bytes});
}

// Where the base continues after the last range of the patch; the size of the base if there is no range.
std::size_t continuation(const text_patch& patch, std::string_view base)
{
    if (patch.steps.empty()) {
        return 0;
    }
    const patch_step& last = patch.steps.back();
    return last.length == 0 ? base.size() : std::size_t{last.offset} + last.length;
}

bool is_within(const patch_step& step, std::string_view base, std::size_t inserted_left)
{
    return step.inserted <= inserted_left && step.offset <= base.size() &&
           step.length <= base.size() - step.offset;
}

} // namespace

std::string_view name_of(patch_fault fault)
{
    constexpr std::array<std::string_view, 3> names = {"none", "other_base", "malformed"};
    return names.at(static_cast<std::size_t>(fault));
}

text_patch make_patch(std::string_view base, std::string_view result)
{
    text_patch patch;
    patch.base_checksum = checksum(base);
    patch.result_checksum = checksum(result);
    patch.result_bytes = static_cast<std::uint32_t>(result.size());
    const auto offsets = index_pieces(base);
    while (!result.empty()) {
        const std::string_view piece = next_piece(result);
        result.remove_prefix(piece.size());
        const std::size_t next = continuation(patch, base);
        if (base.substr(std::min(next, base.size())).starts_with(piece)) {
            append_range(patch, static_cast<std::uint32_t>(next), piece.size());
            continue;
        }
        const auto found = offsets.find(piece);
        if (found == offsets.end()) {
            append_inserted(patch, piece);
        } else {
            append_range(patch, found->second, piece.size());
        }
    }
    return patch;
}

result<std::string, patch_fault> apply_patch(std::string_view base, const text_patch& patch)
{
    if (checksum(base) != patch.base_checksum) {
        return fail<std::string>(patch_fault::other_base);
    }
    if (patch.result_bytes > max_patch_result_bytes) {
        return fail<std::string>(patch_fault::malformed);
    }
    std::string text;
    text.reserve(patch.result_bytes);
    std::string_view inserted = patch.inserted;
    for (const patch_step& step : patch.steps) {
        const std::size_t bytes = std::size_t{step.inserted} + step.length;
        if (!is_within(step, base, inserted.size()) || bytes > patch.result_bytes - text.size()) {
            return fail<std::string>(patch_fault::malformed);
        }
        text += inserted.substr(0, step.inserted);
        inserted.remove_prefix(step.inserted);
        text += base.substr(step.offset, step.length);
    }
    if (text.size() != patch.result_bytes || checksum(text) != patch.result_checksum) {
        return fail<std::string>(patch_fault::malformed);
    }
    return succeed<patch_fault>(std::move(text));
}

std::size_t size_of(const text_patch& patch)
{
    return bytes_per_patch + bytes_per_step * patch.steps.size() + patch.inserted.size();
}

} // namespace camphorknot::steering
