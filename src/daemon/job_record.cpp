// The JSON form of job rows.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/daemon/job_record.hpp>
#include <coltsfootrack/daemon/resources_json.hpp>

#include <array>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr std::array<std::pair<placement::job_kind, std::string_view>, 3>
    kinds = {{{placement::job_kind::service, "service"},
              {placement::job_kind::batch, "batch"},
              {placement::job_kind::gang, "gang"}}};

std::string kind_name(placement::job_kind kind)
{
    for (const auto& [value, name] : kinds)
    {
        if (value == kind)
        {
            return std::string(name);
        }
    }
    return "batch";
}

placement::job_kind kind_named(const std::string& name)
{
    for (const auto& [value, known] : kinds)
    {
        if (known == name)
        {
            return value;
        }
    }
    return placement::job_kind::batch;
}

// Encodes indexes as pairs of first and last, since tasks finish roughly in
// order and a job may have 10,000 of them.
nlohmann::json write_ranges(const std::set<std::uint32_t>& indexes)
{
    auto ranges = nlohmann::json::array();
    for (const std::uint32_t index : indexes)
    {
        if (!ranges.empty() &&
            ranges.back()[1].get<std::uint32_t>() + 1 == index)
        {
            ranges.back()[1] = index;
        }
        else
        {
            ranges.push_back({index, index});
        }
    }
    return ranges;
}

std::set<std::uint32_t> read_ranges(const nlohmann::json& ranges)
{
    std::set<std::uint32_t> indexes;
    for (const nlohmann::json& range : ranges)
    {
        const auto last = range.at(1).get<std::uint32_t>();
        for (auto index = range.at(0).get<std::uint32_t>(); index <= last;
             ++index)
        {
            indexes.insert(indexes.end(), index);
        }
    }
    return indexes;
}

std::int64_t to_ms(base::duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

nlohmann::json to_json(const job_record& record)
{
    return {{"team", record.spec.team.text()},
            {"workload", record.spec.workload.text()},
            {"kind", kind_name(record.spec.kind)},
            {"urgent", record.spec.urgent},
            {"exclusive", record.spec.exclusive},
            {"resources", to_json(record.spec.task_size)},
            {"tasks", record.spec.task_count},
            {"run_ms", to_ms(record.spec.run_time)},
            {"state", record.state},
            {"detail", record.detail},
            {"cancelled", record.cancelled},
            {"finished", write_ranges(record.finished)}};
}

absl::StatusOr<job_record> job_record_from_json(const std::string& id,
                                                const nlohmann::json& value)
{
    try
    {
        job_record record;
        placement::job_spec& spec = record.spec;
        spec.id = base::job_id(id);
        spec.team = base::team_id(value.at("team").get<std::string>());
        spec.workload =
            base::workload_id(value.at("workload").get<std::string>());
        spec.kind = kind_named(value.at("kind").get<std::string>());
        spec.urgent = value.at("urgent").get<bool>();
        spec.exclusive = value.at("exclusive").get<bool>();
        spec.task_size = resources_from_json(value.at("resources"));
        spec.task_count = value.at("tasks").get<std::uint32_t>();
        spec.run_time =
            std::chrono::milliseconds(value.at("run_ms").get<std::int64_t>());
        spec.rack_spread = spec.kind == placement::job_kind::service;
        record.state = value.at("state").get<std::string>();
        record.detail = value.value("detail", std::string());
        record.cancelled = value.at("cancelled").get<bool>();
        record.finished = read_ranges(value.at("finished"));
        return record;
    }
    catch (const nlohmann::json::exception& error)
    {
        return base::make_error(base::error_kind::internal,
                                "malformed job row " + id + ": " +
                                    error.what());
    }
}

} // namespace coltsfootrack::daemon
