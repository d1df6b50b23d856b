#ifndef COLTSFOOTRACK_WIRE_MESSAGE_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_MESSAGE_HPP_INCLUDED

#include <coltsfootrack/wire/cancel_notice.hpp>
#include <coltsfootrack/wire/catalogue_copy.hpp>
#include <coltsfootrack/wire/catalogue_request.hpp>
#include <coltsfootrack/wire/cell_status.hpp>
#include <coltsfootrack/wire/config_notice.hpp>
#include <coltsfootrack/wire/freshness_answer.hpp>
#include <coltsfootrack/wire/freshness_query.hpp>
#include <coltsfootrack/wire/heartbeat.hpp>
#include <coltsfootrack/wire/hello.hpp>
#include <coltsfootrack/wire/job_copy.hpp>
#include <coltsfootrack/wire/job_notice.hpp>
#include <coltsfootrack/wire/promise_answer.hpp>
#include <coltsfootrack/wire/promise_request.hpp>
#include <coltsfootrack/wire/relay_answer.hpp>
#include <coltsfootrack/wire/relay_request.hpp>
#include <coltsfootrack/wire/state_answer.hpp>
#include <coltsfootrack/wire/state_query.hpp>
#include <coltsfootrack/wire/ticket_answer.hpp>
#include <coltsfootrack/wire/ticket_query.hpp>
#include <coltsfootrack/wire/usage_report.hpp>
#include <coltsfootrack/wire/worker_answer.hpp>
#include <coltsfootrack/wire/worker_call.hpp>

#include <variant>

namespace coltsfootrack::wire
{

// Any message between daemons. The alternatives have the order of message_type.
using message =
    std::variant<hello, heartbeat, promise_request, promise_answer,
                 freshness_query, freshness_answer, config_notice, job_notice,
                 usage_report, cell_status, catalogue_copy, job_copy,
                 cancel_notice, state_query, state_answer, ticket_query,
                 ticket_answer, relay_request, relay_answer, catalogue_request,
                 worker_call, worker_answer>;

} // namespace coltsfootrack::wire

#endif
