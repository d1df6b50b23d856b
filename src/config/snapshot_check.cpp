// Validation of a ticket against the current configuration.

#include "error_list.hpp"

#include <coltsfootrack/config/snapshot.hpp>

#include <fmt/format.h>

namespace coltsfootrack::config
{
namespace
{

// Checks the references of one object of the ticket against the configuration
// as it would be after the ticket.
class reference_check
{
public:
    reference_check(const snapshot& after, std::string path, error_list& errors)
        : after_(&after)
        , path_(std::move(path))
        , errors_(&errors)
    {
    }

    void operator()(const team& value) const
    {
        if (!value.deleted)
        {
            return;
        }
        for (const workload* each : after_->workloads())
        {
            if (each->team == value.name)
            {
                report_reference("workload", each->name.text());
            }
        }
        for (const service* each : after_->services())
        {
            if (!each->open && each->accepts(value.name))
            {
                report_reference("service", each->name.text());
            }
        }
    }

    void operator()(const team_key& value) const
    {
        if (value.state == key_state::granted)
        {
            require_team("team", value.team);
        }
    }

    void operator()(const workload& value) const
    {
        if (!value.deleted)
        {
            require_team("team", value.team);
            require_queue(value.queue);
        }
    }

    void operator()(const service& value) const
    {
        if (value.deleted)
        {
            return;
        }
        for (const base::team_id& each : value.teams)
        {
            require_team("teams", each);
        }
        require_queue(value.queue);
    }

    // A queue may be deleted while others refer to it; it then counts as
    // closed.
    void operator()(const queue& /*value*/) const
    {
    }

private:
    void report_reference(std::string_view kind, const std::string& name) const
    {
        errors_->add(
            path_ + ".deleted",
            fmt::format("the team is still named by {} \"{}\"", kind, name));
    }

    void require_team(std::string_view field, const base::team_id& name) const
    {
        if (after_->find_team(name) == nullptr)
        {
            errors_->add(fmt::format("{}.{}", path_, field),
                         fmt::format("there is no team \"{}\"", name.text()));
        }
    }

    void require_queue(const std::string& name) const
    {
        if (!name.empty() && after_->find_queue(name) == nullptr)
        {
            errors_->add(path_ + ".queue",
                         fmt::format("there is no queue \"{}\"", name));
        }
    }

    const snapshot* after_;
    std::string path_;
    error_list* errors_;
};

} // namespace

absl::Status snapshot::check_ticket(const ticket& change) const
{
    const snapshot after(sequence_, objects_after(change));
    error_list errors;
    if (after.objects_.size() > max_objects)
    {
        errors.add("objects",
                   fmt::format("the configuration would hold {} objects; at "
                               "most {} are accepted",
                               after.objects_.size(), max_objects));
    }
    for (const ticket_object& object : change.objects)
    {
        std::visit(reference_check(after,
                                   fmt::format("{} \"{}\"", kind_name(object),
                                               name_of(object)),
                                   errors),
                   object);
    }
    return errors.to_status(base::error_kind::invalid_ticket);
}

} // namespace coltsfootrack::config
