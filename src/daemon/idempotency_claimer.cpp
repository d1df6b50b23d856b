// Claims on idempotency rows. The transitions are in
// routing::idempotency_state.

#include <coltsfootrack/daemon/blocking_store.hpp>
#include <coltsfootrack/daemon/idempotency_claimer.hpp>
#include <coltsfootrack/routing/idempotency_state.hpp>
#include <coltsfootrack/store/session_row.hpp>

#include <cstdlib>
#include <mutex>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

store::mutation write_row(const std::string& key, store::version version,
                          const routing::idempotency_row& row)
{
    store::mutation change;
    change.require(key, version)
        .put(key, nlohmann::json::parse(routing::to_json(row)));
    return change;
}

http::response replayed(const routing::idempotency_row& row)
{
    http::response answer;
    answer.status = static_cast<int>(row.http_status);
    answer.body = row.body;
    if (!row.content_type.empty())
    {
        answer.headers.add("Content-Type", row.content_type);
    }
    answer.headers.add("X-Replayed", "true");
    return answer;
}

} // namespace

std::uint64_t incarnation_number(const std::string& incarnation)
{
    return std::strtoull(incarnation.substr(0, 16).c_str(), nullptr, 16);
}

// State shared with the callback of a commit whose outcome was unknown.
struct idempotency_claimer::late_commit
{
    std::mutex mutex;
    // The request was refused and sent nothing.
    bool given_up = false;
    // The version of the claimed row, once the commit turned out to have
    // applied; 0 before.
    store::version held = 0;
    routing::idempotency_row row;
};

idempotency_claimer::idempotency_claimer(
    std::shared_ptr<store::table_client> table, const base::clock& clock,
    std::string key, routing::idempotency_claim request)
    : table_(std::move(table))
    , clock_(clock)
    , key_(std::move(key))
    , request_(std::move(request))
    , late_commit_(std::make_shared<late_commit>())
{
}

void idempotency_claimer::acquire(base::time_point deadline)
{
    while (clock_.now() < deadline)
    {
        if (try_once())
        {
            return;
        }
    }
    give_up(base::error_kind::store_unavailable);
}

// Returns false if the claim has to be tried again.
bool idempotency_claimer::try_once()
{
    const auto rows = read_and_wait(*table_, {key_});
    if (!rows.ok())
    {
        give_up(base::kind_of(rows.status()));
        return true;
    }
    std::optional<routing::idempotency_row> known;
    const store::row* row = rows->find(key_);
    const store::version version = row == nullptr ? 0 : row->version;
    if (row != nullptr)
    {
        auto parsed = routing::idempotency_row_from_json(row->value.dump());
        if (!parsed.ok())
        {
            give_up(base::error_kind::internal);
            return true;
        }
        known = *std::move(parsed);
    }
    const auto decision =
        routing::idempotency_state(known).claim(request_, clock_.wall());
    if (const auto* refused = std::get_if<routing::refuse_claim>(&decision))
    {
        give_up(refused->reason);
        if (refused->reason == base::error_kind::request_in_progress)
        {
            end_orphaned_claim(*known, version);
        }
        return true;
    }
    if (const auto* done = std::get_if<routing::replay_outcome>(&decision))
    {
        replay_ = replayed(done->row);
        return true;
    }
    if (std::holds_alternative<routing::claim_held>(decision))
    {
        held_ = true;
        row_ = *known;
        version_ = version;
        return true;
    }
    return write(std::get<routing::write_claim>(decision).row, version);
}

bool idempotency_claimer::write(const routing::idempotency_row& row,
                                store::version version)
{
    {
        const std::lock_guard<std::mutex> lock(late_commit_->mutex);
        late_commit_->row = row;
    }
    const auto late = [shared = late_commit_, table = table_.get(), key = key_,
                       wall = clock_.wall()](const store::commit_outcome& end)
    {
        const std::lock_guard<std::mutex> lock(shared->mutex);
        if (!end.committed())
        {
            return;
        }
        shared->held = end.version;
        const auto next = routing::idempotency_state(shared->row)
                              .release(shared->row.token, wall);
        if (shared->given_up && next.ok())
        {
            table
                ->submit(write_row(key, end.version, *next), [](const auto&) {})
                .IgnoreError();
        }
    };
    const auto outcome =
        commit_and_wait(*table_, write_row(key_, version, row), late);
    if (outcome.committed())
    {
        held_ = true;
        row_ = row;
        version_ = outcome.version;
        return true;
    }
    if (outcome.result == store::commit_outcome::result::failed)
    {
        give_up(outcome.reason);
        return true;
    }
    return false;
}

void idempotency_claimer::give_up(base::error_kind reason)
{
    refusal_ = reason;
    const std::lock_guard<std::mutex> lock(late_commit_->mutex);
    late_commit_->given_up = true;
    if (late_commit_->held == 0)
    {
        return;
    }
    const auto next = routing::idempotency_state(late_commit_->row)
                          .release(late_commit_->row.token, clock_.wall());
    if (next.ok())
    {
        table_
            ->submit(write_row(key_, late_commit_->held, *next),
                     [](const auto&) {})
            .IgnoreError();
    }
}

void idempotency_claimer::end_orphaned_claim(
    const routing::idempotency_row& row, store::version version)
{
    const std::string session_key = "session/" + row.daemon.text();
    const auto rows = read_and_wait(*table_, {session_key});
    if (!rows.ok())
    {
        return;
    }
    const store::row* found = rows->find(session_key);
    if (found != nullptr)
    {
        const auto session = store::session_row::from_json(found->value);
        if (!session.ok() ||
            (!session->fenced &&
             incarnation_number(session->incarnation) == row.incarnation))
        {
            return;
        }
    }
    const auto ended = routing::idempotency_state(row).abandon(
        row.daemon, row.incarnation, clock_.wall());
    if (ended.ok() &&
        commit_and_wait(*table_, write_row(key_, version, *ended)).committed())
    {
        refusal_ = base::error_kind::outcome_unknown;
    }
}

bool idempotency_claimer::record(claim_end how, const http::response& answer)
{
    const routing::idempotency_state state(row_);
    const auto wall = clock_.wall();
    auto next = how == claim_end::released ? state.release(row_.token, wall)
                : how == claim_end::completed
                    ? state.complete(
                          row_.token, static_cast<std::uint32_t>(answer.status),
                          std::string(answer.headers.value("Content-Type")),
                          answer.body, wall)
                    : state.mark_unknown(row_.token, wall);
    return next.ok() &&
           commit_and_wait(*table_, write_row(key_, version_, *next))
               .committed();
}

} // namespace coltsfootrack::daemon
