// Printing of results and errors.

#include "output.hpp"

#include "text_table.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <fmt/format.h>
#include <ostream>

namespace coltsfootrack::cli
{
namespace
{

std::string_view execution_text(base::execution ran)
{
    switch (ran)
    {
    case base::execution::did_not_run:
        return "It did not run.";
    case base::execution::ran:
        return "It ran.";
    default:
        return "It may or may not have run.";
    }
}

} // namespace

void print_result(const options& opts, const environment& env,
                  const nlohmann::json& result)
{
    if (opts.json)
    {
        *env.out << result.dump(-1, ' ', false,
                                nlohmann::json::error_handler_t::replace)
                 << '\n';
        return;
    }
    *env.out << text_of(result);
}

int print_error(bool json, const environment& env, const absl::Status& error)
{
    const base::error_answer& row = base::answer_of(base::kind_of(error));
    if (json)
    {
        *env.err << http::error_response(error).body << '\n';
    }
    else
    {
        *env.err << fmt::format(
            "coltsfootrack: {}\n{}\n{}{}\nAdvice: {}\n", row.name,
            std::string_view(error.message().data(), error.message().size()),
            execution_text(row.ran),
            row.retryable ? " It may be sent again." : "", row.advice);
    }
    return row.exit_code;
}

} // namespace coltsfootrack::cli
