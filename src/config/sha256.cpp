// SHA-256 with OpenSSL.

#include "sha256.hpp"

#include <array>
#include <openssl/evp.h>

namespace coltsfootrack::config
{

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
                   nullptr) != 1)
    {
        return {};
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    result.reserve(std::size_t{2} * size);
    for (unsigned int i = 0; i < size; ++i)
    {
        result.push_back(digits[digest[i] >> 4U]);
        result.push_back(digits[digest[i] & 0xfU]);
    }
    return result;
}

} // namespace coltsfootrack::config
