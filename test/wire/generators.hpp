#ifndef COLTSFOOTRACK_TEST_WIRE_GENERATORS_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_WIRE_GENERATORS_HPP_INCLUDED

#include <coltsfootrack/wire/message.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace coltsfootrack::wire
{

template <class Id>
Id any_id()
{
    return Id(*rc::gen::nonEmpty(rc::gen::string<std::string>()));
}

inline std::uint64_t any_number()
{
    return *rc::gen::element<std::uint64_t>(
        0, 1, *rc::gen::arbitrary<std::uint64_t>(),
        std::numeric_limits<std::uint64_t>::max());
}

inline std::int64_t any_amount()
{
    return *rc::gen::element<std::int64_t>(
        0, *rc::gen::nonNegative<std::int64_t>(),
        std::numeric_limits<std::int64_t>::max());
}

inline std::optional<std::chrono::milliseconds> any_age()
{
    if (*rc::gen::arbitrary<bool>())
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(any_amount());
}

inline std::chrono::milliseconds any_span()
{
    return std::chrono::milliseconds(*rc::gen::arbitrary<std::uint32_t>());
}

inline cell_status any_cell_status()
{
    cell_status value;
    value.epoch = any_number();
    value.leader = any_id<base::daemon_id>();
    value.leading = *rc::gen::arbitrary<bool>();
    value.stopping = *rc::gen::arbitrary<bool>();
    value.store_age = any_age();
    value.leader_age = any_age();
    value.store_delay = any_span();
    value.catalogue_version = any_number();
    value.processor_milli = *rc::gen::arbitrary<std::uint32_t>();
    value.clock = any_age();
    value.queues_known = *rc::gen::arbitrary<bool>();
    value.catalogue_age = any_age();
    const int queues = *rc::gen::inRange(0, 10);
    for (int i = 0; i < queues; ++i)
    {
        value.queues.push_back({*rc::gen::string<std::string>(),
                                *rc::gen::arbitrary<std::uint32_t>()});
    }
    return value;
}

inline ticket_query any_ticket_query()
{
    ticket_query value{any_number(),
                       any_id<base::job_id>(),
                       *rc::gen::arbitrary<std::uint32_t>(),
                       *rc::gen::arbitrary<std::uint32_t>(),
                       any_span(),
                       {}};
    const int workers = *rc::gen::inRange(0, 20);
    for (int i = 0; i < workers; ++i)
    {
        value.workers.push_back(any_id<base::worker_id>());
    }
    return value;
}

inline ticket_answer any_ticket_answer()
{
    ticket_answer value{any_number(), *rc::gen::arbitrary<bool>(), {}};
    const int grants = *rc::gen::inRange(0, 20);
    for (int i = 0; i < grants; ++i)
    {
        value.grants.push_back(
            {any_id<base::worker_id>(), *rc::gen::string<std::string>()});
    }
    return value;
}

inline run_key any_run_key()
{
    return {any_id<base::job_id>(), *rc::gen::arbitrary<std::int32_t>(),
            *rc::gen::arbitrary<std::int32_t>(),
            *rc::gen::arbitrary<std::int32_t>(), any_number()};
}

inline worker_call any_worker_call()
{
    worker_call value;
    value.nonce = any_number();
    value.kind =
        *rc::gen::element(worker_call_kind::renew, worker_call_kind::start,
                          worker_call_kind::stop, worker_call_kind::pace);
    value.worker = any_id<base::worker_id>();
    value.address = *rc::gen::string<std::string>();
    value.epoch = any_number();
    value.run = any_run_key();
    value.payload = *rc::gen::string<std::string>();
    value.checkpoint = *rc::gen::string<std::string>();
    value.ticket = *rc::gen::string<std::string>();
    value.lease_end = any_age();
    value.acknowledged = any_number();
    value.wait = any_span();
    value.pace_percent = *rc::gen::arbitrary<std::uint8_t>();
    value.send_by = any_age();
    return value;
}

inline worker_answer any_worker_answer()
{
    worker_answer value;
    value.nonce = any_number();
    value.taken = *rc::gen::arbitrary<bool>();
    value.outcome = *rc::gen::arbitrary<std::uint8_t>();
    value.life = any_amount();
    value.clock = std::chrono::milliseconds(any_amount());
    value.all_ends = *rc::gen::arbitrary<bool>();
    const int runs = *rc::gen::inRange(0, 10);
    for (int i = 0; i < runs; ++i)
    {
        value.running.push_back({any_run_key(), *rc::gen::string<std::string>(),
                                 *rc::gen::arbitrary<std::int32_t>(), 0.5 * i});
        value.ended.push_back({any_number(), any_run_key(),
                               *rc::gen::arbitrary<std::uint8_t>(),
                               *rc::gen::string<std::string>()});
    }
    return value;
}

// Any valid message; all types are equally likely.
inline message any_message()
{
    const bool flag = *rc::gen::arbitrary<bool>();
    switch (*rc::gen::inRange(0, 22))
    {
    case 0:
        return hello{any_id<base::daemon_id>(), any_number(),
                     any_id<base::zone_id>(), *rc::gen::arbitrary<bool>()};
    case 1:
        return heartbeat{any_number(), any_age(),
                         any_number(), any_number(),
                         flag,         *rc::gen::arbitrary<std::uint32_t>()};
    case 2:
        return promise_request{
            any_id<base::zone_id>(), any_number(), any_number(),
            std::chrono::milliseconds(*rc::gen::arbitrary<std::uint32_t>()),
            any_number()};
    case 3:
        return promise_answer{any_id<base::zone_id>(), any_number(), flag,
                              any_number()};
    case 4:
        return freshness_query{any_number()};
    case 5:
        return freshness_answer{any_number(), any_number(), any_age(),
                                flag,         any_number(), !flag};
    case 6:
        return config_notice{any_number()};
    case 7:
        return job_notice{any_id<base::zone_id>(), any_id<base::job_id>()};
    case 8:
        return any_cell_status();
    case 9:
        return catalogue_copy{any_number(), *rc::gen::string<std::string>(),
                              *rc::gen::arbitrary<bool>(), any_number()};
    case 10:
        return job_copy{any_id<base::job_id>(),
                        *rc::gen::string<std::string>()};
    case 11:
        return cancel_notice{any_id<base::job_id>()};
    case 12:
        return state_query{any_number(), any_id<base::job_id>()};
    case 13:
        return state_answer{any_number(), *rc::gen::string<std::string>()};
    case 14:
        return any_ticket_query();
    case 15:
        return any_ticket_answer();
    case 16:
        return relay_request{any_number(), any_id<base::job_id>(),
                             *rc::gen::string<std::string>(),
                             *rc::gen::string<std::string>()};
    case 19:
        return any_worker_call();
    case 20:
        return any_worker_answer();
    case 18:
        return catalogue_request{any_number(), *rc::gen::arbitrary<bool>()};
    case 17:
        return relay_answer{any_number(), *rc::gen::string<std::string>()};
    default:
        break;
    }
    usage_report report{any_id<base::zone_id>(), any_number(), {}};
    const int teams = *rc::gen::inRange(0, 20);
    for (int i = 0; i < teams; ++i)
    {
        report.teams.push_back({any_id<base::team_id>(),
                                {any_amount(), any_amount(), any_amount()}});
    }
    return report;
}

} // namespace coltsfootrack::wire

#endif
