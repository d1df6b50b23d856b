// Periodic reads of the table's shared rows and of the VM list.

#include <coltsfootrack/daemon/table_poller.hpp>

#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr std::chrono::seconds poll_interval{2};
// The platform's list itself lags by up to 5 s, and a leaving VM must get no
// new work after a few seconds.
constexpr std::chrono::seconds list_interval{2};
constexpr unsigned polls_per_discovery = 5;

} // namespace

table_poller::table_poller(agent_context& context, view_handler on_view,
                           list_handler on_list)
    : context_(context)
    , on_view_(std::move(on_view))
    , on_list_(std::move(on_list))
{
}

void table_poller::start()
{
    context_.loop.every(poll_interval, [this] { poll_now(); });
    context_.loop.every(list_interval, [this] { poll_list(); });
    poll_now();
    poll_list();
}

std::vector<std::string> table_poller::session_keys() const
{
    std::vector<std::string> keys;
    for (const auto& [daemon, zone] : known_daemons_)
    {
        if (zone == context_.settings.zone || acceptors_.count(daemon) != 0 ||
            daemon == owner_)
        {
            keys.push_back("session/" + daemon.text());
        }
    }
    return keys;
}

void table_poller::poll_now()
{
    if (reading_)
    {
        poll_again_ = true;
        return;
    }
    reading_ = true;
    std::vector<std::string> keys = {"owner/" + context_.settings.zone.text(),
                                     "members/config", "config/head"};
    std::vector<std::string> prefixes;
    const bool discovery = polls_++ % polls_per_discovery == 0;
    if (discovery)
    {
        prefixes.emplace_back("session/");
    }
    else
    {
        const auto sessions = session_keys();
        keys.insert(keys.end(), sessions.begin(), sessions.end());
    }
    auto done = [this, discovery](const absl::StatusOr<store::read_result>& r)
    {
        reading_ = false;
        if (r.ok())
        {
            const table_view view = make_table_view(*r, context_.settings.zone);
            if (discovery)
            {
                known_daemons_.clear();
            }
            for (const auto& [daemon, seen] : view.sessions)
            {
                known_daemons_[daemon] = seen.row.zone;
            }
            acceptors_ = {view.membership.members.begin(),
                          view.membership.members.end()};
            owner_ = view.owner.daemon;
            on_view_(view);
        }
        else
        {
            context_.metrics.count_event("poll_failed");
        }
        if (std::exchange(poll_again_, false))
        {
            poll_now();
        }
    };
    context_.store.read(std::move(keys), std::move(prefixes), done);
}

void table_poller::poll_list()
{
    if (std::exchange(reading_list_, true))
    {
        return;
    }
    context_.store.fetch_vm_list(
        [this](const absl::StatusOr<store::vm_list>& list)
        {
            reading_list_ = false;
            if (list.ok())
            {
                on_list_(*list);
            }
        });
}

} // namespace coltsfootrack::daemon
