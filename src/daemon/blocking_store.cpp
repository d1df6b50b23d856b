// Blocking forms of table operations.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/daemon/blocking_store.hpp>

#include <future>
#include <memory>
#include <utility>

namespace coltsfootrack::daemon
{

absl::StatusOr<store::read_result> read_and_wait(store::table_client& table,
                                                 std::vector<std::string> keys)
{
    using result = absl::StatusOr<store::read_result>;
    auto promise = std::make_shared<std::promise<result>>();
    auto answer = promise->get_future();
    const absl::Status status =
        table.read(std::move(keys), {},
                   [promise](const result& rows) { promise->set_value(rows); });
    if (!status.ok())
    {
        return status;
    }
    return answer.get();
}

store::commit_outcome
commit_and_wait(store::table_client& table, store::mutation change,
                std::function<void(const store::commit_outcome&)> on_late)
{
    using result = store::commit_outcome;
    struct state
    {
        std::promise<result> promise;
        bool done = false;
    };
    auto shared = std::make_shared<state>();
    auto answer = shared->promise.get_future();
    // The callback always runs on the same thread, and is called again when an
    // unknown outcome becomes known.
    const absl::Status status = table.submit(
        std::move(change),
        [shared, on_late = std::move(on_late)](const result& outcome)
        {
            if (!std::exchange(shared->done, true))
            {
                shared->promise.set_value(outcome);
            }
            else if (on_late)
            {
                on_late(outcome);
            }
        });
    if (!status.ok())
    {
        result refused;
        refused.result = result::result::failed;
        refused.reason = base::kind_of(status);
        return refused;
    }
    return answer.get();
}

} // namespace coltsfootrack::daemon
