// Hashes the content of a request.

#include <coltsfootrack/routing/idempotency_state.hpp>

#include <array>
#include <fmt/core.h>
#include <memory>
#include <openssl/evp.h>

namespace coltsfootrack::routing
{
namespace
{

struct context_deleter
{
    void operator()(EVP_MD_CTX* context) const
    {
        EVP_MD_CTX_free(context);
    }
};

} // namespace

std::string content_hash(std::string_view service, std::string_view method,
                         std::string_view body)
{
    const std::unique_ptr<EVP_MD_CTX, context_deleter> context(
        EVP_MD_CTX_new());
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : {service, method, body})
    {
        // The length prefix makes different lists of parts different byte
        // sequences.
        const std::string length = fmt::format("{}:", part.size());
        EVP_DigestUpdate(context.get(), length.data(), length.size());
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_DigestFinal_ex(context.get(), digest.data(), &size);
    std::string text;
    for (unsigned int i = 0; i < size; ++i)
    {
        text += fmt::format("{:02x}", digest[i]);
    }
    return text;
}

} // namespace coltsfootrack::routing
