#ifndef COLTSFOOTRACK_CELL_PAUSE_DETECTOR_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_PAUSE_DETECTOR_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

namespace coltsfootrack::cell
{

// Tells whether the control thread stood still for so long that rights which
// depend on time, such as that to lead, may have passed to another process.
//
// A pause that was seen lasts until reset(): events that are handled after the
// thread has woken up do not end it.
//
//     detector.note_activity(now);      // at each event, and periodically
//     if (detector.paused(now))
//         // Confirm the right elsewhere, then call reset(now).
//
// Thread safety: none.
class pause_detector
{
public:
    // Times without activity longer than `limit` are pauses.
    pause_detector(base::duration limit, base::time_point now)
        : limit_(limit)
        , active_at_(now)
    {
    }

    void note_activity(base::time_point now)
    {
        paused_ = paused(now);
        active_at_ = now;
    }

    bool paused(base::time_point now) const
    {
        return paused_ || now - active_at_ > limit_;
    }

    // The right may have passed to another process for another reason.
    void assume_pause()
    {
        paused_ = true;
    }

    void reset(base::time_point now)
    {
        paused_ = false;
        active_at_ = now;
    }

private:
    base::duration limit_;
    base::time_point active_at_;
    bool paused_ = false;
};

} // namespace coltsfootrack::cell

#endif
