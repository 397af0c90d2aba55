#include "peer_codec.hpp"

#include <algorithm>
#include <msgpack.hpp>

namespace camphorknot::steering {

template <typename T, typename Struct>
concept const_or_mutable = std::is_same_v<std::remove_const_t<T>, Struct>;

// Fields of each struct in wire order.
auto peer_fields(const_or_mutable<instance_identity> auto& value)
{
    return std::tie(value.name, value.ip, value.failure_domain, value.region, value.front_address,
                    value.peer_address, value.incarnation, value.link_mbps, value.cpu_millicores,
                    value.relay_address);
}
auto peer_fields(const_or_mutable<record_position> auto& value)
{
    return std::tie(value.version, value.as_of_s);
}
auto peer_fields(const_or_mutable<record> auto& value)
{
    return std::tie(value.group, value.key, value.value, value.version, value.removed, value.patches);
}
auto peer_fields(const_or_mutable<patch_step> auto& value)
{
    return std::tie(value.inserted, value.offset, value.length);
}
auto peer_fields(const_or_mutable<text_patch> auto& value)
{
    return std::tie(value.base_checksum, value.result_checksum, value.result_bytes, value.steps,
                    value.inserted);
}
auto peer_fields(const_or_mutable<record_patch> auto& value)
{
    return std::tie(value.base_version, value.version, value.change);
}
auto peer_fields(const_or_mutable<held_record> auto& value)
{
    return std::tie(value.group, value.key, value.version);
}
auto peer_fields(const_or_mutable<record_update> auto& value)
{
    return std::tie(value.group, value.is_snapshot, value.records, value.position);
}
auto peer_fields(const_or_mutable<version_counts> auto& value)
{
    return std::tie(value.service, value.version, value.route, value.answers, value.failing_answers,
                    value.unanswered, value.sent, value.order_version, value.has_judged, value.judged,
                    value.judged_failing, value.unjudged);
}
auto peer_fields(const_or_mutable<rollout_progress> auto& value)
{
    return std::tie(value.service, value.order_version, value.elapsed, value.share, value.stopped,
                    value.old_in_flight);
}
auto peer_fields(const_or_mutable<customer_demand> auto& value)
{
    return std::tie(value.customer, value.per_s);
}
auto peer_fields(const_or_mutable<target_in_flight> auto& value)
{
    return std::tie(value.target, value.requests);
}
auto peer_fields(const_or_mutable<target_access> auto& value)
{
    return std::tie(value.unreachable_services, value.reaches_any);
}
auto peer_fields(const_or_mutable<instance_contact> auto& value)
{
    return std::tie(value.name, value.failure_domain, value.region, value.front_address, value.peer_address,
                    value.link_mbps, value.cpu_millicores, value.relay_address, value.access);
}
auto peer_fields(const_or_mutable<target_notice> auto& value)
{
    return std::tie(value.target, value.born_ms, value.age, value.limit_per_s, value.leaving);
}
auto peer_fields(const_or_mutable<request_identity> auto& value)
{
    return std::tie(value.high, value.low, value.outline);
}
auto peer_fields(const_or_mutable<suspect_key> auto& value)
{
    return std::tie(value.request, value.service, value.version);
}
auto peer_fields(const_or_mutable<crash_report::run> auto& value)
{
    return std::tie(value.target, value.born_ms, value.sent_age, value.ended_age, value.version_answered_age,
                    value.failure_domain, value.domain_alive);
}
auto peer_fields(const_or_mutable<crash_report> auto& value)
{
    return std::tie(value.key, value.cleared, value.last_seen_age, value.runs);
}
auto peer_fields(const_or_mutable<customer_count> auto& value)
{
    return std::tie(value.customer, value.requests);
}
auto peer_fields(const_or_mutable<window_counts> auto& value)
{
    return std::tie(value.window, value.counts);
}
auto peer_fields(const_or_mutable<usage_progress> auto& value)
{
    return std::tie(value.first_undecided, value.first_unreported, value.decided);
}
auto peer_fields(const_or_mutable<usage_news> auto& value)
{
    return std::tie(value.clock_ms, value.counts, value.progress);
}
auto peer_fields(const_or_mutable<load_report> auto& value)
{
    return std::tie(value.demands, value.in_flight, value.rollouts, value.counts, value.requests_per_s,
                    value.notices, value.usage);
}
auto peer_fields(const_or_mutable<instance_status> auto& value)
{
    return std::tie(value.identity, value.sequence, value.leaving, value.reads_store, value.positions,
                    value.load, value.contacts, value.crashes, value.access);
}
auto peer_fields(const_or_mutable<domain_summary> auto& value)
{
    return std::tie(value.failure_domain, value.region, value.delegate, value.sequence, value.relayed,
                    value.reads_store, value.positions, value.load, value.members, value.crashes);
}

// Number of fields that a message must have; the later ones are missing in messages of earlier versions.
template <typename T>
constexpr std::size_t required_fields = std::tuple_size_v<decltype(peer_fields(std::declval<T&>()))>;
template <>
constexpr std::size_t required_fields<instance_identity> = 8;
template <>
constexpr std::size_t required_fields<record> = 5;
template <>
constexpr std::size_t required_fields<instance_contact> = 6;
template <>
constexpr std::size_t required_fields<load_report> = 4;
template <>
constexpr std::size_t required_fields<crash_report::run> = 4;
template <>
constexpr std::size_t required_fields<version_counts> = 5;
template <>
constexpr std::size_t required_fields<instance_status> = 7;
template <>
constexpr std::size_t required_fields<domain_summary> = 9;

template <typename T>
concept peer_struct = requires(T& value)
{
    peer_fields(value);
};

} // namespace camphorknot::steering

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template <typename T>
    struct pack<T, std::enable_if_t<camphorknot::steering::peer_struct<T>>> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& out, const T& value) const
        {
            std::apply(
                [&out](const auto&... fields) {
                    out.pack_array(sizeof...(fields));
                    (out.pack(fields), ...);
                },
                camphorknot::steering::peer_fields(value));
            return out;
        }
    };

    template <typename T>
    struct convert<T, std::enable_if_t<camphorknot::steering::peer_struct<T>>> {
        const msgpack::object& operator()(const msgpack::object& from, T& value) const
        {
            auto fields = camphorknot::steering::peer_fields(value);
            // Ignores additional fields of a newer version.
            if (from.type != type::ARRAY || from.via.array.size < camphorknot::steering::required_fields<T>) {
                throw type_error();
            }
            const msgpack::object* next = from.via.array.ptr;
            const msgpack::object* end = next + from.via.array.size;
            const auto convert_next = [&](auto& field) {
                if (next != end) {
                    (next++)->convert(field);
                }
            };
            std::apply([&](auto&... field) { (convert_next(field), ...); }, fields);
            return from;
        }
    };

    template <>
    struct pack<camphorknot::duration> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& out, const camphorknot::duration& value) const
        {
            return out.pack(static_cast<std::int64_t>(value.count()));
        }
    };

    template <>
    struct convert<camphorknot::duration> {
        const msgpack::object& operator()(const msgpack::object& from, camphorknot::duration& value) const
        {
            value = camphorknot::duration(from.as<std::int64_t>());
            return from;
        }
    };

    template <>
    struct pack<camphorknot::steering::collection> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& out, const camphorknot::steering::collection& value) const
        {
            return out.pack(static_cast<std::uint8_t>(value));
        }
    };

    template <>
    struct convert<camphorknot::steering::collection> {
        const msgpack::object& operator()(const msgpack::object& from,
                                          camphorknot::steering::collection& value) const
        {
            const auto number = from.as<std::uint8_t>();
            if (number >= camphorknot::steering::collection_count) {
                throw type_error();
            }
            value = static_cast<camphorknot::steering::collection>(number);
            return from;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace camphorknot::edge {
namespace {

// The number of an enumerator identifies the type of a message on the wire.
enum class message_type : std::uint8_t {
    status,
    records_request,
    records_answer,
    summary,
    contact_announcement,
    token_request,
    token_answer
};

std::string add_length_prefix(const msgpack::sbuffer& content)
{
    const auto length = static_cast<std::uint32_t>(content.size());
    std::string frame;
    frame.reserve(frame_header_bytes + content.size());
    for (unsigned shift = 32; shift > 0; shift -= 8) {
        frame += static_cast<char>((length >> (shift - 8)) & 0xffU);
    }
    frame.append(content.data(), content.size());
    return frame;
}

template <typename Value>
std::string encode(message_type type, const Value& value)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(2);
    out.pack(static_cast<std::uint8_t>(type));
    out.pack(value);
    return add_length_prefix(buffer);
}

// Earlier builds read the first two values and ignore the third one.
std::string encode_request(const records_request& request)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(3);
    out.pack(static_cast<std::uint8_t>(message_type::records_request));
    out.pack(request.positions);
    out.pack(request.held);
    return add_length_prefix(buffer);
}

records_request decode_request(const msgpack::object_array& parts)
{
    records_request request{parts.ptr[1].as<steering::record_positions>()};
    if (parts.size > 2) {
        request.held = parts.ptr[2].as<std::vector<steering::held_record>>();
    }
    return request;
}

peer_message decode_body(message_type type, const msgpack::object& body)
{
    switch (type) {
    case message_type::status:
        return body.as<steering::instance_status>();
    case message_type::records_request:
        break; // Has more parts than a body.
    case message_type::records_answer:
        return records_answer{body.as<std::vector<steering::record_update>>()};
    case message_type::summary:
        return body.as<steering::domain_summary>();
    case message_type::contact_announcement:
        return contact_announcement{body.as<std::vector<steering::instance_contact>>()};
    case message_type::token_request: {
        const auto [id, customer, reply_to] = body.as<std::tuple<std::uint64_t, std::string, std::string>>();
        return token_request{id, customer, reply_to};
    }
    case message_type::token_answer: {
        const auto [id, wait] = body.as<std::tuple<std::uint64_t, std::int64_t>>();
        return token_answer{id, duration(wait)};
    }
    }
    throw msgpack::type_error();
}

// Contents up to this size are decoded without a look at their values first.
constexpr std::size_t small_content_bytes = std::size_t{64} * 1024;
// Values of a frame; each takes 24 bytes once it is decoded. A record has five.
constexpr std::size_t max_values = 250'000;
constexpr std::size_t max_depth = 32;

// Counts the values of a frame without decoding them.
struct value_counter : msgpack::null_visitor {
    std::size_t values = 0;
    std::size_t depth = 0;
    bool is_valid = true;

    bool open(std::size_t count)
    {
        values += count;
        ++depth;
        return values <= max_values && depth <= max_depth;
    }
    bool start_array(std::uint32_t count) { return open(count); }
    bool start_map(std::uint32_t count) { return open(std::size_t{2} * count); }
    bool end_array()
    {
        --depth;
        return true;
    }
    bool end_map() { return end_array(); }
    void parse_error(std::size_t /*parsed*/, std::size_t /*failed*/) { is_valid = false; }
    void insufficient_bytes(std::size_t /*parsed*/, std::size_t /*failed*/) { is_valid = false; }
};

// Whether the values take little more memory than their bytes.
bool has_few_values(std::string_view content)
{
    if (content.size() <= small_content_bytes) {
        return true;
    }
    value_counter counter;
    return msgpack::parse(content.data(), content.size(), counter) && counter.is_valid;
}

} // namespace

std::string encode_frame(const peer_message& message)
{
    if (const auto* status = std::get_if<steering::instance_status>(&message)) {
        return encode(message_type::status, *status);
    }
    if (const auto* request = std::get_if<records_request>(&message)) {
        return encode_request(*request);
    }
    if (const auto* answer = std::get_if<records_answer>(&message)) {
        return encode(message_type::records_answer, answer->updates);
    }
    if (const auto* summary = std::get_if<steering::domain_summary>(&message)) {
        return encode(message_type::summary, *summary);
    }
    if (const auto* request = std::get_if<token_request>(&message)) {
        return encode(message_type::token_request,
                      std::tuple(request->id, request->customer, request->reply_to));
    }
    if (const auto* answer = std::get_if<token_answer>(&message)) {
        return encode(message_type::token_answer,
                      std::tuple(answer->id, static_cast<std::int64_t>(answer->wait.count())));
    }
    return encode(message_type::contact_announcement, std::get<contact_announcement>(message).contacts);
}

result<peer_message, codec_fault> decode_frame(std::string_view content)
{
    try {
        if (!has_few_values(content)) {
            return fail<peer_message>(codec_fault::malformed);
        }
        const msgpack::object_handle handle = msgpack::unpack(content.data(), content.size());
        const msgpack::object& outer = handle.get();
        if (outer.type != msgpack::type::ARRAY || outer.via.array.size < 2) {
            return fail<peer_message>(codec_fault::malformed);
        }
        const auto type = outer.via.array.ptr[0].as<std::uint8_t>();
        if (type >= message_type_count) {
            return fail<peer_message>(codec_fault::unknown_type);
        }
        if (static_cast<message_type>(type) == message_type::records_request) {
            return succeed<codec_fault>(peer_message(decode_request(outer.via.array)));
        }
        return succeed<codec_fault>(decode_body(static_cast<message_type>(type), outer.via.array.ptr[1]));
    } catch (const std::exception&) {
        return fail<peer_message>(codec_fault::malformed);
    }
}

std::size_t message_type_of(std::string_view content)
{
    constexpr unsigned char first_short_array = 0x90; // msgpack's array of up to 15 elements.
    constexpr unsigned char last_short_array = 0x9f;
    if (content.size() < 2) {
        return message_type_count;
    }
    const auto outer = static_cast<unsigned char>(content[0]);
    const auto type = static_cast<unsigned char>(content[1]);
    const bool is_message = outer >= first_short_array && outer <= last_short_array;
    return is_message ? std::min<std::size_t>(type, message_type_count) : message_type_count;
}

std::uint32_t decode_content_length(std::string_view header)
{
    std::uint32_t length = 0;
    for (const char byte : header.substr(0, frame_header_bytes)) {
        length = (length << 8U) | static_cast<unsigned char>(byte);
    }
    return length;
}

} // namespace camphorknot::edge
