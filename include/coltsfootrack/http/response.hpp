#ifndef COLTSFOOTRACK_HTTP_RESPONSE_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_RESPONSE_HPP_INCLUDED

#include <coltsfootrack/http/header_list.hpp>

#include <string>

namespace coltsfootrack::http
{

// One HTTP answer. The server adds Content-Length.
struct response
{
    int status = 200;
    header_list headers;
    std::string body;

    friend bool operator==(const response& a, const response& b)
    {
        return a.status == b.status && a.headers == b.headers &&
               a.body == b.body;
    }

    friend bool operator!=(const response& a, const response& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::http

#endif
