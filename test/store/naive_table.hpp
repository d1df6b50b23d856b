#ifndef COLTSFOOTRACK_TEST_STORE_NAIVE_TABLE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STORE_NAIVE_TABLE_HPP_INCLUDED

#include <coltsfootrack/store/mutation.hpp>
#include <coltsfootrack/store/row.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::store
{

// A minimal model of the platform's table that counts how often each row was
// written.
class naive_table
{
public:
    // The keys of the conditions that fail; none if the commit applied.
    std::vector<std::string> commit(const mutation& content)
    {
        std::vector<std::string> failed;
        for (const condition& each : content.conditions)
        {
            const auto found = read(each.key);
            if ((found ? found->version : 0) != each.version)
            {
                failed.push_back(each.key);
            }
        }
        if (failed.empty())
        {
            ++sequence_;
            for (const write& each : content.writes)
            {
                rows_[each.key] = {each.key, sequence_, each.value};
                ++write_counts_[each.key];
            }
        }
        return failed;
    }

    std::optional<row> read(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::nullopt
                                    : std::optional<row>(found->second);
    }

    int write_count(const std::string& key) const
    {
        const auto found = write_counts_.find(key);
        return found == write_counts_.end() ? 0 : found->second;
    }

    version sequence() const
    {
        return sequence_;
    }

private:
    version sequence_ = 0;
    std::map<std::string, row> rows_;
    std::map<std::string, int> write_counts_;
};

} // namespace coltsfootrack::store

#endif
