// The simulation of a cell: its daemons, connections, callers and faults.

#include "cell_simulation.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/leader_row.hpp>

#include <algorithm>
#include <fmt/core.h>
#include <random>
#include <utility>

namespace coltsfootrack::simulation
{
namespace
{

constexpr int max_attempts = 3;
constexpr const char* worker_table = "workers";
// Ends the row of a worker that has announced its departure.
constexpr const char* leaving_mark = " leaving";
// Before it in the row of a worker of the second service.
constexpr const char* second_service_mark = " second";
const base::service_id service("s");
const base::service_id second_service("t");
// All jobs are on one queue, which is open.
const cell::cancel_right callers_right{base::team_id(), "q"};
const std::vector<std::string> zones = {"a", "b", "c"};

// As in the adapter of the platform.
constexpr milliseconds order_timeout{350};
constexpr milliseconds renewal_slack{500};

// The platform's delays: the interval of a worker's reports, and the silence
// after which it is off the list.
constexpr milliseconds report_interval{1500};
constexpr milliseconds listing_timeout{4500};

// When daemons notice that a peer is silent.
constexpr milliseconds peer_timeout{1500};

// The client tries this often, as the platform's clients do.
constexpr int client_tries = 5;

// 60 s without random faults.
simulation_options long_task_scenario(std::uint64_t seed,
                                      milliseconds longest_task,
                                      milliseconds longest_job_interval)
{
    simulation_options made;
    made.seed = seed;
    made.length = std::chrono::seconds(60);
    made.longest_task = longest_task;
    made.longest_job_interval = longest_job_interval;
    made.faults = false;
    return made;
}

} // namespace

simulation_options partition_scenario(std::uint64_t seed)
{
    simulation_options made =
        long_task_scenario(seed, milliseconds(8000), milliseconds(2000));
    made.longest_partition = milliseconds(40000);
    return made;
}

simulation_options lost_vm_scenario(std::uint64_t seed)
{
    simulation_options made =
        long_task_scenario(seed, milliseconds(20000), milliseconds(4000));
    made.lose_vm_before_outage = true;
    return made;
}

simulation_options recut_scenario(std::uint64_t seed)
{
    simulation_options made =
        long_task_scenario(seed, milliseconds(20000), milliseconds(4000));
    // Two steps, each with as many attempts as are allowed.
    made.finish_limit = std::chrono::seconds(150);
    made.cut_after_restart = true;
    made.any_first_clock = true;
    return made;
}

simulation_options any_clock_scenario(std::uint64_t seed)
{
    simulation_options made;
    made.seed = seed;
    made.any_first_clock = true;
    return made;
}

cell_simulation::cell_simulation(const simulation_options& options)
    : options_(options)
    , time_(options.seed)
    , store_(time_)
    , checker_(worker_cpu)
{
    base::set_log_writer(
        [this](base::log_level /*level*/, std::string_view part,
               std::string_view message)
        {
            if (options_.keep_history)
            {
                note(fmt::format("{} {}: {}", running_, part, message));
            }
        });
    // Times of zero mean "never" in places.
    time_.advance_to(base::time_point(std::chrono::seconds(1000)));
    store_.put({"op", "", "config"}, "1");
    for (int i = 0; i < options.workers; ++i)
    {
        add_worker(
            base::zone_id(zones[static_cast<std::size_t>(i) % zones.size()]));
    }
    report_workers();
    nodes_.resize(static_cast<std::size_t>(options.daemons));
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        const std::string& zone = zones[i % zones.size()];
        nodes_[i].zone = base::zone_id(zone);
        nodes_[i].id = base::daemon_id(fmt::format("{}-{}", zone, i));
        start_node(i);
    }
}

cell_simulation::~cell_simulation()
{
    base::set_log_writer({});
}

void cell_simulation::note(const std::string& text)
{
    history_.push_back(
        fmt::format("{:>9.3f} {}",
                    static_cast<double>(time_.now_ms()) / 1000 - 1000, text));
}

// Daemons.

void cell_simulation::start_node(std::size_t index)
{
    node& started = nodes_[index];
    started.incarnation += 1;
    started.alive = std::make_shared<bool>(true);
    started.paused = false;
    started.held.clear();
    cell::cell_options options;
    options.daemon = started.id;
    options.zone = started.zone;
    options.incarnation = 100 * index + started.incarnation;
    options.advertised_address = "10.0.0.1";
    options.advertised_port = static_cast<std::uint16_t>(1000 + index);
    options.processor_milli = 250;
    options.job_parts = 2;
    if (options_.moving_queue)
    {
        options.worker_report_interval = report_interval;
    }
    started.daemon = std::make_unique<cell::cell_daemon>(
        options, make_ports(index), time_.clock());
    started.events = started.daemon->events();
    started.daemon->begin(make_peers(index));
    for (std::size_t other = 0; other < nodes_.size(); ++other)
    {
        if (other != index && nodes_[other].alive)
        {
            const auto delay =
                time_.between(milliseconds(20), milliseconds(200));
            time_.after(delay, [this, index, other] { connect(index, other); });
        }
    }
    if (options_.keep_history)
    {
        note(fmt::format("fault: {} starts", started.id.text()));
    }
}

// A planned stop.
void cell_simulation::hand_over(std::size_t index)
{
    nodes_[index].daemon->hand_over();
    time_.after(milliseconds(1000),
                [this, index, alive = std::weak_ptr<bool>(nodes_[index].alive)]
                {
                    if (!alive.expired())
                    {
                        kill_node(index);
                    }
                });
}

void cell_simulation::kill_node(std::size_t index)
{
    node& killed = nodes_[index];
    if (!killed.alive)
    {
        return;
    }
    if (options_.keep_history)
    {
        note(fmt::format("fault: {} is killed", killed.id.text()));
    }
    killed.alive.reset();
    killed.held.clear();
    killed.daemon.reset();
    for (std::size_t other = 0; other < nodes_.size(); ++other)
    {
        if (other != index)
        {
            disconnect(index, other);
        }
    }
    time_.after(time_.between(milliseconds(300), milliseconds(3000)),
                [this, index]
                {
                    if (!nodes_[index].alive && !nodes_[index].gone)
                    {
                        start_node(index);
                    }
                });
}

void cell_simulation::pause_node(std::size_t index, milliseconds length)
{
    node& paused = nodes_[index];
    if (!paused.alive || paused.paused)
    {
        return;
    }
    paused.paused = true;
    if (options_.keep_history)
    {
        note(fmt::format("fault: {} is paused for {} ms", paused.id.text(),
                         length.count()));
    }
    const std::weak_ptr<bool> alive = paused.alive;
    if (length > peer_timeout)
    {
        time_.after(peer_timeout,
                    [this, index, alive]
                    {
                        for (std::size_t other = 0;
                             !alive.expired() && other < nodes_.size(); ++other)
                        {
                            if (other != index)
                            {
                                disconnect(index, other);
                            }
                        }
                    });
    }
    time_.after(length,
                [this, index, alive]
                {
                    if (!alive.expired())
                    {
                        resume_node(index);
                    }
                });
}

void cell_simulation::resume_node(std::size_t index)
{
    node& resumed = nodes_[index];
    resumed.paused = false;
    for (const auto& action : std::exchange(resumed.held, {}))
    {
        action();
    }
    for (std::size_t other = 0; other < nodes_.size(); ++other)
    {
        if (other != index && nodes_[other].alive && !link_of(index, other).up)
        {
            time_.after(time_.between(milliseconds(20), milliseconds(400)),
                        [this, index, other] { connect(index, other); });
        }
    }
}

// Runs something on a daemon's side: now, or when its pause ends.
void cell_simulation::deliver(std::size_t index, std::function<void()> action)
{
    node& to = nodes_[index];
    if (!to.alive)
    {
        return;
    }
    if (to.paused)
    {
        to.held.push_back(std::move(action));
        return;
    }
    action();
}

std::optional<std::size_t> cell_simulation::leader() const
{
    const auto row = store_.read(cell::row_layout(2).leader());
    const auto decoded = cell::decode_leader_row(row.value, row.version);
    for (std::size_t i = 0; row.exists() && decoded.ok() && i < nodes_.size();
         ++i)
    {
        if (nodes_[i].id == decoded->daemon && nodes_[i].alive)
        {
            return i;
        }
    }
    return std::nullopt;
}

cell::ports cell_simulation::make_ports(std::size_t index)
{
    const std::weak_ptr<bool> alive = nodes_[index].alive;
    cell::ports made;
    made.store = store_.port(nodes_[index].id.text(), alive);
    made.catalogue.table = "op";
    made.catalogue.key = "config";
    made.catalogue.read = [](const std::string& document)
    {
        fleet::catalogue value;
        value.version = std::stoull(document);
        fleet::queue_policy queue;
        queue.name = "q";
        queue.host = "h";
        queue.path_prefix = "/";
        queue.service = value.version % 2 == 1 ? service : second_service;
        queue.max_attempts = max_attempts;
        queue.open = true;
        value.queues["q"] = queue;
        value.services[service].service = service;
        value.services[second_service].service = second_service;
        return absl::StatusOr<fleet::catalogue>(value);
    };
    made.workers.list_table = worker_table;
    made.workers.read_listing =
        [](const std::string& key, const std::string& value)
    {
        fleet::worker_listing listing;
        listing.worker = base::worker_id(key);
        listing.address = "10.0.0.2:1";
        listing.service = value.find(second_service_mark) == std::string::npos
                              ? service
                              : second_service;
        listing.zone = base::zone_id(value.substr(0, value.find(' ')));
        listing.leaving = value.find(leaving_mark) != std::string::npos;
        listing.capacity = {worker_cpu, 100000, 0};
        listing.labels = {"k", "r"};
        return absl::StatusOr<fleet::worker_listing>(listing);
    };
    made.workers.renew = [this, index](const fleet::worker_listing& worker,
                                       const cell::lease_renewal& renewal,
                                       const auto& done)
    {
        cell::renewal_result unsent;
        unsent.outcome = fleet::order_outcome::unhealthy;
        call_worker<cell::renewal_result>(
            index, worker, renewal.send_by, false,
            [renewal](worker_model& to, const auto& answer)
            { to.renew(renewal, answer); },
            done, unsent, cell::renewal_result(), renewal.wait + renewal_slack);
    };
    made.workers.start =
        [this, index](const fleet::worker_listing& worker, std::uint64_t epoch,
                      const fleet::start_order& order, milliseconds lease_end,
                      base::time_point send_by, const auto& done)
    {
        fleet::start_result unsent;
        unsent.outcome = fleet::order_outcome::late;
        call_worker<fleet::start_result>(
            index, worker, send_by, true,
            [epoch, order, lease_end](worker_model& to, const auto& answer)
            { answer(to.start(epoch, order, lease_end)); },
            done, unsent, fleet::start_result(), order_timeout);
    };
    made.workers.stop =
        [this, index](const fleet::worker_listing& worker, std::uint64_t epoch,
                      const fleet::stop_order& order, const auto& done)
    {
        call_worker<fleet::order_outcome>(
            index, worker, base::time_point::max(), true,
            [epoch, order](worker_model& to, const auto& answer)
            { answer(to.stop(epoch, order)); },
            done, fleet::order_outcome::unhealthy,
            fleet::order_outcome::unknown, order_timeout);
    };
    made.workers.pace = [](const fleet::worker_listing& /*worker*/,
                           std::uint64_t /*epoch*/,
                           const fleet::pace_order& /*order*/, const auto& done)
    {
        done(fleet::order_outcome::carried_out);
    };
    return made;
}

// Connections between daemons.

cell_simulation::link& cell_simulation::link_of(std::size_t a, std::size_t b)
{
    return links_[std::minmax(a, b)];
}

void cell_simulation::connect(std::size_t a, std::size_t b)
{
    link& made = link_of(a, b);
    if (made.up || !nodes_[a].alive || !nodes_[b].alive || nodes_[a].paused ||
        nodes_[b].paused || is_cut(nodes_[a].zone, nodes_[b].zone))
    {
        return;
    }
    made.up = true;
    ++made.number;
    for (const auto& [to, from] : {std::pair(a, b), std::pair(b, a)})
    {
        deliver(to,
                [this, to = to, from = from]
                {
                    nodes_[to].events.on_up({nodes_[from].id,
                                             nodes_[from].incarnation,
                                             nodes_[from].zone, true});
                });
    }
}

void cell_simulation::disconnect(std::size_t a, std::size_t b)
{
    link& lost = link_of(a, b);
    if (!lost.up)
    {
        return;
    }
    lost.up = false;
    for (const auto& [to, from] : {std::pair(a, b), std::pair(b, a)})
    {
        deliver(to, [this, to = to, from = from]
                { nodes_[to].events.on_down(nodes_[from].id); });
    }
    time_.after(time_.between(milliseconds(100), milliseconds(900)),
                [this, a, b] { connect(a, b); });
}

bool cell_simulation::send(std::size_t from, std::size_t to,
                           const wire::message& value)
{
    link& used = link_of(from, to);
    if (!used.up)
    {
        return false;
    }
    base::time_point& busy = used.busy[from < to ? 0 : 1];
    busy = std::max(busy, time_.now() +
                              time_.between(milliseconds(1), milliseconds(14)) +
                              used.extra_delay);
    time_.after(
        busy - time_.now(),
        [this, from, to, value, number = used.number]
        {
            const link& current = link_of(from, to);
            if (current.number != number || !current.up ||
                is_cut(nodes_[from].zone, nodes_[to].zone))
            {
                return;
            }
            deliver(to, [this, from, to, value]
                    { nodes_[to].events.on_message(nodes_[from].id, value); });
        });
    return true;
}

cell::peer_port cell_simulation::make_peers(std::size_t index)
{
    cell::peer_port made;
    made.set_peers = [](const std::vector<wire::peer_address>& /*peers*/)
    {
        return absl::OkStatus();
    };
    made.send =
        [this, index](const base::daemon_id& peer, const wire::message& value)
    {
        for (std::size_t to = 0; to < nodes_.size(); ++to)
        {
            if (nodes_[to].id == peer)
            {
                return to != index && send(index, to, value);
            }
        }
        return false;
    };
    made.broadcast = [this, index](const wire::message& value)
    {
        std::size_t count = 0;
        for (std::size_t to = 0; to < nodes_.size(); ++to)
        {
            count += to != index && send(index, to, value) ? 1 : 0;
        }
        return count;
    };
    made.connected = [this, index]
    {
        std::vector<base::daemon_id> found;
        for (std::size_t to = 0; to < nodes_.size(); ++to)
        {
            if (to != index && link_of(index, to).up)
            {
                found.push_back(nodes_[to].id);
            }
        }
        return found;
    };
    made.reached = [this, index](base::duration /*age*/)
    {
        std::vector<base::daemon_id> found;
        for (std::size_t to = 0; to < nodes_.size(); ++to)
        {
            // The VM of a process that was killed answers.
            if (to != index && (link_of(index, to).up ||
                                (!nodes_[to].alive && !nodes_[to].gone &&
                                 !is_cut(nodes_[index].zone, nodes_[to].zone))))
            {
                found.push_back(nodes_[to].id);
            }
        }
        return found;
    };
    made.traffic = []
    {
        return wire::peer_traffic();
    };
    return made;
}

// Workers.

bool cell_simulation::reaches(std::size_t from,
                              const worker_entry& worker) const
{
    return worker.cut_from != "*" &&
           worker.cut_from != nodes_[from].zone.text() &&
           !is_cut(nodes_[from].zone, worker.zone);
}

template <class Result>
void cell_simulation::call_worker(
    std::size_t from, const fleet::worker_listing& worker,
    base::time_point send_by, bool is_order,
    std::function<void(worker_model&, std::function<void(Result)>)> execute,
    std::function<void(Result)> done, Result unsent, Result unanswered,
    milliseconds timeout)
{
    const std::weak_ptr<bool> alive = nodes_[from].alive;
    const auto finished = std::make_shared<bool>(false);
    // Answers arrive at the caller unless it has ended or has timed out.
    const auto finish = [this, from, alive, finished, done](Result result)
    {
        if (alive.expired())
        {
            return;
        }
        deliver(from,
                [finished, done, result = std::move(result)]
                {
                    if (!std::exchange(*finished, true))
                    {
                        done(result);
                    }
                });
    };
    const bool late = is_order && time_.chance(late_orders_percent_);
    const bool lost = late || time_.chance(lost_answers_percent_);
    const milliseconds way = time_.between(milliseconds(1), milliseconds(13));
    const milliseconds back = time_.between(milliseconds(1), milliseconds(13));
    const milliseconds late_by =
        late ? time_.between(milliseconds(2000), milliseconds(12000))
             : milliseconds(0);
    const std::string id = worker.worker.text();
    const auto arrive = [this, id, execute, finish, unsent, lost, back]
    {
        worker_model& to = *workers_.at(id).model;
        if (!to.up())
        {
            finish(unsent);
            return;
        }
        execute(to,
                [this, finish, lost, back](Result result)
                {
                    if (!lost)
                    {
                        time_.after(back, [finish, result] { finish(result); });
                    }
                });
    };
    // The thread of the caller's HTTP client sends it, unless paused.
    time_.after(time_.between(milliseconds(0), milliseconds(2)),
                [this, from, alive, send_by, finish, unsent, unanswered,
                 timeout, id, way, late, late_by, arrive]
                {
                    if (alive.expired())
                    {
                        return;
                    }
                    deliver(from,
                            [this, from, send_by, finish, unsent, unanswered,
                             timeout, id, way, late, late_by, arrive]
                            {
                                if (time_.now() > send_by)
                                {
                                    finish(unsent);
                                    return;
                                }
                                time_.after(timeout, [finish, unanswered]
                                            { finish(unanswered); });
                                const worker_entry& to = workers_.at(id);
                                if (!reaches(from, to))
                                {
                                    return;
                                }
                                if (!late || !to.model->up())
                                {
                                    time_.after(way, arrive);
                                    return;
                                }
                                // What a worker has taken and carries out late
                                // is lost with its life.
                                time_.after(
                                    late_by,
                                    [this, id, arrive, life = to.model->life()]
                                    {
                                        if (workers_.at(id).model->life() ==
                                            life)
                                        {
                                            arrive();
                                        }
                                    });
                            });
                });
}

void cell_simulation::add_worker(const base::zone_id& zone)
{
    const std::string id = fmt::format("w-{}", next_worker_++);
    worker_entry entry;
    entry.zone = zone;
    entry.heard = time_.now();
    entry.model = std::make_unique<worker_model>(
        time_, id,
        [this](const jobs::task_key& task, std::uint64_t /*run*/)
        { return behaviour_of(task); },
        [this](const nlohmann::json& event)
        {
            if (options_.keep_history)
            {
                note(event.dump());
            }
            lapsed_ += event.value("how", "") == "lapsed" ? 1 : 0;
            checker_.apply(nlohmann::json::array({event}));
        },
        [this, id](std::uint64_t life) { return first_clock_of(id, life); });
    entry.second_service = options_.moving_queue && next_worker_ % 2 == 0;
    workers_[id] = std::move(entry);
}

task_behaviour cell_simulation::behaviour_of(const jobs::task_key& task)
{
    const jobs::job_spec& spec = jobs_.at(task.step.job.text()).submission.spec;
    if (!spec.steps.at(static_cast<std::size_t>(task.step.step)).standing)
    {
        return {time_.between(milliseconds(30), options_.longest_task),
                time_.chance(5)};
    }
    if (time_.chance(20))
    {
        return {time_.between(milliseconds(2000), milliseconds(20000)), true};
    }
    return {std::chrono::hours(1), false};
}

void cell_simulation::list(const std::string& id, const worker_entry& worker)
{
    store_.put({worker_table, "", id},
               worker.zone.text() +
                   (worker.second_service ? second_service_mark : "") +
                   (worker.leaving ? leaving_mark : ""));
}

// The platform's list: a worker reports itself, and is removed after a silence.
void cell_simulation::report_workers()
{
    for (auto& [id, worker] : workers_)
    {
        const cell::row_id row{worker_table, "", id};
        if (worker.model->up() && !worker.cut_from_store &&
            reaches_store(worker.zone))
        {
            worker.heard = time_.now();
        }
        const bool listed = time_.now() - worker.heard < listing_timeout;
        const bool rewritten =
            options_.moving_queue && worker.heard == time_.now();
        if (listed && (!worker.listed || rewritten))
        {
            list(id, worker);
        }
        else if (!listed && worker.listed)
        {
            store_.remove(row);
        }
        worker.listed = listed;
    }
    time_.after(report_interval, [this] { report_workers(); });
}

// Callers.

std::size_t cell_simulation::any_running_node()
{
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (nodes_[i].alive && !nodes_[i].paused)
        {
            running.push_back(i);
        }
    }
    return running.empty()
               ? nodes_.size()
               : running[static_cast<std::size_t>(time_.between(
                     0, static_cast<std::int64_t>(running.size()) - 1))];
}

void cell_simulation::submit_job()
{
    if (faults_over_)
    {
        return;
    }
    const std::string id = fmt::format("job-{}", next_job_++);
    caller_job& job = jobs_[id];
    job.submission.queue = "q";
    job.submission.submitted = time_.clock().wall();
    job.submission.spec.payload = "payload of " + id;
    soak::submitted_job& expected = checker_.job(id);
    expected.payload = job.submission.spec.payload;
    expected.max_attempts = max_attempts;
    const int steps = static_cast<int>(time_.between(1, 2));
    for (int i = 0; i < steps; ++i)
    {
        jobs::step_spec step;
        step.tasks = static_cast<int>(time_.between(1, 4));
        step.need = {500 * time_.between(1, 3), 100, 0};
        step.estimate = milliseconds(500);
        if (i > 0)
        {
            step.after = {i - 1};
        }
        expected.steps.push_back({step.tasks, step.need.cpu_milli, step.after});
        job.submission.spec.steps.push_back(step);
    }
    submit(id);
    if (time_.chance(5))
    {
        time_.after(time_.between(milliseconds(100), milliseconds(2000)),
                    [this, id] { cancel(id); });
    }
    time_.after(time_.between(milliseconds(20), options_.longest_job_interval),
                [this] { submit_job(); });
}

void cell_simulation::submit(const std::string& id)
{
    caller_job& job = jobs_.at(id);
    const std::size_t to = any_running_node();
    if (++job.tries > client_tries)
    {
        return;
    }
    const auto retry = [this, id]
    {
        time_.after(time_.between(milliseconds(100), milliseconds(900)),
                    [this, id] { submit(id); });
    };
    if (to == nodes_.size())
    {
        retry();
        return;
    }
    // Without a definite answer the job may run.
    ++job.uncertain;
    checker_.job(id).all_refused = false;
    nodes_[to].daemon->submit(
        base::job_id(id), job.submission, callers_right,
        [this, id, retry](const absl::Status& status)
        {
            caller_job& answered = jobs_.at(id);
            soak::submitted_job& expected = checker_.job(id);
            if (status.ok())
            {
                expected.accepted = true;
                return;
            }
            if (base::kind_of(status) != base::error_kind::outcome_unknown)
            {
                --answered.uncertain;
                expected.all_refused = answered.uncertain == 0;
            }
            retry();
        });
}

void cell_simulation::cancel(const std::string& id)
{
    const std::size_t to = any_running_node();
    if (to == nodes_.size())
    {
        return;
    }
    checker_.job(id).cancelled = true;
    nodes_[to].daemon->cancel(base::job_id(id), callers_right,
                              [](const absl::Status& /*status*/) {});
}

// Faults.

std::size_t cell_simulation::pick_node()
{
    const auto led = leader();
    if (led && time_.chance(50))
    {
        return *led;
    }
    return static_cast<std::size_t>(
        time_.between(0, static_cast<std::int64_t>(nodes_.size()) - 1));
}

void cell_simulation::inject_fault()
{
    if (faults_over_)
    {
        return;
    }
    const std::size_t index = pick_node();
    auto worker = workers_.begin();
    std::advance(
        worker,
        time_.between(0, static_cast<std::int64_t>(workers_.size()) - 1));
    const std::string id = worker->first;
    const milliseconds length =
        time_.between(milliseconds(200), milliseconds(6000));
    const auto kind = time_.between(0, 13);
    if (options_.keep_history)
    {
        note(fmt::format("fault: kind={} daemon={} worker={} ms={}", kind,
                         nodes_[index].id.text(), id, length.count()));
    }
    switch (kind)
    {
    case 0:
    case 1:
        pause_node(index, length);
        break;
    case 2:
        kill_node(index);
        break;
    case 3:
        if (nodes_[index].alive && !nodes_[index].paused)
        {
            hand_over(index);
        }
        break;
    case 4:
    {
        const std::size_t other = pick_node();
        if (other != index)
        {
            disconnect(index, other);
        }
        break;
    }
    case 5:
        // All links of a daemon are slow, as if they were full.
        for (std::size_t other = 0; other < nodes_.size(); ++other)
        {
            if (other != index)
            {
                link_of(index, other).extra_delay = length / 4;
                time_.after(
                    length, [this, index, other]
                    { link_of(index, other).extra_delay = milliseconds(0); });
            }
        }
        break;
    case 6:
    case 7:
        // Restarts under its id between two messages.
        worker->second.model->restart();
        break;
    case 8:
        worker->second.model->crash();
        time_.after(length, [this, id] { workers_.at(id).model->restart(); });
        break;
    case 9:
        worker->second.cut_from =
            time_.chance(50) ? "*" : nodes_[index].zone.text();
        worker->second.cut_from_store = time_.chance(50);
        time_.after(2 * length,
                    [this, id]
                    {
                        workers_.at(id).cut_from.clear();
                        workers_.at(id).cut_from_store = false;
                    });
        break;
    case 10:
        store_.lost_percent = 30;
        store_.late_percent = 50;
        time_.after(length, [this] { store_.lost_percent = 0; });
        break;
    case 11:
        store_.refused.insert(nodes_[index].id.text());
        time_.after(length, [this, index]
                    { store_.refused.erase(nodes_[index].id.text()); });
        break;
    case 12:
        late_orders_percent_ = 30;
        time_.after(length, [this] { late_orders_percent_ = 0; });
        break;
    default:
        lost_answers_percent_ = 30;
        time_.after(length, [this] { lost_answers_percent_ = 0; });
        break;
    }
    time_.after(time_.between(milliseconds(50), milliseconds(1500)),
                [this] { inject_fault(); });
}

// Cuts one or two of the three zones off from the store and the others. A
// daemon notices the silence of its peers later.
void cell_simulation::inject_partition()
{
    if (faults_over_)
    {
        return;
    }
    const auto first = static_cast<std::size_t>(time_.between(0, 2));
    cut_zones_ = {zones[first]};
    if (time_.chance(50))
    {
        cut_zones_.insert(zones[(first + 1) % zones.size()]);
    }
    const milliseconds length =
        time_.between(milliseconds(500), options_.longest_partition);
    if (options_.keep_history)
    {
        note(fmt::format("fault: {} zones from {} on cut off for {} ms",
                         cut_zones_.size(), *cut_zones_.begin(),
                         length.count()));
    }
    for (const node& each : nodes_)
    {
        if (!reaches_store(each.zone))
        {
            store_.refused.insert(each.id.text());
        }
    }
    time_.after(std::min(length, peer_timeout),
                [this]
                {
                    for (std::size_t a = 0; a < nodes_.size(); ++a)
                    {
                        for (std::size_t b = 0; b < a; ++b)
                        {
                            if (is_cut(nodes_[a].zone, nodes_[b].zone))
                            {
                                disconnect(a, b);
                            }
                        }
                    }
                });
    time_.after(length,
                [this]
                {
                    heal_partition();
                    time_.after(
                        time_.between(milliseconds(3000), milliseconds(15000)),
                        [this] { inject_partition(); });
                });
}

// Up to half of the workers restart, each at its own time, and are cut off from
// the daemons and the store up to 3 s later.
void cell_simulation::inject_restart_and_cut()
{
    if (faults_over_)
    {
        return;
    }
    if (time_.chance(30))
    {
        lost_answers_percent_ = 30;
        time_.after(milliseconds(3000), [this] { lost_answers_percent_ = 0; });
    }
    if (time_.chance(50))
    {
        late_orders_percent_ = 40;
        time_.after(milliseconds(4000), [this] { late_orders_percent_ = 0; });
    }
    for (auto& [id, worker] : workers_)
    {
        if (!time_.chance(50))
        {
            continue;
        }
        const milliseconds crash =
            time_.between(milliseconds(0), milliseconds(500));
        const milliseconds restart =
            crash + time_.between(milliseconds(1), milliseconds(1500));
        const milliseconds cut =
            restart + time_.between(milliseconds(0), milliseconds(3000));
        const milliseconds heal =
            cut + time_.between(milliseconds(2000), milliseconds(14000));
        worker_entry* const entry = &worker;
        time_.after(crash, [entry] { entry->model->crash(); });
        time_.after(restart, [entry] { entry->model->restart(); });
        time_.after(cut,
                    [this, entry]
                    {
                        entry->cut_from = faults_over_ ? "" : "*";
                        entry->cut_from_store = !faults_over_;
                    });
        time_.after(heal,
                    [entry]
                    {
                        entry->cut_from.clear();
                        entry->cut_from_store = false;
                    });
    }
    if (const auto led = leader(); led && time_.chance(30))
    {
        time_.after(time_.between(milliseconds(0), milliseconds(3000)),
                    [this, led] { kill_node(*led); });
    }
    time_.after(time_.between(milliseconds(17500), milliseconds(22000)),
                [this] { inject_restart_and_cut(); });
}

// Drawn apart from the other choices, which it must not change.
milliseconds cell_simulation::first_clock_of(const std::string& worker,
                                             std::uint64_t life) const
{
    if (!options_.any_first_clock)
    {
        return milliseconds(0);
    }
    std::seed_seq seeds{options_.seed, life,
                        static_cast<std::uint64_t>(worker.back())};
    std::mt19937 random(seeds);
    constexpr std::uint32_t longest_ms = 9000000;
    return milliseconds(random() % longest_ms);
}

void cell_simulation::heal_partition()
{
    cut_zones_.clear();
    store_.refused.clear();
    for (std::size_t a = 0; a < nodes_.size(); ++a)
    {
        for (std::size_t b = 0; b < a; ++b)
        {
            time_.after(time_.between(milliseconds(20), milliseconds(400)),
                        [this, a, b] { connect(a, b); });
        }
    }
}

bool cell_simulation::is_cut(const base::zone_id& a,
                             const base::zone_id& b) const
{
    return cut_zones_.count(a.text()) != cut_zones_.count(b.text());
}

bool cell_simulation::reaches_store(const base::zone_id& zone) const
{
    return cut_zones_.count(zone.text()) == 0;
}

void cell_simulation::end_faults()
{
    faults_over_ = true;
    if (!cut_zones_.empty())
    {
        heal_partition();
    }
    store_.lost_percent = 0;
    store_.refused.clear();
    late_orders_percent_ = 0;
    lost_answers_percent_ = 0;
    for (auto& [id, worker] : workers_)
    {
        worker.cut_from.clear();
        worker.cut_from_store = false;
    }
}

// The run.

bool cell_simulation::run_due()
{
    bool any = false;
    while (time_.run_next())
    {
        any = true;
    }
    for (node& each : nodes_)
    {
        if (!each.alive || each.paused)
        {
            continue;
        }
        running_ = each.id.text();
        while (each.daemon->loop().run_next())
        {
            any = true;
        }
        running_.clear();
    }
    return any;
}

std::optional<base::time_point> cell_simulation::next_due() const
{
    std::optional<base::time_point> next = time_.next_due();
    for (const node& each : nodes_)
    {
        if (!each.alive || each.paused)
        {
            continue;
        }
        const auto due = each.daemon->loop().next_due();
        if (due && (!next || *due < *next))
        {
            next = due;
        }
    }
    return next;
}

void cell_simulation::run_until(base::time_point end)
{
    for (;;)
    {
        while (run_due())
        {
        }
        const auto next = next_due();
        if (!next || *next > end)
        {
            time_.advance_to(end);
            return;
        }
        time_.advance_to(*next);
    }
}

bool cell_simulation::all_jobs_finished() const
{
    return std::all_of(checker_.jobs().begin(), checker_.jobs().end(),
                       [this](const auto& entry)
                       { return has_finished(entry.first, entry.second); });
}

// A job whose tasks are standing has reached its end once they run.
bool cell_simulation::has_finished(const std::string& id,
                                   const soak::submitted_job& job) const
{
    return !job.accepted || job.cancelled ||
           (job.steps.front().standing
                ? checker_.all_running(id)
                : checker_.done(id) || checker_.attempts_exhausted(id));
}

void cell_simulation::run()
{
    time_.after(milliseconds(1500), [this] { submit_job(); });
    if (options_.faults)
    {
        time_.after(milliseconds(2500), [this] { inject_fault(); });
    }
    if (options_.lose_vm_before_outage)
    {
        time_.after(milliseconds(5000),
                    [this]
                    {
                        const std::size_t lost = leader() == 0 ? 1 : 0;
                        nodes_[lost].gone = true;
                        kill_node(lost);
                    });
        time_.after(milliseconds(40000), [this] { store_.down = true; });
        time_.after(milliseconds(55000), [this] { store_.down = false; });
    }
    if (options_.longest_partition > milliseconds(0))
    {
        time_.after(milliseconds(4000), [this] { inject_partition(); });
    }
    if (options_.cut_after_restart)
    {
        time_.after(milliseconds(4000), [this] { inject_restart_and_cut(); });
    }
    if (options_.moving_queue)
    {
        time_.after(milliseconds(4000), [this] { move_queue(); });
        time_.after(milliseconds(5000), [this] { inject_moves(); });
    }
    if (options_.leaving_workers)
    {
        time_.after(milliseconds(1500), [this] { submit_standing_job(); });
        time_.after(milliseconds(5000), [this] { inject_departures(); });
        check_progress();
    }
    run_until(time_.now() + options_.length);
    end_faults();
    const base::time_point limit = time_.now() + options_.finish_limit;
    if (options_.leaving_workers)
    {
        // Longer than a standing task may be without a run.
        run_until(time_.now() + std::chrono::seconds(10));
    }
    while (!all_jobs_finished() && time_.now() < limit)
    {
        run_until(time_.now() + milliseconds(200));
    }
    std::vector<std::string> unfinished;
    for (const auto& [id, job] : checker_.jobs())
    {
        if (!has_finished(id, job))
        {
            unfinished.push_back((job.steps.front().standing
                                      ? "accepted standing job does not run: "
                                      : "accepted job did not end: ") +
                                 id);
        }
    }
    if (options_.leaving_workers)
    {
        cancel_standing_jobs();
        run_until(time_.now() + std::chrono::seconds(5));
    }
    checker_.finish();
    violations_ = checker_.violations();
    for (const auto& more : {progress_.violations(), unfinished})
    {
        violations_.insert(violations_.end(), more.begin(), more.end());
    }
}

} // namespace coltsfootrack::simulation
