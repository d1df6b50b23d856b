// Generators of valid tickets.

#include "generators.hpp"

#include <map>
#include <utility>

namespace coltsfootrack::config
{
namespace
{

std::string short_name(const char* prefix)
{
    return prefix + std::to_string(*rc::gen::inRange(0, 4));
}

std::string optional_queue()
{
    return *rc::gen::arbitrary<bool>() ? short_name("q") : std::string();
}

std::string hex(std::size_t digits)
{
    const std::string all = "0123456789abcdef";
    return *rc::gen::container<std::string>(digits, rc::gen::elementOf(all));
}

base::resources amounts(std::int64_t lowest)
{
    return {*rc::gen::inRange<std::int64_t>(lowest, 1'000'000'000),
            *rc::gen::inRange<std::int64_t>(lowest, 10'000'000'000),
            *rc::gen::inRange<std::int64_t>(0, 1'000'000)};
}

ticket_object arbitrary_team()
{
    return team{base::team_id(short_name("t")),
                *rc::gen::inRange<std::uint32_t>(1, 1'000'001), amounts(0),
                *rc::gen::arbitrary<bool>()};
}

ticket_object arbitrary_key()
{
    return team_key{
        short_name("k"), base::team_id(short_name("t")), hex(64), hex(32),
        *rc::gen::element(key_state::granted, key_state::withdrawn)};
}

ticket_object arbitrary_workload()
{
    workload result;
    result.name = base::workload_id(short_name("w"));
    result.team = base::team_id(short_name("t"));
    result.open = *rc::gen::arbitrary<bool>();
    result.queue = optional_queue();
    result.kind = *rc::gen::element(workload_kind::service,
                                    workload_kind::batch, workload_kind::gang);
    result.per_task = amounts(1);
    result.tasks = *rc::gen::inRange<std::uint32_t>(1, 10'001);
    result.run_time = std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(
        result.kind == workload_kind::service ? 0 : 1, 2'592'000'001));
    result.exclusive = *rc::gen::arbitrary<bool>();
    result.urgent = *rc::gen::arbitrary<bool>();
    result.deleted = *rc::gen::arbitrary<bool>();
    return result;
}

ticket_object arbitrary_service()
{
    service result;
    result.name = base::service_id(short_name("s"));
    result.open = *rc::gen::arbitrary<bool>();
    if (!result.open)
    {
        const int last = *rc::gen::inRange(0, 4);
        for (int i = 0; i <= last; ++i)
        {
            result.teams.emplace_back("t" + std::to_string(i));
        }
    }
    result.queue = optional_queue();
    result.idempotent = *rc::gen::arbitrary<bool>();
    result.timeout = std::chrono::milliseconds(*rc::gen::inRange(1, 600'001));
    result.body_limit_bytes =
        *rc::gen::inRange<std::uint32_t>(1, 64U * 1024 * 1024 + 1);
    result.deleted = *rc::gen::arbitrary<bool>();
    return result;
}

ticket_object arbitrary_queue()
{
    return queue{short_name("q"), *rc::gen::arbitrary<bool>(),
                 *rc::gen::arbitrary<bool>()};
}

} // namespace

rc::Gen<ticket_object> arbitrary_object()
{
    return rc::gen::exec(
        []
        {
            switch (*rc::gen::inRange(0, 5))
            {
            case 0:
                return arbitrary_team();
            case 1:
                return arbitrary_key();
            case 2:
                return arbitrary_workload();
            case 3:
                return arbitrary_service();
            default:
                return arbitrary_queue();
            }
        });
}

rc::Gen<ticket> arbitrary_ticket()
{
    return rc::gen::exec(
        []
        {
            ticket result;
            result.number = *rc::gen::inRange<std::uint64_t>(1, 30);
            result.author = "operator";
            const int count = *rc::gen::inRange(1, 7);
            std::map<std::pair<std::string, std::string>, ticket_object>
                objects;
            for (int i = 0; i < count; ++i)
            {
                const ticket_object object = *arbitrary_object();
                objects.insert_or_assign(
                    {std::string(kind_name(object)), name_of(object)}, object);
            }
            for (auto& each : objects)
            {
                result.objects.push_back(std::move(each.second));
            }
            return result;
        });
}

} // namespace coltsfootrack::config
