#ifndef COLTSFOOTRACK_TEST_CONFIG_GENERATORS_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CONFIG_GENERATORS_HPP_INCLUDED

#include <coltsfootrack/config/ticket.hpp>

#include <rapidcheck.h>

namespace coltsfootrack::config
{

// A valid object of any kind. Names come from a small set, so that tickets
// often write the same objects.
rc::Gen<ticket_object> arbitrary_object();

// A valid ticket with one to six objects, in ascending order.
rc::Gen<ticket> arbitrary_ticket();

} // namespace coltsfootrack::config

#endif
