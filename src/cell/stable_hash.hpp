#ifndef COLTSFOOTRACK_SRC_CELL_STABLE_HASH_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_CELL_STABLE_HASH_HPP_INCLUDED

#include <cstdint>
#include <string>

namespace coltsfootrack::cell
{

// FNV-1a. What is stored under it must be found by every daemon and version.
inline std::uint64_t stable_hash(const std::string& text)
{
    std::uint64_t hash = 14695981039346656037U;
    for (const char c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
    }
    return hash;
}

} // namespace coltsfootrack::cell

#endif
