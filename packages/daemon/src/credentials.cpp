#include "camphorknot/daemon/credentials.hpp"

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace camphorknot {
namespace {

// Domain separation: the prefixes keep a hash made for one purpose from being accepted for another.
constexpr std::string_view key_hash_prefix = "customer-key\n";
constexpr std::string_view ticket_mac_prefix = "ticket\n";

const unsigned char* bytes_of(std::string_view text)
{
    return static_cast<const unsigned char*>(static_cast<const void*>(text.data()));
}

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::array<std::uint8_t, 32> hmac_sha256(std::string_view secret, std::string_view text)
{
    std::array<std::uint8_t, 32> mac{};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes_of(text), text.size(),
         mac.data(), &length);
    return mac;
}

key_hash hash_key(std::string_view fleet_secret, std::string_view key)
{
    std::string text(key_hash_prefix);
    text += key;
    return hmac_sha256(fleet_secret, text);
}

ticket_mac sign_ticket(std::string_view fleet_secret, std::string_view fields)
{
    std::string text(ticket_mac_prefix);
    text += fields;
    const auto full_mac = hmac_sha256(fleet_secret, text);
    ticket_mac mac{};
    std::copy_n(full_mac.begin(), mac.size(), mac.begin());
    return mac;
}

bool has_valid_mac(std::string_view fleet_secret, std::string_view text)
{
    const std::optional<parsed_ticket> parsed = parse_ticket(text);
    if (!parsed) {
        return false;
    }
    const ticket_mac expected = sign_ticket(fleet_secret, ticket_fields(parsed->value));
    return CRYPTO_memcmp(expected.data(), parsed->mac.data(), expected.size()) == 0;
}

std::string sha256_hex(std::string_view text)
{
    std::array<char, 32> digest{};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), static_cast<unsigned char*>(static_cast<void*>(digest.data())),
               &length, EVP_sha256(), nullptr);
    return to_hex({digest.data(), digest.size()});
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::optional<std::string_view> bearer_token(std::string_view header_value)
{
    constexpr std::string_view scheme = "bearer ";
    if (header_value.size() <= scheme.size()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < scheme.size(); ++index) {
        if (lower(header_value[index]) != scheme[index]) {
            return std::nullopt;
        }
    }
    header_value.remove_prefix(scheme.size());
    while (!header_value.empty() && header_value.front() == ' ') {
        header_value.remove_prefix(1);
    }
    if (header_value.empty()) {
        return std::nullopt;
    }
    return header_value;
}

} // namespace camphorknot
