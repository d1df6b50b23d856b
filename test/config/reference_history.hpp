#ifndef COLTSFOOTRACK_TEST_CONFIG_REFERENCE_HISTORY_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CONFIG_REFERENCE_HISTORY_HPP_INCLUDED

#include <coltsfootrack/config/ticket.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::config
{

// A slow reference implementation of snapshot, which keeps every accepted
// ticket and searches the whole history for each query.
class reference_history
{
public:
    // Accepts a ticket or leaves the history as it is.
    bool apply(const ticket& change, std::uint64_t sequence)
    {
        if (sequence <= this->sequence())
        {
            return false;
        }
        for (const ticket_object& object : change.objects)
        {
            for (const auto& accepted : history_)
            {
                if (writes(accepted.second, object) &&
                    accepted.second.number > change.number)
                {
                    return false;
                }
            }
        }
        history_.emplace_back(sequence, change);
        return true;
    }

    std::uint64_t sequence() const
    {
        return history_.empty() ? 0 : history_.back().first;
    }

    // The last written state of the object that has the kind and name of the
    // given one, as JSON with the number of its ticket; empty if there is none.
    std::string state_of(const ticket_object& like) const
    {
        std::string result;
        for (const auto& [sequence, change] : history_)
        {
            for (const ticket_object& object : change.objects)
            {
                if (same_name(object, like))
                {
                    result = R"({"object":)" + canonical_json(object) +
                             R"(,"ticket":)" + std::to_string(change.number) +
                             "}";
                }
            }
        }
        return result;
    }

    // The number of different objects.
    std::size_t size() const
    {
        std::vector<ticket_object> seen;
        for (const auto& accepted : history_)
        {
            for (const ticket_object& object : accepted.second.objects)
            {
                bool known = false;
                for (const ticket_object& other : seen)
                {
                    known = known || same_name(object, other);
                }
                if (!known)
                {
                    seen.push_back(object);
                }
            }
        }
        return seen.size();
    }

private:
    static bool same_name(const ticket_object& a, const ticket_object& b)
    {
        return a.index() == b.index() && name_of(a) == name_of(b);
    }

    static bool writes(const ticket& change, const ticket_object& object)
    {
        for (const ticket_object& other : change.objects)
        {
            if (same_name(object, other))
            {
                return true;
            }
        }
        return false;
    }

    std::vector<std::pair<std::uint64_t, ticket>> history_;
};

} // namespace coltsfootrack::config

#endif
