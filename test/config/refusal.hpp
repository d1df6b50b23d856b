#ifndef COLTSFOOTRACK_TEST_CONFIG_REFUSAL_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CONFIG_REFUSAL_HPP_INCLUDED

#include <string>

namespace coltsfootrack::config
{

// One malformed text: what is replaced in a correct text, and what the error
// must contain.
struct refusal
{
    std::string from;
    std::string to;
    std::string expected;

    // The correct text with the replacement; empty if there is nothing to
    // replace, which is a fault of the table.
    std::string applied_to(std::string text) const
    {
        const std::size_t at = text.find(from);
        return at == std::string::npos ? std::string()
                                       : text.replace(at, from.size(), to);
    }
};

} // namespace coltsfootrack::config

#endif
