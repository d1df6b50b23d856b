#include <coltsfootrack/cell/catalogue_catch_up.hpp>

namespace coltsfootrack::cell
{

bool catalogue_catch_up::on_status(std::uint64_t offered, std::uint64_t own,
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
    const bool asked_lately = asked_at_ && now - *asked_at_ < retry_interval_;
    if (now - *behind_since_ < request_delay_ || asked_lately)
    {
        return false;
    }
    asked_at_ = now;
    return true;
}

} // namespace coltsfootrack::cell
