// The takeover by a new leader: fences the job parts, then loads the jobs and
// the list of workers.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/leadership.hpp>
#include <coltsfootrack/cell/page_budget.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "leader";

// The pause after a store call that failed.
constexpr std::chrono::milliseconds retry_pause{100};

// Posts a result of the store to the control thread.
template <class Result, class Action>
auto post_to(daemon::control_loop& loop, std::weak_ptr<bool> alive,
             Action action)
{
    return [&loop, alive = std::move(alive),
            action = std::move(action)](Result result)
    {
        loop.post(
            [alive, action, result = std::move(result)]
            {
                if (!alive.expired())
                {
                    action(result);
                }
            });
    };
}

std::uint64_t epoch_of(const std::string& value)
{
    // The row holds just the decimal epoch; any other value counts as 0.
    std::uint64_t epoch = 0;
    for (const char c : value)
    {
        if (c < '0' || c > '9')
        {
            return 0;
        }
        epoch = epoch * 10 + static_cast<std::uint64_t>(c - '0');
    }
    return epoch;
}

} // namespace

void leadership::begin()
{
    base::log(base::log_level::info, log_part, "Takeover started. epoch={}",
              epoch());
    for (std::size_t part = 0; part < layout_.part_count(); ++part)
    {
        fence_part(part);
    }
}

void leadership::fence_part(std::size_t part)
{
    ports_.store.read_row(
        layout_.fence(part),
        post_to<read_result>(
            loop_, alive_,
            [this, part](const read_result& result)
            {
                hooks_.on_store(result.status == read_status::ok);
                if (result.status != read_status::ok)
                {
                    loop_.after(retry_pause,
                                guarded([this, part] { fence_part(part); }));
                    return;
                }
                const bool exists = !result.rows.empty();
                const std::uint64_t stored =
                    exists ? epoch_of(result.rows.front().value) : 0;
                const std::uint64_t version =
                    exists ? result.rows.front().version : 0;
                if (stored > epoch())
                {
                    report_lost("a job part is fenced by a later leader");
                }
                else if (stored == epoch())
                {
                    on_part_fenced(part, version);
                }
                else
                {
                    write_fence(part, version);
                }
            }));
}

void leadership::write_fence(std::size_t part, std::uint64_t version)
{
    const row_id row = layout_.fence(part);
    transaction write;
    write.conditions.push_back({row, version});
    write.writes.push_back({row, std::to_string(epoch())});
    ports_.store.transact(
        write, post_to<transaction_result>(
                   loop_, alive_,
                   [this, part](const transaction_result& result)
                   {
                       const bool known =
                           result.status != transaction_status::unknown &&
                           result.status != transaction_status::refused &&
                           result.status != transaction_status::rejected;
                       hooks_.on_store(known);
                       if (result.status == transaction_status::committed)
                       {
                           on_part_fenced(part, result.version);
                           return;
                       }
                       // Reading the row again shows which write was applied.
                       loop_.after(retry_pause,
                                   guarded([this, part] { fence_part(part); }));
                   }));
}

void leadership::on_part_fenced(std::size_t part, std::uint64_t version)
{
    if (lost_)
    {
        return;
    }
    hooks_.committer(part).set_fence(
        row_condition{layout_.fence(part), version});
    if (++parts_fenced_ == layout_.part_count())
    {
        load_progress();
    }
}

void leadership::load_progress()
{
    base::log(base::log_level::info, log_part, "Parts fenced. epoch={} ms={}",
              epoch(), takeover_ms());
    table_reader::hooks callbacks;
    callbacks.on_answer = [this](bool answered)
    {
        hooks_.on_store(answered);
    };
    callbacks.on_rows =
        [this](std::size_t part, const std::vector<stored_row>& rows)
    {
        for (const stored_row& row : rows)
        {
            apply_progress_row(part, row);
        }
    };
    callbacks.on_end = [this](std::uint64_t /*version*/)
    {
        base::log(base::log_level::info, log_part,
                  "Progress loaded. epoch={} rows={} pages={} failed_pages={} "
                  "ms={}",
                  epoch(), progress_reader_->rows(), progress_reader_->pages(),
                  progress_reader_->failures(), takeover_ms());
        follow_jobs();
    };
    progress_reader_ = std::make_unique<table_reader>(
        loop_, ports_.store, row_layout::progress_table, layout_.part_names(),
        page_budget_for(options_.link_rate, layout_.part_count()),
        std::move(callbacks));
    progress_reader_->start();
}

void leadership::apply_progress_row(std::size_t part, const stored_row& row)
{
    hooks_.committer(part).set_version(row.id, row.version);
    if (row.id == layout_.roster(part))
    {
        load_roster(part, row);
        return;
    }
    const auto value = jobs::decode_progress(row.value);
    if (!value.ok())
    {
        base::log(base::log_level::error, log_part,
                  "Progress row cannot be parsed. job={}", row.id.key);
        return;
    }
    loaded_progress_[base::job_id(row.id.key)] = *value;
}

std::int64_t leadership::takeover_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() -
                                                                 begun_at_)
        .count();
}

void leadership::load_roster(std::size_t part, const stored_row& row)
{
    const absl::Status loaded = roster_.load(part, row.value);
    if (!loaded.ok())
    {
        base::log(base::log_level::error, log_part,
                  "Row of workers cannot be parsed. part={} error={}",
                  layout_.part_names()[part], std::string(loaded.message()));
    }
}

void leadership::follow_jobs()
{
    table_follower::hooks callbacks;
    callbacks.on_answer = [this](bool answered)
    {
        hooks_.on_store(answered);
    };
    callbacks.on_changes = [this](const std::vector<stored_row>& rows)
    {
        apply_job_rows(rows);
        request_round();
    };
    callbacks.on_snapshot = [this](const std::vector<stored_row>& rows)
    {
        apply_job_rows(rows);
        if (loaded_)
        {
            return;
        }
        loaded_ = true;
        pauses_.reset(clock_.now());
        loaded_progress_.clear();
        base::log(base::log_level::info, log_part,
                  "Takeover finished. epoch={} rows={} jobs={} ms={}", epoch(),
                  rows.size(), fleet_.jobs().size(), takeover_ms());
        metrics_.set_value("takeover_ms", static_cast<double>(takeover_ms()));
        for (const auto& [id, row] : std::exchange(early_jobs_, {}))
        {
            on_job(id, row);
        }
        for (const base::job_id& id : std::exchange(early_cancels_, {}))
        {
            on_cancel(id);
        }
        expect_stored_workers();
        follow_workers();
        loop_.every(options_.round_period,
                    guarded([this] { request_round(); }));
        loop_.every(options_.removal_period, guarded(
                                                 [this]
                                                 {
                                                     remove_final_jobs();
                                                     remove_early_cancels();
                                                 }));
    };
    job_follower_ = std::make_unique<table_follower>(
        loop_, ports_.store, row_layout::jobs_table, layout_.part_names(),
        page_budget_for(options_.link_rate, layout_.part_count()),
        options_.follow_wait, options_.follow_pause, std::move(callbacks));
    job_follower_->start();
}

// A worker that the platform no longer lists may answer all the same.
void leadership::expect_stored_workers()
{
    const std::vector<fleet::worker_listing> workers = roster_.workers();
    fleet_.expect_workers(workers, clock_.now());
    for (const fleet::worker_listing& worker : workers)
    {
        renewals_.try_emplace(worker.worker);
    }
}

void leadership::apply_job_rows(const std::vector<stored_row>& rows)
{
    std::vector<base::job_id> cancelled;
    for (const stored_row& row : rows)
    {
        if (const auto id = row_layout::early_cancelled_job(row.id.key))
        {
            note_early_cancel(*id, row);
            continue;
        }
        if (!row.exists())
        {
            continue;
        }
        if (const auto id = row_layout::cancelled_job(row.id.key))
        {
            cancelled.push_back(*id);
            continue;
        }
        const base::job_id id(row.id.key);
        if (!row.value.empty())
        {
            job_versions_[id] = row.version;
        }
        if (fleet_.jobs().count(id) != 0)
        {
            continue;
        }
        add_stored_job(id, row.value);
    }
    for (const base::job_id& id : cancelled)
    {
        fleet_.cancel_job(id, clock_.now());
    }
}

void leadership::follow_workers()
{
    table_follower::hooks callbacks;
    callbacks.on_answer = [this](bool answered)
    {
        hooks_.on_store(answered);
    };
    callbacks.on_snapshot = [this](const std::vector<stored_row>& rows)
    {
        apply_worker_rows(rows, true);
    };
    callbacks.on_changes = [this](const std::vector<stored_row>& rows)
    {
        apply_worker_rows(rows, false);
    };
    worker_follower_ = std::make_unique<table_follower>(
        loop_, ports_.store, ports_.workers.list_table,
        std::vector<std::string>{""}, page_budget_for(options_.link_rate, 1),
        options_.follow_wait, options_.follow_pause, std::move(callbacks));
    worker_follower_->start();
}

void leadership::apply_worker_rows(const std::vector<stored_row>& rows,
                                   bool is_snapshot)
{
    std::map<base::worker_id, bool> listed;
    for (const stored_row& row : rows)
    {
        const base::worker_id id(row.id.key);
        if (!row.exists())
        {
            departures_.on_removed(id, clock_.now());
            unlist_worker(id);
            continue;
        }
        if (!is_snapshot)
        {
            departures_.on_report(id, worker_follower_->changed_after());
        }
        const auto listing = ports_.workers.read_listing(row.id.key, row.value);
        if (!listing.ok())
        {
            metrics_.count_event("worker_row_unreadable");
            base::log(base::log_level::warning, log_part,
                      "Worker row cannot be parsed. key={} error={}",
                      row.id.key, std::string(listing.status().message()));
            unlist_worker(id);
            continue;
        }
        listed[id] = true;
        list_worker(*listing);
    }
    list_read_ = list_read_ || is_snapshot;
    if (is_snapshot)
    {
        std::vector<base::worker_id> gone;
        for (const auto& [id, worker] : fleet_.workers())
        {
            if (listed.count(id) == 0)
            {
                gone.push_back(id);
            }
        }
        for (const auto& [id, worker] : unstored_workers_)
        {
            if (listed.count(id) == 0)
            {
                gone.push_back(id);
            }
        }
        for (const base::worker_id& id : gone)
        {
            departures_.on_removed(id, clock_.now());
            unlist_worker(id);
        }
    }
    write_roster();
    hooks_.commit();
    request_round();
}

bool leadership::names_service(const base::service_id& service) const
{
    return catalogue_ && catalogue_->services.count(service) != 0;
}

// A worker is used only once a stored row names it, and stored only once it has
// answered. The next leader waits for each stored worker, and an entry alone
// does not show that there is one: it may come from another writer.
void leadership::list_worker(const fleet::worker_listing& listing)
{
    if (!roster_.stored(listing.worker))
    {
        const auto [found, added] =
            unstored_workers_.try_emplace(listing.worker);
        unstored_worker& waiting = found->second;
        waiting.listing = listing;
        if (added && !names_service(listing.service))
        {
            metrics_.count_event("worker_service_unknown");
            base::log(base::log_level::warning, log_part,
                      "Worker not used: no catalogue names its service. "
                      "worker={} service={}",
                      listing.worker.text(), listing.service.text());
        }
        if (waiting.answered)
        {
            roster_.add(listing);
        }
        return;
    }
    unstored_workers_.erase(listing.worker);
    renewals_.try_emplace(listing.worker);
    fleet_.list_worker(listing, clock_.now());
    // Until the worker has reported, the row keeps the service under which a
    // former leader used it.
    const fleet::worker_record& worker = fleet_.workers().at(listing.worker);
    if (worker.synced ||
        worker.former_service.value_or(listing.service) == listing.service)
    {
        roster_.add(listing);
    }
}

void leadership::unlist_worker(const base::worker_id& id)
{
    if (unstored_workers_.erase(id) > 0 && !fleet_.has_worker(id))
    {
        // It was never used.
        roster_.remove(id);
    }
    fleet_.unlist_worker(id);
    remove_departed(id);
}

void leadership::list_stored_workers()
{
    const auto waiting = unstored_workers_;
    for (const auto& [id, worker] : waiting)
    {
        list_worker(worker.listing);
    }
    request_round();
}

// Asks each worker that is not stored for an answer, without a lease.
void leadership::probe_unstored_workers()
{
    const base::time_point now = clock_.now();
    for (auto& [id, worker] : unstored_workers_)
    {
        if (worker.answered || worker.probing || worker.next_at > now ||
            !names_service(worker.listing.service))
        {
            continue;
        }
        worker.probing = true;
        lease_renewal request;
        request.epoch = epoch();
        request.send_by = now + options_.send_limit;
        ports_.workers.renew(worker.listing, request,
                             posted<renewal_result>(
                                 [this, id = id](const renewal_result& result)
                                 { on_unstored_answer(id, result.outcome); }));
    }
}

void leadership::on_unstored_answer(const base::worker_id& id,
                                    fleet::order_outcome outcome)
{
    record_outcome(call_kind::probe, outcome, id);
    const auto found = unstored_workers_.find(id);
    if (found == unstored_workers_.end())
    {
        return;
    }
    unstored_worker& worker = found->second;
    worker.probing = false;
    if (outcome == fleet::order_outcome::carried_out)
    {
        worker.answered = true;
        roster_.add(worker.listing);
        request_round();
        return;
    }
    if (worker.next_at == base::time_point())
    {
        metrics_.count_event("worker_not_found");
        base::log(base::log_level::info, log_part,
                  "Listed worker not used: it has not answered yet. worker={} "
                  "address={} outcome={}",
                  id.text(), worker.listing.address, fleet::name_of(outcome));
    }
    worker.next_at = clock_.now() + options_.renewal_retry_pause;
    loop_.after(options_.renewal_retry_pause,
                guarded([this] { request_round(); }));
}

void leadership::write_roster()
{
    for (std::size_t part = 0; part < layout_.part_count(); ++part)
    {
        const auto row = roster_.next_write(part);
        if (!row)
        {
            continue;
        }
        hooks_.committer(part).update(
            layout_.roster(part), row->text, true, clock_.now(),
            [this, alive = std::weak_ptr<bool>(alive_), part,
             change = row->change](write_status status)
            {
                if (alive.expired())
                {
                    return;
                }
                if (status == write_status::fenced)
                {
                    report_lost("the fence of a job part has changed");
                    return;
                }
                if (status == write_status::rejected)
                {
                    metrics_.count_event("worker_roster_rejected");
                    base::log(base::log_level::error, log_part,
                              "The store does not take a row of workers; its "
                              "new workers are not used. part={}",
                              layout_.part_names()[part]);
                    return;
                }
                roster_.on_stored(part, change);
                reuse_stored_workers();
                list_stored_workers();
                check_hand_over();
            });
    }
}

} // namespace coltsfootrack::cell
