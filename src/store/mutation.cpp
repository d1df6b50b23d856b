// Builds mutations and estimates their size.

#include <coltsfootrack/store/mutation.hpp>

namespace coltsfootrack::store
{
namespace
{

// An upper bound of the JSON syntax around one condition or write.
constexpr std::size_t overhead_bytes = 48;

} // namespace

mutation& mutation::require(std::string key, version expected)
{
    conditions.push_back({std::move(key), expected});
    return *this;
}

mutation& mutation::put(std::string key, nlohmann::json value)
{
    writes.push_back({std::move(key), std::move(value)});
    return *this;
}

mutation& mutation::erase(std::string key)
{
    return put(std::move(key), nullptr);
}

std::size_t mutation::size_bytes() const
{
    using handler = nlohmann::json::error_handler_t;
    std::size_t total = 0;
    for (const condition& each : conditions)
    {
        total += overhead_bytes + each.key.size();
    }
    for (const write& each : writes)
    {
        total += overhead_bytes + each.key.size() +
                 each.value.dump(-1, ' ', false, handler::replace).size();
    }
    return total;
}

} // namespace coltsfootrack::store
