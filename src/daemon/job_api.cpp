// The job endpoints: validation, choice of the zone, and the table rows.

#include <coltsfootrack/base/hex_token.hpp>
#include <coltsfootrack/daemon/blocking_store.hpp>
#include <coltsfootrack/daemon/job_api.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr std::size_t max_id_length = 100;
constexpr std::uint32_t max_tasks = 10000;
// The own zone gets new jobs first until its load reaches this value; from
// there on the least loaded zone gets them.
constexpr std::uint32_t high_load_permille = 900;

absl::Status invalid(const std::string& detail)
{
    return base::make_error(base::error_kind::invalid_request, detail);
}

bool is_valid_key_part(const std::string& text)
{
    return !text.empty() && text.size() <= max_id_length &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '-' ||
                                  c == '_' || c == '.';
                       });
}

placement::job_kind kind_of(config::workload_kind kind)
{
    switch (kind)
    {
    case config::workload_kind::service:
        return placement::job_kind::service;
    case config::workload_kind::gang:
        return placement::job_kind::gang;
    case config::workload_kind::batch:
        break;
    }
    return placement::job_kind::batch;
}

placement::job_spec make_spec(const config::workload& workload)
{
    placement::job_spec spec;
    spec.team = workload.team;
    spec.workload = workload.name;
    spec.kind = kind_of(workload.kind);
    spec.urgent = workload.urgent;
    spec.exclusive = workload.exclusive;
    spec.task_size = workload.per_task;
    spec.task_count = workload.tasks;
    spec.run_time = workload.run_time;
    return spec;
}

// Applies the fields of a submission to the spec of its workload.
absl::Status read_fields(const nlohmann::json& body, placement::job_spec& spec)
{
    for (const auto& [name, value] : body.items())
    {
        if (name == "workload")
        {
            continue;
        }
        if (name == "id")
        {
            if (!value.is_string() ||
                !is_valid_key_part(value.get<std::string>()))
            {
                return invalid("id: 1 to 100 letters, digits, '-', '_' or '.'");
            }
            spec.id = base::job_id(value.get<std::string>());
        }
        else if (name == "tasks")
        {
            if (!value.is_number_unsigned() || value.get<std::uint64_t>() < 1 ||
                value.get<std::uint64_t>() > max_tasks)
            {
                return invalid("tasks: a number from 1 to 10000");
            }
            spec.task_count = value.get<std::uint32_t>();
        }
        else if (name == "urgent")
        {
            if (!value.is_boolean())
            {
                return invalid("urgent: true or false");
            }
            spec.urgent = value.get<bool>();
        }
        else
        {
            return invalid(name + ": unknown field; known are workload, id, "
                                  "tasks, urgent");
        }
    }
    return absl::OkStatus();
}

nlohmann::json describe(const base::zone_id& zone, const std::string& id,
                        const job_record& record)
{
    nlohmann::json value = to_json(record);
    value["job"] = id;
    value["zone"] = zone.text();
    value["tasks_finished"] = record.finished.size();
    return value;
}

} // namespace

job_api::job_api(const config::daemon_settings& settings,
                 const base::clock& clock, metrics& counters,
                 published_state& published, store_session& store,
                 notify_function notify)
    : settings_(settings)
    , clock_(clock)
    , metrics_(counters)
    , published_(published)
    , store_(store)
    , notify_(std::move(notify))
{
}

http::response job_api::refuse(const absl::Status& error)
{
    metrics_.count_refusal(base::kind_of(error));
    return http::error_response(error);
}

absl::StatusOr<job_record>
job_api::read_submission(const http::request& message)
{
    const auto body = http::parse_object(message.body);
    if (!body.ok())
    {
        return body.status();
    }
    const auto name = body->find("workload");
    if (name == body->end() || !name->is_string())
    {
        return invalid("workload: a name is needed");
    }
    const auto config = published_.config();
    const config::workload* workload =
        config->find_workload(base::workload_id(name->get<std::string>()));
    if (workload == nullptr)
    {
        return base::make_error(base::error_kind::not_found,
                                "workload " + name->get<std::string>());
    }
    if (!config->is_open(*workload))
    {
        const absl::Status team = check_team(workload->team, message);
        if (!team.ok())
        {
            return team;
        }
    }
    job_record record;
    record.spec = make_spec(*workload);
    const absl::Status fields = read_fields(*body, record.spec);
    if (!fields.ok())
    {
        return fields;
    }
    const std::string key(message.headers.value("Idempotency-Key"));
    if (record.spec.id.empty() && !key.empty())
    {
        // A retried submission finds the job of the first one.
        const std::string id = workload->team.text() + "." + key;
        if (!is_valid_key_part(id))
        {
            return invalid("Idempotency-Key: letters, digits, '-', '_' or '.', "
                           "with the team's name at most 99 characters");
        }
        record.spec.id = base::job_id(id);
    }
    if (record.spec.id.empty())
    {
        record.spec.id = base::job_id(base::hex_token(base::system_random()));
    }
    const config::team* team = config->find_team(workload->team);
    const std::uint32_t concurrent_tasks =
        record.spec.kind == placement::job_kind::gang ? record.spec.task_count
                                                      : 1;
    if (team == nullptr ||
        !(record.spec.task_size * concurrent_tasks).fits_in(team->limit))
    {
        return base::make_error(
            base::error_kind::impossible_job,
            "the job needs more than the upper limit of team " +
                workload->team.text());
    }
    return record;
}

absl::Status job_api::check_team(const base::team_id& team,
                                 const http::request& message)
{
    const auto known = published_.authenticate(
        message.headers.value("X-Team-Key"), clock_.now());
    if (!known.ok())
    {
        return known.status();
    }
    if (*known != team)
    {
        return base::make_error(base::error_kind::team_mismatch,
                                "the key is not of team " + team.text());
    }
    return absl::OkStatus();
}

absl::StatusOr<base::zone_id>
job_api::choose_zone(const placement::job_spec& spec)
{
    const auto directory = published_.directory();
    const auto now = clock_.now();
    const std::uint32_t concurrent_tasks =
        spec.kind == placement::job_kind::gang ? spec.task_count : 1;
    bool possible = false;
    std::optional<base::zone_id> best;
    std::uint32_t best_load = 0;
    for (const base::zone_id& zone : directory->zones())
    {
        if (!directory->could_hold(zone, spec.task_size, concurrent_tasks))
        {
            continue;
        }
        possible = true;
        const auto status = published_.zone(zone, now);
        if (!status || !status->acting)
        {
            continue;
        }
        // The own zone is preferred until it is nearly full.
        const std::uint32_t load =
            zone == settings_.zone && status->load_permille < high_load_permille
                ? 0
                : status->load_permille + 1;
        if (!best || load < best_load)
        {
            best = zone;
            best_load = load;
        }
    }
    if (best)
    {
        return *best;
    }
    if (!possible && !directory->zones().empty())
    {
        return base::make_error(base::error_kind::impossible_job,
                                "no zone has workers that could hold " +
                                    std::to_string(concurrent_tasks) + " x " +
                                    base::to_string(spec.task_size));
    }
    return base::make_error(base::error_kind::not_owner,
                            "no zone has an acting owner");
}

http::response job_api::submit(const http::request& message)
{
    auto record = read_submission(message);
    if (!record.ok())
    {
        return refuse(record.status());
    }
    const std::string id = record->spec.id.text();
    const auto zone = choose_zone(record->spec);
    if (!zone.ok())
    {
        return refuse(zone.status());
    }
    store::mutation change;
    // The row job-id/<id> keeps two daemons from adding one id to two zones.
    change.require("job-id/" + id, 0)
        .put("job-id/" + id, {{"zone", zone->text()}})
        .put("job/" + zone->text() + "/" + id, to_json(*record));
    const auto outcome = commit_and_wait(*store_.table(), std::move(change));
    if (outcome.result == store::commit_outcome::result::conflict)
    {
        return answer_repeated(id, *record);
    }
    if (!outcome.committed())
    {
        return refuse(base::make_error(outcome.reason, "job " + id));
    }
    notify_(*zone, record->spec.id);
    metrics_.count_event("job_submitted");
    return http::json_response(202, describe(*zone, id, *record));
}

http::response job_api::answer_repeated(const std::string& id,
                                        const job_record& record)
{
    const auto known = find(id);
    if (!known.ok())
    {
        return refuse(known.status());
    }
    if (known->record.spec != record.spec)
    {
        return refuse(
            base::make_error(base::error_kind::already_exists, "job " + id));
    }
    if (!known->ended)
    {
        // The first submission may have failed before its notice was sent.
        notify_(known->zone, record.spec.id);
    }
    return http::json_response(200, describe(known->zone, id, known->record));
}

absl::StatusOr<job_api::found_job> job_api::find(const std::string& id)
{
    if (!is_valid_key_part(id))
    {
        return invalid("job id");
    }
    const auto table = store_.table();
    const auto index = read_and_wait(*table, {"job-id/" + id});
    if (!index.ok())
    {
        return index.status();
    }
    if (index->rows.empty())
    {
        return base::make_error(base::error_kind::not_found, "job " + id);
    }
    const std::string zone =
        index->rows.front().value.value("zone", std::string());
    const std::string active = "job/" + zone + "/" + id;
    const std::string done = "done/" + zone + "/" + id;
    const auto rows = read_and_wait(*table, {active, done});
    if (!rows.ok())
    {
        return rows.status();
    }
    const store::row* row = rows->find(active);
    const bool ended = row == nullptr;
    if (ended)
    {
        row = rows->find(done);
    }
    if (row == nullptr)
    {
        return base::make_error(base::error_kind::not_found, "job " + id);
    }
    auto record = job_record_from_json(id, row->value);
    if (!record.ok())
    {
        return record.status();
    }
    return found_job{base::zone_id(zone), row->version, *std::move(record),
                     ended};
}

absl::StatusOr<base::zone_id> job_api::zone_of(const std::string& id)
{
    const auto found = find(id);
    if (!found.ok())
    {
        return found.status();
    }
    return found->zone;
}

http::response job_api::status(const std::string& id, const http::request&)
{
    const auto found = find(id);
    if (!found.ok())
    {
        return refuse(found.status());
    }
    return http::json_response(200, describe(found->zone, id, found->record));
}

http::response job_api::cancel(const std::string& id,
                               const http::request& message)
{
    auto found = find(id);
    if (!found.ok())
    {
        return refuse(found.status());
    }
    const auto config = published_.config();
    const config::workload* workload =
        config->find_workload(found->record.spec.workload);
    if (workload == nullptr || !config->is_open(*workload))
    {
        const absl::Status team = check_team(found->record.spec.team, message);
        if (!team.ok())
        {
            return refuse(team);
        }
    }
    if (!found->ended && !found->record.cancelled)
    {
        found->record.cancelled = true;
        const std::string key = "job/" + found->zone.text() + "/" + id;
        store::mutation change;
        change.require(key, found->version).put(key, to_json(found->record));
        const auto outcome =
            commit_and_wait(*store_.table(), std::move(change));
        if (!outcome.committed())
        {
            return refuse(base::make_error(outcome.reason, "job " + id));
        }
        notify_(found->zone, found->record.spec.id);
    }
    return http::json_response(200, describe(found->zone, id, found->record));
}

} // namespace coltsfootrack::daemon
