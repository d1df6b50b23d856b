// The commit stream of a simulated daemon.

#include <coordination/model_cluster.hpp>
#include <coordination/model_stream.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace coltsfootrack::coordination
{

using std::chrono::seconds;

model_stream::model_stream(model_cluster& cluster, model_daemon& owner,
                           std::function<void()> committed)
    : cluster_(cluster)
    , owner_(owner)
    , committed_(std::move(committed))
{
}

void model_stream::start(std::uint64_t version)
{
    if (!session_version_)
    {
        session_version_ = version;
    }
}

void model_stream::push(model_mutation mutation)
{
    mutations_.push_back(std::move(mutation));
}

void model_stream::run()
{
    const base::time_point now = owner_.now();
    if (!session_version_)
    {
        return;
    }
    if (!open_.empty())
    {
        if (now - open_.back().sent > seconds(1))
        {
            lease.outcome_unknown(open_.back().attempt);
            if (now - last_resolve_ > seconds(1))
            {
                last_resolve_ = now;
                resolve();
            }
        }
    }
    else if (!mutations_.empty())
    {
        const model_mutation next = mutations_.front();
        mutations_.pop_front();
        send_commit(next);
    }
    else if (now - last_commit_ >= seconds(2))
    {
        send_commit(std::nullopt);
    }
}

void model_stream::send_commit(std::optional<model_mutation> mutation)
{
    const base::time_point now = owner_.now();
    last_commit_ = now;
    const std::string token =
        owner_.incarnation + "/" + std::to_string(++counter_);
    open_.push_back({token, lease.commit_started(now), mutation, now});
    const session_row row{owner_.incarnation, owner_.zone_id, "",
                          counter_,           token,          false};
    auto result = std::make_shared<commit_result>();
    cluster_.call_store(
        owner_,
        [result, row, mutation, id = owner_.id,
         condition = *session_version_](model_table& table)
        {
            result->session_holds = table.session_version(id) == condition;
            if (result->session_holds && (!mutation || mutation->holds(table)))
            {
                result->version = ++table.sequence;
                table.sessions[id] = {result->version, row};
                if (mutation)
                {
                    mutation->write(table);
                }
            }
        },
        [this, token, result] { answered(token, *result); });
}

void model_stream::answered(const std::string& token, commit_result result)
{
    const auto found = std::find_if(open_.begin(), open_.end(),
                                    [&token](const open_commit& commit)
                                    { return commit.token == token; });
    if (found == open_.end())
    {
        return;
    }
    if (result.version != 0)
    {
        succeed(token, result.version);
    }
    else if (result.session_holds)
    {
        const open_commit commit = *found;
        open_.erase(found);
        reject(commit);
    }
    else
    {
        // The session was fenced, or an earlier open commit took effect.
        resolve();
    }
}

void model_stream::resolve()
{
    auto row = std::make_shared<observed_session>();
    cluster_.call_store(
        owner_,
        [row, id = owner_.id](model_table& table)
        { *row = table.sessions[id]; },
        [this, row] { resolved(*row); });
}

void model_stream::resolved(const observed_session& row)
{
    for (const open_commit& commit : open_)
    {
        if (row.row.token == commit.token && !row.row.fenced)
        {
            succeed(std::string(commit.token), row.version);
            return;
        }
    }
    if (open_.empty() || row.version < *session_version_)
    {
        return;
    }
    if (row.version > *session_version_)
    {
        lease.fenced();
        owner_.zone.session_fenced(owner_.now());
        cluster_.process_fenced(owner_);
    }
    else if (owner_.now() - open_.back().sent > seconds(1))
    {
        // A commit under the same session version settles the open ones: only
        // one of them can take effect.
        send_commit(std::nullopt);
    }
}

void model_stream::succeed(const std::string& token, std::uint64_t version)
{
    const std::vector<open_commit> commits = std::move(open_);
    open_.clear();
    session_version_ = version;
    committed_();
    for (const open_commit& commit : commits)
    {
        if (commit.token != token)
        {
            reject(commit);
            continue;
        }
        lease.commit_succeeded(commit.attempt);
        if (commit.mutation)
        {
            commit.mutation->applied(version);
        }
    }
}

void model_stream::reject(const open_commit& commit)
{
    lease.commit_rejected(commit.attempt);
    if (commit.mutation)
    {
        commit.mutation->rejected();
    }
}

} // namespace coltsfootrack::coordination
