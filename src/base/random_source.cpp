// Random sources and random tokens.

#include <coltsfootrack/base/hex_token.hpp>
#include <coltsfootrack/base/random_source.hpp>

#include <fmt/core.h>
#include <memory>
#include <random>

namespace coltsfootrack::base
{

random_source seeded_random(std::uint64_t seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine]
    {
        return (*engine)();
    };
}

random_source system_random()
{
    std::random_device device;
    const std::uint64_t high = device();
    return seeded_random((high << 32U) ^ device());
}

std::string hex_token(const random_source& random)
{
    const std::uint64_t high = random();
    return fmt::format("{:016x}{:016x}", high, random());
}

} // namespace coltsfootrack::base
