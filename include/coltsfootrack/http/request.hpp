#ifndef COLTSFOOTRACK_HTTP_REQUEST_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_REQUEST_HPP_INCLUDED

#include <coltsfootrack/http/header_list.hpp>

#include <map>
#include <string>

namespace coltsfootrack::http
{

// One HTTP request.
//
// The server decodes path and query. The client sends the path unchanged and
// encodes the query.
struct request
{
    std::string method = "GET";
    // Starts with a slash; without the query.
    std::string path = "/";
    std::map<std::string, std::string> query;
    header_list headers;
    std::string body;

    friend bool operator==(const request& a, const request& b)
    {
        return a.method == b.method && a.path == b.path && a.query == b.query &&
               a.headers == b.headers && a.body == b.body;
    }

    friend bool operator!=(const request& a, const request& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::http

#endif
