#ifndef COLTSFOOTRACK_TEST_CONFIG_MALFORMED_CASE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CONFIG_MALFORMED_CASE_HPP_INCLUDED

#include <string>

namespace coltsfootrack::config
{

// One malformed text: what is replaced in a correct text, and what the error
// must contain.
struct malformed_case
{
    std::string from;
    std::string to;
    std::string expected;

    // The correct text with the replacement; empty if it does not contain
    // `from`, which is an error in the test's table.
    std::string applied_to(std::string text) const
    {
        const std::size_t at = text.find(from);
        return at == std::string::npos ? std::string()
                                       : text.replace(at, from.size(), to);
    }
};

} // namespace coltsfootrack::config

#endif
