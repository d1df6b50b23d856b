#ifndef COLTSFOOTRACK_TEST_COORDINATION_MODEL_FAULT_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_COORDINATION_MODEL_FAULT_HPP_INCLUDED

#include <ostream>

namespace coltsfootrack::coordination
{

// One injected fault; the target selects a daemon.
struct model_fault
{
    enum kind_type
    {
        pause,
        kill_process,
        remove_vm,
        store_outage,
        cut_from_store,
        cut_from_peers,
        cut_zone,
        planned_shutdown,
        slow_store,
        kind_count
    };

    int kind = pause;
    int at_ms = 0;
    int target = 0;
    int length_ms = 0;

    friend std::ostream& operator<<(std::ostream& out, const model_fault& f)
    {
        static const char* const names[kind_count] = {
            "pause",        "kill_process",     "remove_vm",
            "store_outage", "cut_from_store",   "cut_from_peers",
            "cut_zone",     "planned_shutdown", "slow_store"};
        return out << names[f.kind] << " at=" << f.at_ms
                   << "ms target=" << f.target << " length=" << f.length_ms
                   << "ms";
    }
};

} // namespace coltsfootrack::coordination

#endif
