#include "camphorknot/transport/codec.hpp"

#include <limits>
#include <msgpack.hpp>
#include <utility>

#include "members.hpp"

namespace camphorknot {
namespace transport_internal {
namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

// Protocol version, sender, incarnation, receiver, message number, fields.
constexpr std::uint32_t envelope_fields = 6;

// Maximum nesting accepted from a peer; no message nests deeper.
constexpr std::size_t max_depth = 8;

template <typename T>
constexpr bool is_vector = false;
template <typename T>
constexpr bool is_vector<std::vector<T>> = true;

template <typename T>
void write(packer& out, const T& value)
{
    if constexpr (is_id<T>) {
        out.pack_uint64(value.value);
    } else if constexpr (std::is_enum_v<T>) {
        out.pack_uint64(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_same_v<T, duration>) {
        out.pack_int64(value.count());
    } else if constexpr (std::is_same_v<T, key_hash>) {
        out.pack_bin(static_cast<std::uint32_t>(value.size()));
        out.pack_bin_body(static_cast<const char*>(static_cast<const void*>(value.data())),
                          static_cast<std::uint32_t>(value.size()));
    } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
        out.pack(value);
    } else if constexpr (is_vector<T>) {
        out.pack_array(static_cast<std::uint32_t>(value.size()));
        for (const auto& element : value) {
            write(out, element);
        }
    } else {
        static_assert(lists_all_fields<T>, "members() must list all fields of the message");
        const auto fields = members(value);
        out.pack_array(std::tuple_size_v<decltype(fields)>);
        std::apply([&out](const auto&... field) { (write(out, field), ...); }, fields);
    }
}

template <typename Integer>
bool read_integer(const msgpack::object& in, Integer& value)
{
    if (in.type == msgpack::type::POSITIVE_INTEGER) {
        value = static_cast<Integer>(in.via.u64);
        return in.via.u64 <= static_cast<std::uint64_t>(std::numeric_limits<Integer>::max());
    }
    if (in.type == msgpack::type::NEGATIVE_INTEGER && std::is_signed_v<Integer>) {
        value = static_cast<Integer>(in.via.i64);
        return in.via.i64 >= static_cast<std::int64_t>(std::numeric_limits<Integer>::min());
    }
    return false;
}

// Highest valid value of each enumeration that is sent.
constexpr std::uint64_t max_enumerator(member_state /*unused*/)
{
    return static_cast<std::uint64_t>(member_state::left);
}
constexpr std::uint64_t max_enumerator(fact_kind /*unused*/)
{
    return static_cast<std::uint64_t>(fact_kind::incarnation_fenced);
}
constexpr std::uint64_t max_enumerator(loan_recall /*unused*/)
{
    return static_cast<std::uint64_t>(loan_recall::always);
}
constexpr std::uint64_t max_enumerator(count_scope /*unused*/)
{
    return static_cast<std::uint64_t>(count_scope::fleet);
}

template <typename T>
bool read(const msgpack::object& in, T& value);

template <typename Element>
bool read_elements(const msgpack::object& in, std::vector<Element>& value)
{
    if (in.type != msgpack::type::ARRAY) {
        return false;
    }
    value.resize(in.via.array.size);
    for (std::uint32_t index = 0; index < in.via.array.size; ++index) {
        if (!read(in.via.array.ptr[index], value[index])) {
            return false;
        }
    }
    return true;
}

template <typename T>
bool read_members(const msgpack::object& in, T& value)
{
    auto fields = members(value);
    if (in.type != msgpack::type::ARRAY || in.via.array.size < std::tuple_size_v<decltype(fields)>) {
        return false;
    }
    std::uint32_t index = 0;
    return std::apply([&](auto&... field) { return (read(in.via.array.ptr[index++], field) && ...); },
                      fields);
}

template <typename T>
bool read(const msgpack::object& in, T& value)
{
    if constexpr (is_id<T>) {
        return read_integer(in, value.value);
    } else if constexpr (std::is_enum_v<T>) {
        std::uint64_t number = 0;
        const bool valid = read_integer(in, number) && number <= max_enumerator(value);
        value = static_cast<T>(valid ? number : 0);
        return valid;
    } else if constexpr (std::is_same_v<T, duration>) {
        duration::rep count = 0;
        const bool valid = read_integer(in, count);
        value = duration(count);
        return valid;
    } else if constexpr (std::is_same_v<T, key_hash>) {
        if (in.type != msgpack::type::BIN || in.via.bin.size != value.size()) {
            return false;
        }
        std::copy_n(in.via.bin.ptr, value.size(), value.begin());
        return true;
    } else if constexpr (std::is_same_v<T, bool>) {
        value = in.type == msgpack::type::BOOLEAN && in.via.boolean;
        return in.type == msgpack::type::BOOLEAN;
    } else if constexpr (std::is_arithmetic_v<T>) {
        return read_integer(in, value);
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (in.type != msgpack::type::STR) {
            return false;
        }
        value.assign(in.via.str.ptr, in.via.str.size);
        return true;
    } else if constexpr (is_vector<T>) {
        return read_elements(in, value);
    } else {
        return read_members(in, value);
    }
}

template <std::size_t Index>
bool read_alternative(const msgpack::object& in, std::size_t number, peer_message& body)
{
    if constexpr (Index < std::variant_size_v<peer_message>) {
        if (number == Index) {
            return read(in, body.emplace<Index>());
        }
        return read_alternative<Index + 1>(in, number, body);
    }
    return false;
}

transport_error read_envelope(const msgpack::object& in, envelope& message)
{
    if (in.type != msgpack::type::ARRAY || in.via.array.size < 1) {
        return transport_error::malformed;
    }
    const msgpack::object* fields = in.via.array.ptr;
    std::uint32_t version = 0;
    if (!read_integer(fields[0], version)) {
        return transport_error::malformed;
    }
    if (version != protocol_version) {
        return transport_error::foreign_version;
    }
    std::uint64_t number = 0;
    if (in.via.array.size < envelope_fields || !read(fields[1], message.from) ||
        !read(fields[2], message.from_incarnation) || !read(fields[3], message.to) ||
        !read(fields[4], number)) {
        return transport_error::malformed;
    }
    if (number >= std::variant_size_v<peer_message>) {
        return transport_error::unknown_message;
    }
    return read_alternative<0>(fields[5], number, message.body) ? transport_error::none
                                                                : transport_error::malformed;
}

} // namespace
} // namespace transport_internal

std::string encode(const envelope& message)
{
    using namespace transport_internal;
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(envelope_fields);
    out.pack_uint32(protocol_version);
    write(out, message.from);
    write(out, message.from_incarnation);
    write(out, message.to);
    out.pack_uint64(message.body.index());
    std::visit([&out](const auto& body) { write(out, body); }, message.body);
    return {buffer.data(), buffer.size()};
}

result<envelope, transport_error> decode(std::string_view bytes)
{
    using namespace transport_internal;
    if (bytes.size() > max_frame_bytes) {
        return fail<envelope>(transport_error::oversize);
    }
    // An element takes at least one byte: limiting every count to the frame's size keeps a forged count from
    // allocating more memory than that.
    const msgpack::unpack_limit limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), 0, max_depth);
    try {
        std::size_t bytes_consumed = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), bytes_consumed, nullptr, nullptr, limit);
        if (bytes_consumed != bytes.size()) {
            return fail<envelope>(transport_error::malformed);
        }
        envelope message;
        const transport_error error = read_envelope(handle.get(), message);
        if (error != transport_error::none) {
            return fail<envelope>(error);
        }
        return succeed<transport_error>(std::move(message));
    } catch (const msgpack::unpack_error&) {
        return fail<envelope>(transport_error::malformed);
    }
}

} // namespace camphorknot
