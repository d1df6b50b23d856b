#include <coltsfootrack/cell/catalogue_catch_up.hpp>

#include <algorithm>

namespace coltsfootrack::cell
{

bool catalogue_catch_up::on_status(const base::daemon_id& peer,
                                   std::uint64_t offered, std::uint64_t own,
                                   bool near, bool follows_store,
                                   base::time_point now)
{
    if (offered <= own)
    {
        return false;
    }
    if (!behind_since_)
    {
        behind_since_ = now;
    }
    const milliseconds wait =
        (follows_store ? limits_.store_wait : milliseconds(0)) +
        (near ? milliseconds(0) : limits_.far_wait);
    if (now - *behind_since_ < wait ||
        (next_request_at_ && now < *next_request_at_))
    {
        return false;
    }
    next_request_at_ = now + retry_;
    retry_ = std::min(2 * retry_, limits_.longest_retry);
    asked_ = peer;
    return true;
}

void catalogue_catch_up::on_link_lost(const base::daemon_id& peer)
{
    if (peer == asked_)
    {
        next_request_at_.reset();
    }
}

} // namespace coltsfootrack::cell
