#ifndef COLTSFOOTRACK_TEST_CLI_FAKE_ENVIRONMENT_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CLI_FAKE_ENVIRONMENT_HPP_INCLUDED

#include <cli/application.hpp>
#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::cli
{

// An environment whose files, variables and daemons' answers the test sets. It
// records every request.
class fake_environment
{
public:
    // What the daemon at an address answers; unreachable if there is none.
    std::map<std::string, http::client_result> answers;
    std::map<std::string, std::string> files;
    std::map<std::string, std::string> variables;
    std::vector<std::pair<std::string, http::request>> sent;
    std::ostringstream out;
    std::ostringstream err;

    static http::client_result answer(const nlohmann::json& body)
    {
        http::client_result result;
        result.request_sent = true;
        result.complete = true;
        result.answer = http::json_response(200, body);
        return result;
    }

    static http::client_result refusal(base::error_kind kind)
    {
        http::client_result result;
        result.request_sent = true;
        result.complete = true;
        result.answer =
            http::error_response(base::make_error(kind, "the detail"));
        return result;
    }

    static http::client_result no_answer(base::error_kind kind, bool sent)
    {
        http::client_result result;
        result.status = base::make_error(kind, "no answer");
        result.request_sent = sent;
        return result;
    }

    int run(const std::vector<std::string>& arguments)
    {
        sent.clear();
        out.str("");
        err.str("");
        environment env;
        env.send = [this](const std::string& address,
                          const http::request& request,
                          std::chrono::milliseconds /*timeout*/)
        {
            sent.emplace_back(address, request);
            const auto found = answers.find(address);
            return found != answers.end()
                       ? found->second
                       : no_answer(base::error_kind::upstream_unreachable,
                                   false);
        };
        env.read_file =
            [this](const std::string& path,
                   std::size_t max_bytes) -> absl::StatusOr<std::string>
        {
            const auto found = files.find(path);
            if (found == files.end() || found->second.size() > max_bytes)
            {
                return base::make_error(base::error_kind::invalid_request,
                                        "cannot read " + path);
            }
            return found->second;
        };
        env.variable = [this](const std::string& name)
        {
            const auto found = variables.find(name);
            return found == variables.end() ? std::string() : found->second;
        };
        env.random = base::seeded_random(1);
        env.out = &out;
        env.err = &err;
        return cli::run(arguments, env);
    }
};

} // namespace coltsfootrack::cli

#endif
