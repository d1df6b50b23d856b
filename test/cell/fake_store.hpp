#ifndef COLTSFOOTRACK_TEST_CELL_FAKE_STORE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CELL_FAKE_STORE_HPP_INCLUDED

#include <coltsfootrack/cell/read_result.hpp>
#include <coltsfootrack/cell/transaction.hpp>
#include <coltsfootrack/cell/transaction_result.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace coltsfootrack::cell
{

// An in-memory store that applies each call at once and without faults, for
// tests of the users of the platform's store.
class fake_store
{
public:
    transaction_result apply(const transaction& value)
    {
        transaction_result result;
        bool holds = true;
        for (const row_condition& condition : value.conditions)
        {
            const stored_row row = read(condition.row);
            holds = holds && row.version == condition.version;
            result.current.push_back(row);
        }
        if (!holds)
        {
            result.status = transaction_status::conflict;
            return result;
        }
        result.current.clear();
        result.status = transaction_status::committed;
        result.version = ++version_;
        for (const row_write& write : value.writes)
        {
            if (write.value)
            {
                rows_[write.row] = {write.row, *write.value, version_};
            }
            else
            {
                rows_.erase(write.row);
            }
        }
        return result;
    }

    std::uint64_t put(const row_id& id, const std::string& value)
    {
        rows_[id] = {id, value, ++version_};
        return version_;
    }

    // Removes a row; see removals().
    void remove(const row_id& id)
    {
        rows_.erase(id);
        removals_[id] = ++version_;
    }

    // The rows removed by remove(), with the versions of their removal.
    const std::map<row_id, std::uint64_t>& removals() const
    {
        return removals_;
    }

    // The row, with version 0 if there is none.
    stored_row read(const row_id& id) const
    {
        const auto found = rows_.find(id);
        return found == rows_.end() ? stored_row{id, "", 0} : found->second;
    }

    std::optional<std::string> value(const row_id& id) const
    {
        const stored_row row = read(id);
        return row.exists() ? std::optional<std::string>(row.value)
                            : std::nullopt;
    }

    std::uint64_t version(const row_id& id) const
    {
        return read(id).version;
    }

    std::uint64_t version() const
    {
        return version_;
    }

    const std::map<row_id, stored_row>& rows() const
    {
        return rows_;
    }

private:
    std::uint64_t version_ = 0;
    std::map<row_id, stored_row> rows_;
    std::map<row_id, std::uint64_t> removals_;
};

} // namespace coltsfootrack::cell

#endif
