// The daemon of a cell: its threads, its public functions and its writes to the
// store. Peers and the election are in cell_daemon_peers.cpp, the rows of the
// daemons in cell_daemon_members.cpp.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/cell_daemon.hpp>
#include <coltsfootrack/cell/retry_after.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "cell";

// The most events from callers that may be queued for the control thread.
constexpr std::size_t max_events = 4096;

// The most connections of peers: two for each daemon of a cell of 500, since a
// peer may connect again before its old connection is known to be lost.
constexpr std::size_t max_peer_connections = 1000;

// How often the traffic of the VM's link is logged.
constexpr std::chrono::seconds traffic_period{10};

// The leader sends the queue counts with its status; older ones are not
// reported.
constexpr std::chrono::seconds max_count_age{4};

} // namespace

cell_daemon::cell_daemon(const cell_options& options, ports cell_ports,
                         const base::clock& clock)
    : options_(options)
    , ports_(std::move(cell_ports))
    , clock_(clock)
    , layout_(options.job_parts)
    , loop_(clock, max_events)
    , relay_(ports_.workers, options.zone, clock, metrics_,
             [this](const base::daemon_id& peer, const wire::worker_call& call)
             { return peers_.send(peer, call); })
    , leader_ports_(ports_)
    , election_(options.daemon, options.incarnation, options.processor_milli,
                election_options())
    , dispatcher_(options.daemon, options.long_ticket_request)
    , committers_(options.job_parts,
                  row_committer(options.has_thin_link()
                                    ? options.thin_link_group_delay
                                    : options.group_delay))
    , early_cancels_(options.early_cancels)
    , catalogue_catch_up_(options.catalogue_requests)
    , catalogue_duty_(options.daemon, options.processor_milli,
                      options.catalogue_followers)
{
    leader_ports_.workers = relay_.port();
    relay_.set_start_filter(
        [this](const base::worker_id& worker, const jobs::task_key& task,
               std::uint64_t run) {
            return leadership_ && leadership_->awaits_start(worker, task, run);
        });
    loop_.observe_delays(
        [this](bool timer, base::duration delay)
        {
            metrics_.observe_delay(
                timer, std::chrono::duration<double>(delay).count());
        });
}

cell_daemon::~cell_daemon()
{
    links_.reset();
    loop_.stop();
    if (control_.joinable())
    {
        control_.join();
    }
}

absl::Status cell_daemon::start()
{
    wire::peer_links_options links;
    links.self = {options_.daemon, options_.incarnation, options_.zone, true};
    links.listen_address = options_.address;
    links.listen_port = options_.peer_port;
    // A peer counts as disconnected after six missed statuses.
    links.idle_timeout = 6 * options_.status_period;
    links.connect_timeout = std::chrono::milliseconds(600);
    links.max_incoming = max_peer_connections;
    links.compress = options_.has_thin_link();
    links.max_backoff = std::chrono::milliseconds(800);
    auto started =
        wire::peer_links::start(links, clock_, base::system_random(), events());
    if (!started.ok())
    {
        return started.status();
    }
    links_ = *std::move(started);
    begin(make_peer_port(*links_));
    control_ = std::thread([this] { loop_.run(); });
    return absl::OkStatus();
}

wire::peer_events cell_daemon::events()
{
    wire::peer_events events;
    events.on_message =
        [this](const base::daemon_id& peer, const wire::message& value)
    {
        loop_.post([this, peer, value] { on_message(peer, value); });
    };
    events.on_up = [this](const wire::hello& peer)
    {
        loop_.post(
            [this, peer]
            {
                base::log(base::log_level::info, log_part,
                          "Peer connected. peer={}", peer.daemon.text());
                election_.on_link(peer.daemon, true, clock_.now());
                dispatcher_.on_link(peer.daemon, true);
                relay_.on_link(peer.daemon, peer.zone);
                send_status();
            });
    };
    events.on_down = [this](const base::daemon_id& peer)
    {
        loop_.post(
            [this, peer]
            {
                base::log(base::log_level::info, log_part,
                          "Peer disconnected. peer={}", peer.text());
                election_.on_link(peer, false, clock_.now());
                dispatcher_.on_link(peer, false);
                relay_.on_link_lost(peer);
                catalogue_catch_up_.on_link_lost(peer);
                catalogue_duty_.on_link_lost(peer);
            });
    };
    return events;
}

void cell_daemon::begin(peer_port peers)
{
    peers_ = std::move(peers);
    loop_.post(
        [this]
        {
            register_member();
            follow_cell();
            follow_catalogue();
        });
    loop_.every(options_.status_period, [this] { send_periodic_status(); });
    loop_.every(traffic_period, [this] { log_traffic(); });
    loop_.every(options_.member_check_period,
                [this] { remove_absent_member(); });
    loop_.every(options_.round_period,
                [this]
                {
                    elect();
                    detect_unresponsive_store();
                    detect_isolation();
                    commit();
                    if (relay_.has_pending_calls())
                    {
                        // Runs after the answers that are queued already.
                        loop_.post([this] { relay_.expire(); });
                    }
                });
}

std::shared_ptr<const fleet::catalogue> cell_daemon::catalogue() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return shared_.catalogue;
}

bool cell_daemon::ready() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return shared_.catalogue != nullptr && !shared_.stopping;
}

std::optional<int> cell_daemon::waiting(const std::string& queue) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!shared_.waiting_known ||
        clock_.now() - shared_.waiting_at > max_count_age)
    {
        return std::nullopt;
    }
    const auto found = shared_.waiting.find(queue);
    return found == shared_.waiting.end() ? 0 : found->second;
}

std::chrono::seconds cell_daemon::retry_after() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return cell::retry_after(shared_.store_down_since
                                 ? clock_.now() - *shared_.store_down_since
                                 : base::duration(0));
}

void cell_daemon::hand_over()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        shared_.stopping = true;
    }
    loop_.post(
        [this]
        {
            if (!leadership_)
            {
                resign();
                return;
            }
            loop_.after(options_.hand_over_timeout, [this] { resign(); });
            leadership_->prepare_hand_over([this] { resign(); });
        });
}

// Tells the peers that this daemon is being stopped; the next leader takes over
// at once.
void cell_daemon::resign()
{
    if (!election_.stopping())
    {
        election_.stop();
        send_status();
    }
}

void cell_daemon::submit(const base::job_id& id,
                         const jobs::job_submission& job,
                         const cancel_right& right, status_callback done)
{
    auto event = [this, id, job, right, done]
    {
        jobs::job_submission stored = job;
        const auto& leader = election_.row();
        stored.leader_epoch = leader ? leader->epoch : 0;
        const auto known = catalogue();
        const fleet::queue_policy* queue =
            known ? known->queue(stored.queue) : nullptr;
        stored.service = queue != nullptr ? queue->service : base::service_id();
        const std::string row = jobs::encode(stored);
        if (row.size() > options_.max_row_bytes)
        {
            done(base::make_error(base::error_kind::invalid_request,
                                  "the job takes " +
                                      std::to_string(row.size()) +
                                      " bytes in the store; the most is " +
                                      std::to_string(options_.max_row_bytes)));
            return;
        }
        store_job(id, row, right, false, done);
    };
    if (!loop_.try_post(std::move(event)))
    {
        done(base::make_error(base::error_kind::overloaded,
                              "the event queue of this daemon is full"));
    }
}

void cell_daemon::cancel(const base::job_id& id, const cancel_right& right,
                         status_callback done)
{
    if (!loop_.try_post(
            [this, id, right, done] {
                store_cancel({id, right, false, {}, done});
            }))
    {
        done(base::make_error(base::error_kind::overloaded,
                              "the event queue of this daemon is full"));
    }
}

void cell_daemon::commit()
{
    const base::time_point now = clock_.now();
    for (std::size_t part = 0; part < committers_.size(); ++part)
    {
        const auto group = committers_[part].next(now);
        if (!group)
        {
            continue;
        }
        ports_.store.transact(
            *group,
            [this, part, now](transaction_result result)
            {
                loop_.post(
                    [this, part, now, result = std::move(result)]
                    {
                        const bool answered =
                            result.status == transaction_status::committed ||
                            result.status == transaction_status::conflict ||
                            result.status == transaction_status::rejected;
                        metrics_.observe_store_time(
                            std::chrono::duration<double>(clock_.now() - now)
                                .count());
                        record_store_result(
                            answered,
                            std::chrono::duration_cast<
                                std::chrono::milliseconds>(clock_.now() - now));
                        if (!answered)
                        {
                            metrics_.count_retry(
                                base::error_kind::store_unavailable);
                        }
                        committers_[part].on_result(result, clock_.now());
                        commit();
                    });
            });
    }
}

void cell_daemon::record_store_result(bool answered,
                                      std::chrono::milliseconds delay)
{
    if (answered)
    {
        election_.on_store_answer(delay, clock_.now());
        store_answered_at_ = clock_.now();
    }
    if (answered != store_up_)
    {
        store_up_ = answered;
        store_up_since_ = clock_.now();
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            shared_.store_down_since =
                answered ? std::nullopt
                         : std::optional<base::time_point>(clock_.now());
        }
        base::log(base::log_level::info, log_part, "{}",
                  answered ? "Store answers." : "Store does not answer.");
    }
}

// Detects a store that accepts calls and answers none. Otherwise each
// submission would be sent, with an unknown outcome, until the call in flight
// times out seconds later.
void cell_daemon::detect_unresponsive_store()
{
    const base::time_point now = clock_.now();
    for (const row_committer& committer : committers_)
    {
        const auto sent = committer.in_flight_since();
        if (store_up_ && sent &&
            now - *sent > options_.store_unresponsive_after &&
            store_answered_at_ < *sent)
        {
            record_store_result(false, election_.store_delay());
            return;
        }
    }
}

void cell_daemon::log_traffic()
{
    std::map<std::string, byte_counts> totals =
        ports_.traffic ? ports_.traffic()
                       : std::map<std::string, byte_counts>();
    const wire::peer_traffic peers = peers_.traffic();
    for (std::size_t i = 0; i < wire::message_type_count; ++i)
    {
        const auto name = wire::name_of(static_cast<wire::message_type>(i));
        totals["peer_" + std::string(name)] = {peers.sent[i].bytes,
                                               peers.received[i].bytes};
    }
    totals["peer_incomplete"] = {0, peers.received_incomplete};
    for (const auto& [purpose, counts] : totals)
    {
        metrics_.set_value("bytes_sent_" + purpose,
                           static_cast<double>(counts.sent));
        metrics_.set_value("bytes_received_" + purpose,
                           static_cast<double>(counts.received));
    }
    const std::string fields = traffic_log_.next_fields(totals);
    if (!fields.empty())
    {
        base::log(base::log_level::info, log_part,
                  "Bytes over the link. seconds={} {}", traffic_period.count(),
                  fields);
    }
}

} // namespace coltsfootrack::cell
