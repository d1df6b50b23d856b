// The daemon's session in the table; after a fence a new one starts under a new
// incarnation.

#include <coltsfootrack/base/hex_token.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/daemon/store_session.hpp>

#include <thread>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

// The platform counts a commit as one write. The limit on its rows only bounds
// the bytes.
constexpr double rows_per_commit = 20;

store::table_options make_options(const config::daemon_settings& settings,
                                  const std::string& incarnation)
{
    store::table_options options;
    options.platform = config::to_string(settings.platform_address);
    options.session = {settings.id, incarnation, settings.zone,
                       config::to_string(settings.peer_address)};
    options.min_commit_interval =
        std::chrono::milliseconds(1000 / settings.store.writes_per_second);
    options.writes_per_second =
        settings.store.writes_per_second * rows_per_commit;
    options.reads_per_second = settings.store.reads_per_second;
    return options;
}

store::commit_outcome refused(const absl::Status& status)
{
    store::commit_outcome outcome;
    outcome.result = store::commit_outcome::result::failed;
    outcome.reason = base::kind_of(status);
    return outcome;
}

} // namespace

store_session::store_session(const config::daemon_settings& settings,
                             const base::clock& clock, control_loop& loop,
                             events handlers)
    : settings_(settings)
    , clock_(clock)
    , loop_(loop)
    , handlers_(std::move(handlers))
    , random_(base::system_random())
{
}

void store_session::start()
{
    open_session();
}

void store_session::open_session()
{
    const std::string incarnation = base::hex_token(random_);
    store::table_hooks hooks;
    hooks.on_renewal = [this, incarnation](base::time_point start)
    {
        loop_.post(
            [this, incarnation, start]
            {
                if (incarnation == this->incarnation())
                {
                    handlers_.on_renewal(start);
                }
            });
    };
    hooks.on_fenced = [this, incarnation]
    {
        loop_.post(
            [this, incarnation]
            {
                if (incarnation != this->incarnation())
                {
                    return;
                }
                base::log(
                    base::log_level::warning, "store",
                    "Session was fenced; a new one starts. incarnation={}",
                    incarnation);
                open_session();
                handlers_.on_fenced();
            });
    };
    // The former client's threads are joined outside the lock, since their
    // callbacks may take it.
    std::shared_ptr<store::table_client> former;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        incarnation_ = incarnation;
        former = std::move(table_);
        if (former)
        {
            closed_traffic_.sent += former->traffic().sent;
            closed_traffic_.received += former->traffic().received;
        }
        table_ = std::make_shared<store::table_client>(
            make_options(settings_, incarnation), clock_, base::system_random(),
            std::move(hooks));
    }
}

std::string store_session::incarnation() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return incarnation_;
}

std::shared_ptr<store::table_client> store_session::table() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return table_;
}

void store_session::submit(store::mutation change,
                           store::table_client::commit_callback callback)
{
    auto on_loop = [this, callback](const store::commit_outcome& outcome)
    {
        loop_.post([callback, outcome] { callback(outcome); });
    };
    const absl::Status status = table()->submit(std::move(change), on_loop);
    if (!status.ok())
    {
        on_loop(refused(status));
    }
}

void store_session::read(std::vector<std::string> keys,
                         std::vector<std::string> prefixes,
                         store::table_client::read_callback callback)
{
    auto on_loop =
        [this, callback](const absl::StatusOr<store::read_result>& rows)
    {
        loop_.post([callback, rows] { callback(rows); });
    };
    const absl::Status status =
        table()->read(std::move(keys), std::move(prefixes), on_loop);
    if (!status.ok())
    {
        on_loop(status);
    }
}

void store_session::fetch_vm_list(
    store::table_client::vm_list_callback callback)
{
    auto on_loop = [this, callback](const absl::StatusOr<store::vm_list>& list)
    {
        loop_.post([callback, list] { callback(list); });
    };
    const absl::Status status = table()->fetch_vm_list(on_loop);
    if (!status.ok())
    {
        on_loop(status);
    }
}

http::client_traffic store_session::traffic() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    http::client_traffic sum = closed_traffic_;
    if (table_)
    {
        sum.sent += table_->traffic().sent;
        sum.received += table_->traffic().received;
    }
    return sum;
}

void store_session::stop(base::duration limit)
{
    if (const auto client = table())
    {
        client->stop(limit);
    }
}

} // namespace coltsfootrack::daemon
