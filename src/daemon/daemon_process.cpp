// Assembly, start, shutdown and peer messages of the daemon. The endpoints are
// in daemon_endpoints.cpp.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/daemon/daemon_process.hpp>

#include <future>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr auto part = "daemon";
constexpr std::size_t event_capacity = 65536;
constexpr std::size_t call_threads = 8;
constexpr std::chrono::seconds heartbeat_interval{2};
// Only status uses it. At 100 teams a report to five owners is about 30 KB.
constexpr std::chrono::seconds usage_interval{60};
// Finds jobs whose notice was lost because the daemon that wrote them crashed.
// The rows of 400 jobs are 140 KB, so a shorter interval would use much of the
// control traffic.
constexpr std::chrono::seconds job_refresh_interval{300};
constexpr std::chrono::seconds notice_retry_interval{1};
constexpr int max_notice_attempts = 10;
constexpr std::chrono::milliseconds scheduler_interval{50};
constexpr std::chrono::seconds responsive_period{8};
// How long a shutdown waits: for the load balancer to notice the failed health
// check, for requests in flight, and for the release of the zone.
constexpr std::chrono::seconds balancer_wait{3};
constexpr std::chrono::seconds request_wait{60};
constexpr std::chrono::seconds release_wait{5};

} // namespace

daemon_process::daemon_process(config::daemon_settings settings)
    : settings_(std::move(settings))
    , loop_(clock_, event_capacity)
    , store_(settings_, clock_, loop_,
             {[this](base::time_point start)
              {
                  ownership_.on_renewal(start);
                  config_.on_renewal();
              },
              [this]
              {
                  ownership_.on_fenced();
                  config_.on_fenced();
              }})
    , calls_(clock_, loop_, call_threads)
    , context_{settings_, clock_,   base::system_random(),
               loop_,     metrics_, published_,
               store_,    calls_}
    , ownership_(context_, {[this](std::uint64_t epoch) { on_gained(epoch); },
                            [this]
                            {
                                if (scheduler_)
                                {
                                    std::exchange(scheduler_, nullptr)->stop();
                                }
                            },
                            [this]
                            {
                                poller_.poll_now();
                            }})
    , config_(context_, {[this]
                         {
                             if (scheduler_)
                             {
                                 scheduler_->on_config_changed();
                             }
                         },
                         [this]
                         {
                             poller_.poll_now();
                         }})
    , poller_(
          context_, [this](const table_view& view) { on_view(view); },
          [this](const store::vm_list& list) { on_vm_list(list); })
    , requests_(settings_, clock_, metrics_, published_, store_)
    , jobs_(settings_, clock_, metrics_, published_, store_,
            [this](const base::zone_id& zone, const base::job_id& job)
            { notify_owner(zone, job); })
    , forward_client_(http::client_options())
{
    for (const config::peer_settings& peer : settings_.peers)
    {
        peer_zones_[peer.id] = peer.zone;
    }
}

daemon_process::~daemon_process()
{
    server_.reset();
    peers_.reset();
    loop_.stop();
    if (control_thread_.joinable())
    {
        control_thread_.join();
    }
    store_.stop(base::duration(0));
}

absl::Status daemon_process::start()
{
    store_.start();
    wire::peer_links_options options;
    options.self = {settings_.id, 0, settings_.zone};
    options.listen_address = settings_.peer_address.host;
    options.listen_port = settings_.peer_address.port;
    wire::peer_events events;
    events.on_message =
        [this](const base::daemon_id& from, const wire::message& value)
    {
        loop_.post([this, from, value] { on_message(from, value); });
    };
    events.on_up = [this](const wire::hello& peer)
    {
        loop_.post([this, peer] { peer_zones_[peer.daemon] = peer.zone; });
    };
    auto links =
        wire::peer_links::start(options, clock_, base::system_random(), events);
    if (!links.ok())
    {
        return links.status();
    }
    peers_ = *std::move(links);
    context_.peers = peers_.get();
    update_peers();

    loop_.every(heartbeat_interval, [this] { send_heartbeat(); });
    loop_.every(usage_interval, [this] { send_usage(); });
    loop_.every(job_refresh_interval,
                [this]
                {
                    if (scheduler_)
                    {
                        scheduler_->refresh_jobs();
                    }
                });
    loop_.every(scheduler_interval,
                [this]
                {
                    if (scheduler_)
                    {
                        scheduler_->step();
                    }
                });
    ownership_.start();
    config_.start();
    poller_.start();
    control_thread_ = std::thread([this] { loop_.run(); });

    http::server_options server;
    server.address = settings_.http_address.host;
    server.port = settings_.http_address.port;
    server.max_connections = settings_.limits.connections;
    server.max_body_bytes = settings_.limits.body_bytes;
    auto started =
        http::server::start(server, [this](const http::request& message)
                            { return route(message); });
    if (!started.ok())
    {
        return started.status();
    }
    server_ = *std::move(started);
    base::log(base::log_level::info, part,
              "Daemon has started. id={} zone={} http={} peer={}",
              settings_.id.text(), settings_.zone.text(), server_->port(),
              peers_->port());
    return absl::OkStatus();
}

void daemon_process::shut_down()
{
    base::log(base::log_level::info, part, "Shutdown has begun.");
    published_.begin_drain();
    // The zone is released first: its successor needs some time to take over,
    // and requests in flight do not depend on it.
    loop_.post([this] { ownership_.release(); });
    std::this_thread::sleep_for(balancer_wait);
    server_->stop_accepting();
    if (!server_->wait_idle(request_wait))
    {
        base::log(base::log_level::warning, part,
                  "Requests are still in flight. count={}",
                  server_->in_flight());
    }
    const auto end = clock_.now() + release_wait;
    for (;;)
    {
        auto owning = std::make_shared<std::promise<bool>>();
        auto answer = owning->get_future();
        loop_.post([this, owning]
                   { owning->set_value(scheduler_ != nullptr); });
        if (!answer.get() || clock_.now() >= end)
        {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    server_->stop();
    store_.stop(std::chrono::seconds(2));
    loop_.stop();
    control_thread_.join();
    base::log(base::log_level::info, part, "Shutdown is complete.");
}

void daemon_process::on_gained(std::uint64_t epoch)
{
    zone_scheduler::ownership_queries queries;
    queries.acting_until = [this]
    {
        return ownership_.acting_until();
    };
    queries.owner_version = [this]
    {
        return ownership_.owner_version();
    };
    scheduler_ =
        std::make_shared<zone_scheduler>(context_, epoch, std::move(queries));
    scheduler_->start();
    update_own_zone();
}

void daemon_process::on_view(const table_view& view)
{
    for (const auto& [daemon, seen] : view.sessions)
    {
        const auto address = config::parse_address(seen.row.address);
        if (daemon != settings_.id && address.ok() && !seen.row.fenced)
        {
            discovered_peers_[daemon] = {daemon, seen.row.zone, address->host,
                                         address->port};
            peer_zones_[daemon] = seen.row.zone;
        }
    }
    update_peers();
    ownership_.on_view(view);
    config_.on_view(view);
}

void daemon_process::update_peers()
{
    std::map<base::daemon_id, wire::peer_address> all = discovered_peers_;
    for (const config::peer_settings& peer : settings_.peers)
    {
        all.try_emplace(peer.id, wire::peer_address{peer.id, peer.zone,
                                                    peer.peer_address.host,
                                                    peer.peer_address.port});
    }
    std::vector<wire::peer_address> list;
    list.reserve(all.size());
    for (const auto& [daemon, address] : all)
    {
        list.push_back(address);
    }
    const absl::Status status = peers_->set_peers(list);
    if (!status.ok())
    {
        base::log(base::log_level::warning, part,
                  "Peer addresses were refused. error={}",
                  std::string(status.message()));
    }
}

void daemon_process::on_vm_list(const store::vm_list& list)
{
    ownership_.on_vm_list(list);
    config_.on_vm_list(list);
    if (list.vms == listed_vms_)
    {
        return;
    }
    listed_vms_ = list.vms;
    auto directory = std::make_shared<const vm_directory>(list);
    published_.set_directory(directory);
    requests_.set_directory(*directory);
    if (scheduler_)
    {
        scheduler_->on_vm_list();
    }
}

void daemon_process::notify_owner(const base::zone_id& zone,
                                  const base::job_id& job)
{
    loop_.post([this, zone, job] { send_notice(zone, job, 1); });
}

void daemon_process::send_notice(const base::zone_id& zone,
                                 const base::job_id& job, int attempt)
{
    const auto status = published_.zone(zone, clock_.now());
    if (scheduler_ && zone == settings_.zone)
    {
        scheduler_->on_job_notice(job);
        return;
    }
    if (status && status->owner != settings_.id &&
        peers_->send(status->owner, wire::job_notice{zone, job}))
    {
        return;
    }
    // The owner is changing or not connected. It reads the row when it takes
    // over, or at the latest after job_refresh_interval.
    if (attempt < max_notice_attempts)
    {
        loop_.after(notice_retry_interval, [this, zone, job, attempt]
                    { send_notice(zone, job, attempt + 1); });
    }
}

void daemon_process::on_message(const base::daemon_id& from,
                                const wire::message& value)
{
    last_heard_[from] = clock_.now();
    if (const auto* beat = std::get_if<wire::heartbeat>(&value))
    {
        on_heartbeat(from, *beat);
    }
    else if (const auto* request = std::get_if<wire::promise_request>(&value))
    {
        ownership_.on_promise_request(from, *request);
    }
    else if (const auto* promise = std::get_if<wire::promise_answer>(&value))
    {
        ownership_.on_promise_answer(from, *promise);
    }
    else if (const auto* query = std::get_if<wire::freshness_query>(&value))
    {
        config_.on_freshness_query(from, *query);
    }
    else if (const auto* answer = std::get_if<wire::freshness_answer>(&value))
    {
        config_.on_freshness_answer(from, *answer);
    }
    else if (const auto* notice = std::get_if<wire::config_notice>(&value))
    {
        config_.on_sequence_reported(notice->sequence);
    }
    else if (const auto* usage = std::get_if<wire::usage_report>(&value))
    {
        on_usage(*usage);
    }
    else if (const auto* job = std::get_if<wire::job_notice>(&value))
    {
        if (scheduler_ && job->zone == settings_.zone)
        {
            scheduler_->on_job_notice(job->job);
        }
    }
}

void daemon_process::on_heartbeat(const base::daemon_id& from,
                                  const wire::heartbeat& value)
{
    config_.on_sequence_reported(value.config_sequence);
    const auto zone = peer_zones_.find(from);
    if (value.owner_epoch != 0 && zone != peer_zones_.end())
    {
        published_.set_zone(zone->second,
                            {from, value.owner_epoch, value.acting_owner,
                             value.load_permille, clock_.now()});
    }
}

void daemon_process::update_own_zone()
{
    if (scheduler_)
    {
        published_.set_zone(settings_.zone,
                            {settings_.id, ownership_.epoch(),
                             ownership_.acting_until().has_value(),
                             scheduler_->load_permille(), clock_.now()});
    }
}

void daemon_process::send_heartbeat()
{
    update_own_zone();
    wire::heartbeat beat;
    beat.config_sequence = config_.sequence();
    if (const auto age = config_.proof_age())
    {
        beat.proof_age = std::chrono::ceil<std::chrono::milliseconds>(*age);
    }
    beat.membership_version = config_.membership_version();
    if (scheduler_)
    {
        beat.owner_epoch = ownership_.epoch();
        beat.acting_owner = ownership_.acting_until().has_value();
        beat.load_permille = scheduler_->load_permille();
    }
    peers_->broadcast(beat);

    const auto now = clock_.now();
    std::set<base::daemon_id> responsive = {settings_.id};
    for (const auto& [daemon, heard] : last_heard_)
    {
        if (now - heard < responsive_period)
        {
            responsive.insert(daemon);
        }
    }
    config_.set_responsive(std::move(responsive));
    publish_traffic();
    metrics_.set_value(
        "control_busy_seconds",
        std::chrono::duration<double>(loop_.busy_time()).count());
}

void daemon_process::publish_traffic()
{
    std::uint64_t peers = 0;
    const wire::peer_traffic links = peers_->traffic();
    for (std::size_t i = 0; i < wire::message_type_count; ++i)
    {
        peers += links.sent[i].bytes + links.received[i].bytes;
    }
    const http::client_traffic store = store_.traffic();
    const http::client_traffic workers = calls_.traffic();
    const std::uint64_t table = store.sent + store.received;
    const std::uint64_t calls = workers.sent + workers.received;
    metrics_.set_value("peer_bytes", static_cast<double>(peers));
    metrics_.set_value("store_bytes", static_cast<double>(table));
    metrics_.set_value("worker_bytes", static_cast<double>(calls));
    metrics_.set_value("control_bytes",
                       static_cast<double>(peers + table + calls));
}

void daemon_process::send_usage()
{
    if (!scheduler_)
    {
        return;
    }
    metrics_.set_value("running_tasks",
                       static_cast<double>(scheduler_->running_tasks()));
    wire::usage_report report;
    report.zone = settings_.zone;
    report.epoch = ownership_.epoch();
    report.teams = scheduler_->team_usage();
    usage_by_zone_[settings_.zone] = report;
    // Sent to owners only: reports to every daemon would be half of the control
    // traffic at 100 teams and 18 daemons.
    const auto now = clock_.now();
    for (const base::zone_id& zone : published_.directory()->zones())
    {
        const auto owner = published_.zone(zone, now);
        if (owner && owner->owner != settings_.id)
        {
            peers_->send(owner->owner, report);
        }
    }
}

void daemon_process::on_usage(const wire::usage_report& report)
{
    wire::usage_report& known = usage_by_zone_[report.zone];
    if (report.epoch >= known.epoch)
    {
        known = report;
    }
}

} // namespace coltsfootrack::daemon
