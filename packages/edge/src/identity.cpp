#include "identity.hpp"

#include <array>
#include <cstring>
#include <memory>
#include <openssl/evp.h>

namespace camphorknot::edge {
namespace {

using digest_context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

std::array<std::string_view, 4> head_parts(const platform::http_request& request, std::string_view host,
                                           std::string_view customer)
{
    const std::string_view target = request.target();
    const std::string_view method = request.method_string();
    return {method, host, target, customer};
}

// The lengths keep the parts apart.
void add_part(EVP_MD_CTX* context, std::string_view part)
{
    const std::uint64_t size = part.size();
    EVP_DigestUpdate(context, &size, sizeof size);
    EVP_DigestUpdate(context, part.data(), part.size());
}

void add_body(EVP_MD_CTX* context, const platform::message_body& body)
{
    const std::uint64_t size = body.size();
    EVP_DigestUpdate(context, &size, sizeof size);
    for (std::size_t index = 0; index < body.block_count(); ++index) {
        const std::string_view block = body.block(index);
        EVP_DigestUpdate(context, block.data(), block.size());
    }
}

} // namespace

std::uint64_t compute_outline(const platform::http_request& request, std::string_view host,
                              std::string_view customer)
{
    std::uint64_t outline = request.body().size();
    for (const std::string_view part : head_parts(request, host, customer)) {
        outline = mix_hash(outline, hash_name(part));
    }
    return outline;
}

steering::request_identity compute_identity(const platform::http_request& request, std::string_view host,
                                            std::string_view customer)
{
    const digest_context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : head_parts(request, host, customer)) {
        add_part(context.get(), part);
    }
    add_body(context.get(), request.body());
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    steering::request_identity identity;
    std::memcpy(&identity.high, digest.data(), sizeof identity.high);
    std::memcpy(&identity.low, digest.data() + sizeof identity.high, sizeof identity.low);
    identity.outline = compute_outline(request, host, customer);
    return identity;
}

} // namespace camphorknot::edge
