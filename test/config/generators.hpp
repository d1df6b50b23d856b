#ifndef COLTSFOOTRACK_TEST_CONFIG_GENERATORS_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CONFIG_GENERATORS_HPP_INCLUDED

#include <coltsfootrack/config/ticket.hpp>

#include <rapidcheck.h>

namespace coltsfootrack::config
{

// A correct object of any kind. Names come from a small set, so that tickets
// touch the same objects often.
rc::Gen<ticket_object> arbitrary_object();

// A correct ticket with one to six objects, in ascending order.
rc::Gen<ticket> arbitrary_ticket();

} // namespace coltsfootrack::config

#endif
