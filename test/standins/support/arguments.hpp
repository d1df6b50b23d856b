#ifndef COLTSFOOTRACK_TEST_STANDINS_SUPPORT_ARGUMENTS_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_SUPPORT_ARGUMENTS_HPP_INCLUDED

#include <cstdint>
#include <cstdlib>
#include <fmt/core.h>
#include <map>
#include <string>

namespace coltsfootrack::standins
{

// Command-line options of the form "--name value". Any other argument ends the
// program with status 2.
class arguments
{
public:
    // Takes the known options with their default values.
    arguments(int count, char** values,
              std::map<std::string, std::string> known)
        : values_(std::move(known))
    {
        for (int i = 1; i < count; i += 2)
        {
            const std::string name = values[i];
            const auto found = name.rfind("--", 0) == 0
                                   ? values_.find(name.substr(2))
                                   : values_.end();
            if (found == values_.end() || i + 1 >= count)
            {
                exit_with_usage(name);
            }
            found->second = values[i + 1];
        }
    }

    const std::string& text(const std::string& name) const
    {
        return values_.at(name);
    }

    std::int64_t number(const std::string& name) const
    {
        const std::string& value = text(name);
        char* end = nullptr;
        const long long parsed = std::strtoll(value.c_str(), &end, 10);
        if (value.empty() || *end != '\0')
        {
            exit_with_usage("--" + name);
        }
        return parsed;
    }

private:
    [[noreturn]] void exit_with_usage(const std::string& argument) const
    {
        fmt::print(stderr, "unexpected or incomplete: {}\noptions:\n",
                   argument);
        for (const auto& [name, value] : values_)
        {
            fmt::print(stderr, "  --{} VALUE (default '{}')\n", name, value);
        }
        std::_Exit(2);
    }

    std::map<std::string, std::string> values_;
};

} // namespace coltsfootrack::standins

#endif
