#ifndef COLTSFOOTRACK_TEST_STORE_TEST_PLATFORM_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STORE_TEST_PLATFORM_HPP_INCLUDED

#include "standins/support/child_process.hpp"

#include <coltsfootrack/http/client.hpp>

#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::store
{

// Runs the platform stand-in and sends requests to it without the client under
// test.
class test_platform
{
public:
    test_platform()
        : process_("standin-platform", {}, 1)
        , http_(http::client_options{})
    {
    }

    std::string address() const
    {
        return process_.address();
    }

    nlohmann::json send(const std::string& method, const std::string& path,
                        const nlohmann::json& body)
    {
        http::request message;
        message.method = method;
        message.path = path;
        message.body = body.is_null() ? std::string() : body.dump();
        const http::client_result result = http_.send(address(), message);
        CPPUNIT_ASSERT(result.ok());
        return nlohmann::json::parse(result.answer.body);
    }

    void set_faults(const nlohmann::json& faults)
    {
        send("POST", "/control/faults", faults);
    }

private:
    standins::child_process process_;
    http::client http_;
};

} // namespace coltsfootrack::store

#endif
