// Stored format of an accepted job: JSON, without fields that have their
// default value, since most steps use few of them.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/jobs/job_submission.hpp>

#include <nlohmann/json.hpp>

namespace coltsfootrack::jobs
{
namespace
{

using nlohmann::json;

template <class Value>
void put(json& object, const char* name, const Value& value)
{
    if (value != Value())
    {
        object[name] = value;
    }
}

std::int64_t epoch_ms(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               time.time_since_epoch())
        .count();
}

std::chrono::system_clock::time_point time_of(std::int64_t ms)
{
    return std::chrono::system_clock::time_point(std::chrono::milliseconds(ms));
}

json to_json(const step_spec& step)
{
    json out = {{"tasks", step.tasks}};
    put(out, "cpu_milli", step.need.cpu_milli);
    put(out, "memory_mb", step.need.memory_mb);
    put(out, "accelerators", step.need.accelerators);
    put(out, "estimate_ms", static_cast<std::int64_t>(step.estimate.count()));
    put(out, "after", step.after);
    put(out, "checkpoints", step.checkpoints);
    put(out, "gang", step.gang);
    put(out, "same_rack", step.same_rack);
    put(out, "required_label", step.required_label);
    put(out, "data_rack", step.data_rack);
    put(out, "max_per_worker", step.max_per_worker);
    put(out, "copies_allowed", step.copies_allowed);
    put(out, "standing", step.standing);
    put(out, "image", step.image);
    put(out, "latency_target_ms",
        static_cast<std::int64_t>(step.latency_target.count()));
    put(out, "uses_leftover", step.uses_leftover);
    if (step.has_disruption_budget)
    {
        out["disruption_budget"] = step.disruption_budget;
    }
    return out;
}

step_spec step_of(const json& in)
{
    step_spec step;
    step.tasks = in.at("tasks").get<int>();
    step.need = {in.value("cpu_milli", std::int64_t{0}),
                 in.value("memory_mb", std::int64_t{0}),
                 in.value("accelerators", std::int64_t{0})};
    step.estimate =
        std::chrono::milliseconds(in.value("estimate_ms", std::int64_t{0}));
    step.after = in.value("after", std::vector<int>());
    step.checkpoints = in.value("checkpoints", false);
    step.gang = in.value("gang", false);
    step.same_rack = in.value("same_rack", false);
    step.required_label = in.value("required_label", std::string());
    step.data_rack = in.value("data_rack", std::string());
    step.max_per_worker = in.value("max_per_worker", 0);
    step.copies_allowed = in.value("copies_allowed", false);
    step.standing = in.value("standing", false);
    step.image = in.value("image", std::string());
    step.latency_target = std::chrono::milliseconds(
        in.value("latency_target_ms", std::int64_t{0}));
    step.uses_leftover = in.value("uses_leftover", false);
    step.has_disruption_budget = in.contains("disruption_budget");
    step.disruption_budget = in.value("disruption_budget", 0);
    return step;
}

} // namespace

std::string encode(const job_submission& value)
{
    json out = {{"queue", value.queue},
                {"submitted_ms", epoch_ms(value.submitted)},
                {"payload", value.spec.payload}};
    put(out, "team", value.team.text());
    put(out, "leader_epoch", value.leader_epoch);
    put(out, "service", value.service.text());
    json& steps = out["steps"] = json::array();
    for (const step_spec& step : value.spec.steps)
    {
        steps.push_back(to_json(step));
    }
    if (value.spec.has_schedule())
    {
        out["repeats"] = value.spec.repeats;
        out["first_due_ms"] = epoch_ms(value.spec.first_due);
        out["interval_ms"] = value.spec.interval.count();
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<job_submission> decode_submission(std::string_view text)
{
    try
    {
        const json in = json::parse(text);
        job_submission value;
        value.queue = in.at("queue").get<std::string>();
        value.team = base::team_id(in.value("team", std::string()));
        value.submitted = time_of(in.at("submitted_ms").get<std::int64_t>());
        value.leader_epoch = in.value("leader_epoch", std::uint64_t{0});
        value.service = base::service_id(in.value("service", std::string()));
        value.spec.payload = in.at("payload").get<std::string>();
        for (const json& step : in.at("steps"))
        {
            value.spec.steps.push_back(step_of(step));
        }
        value.spec.repeats = in.value("repeats", 0);
        value.spec.first_due =
            time_of(in.value("first_due_ms", std::int64_t{0}));
        value.spec.interval =
            std::chrono::milliseconds(in.value("interval_ms", std::int64_t{0}));
        const absl::Status status = check_stored(value.spec);
        if (!status.ok())
        {
            return status;
        }
        return value;
    }
    catch (const json::exception& error)
    {
        return base::make_error(base::error_kind::internal,
                                std::string("job row: ") + error.what());
    }
}

} // namespace coltsfootrack::jobs
