#ifndef COLTSFOOTRACK_HTTP_NUMERIC_ADDRESS_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_NUMERIC_ADDRESS_HPP_INCLUDED

#include <string>

namespace coltsfootrack::http
{

// Whether a text is an IPv4 address with a port from 1 to 65535, such as
// "10.0.0.7:8080". The clients send requests to no others.
bool is_numeric_address(const std::string& address);

} // namespace coltsfootrack::http

#endif
