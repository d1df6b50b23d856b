#ifndef COLTSFOOTRACK_CELL_EARLY_CANCEL_LIMIT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_EARLY_CANCEL_LIMIT_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/cell/cancel_right.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace coltsfootrack::cell
{

// Bounds how many cancellations of unknown jobs a daemon stores: callers may
// name any id, and each costs a row until its retention time has passed.
//
// Thread safety: none.
class early_cancel_limit
{
public:
    struct limits
    {
        // The most in `window`, of all callers together, and with one right.
        std::size_t most = 1000;
        std::size_t most_of_right = 250;
        // How long each of them counts: as long as the leader keeps its row.
        base::duration window = std::chrono::seconds(150);
    };

    explicit early_cancel_limit(const limits& values)
        : limits_(values)
    {
    }

    // Counts a cancellation, under the key of its row. Returns false if the
    // limit is reached; one that counts already needs no more room.
    bool try_take(const std::string& key, const cancel_right& right,
                  base::time_point now);

    // A cancellation that was counted was certainly not stored.
    void give_back(const std::string& key);

private:
    struct entry
    {
        base::time_point at;
        std::string key;
    };

    void erase(const std::string& key);

    limits limits_;
    // The oldest first.
    std::deque<entry> order_;
    // The encoded right of each key that counts, and how many have it.
    std::map<std::string, std::string> counted_;
    std::map<std::string, std::size_t> by_right_;
};

} // namespace coltsfootrack::cell

#endif
