#include "peer_codec.hpp"

#include <msgpack.hpp>

namespace camphorknot::steering {

template <typename T, typename Struct>
concept is_a = std::is_same_v<std::remove_const_t<T>, Struct>;

// Fields of each struct in the order in which they are sent.
auto peer_fields(is_a<instance_identity> auto& value)
{
    return std::tie(value.name, value.ip, value.failure_domain, value.region, value.front_address,
                    value.peer_address, value.incarnation, value.link_mbps);
}
auto peer_fields(is_a<record_position> auto& value)
{
    return std::tie(value.version, value.as_of_s);
}
auto peer_fields(is_a<record> auto& value)
{
    return std::tie(value.group, value.key, value.value, value.version, value.removed);
}
auto peer_fields(is_a<record_update> auto& value)
{
    return std::tie(value.group, value.is_snapshot, value.records, value.position);
}
auto peer_fields(is_a<version_counts> auto& value)
{
    return std::tie(value.service, value.version, value.route, value.answers, value.failing_answers);
}
auto peer_fields(is_a<rollout_progress> auto& value)
{
    return std::tie(value.service, value.order_version, value.elapsed, value.share, value.stopped,
                    value.old_in_flight);
}
auto peer_fields(is_a<customer_demand> auto& value)
{
    return std::tie(value.customer, value.per_s);
}
auto peer_fields(is_a<target_in_flight> auto& value)
{
    return std::tie(value.target, value.requests);
}
auto peer_fields(is_a<instance_contact> auto& value)
{
    return std::tie(value.name, value.failure_domain, value.region, value.front_address, value.peer_address,
                    value.link_mbps);
}
auto peer_fields(is_a<load_report> auto& value)
{
    return std::tie(value.demands, value.in_flight, value.rollouts, value.counts);
}
auto peer_fields(is_a<instance_status> auto& value)
{
    return std::tie(value.identity, value.sequence, value.leaving, value.reads_store, value.positions,
                    value.load, value.contacts);
}
auto peer_fields(is_a<domain_summary> auto& value)
{
    return std::tie(value.failure_domain, value.region, value.delegate, value.sequence, value.relayed,
                    value.reads_store, value.positions, value.load, value.members);
}

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
            // Further fields of a newer process are ignored.
            if (from.type != type::ARRAY || from.via.array.size < std::tuple_size_v<decltype(fields)>) {
                throw type_error();
            }
            const msgpack::object* next = from.via.array.ptr;
            std::apply([&next](auto&... each) { ((next++)->convert(each), ...); }, fields);
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

enum class message_type : std::uint8_t {
    status,
    question,
    answer,
    summary,
    introduction,
    token_question,
    token_answer
};

std::string with_length(const msgpack::sbuffer& content)
{
    const auto length = static_cast<std::uint32_t>(content.size());
    std::string frame;
    frame.reserve(frame_head_bytes + content.size());
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
    return with_length(buffer);
}

peer_message convert_body(message_type type, const msgpack::object& body)
{
    switch (type) {
    case message_type::status:
        return body.as<steering::instance_status>();
    case message_type::question:
        return records_question{body.as<std::array<steering::record_position, steering::collection_count>>()};
    case message_type::answer:
        return records_answer{body.as<std::vector<steering::record_update>>()};
    case message_type::summary:
        return body.as<steering::domain_summary>();
    case message_type::introduction:
        return introduction{body.as<std::vector<steering::instance_contact>>()};
    case message_type::token_question: {
        const auto [id, customer, reply_to] = body.as<std::tuple<std::uint64_t, std::string, std::string>>();
        return token_question{id, customer, reply_to};
    }
    case message_type::token_answer: {
        const auto [id, wait] = body.as<std::tuple<std::uint64_t, std::int64_t>>();
        return token_answer{id, duration(wait)};
    }
    }
    throw msgpack::type_error();
}

} // namespace

std::string encode_frame(const peer_message& message)
{
    if (const auto* status = std::get_if<steering::instance_status>(&message)) {
        return encode(message_type::status, *status);
    }
    if (const auto* question = std::get_if<records_question>(&message)) {
        return encode(message_type::question, question->known);
    }
    if (const auto* answer = std::get_if<records_answer>(&message)) {
        return encode(message_type::answer, answer->updates);
    }
    if (const auto* summary = std::get_if<steering::domain_summary>(&message)) {
        return encode(message_type::summary, *summary);
    }
    if (const auto* token = std::get_if<token_question>(&message)) {
        return encode(message_type::token_question, std::tuple(token->id, token->customer, token->reply_to));
    }
    if (const auto* token = std::get_if<token_answer>(&message)) {
        return encode(message_type::token_answer,
                      std::tuple(token->id, static_cast<std::int64_t>(token->wait.count())));
    }
    return encode(message_type::introduction, std::get<introduction>(message).contacts);
}

result<peer_message, codec_fault> decode_frame(std::string_view content)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(content.data(), content.size());
        const msgpack::object& outer = handle.get();
        if (outer.type != msgpack::type::ARRAY || outer.via.array.size < 2) {
            return fail<peer_message>(codec_fault::malformed);
        }
        const auto type = outer.via.array.ptr[0].as<std::uint8_t>();
        if (type > static_cast<std::uint8_t>(message_type::token_answer)) {
            return fail<peer_message>(codec_fault::unknown_type);
        }
        return succeed<codec_fault>(convert_body(static_cast<message_type>(type), outer.via.array.ptr[1]));
    } catch (const std::exception&) {
        return fail<peer_message>(codec_fault::malformed);
    }
}

std::uint32_t content_length(std::string_view head)
{
    std::uint32_t length = 0;
    for (const char c : head.substr(0, frame_head_bytes)) {
        length = (length << 8U) | static_cast<unsigned char>(c);
    }
    return length;
}

} // namespace camphorknot::edge
