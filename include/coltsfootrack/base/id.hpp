#ifndef COLTSFOOTRACK_BASE_ID_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_ID_HPP_INCLUDED

#include <functional>
#include <string>
#include <utility>

namespace coltsfootrack::base
{

// The id of one type of object. Ids of different types do not convert into each
// other:
//
//     zone_id zone("a1");
//     worker_id worker("w-17");
//     // zone == worker does not compile.
//
// Ids are ordered by their text; decisions break ties by the lowest id.
template <class Tag>
class id
{
public:
    id() = default;

    explicit id(std::string text)
        : text_(std::move(text))
    {
    }

    const std::string& text() const
    {
        return text_;
    }

    bool empty() const
    {
        return text_.empty();
    }

    friend bool operator==(const id& a, const id& b)
    {
        return a.text_ == b.text_;
    }

    friend bool operator!=(const id& a, const id& b)
    {
        return a.text_ != b.text_;
    }

    friend bool operator<(const id& a, const id& b)
    {
        return a.text_ < b.text_;
    }

    template <typename H>
    friend H AbslHashValue(H state, const id& value) // NOLINT
    {
        return H::combine(std::move(state), value.text_);
    }

private:
    std::string text_;
};

using zone_id = id<struct zone_tag>;
using region_id = id<struct region_tag>;
using rack_id = id<struct rack_tag>;
using worker_id = id<struct worker_tag>;
using runner_id = id<struct runner_tag>;
using daemon_id = id<struct daemon_tag>;
using team_id = id<struct team_tag>;
using service_id = id<struct service_tag>;
using workload_id = id<struct workload_tag>;
using job_id = id<struct job_tag>;

} // namespace coltsfootrack::base

template <class Tag>
struct std::hash<coltsfootrack::base::id<Tag>>
{
    std::size_t
    operator()(const coltsfootrack::base::id<Tag>& value) const noexcept
    {
        return std::hash<std::string>()(value.text());
    }
};

#endif
