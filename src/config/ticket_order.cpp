// Detection of conflicting, superseded and repeated tickets.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/ticket_order.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace coltsfootrack::config
{
namespace
{

bool writes(const ticket& candidate, const object_version& version)
{
    return std::any_of(candidate.objects.begin(), candidate.objects.end(),
                       [&version](const ticket_object& object)
                       {
                           return kind_name(object) == version.kind &&
                                  name_of(object) == version.name;
                       });
}

} // namespace

absl::StatusOr<ticket_order>
check_ticket_order(const ticket& candidate,
                   const std::optional<std::string>& recorded_hash,
                   const std::vector<object_version>& current_versions)
{
    if (recorded_hash)
    {
        if (*recorded_hash == content_hash(candidate))
        {
            return ticket_order::already_committed;
        }
        return base::make_error(
            base::error_kind::ticket_conflict,
            fmt::format("ticket {} is committed with other content",
                        candidate.number));
    }
    for (const object_version& each : current_versions)
    {
        if (each.ticket_number < candidate.number || !writes(candidate, each))
        {
            continue;
        }
        const bool same = each.ticket_number == candidate.number;
        return base::make_error(
            same ? base::error_kind::ticket_conflict
                 : base::error_kind::ticket_superseded,
            fmt::format("{} \"{}\" was written by ticket {}", each.kind,
                        each.name, each.ticket_number));
    }
    return ticket_order::commit;
}

} // namespace coltsfootrack::config
