#ifndef COLTSFOOTRACK_TEST_STANDINS_SUPPORT_HISTORY_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_SUPPORT_HISTORY_HPP_INCLUDED

#include <coltsfootrack/base/system_clock.hpp>

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::standins
{

// The time of CLOCK_BOOTTIME in milliseconds, which all stand-ins on one
// machine share.
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               base::system_clock().now().time_since_epoch())
        .count();
}

// Facts in the order in which they happened, at most 200,000.
class history
{
public:
    // Adds "fact" and "time_ms" to the details.
    void add(const std::string& fact, nlohmann::json details)
    {
        if (facts_.size() >= max_facts)
        {
            ++dropped_;
            return;
        }
        details["fact"] = fact;
        details["time_ms"] = now_ms();
        facts_.push_back(std::move(details));
    }

    const nlohmann::json& facts() const
    {
        return facts_;
    }

    std::size_t dropped() const
    {
        return dropped_;
    }

private:
    static constexpr std::size_t max_facts = 200000;

    nlohmann::json facts_ = nlohmann::json::array();
    std::size_t dropped_ = 0;
};

} // namespace coltsfootrack::standins

#endif
