// The threads of the table client; commit_stream decides about commits.

#include "table_protocol.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/http/client.hpp>
#include <coltsfootrack/store/commit_stream.hpp>
#include <coltsfootrack/store/table_client.hpp>
#include <coltsfootrack/store/token_bucket.hpp>

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace coltsfootrack::store
{
namespace
{

using base::error_kind;
using base::make_error;

http::client_options http_options(const table_options& options)
{
    http::client_options made;
    made.connect_timeout = std::min(made.connect_timeout, options.call_timeout);
    made.total_timeout = options.call_timeout;
    made.max_answer_bytes = options.max_read_bytes;
    // The commit thread and the reads thread have one connection each.
    made.max_idle_connections = 2;
    return made;
}

absl::Status stopping_error()
{
    return make_error(error_kind::draining, "the client is stopping");
}

} // namespace

class table_client::state
{
public:
    state(const table_options& options, const base::clock& clock,
          base::random_source random, table_hooks hooks)
        : options_(options)
        , clock_(clock)
        , hooks_(std::move(hooks))
        , http_(http_options(options))
        , stream_(options, std::move(random))
        , write_budget_(options.writes_per_second)
        , read_budget_(options.reads_per_second)
        , commit_thread_([this] { run_commits(); })
        , reads_thread_([this] { run_reads(); })
    {
    }

    absl::Status submit(mutation change, commit_callback callback)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_)
        {
            return stopping_error();
        }
        const base::time_point now = clock_.now();
        const double rows =
            std::max<double>(static_cast<double>(change.writes.size()), 1);
        if (!write_budget_.try_take(rows, now))
        {
            return make_error(error_kind::store_budget_spent, "writes");
        }
        const std::uint64_t id = ++last_id_;
        absl::Status accepted = stream_.submit(id, std::move(change), now);
        if (!accepted.ok())
        {
            write_budget_.charge(-rows, now);
            return accepted;
        }
        callbacks_.emplace(id, std::move(callback));
        submitted_ = true;
        commit_wakeup_.notify_one();
        return accepted;
    }

    http::client_traffic traffic() const
    {
        return http_.traffic();
    }

    // Queues a call for the reads thread. Its argument is true if it must be
    // cancelled because the client is stopping.
    absl::Status enqueue_read(std::function<void(bool)> call)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_)
        {
            return stopping_error();
        }
        if (reads_.size() >= options_.max_queued_reads)
        {
            return make_error(error_kind::overloaded,
                              "the queue of reads is full");
        }
        if (!read_budget_.try_take(1, clock_.now()))
        {
            return make_error(error_kind::store_budget_spent, "reads");
        }
        reads_.push_back(std::move(call));
        reads_wakeup_.notify_one();
        return absl::OkStatus();
    }

    absl::StatusOr<read_result>
    read_now(const std::vector<std::string>& keys,
             const std::vector<std::string>& prefixes)
    {
        const base::time_point sent_at = clock_.now();
        return read_answer_of(
            http_.send(options_.platform, read_request(keys, prefixes)),
            sent_at);
    }

    // For the reads thread only. The request is conditional (answer 304 if the
    // list has not changed): the whole list at the design size, read every 2 s,
    // would take several times the control traffic of a daemon.
    absl::StatusOr<vm_list> fetch_vm_list_now()
    {
        const base::time_point sent_at = clock_.now();
        const http::client_result result =
            http_.send(options_.platform, vm_list_request(cached_list_etag_));
        if (result.ok() && result.answer.status == 304 && cached_list_)
        {
            cached_list_->sent_at = sent_at;
            return *cached_list_;
        }
        auto list = vm_list_answer_of(result, sent_at);
        if (list.ok())
        {
            cached_list_ = *list;
            cached_list_etag_ =
                std::string(result.answer.headers.value("ETag"));
        }
        return list;
    }

    bool fenced() const
    {
        return fenced_;
    }

    void stop(base::duration limit)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (!stopping_)
            {
                stopping_ = true;
                stop_at_ = clock_.now() + limit;
            }
            commit_wakeup_.notify_one();
            reads_wakeup_.notify_one();
        }
        for (std::thread* thread : {&commit_thread_, &reads_thread_})
        {
            if (thread->joinable())
            {
                thread->join();
            }
        }
    }

private:
    using lock_type = std::unique_lock<std::mutex>;

    bool must_stop() const
    {
        return stopping_ && (stream_.idle() || clock_.now() >= stop_at_);
    }

    void run_commits()
    {
        lock_type lock(mutex_);
        while (!must_stop())
        {
            submitted_ = false;
            const stream_call call = stream_.next(clock_.now());
            deliver(lock);
            switch (call.action)
            {
            case stream_call::action::wait:
                wait_until(lock, call.wake_at);
                break;
            case stream_call::action::read_session:
                read_session(lock);
                break;
            case stream_call::action::commit:
                commit(lock, call.content);
                break;
            }
            deliver(lock);
        }
        stream_.abandon();
        deliver(lock);
        callbacks_.clear();
    }

    void wait_until(lock_type& lock, base::time_point time)
    {
        // The injected clock may differ from that of the condition variable, so
        // each wait is short and the caller checks the time again.
        const base::duration left = std::clamp<base::duration>(
            time == base::time_point::max() ? std::chrono::seconds(1)
                                            : time - clock_.now(),
            std::chrono::milliseconds(1), std::chrono::seconds(1));
        commit_wakeup_.wait_for(lock, left,
                                [this] { return submitted_ || stopping_; });
    }

    void read_session(lock_type& lock)
    {
        const std::string key = options_.session.key();
        read_budget_.charge(1, clock_.now());
        lock.unlock();
        auto answer = read_now({key}, {});
        lock.lock();
        if (!answer.ok())
        {
            base::log(base::log_level::warning, "store",
                      "Read of the session row failed. error={}",
                      std::string(answer.status().message()));
            stream_.session_read(answer.status(), clock_.now());
            return;
        }
        const row* found = answer->find(key);
        stream_.session_read(found != nullptr ? std::optional<row>(*found)
                                              : std::nullopt,
                             clock_.now());
    }

    void commit(lock_type& lock, const mutation& content)
    {
        // The session row; the other rows were charged by submit.
        write_budget_.charge(1, clock_.now());
        lock.unlock();
        const http::client_result result =
            http_.send(options_.platform, commit_request(content));
        const commit_answer answer = commit_answer_of(result);
        if (answer.result != commit_answer::result::committed &&
            answer.result != commit_answer::result::conflict)
        {
            base::log(base::log_level::warning, "store",
                      "Commit failed. sent={} status={} error={}",
                      result.request_sent, result.answer.status,
                      std::string(result.status.message()));
        }
        lock.lock();
        stream_.commit_answered(answer, clock_.now());
    }

    // Runs hooks and callbacks without the lock. The hooks come first, so that
    // callbacks see a renewed lease or a fenced session.
    void deliver(lock_type& lock)
    {
        const auto renewal = stream_.take_renewal();
        const bool newly_fenced = stream_.fenced() && !fenced_;
        std::vector<std::pair<commit_callback, commit_outcome>> calls;
        for (commit_report& report : stream_.take_reports())
        {
            const auto found = callbacks_.find(report.id);
            if (found == callbacks_.end())
            {
                continue;
            }
            calls.emplace_back(found->second, std::move(report.outcome));
            if (calls.back().second.final())
            {
                callbacks_.erase(found);
            }
        }
        if (!renewal && !newly_fenced && calls.empty())
        {
            return;
        }
        fenced_ = fenced_ || newly_fenced;
        lock.unlock();
        if (renewal && hooks_.on_renewal)
        {
            hooks_.on_renewal(*renewal);
        }
        if (newly_fenced)
        {
            base::log(base::log_level::error, "store",
                      "Session fenced. daemon={} incarnation={}",
                      options_.session.daemon.text(),
                      options_.session.incarnation);
            if (hooks_.on_fenced)
            {
                hooks_.on_fenced();
            }
        }
        for (const auto& [callback, outcome] : calls)
        {
            callback(outcome);
        }
        lock.lock();
    }

    void run_reads()
    {
        lock_type lock(mutex_);
        for (;;)
        {
            reads_wakeup_.wait(lock,
                               [this] { return stopping_ || !reads_.empty(); });
            if (reads_.empty())
            {
                return;
            }
            const auto call = std::move(reads_.front());
            reads_.pop_front();
            const bool cancelled = stopping_;
            lock.unlock();
            call(cancelled);
            lock.lock();
        }
    }

    table_options options_;
    const base::clock& clock_;
    table_hooks hooks_;
    http::client http_;

    std::mutex mutex_;
    std::condition_variable commit_wakeup_;
    std::condition_variable reads_wakeup_;
    commit_stream stream_;
    token_bucket write_budget_;
    token_bucket read_budget_;
    absl::flat_hash_map<std::uint64_t, commit_callback> callbacks_;
    // The last VM list and its ETag; for the reads thread only.
    std::optional<vm_list> cached_list_;
    std::string cached_list_etag_;
    std::uint64_t last_id_ = 0;
    std::deque<std::function<void(bool)>> reads_;
    bool submitted_ = false;
    bool stopping_ = false;
    base::time_point stop_at_;
    std::atomic<bool> fenced_{false};

    // Declared last: the threads use all members above.
    std::thread commit_thread_;
    std::thread reads_thread_;
};

table_client::table_client(const table_options& options,
                           const base::clock& clock, base::random_source random,
                           table_hooks hooks)
    : state_(std::make_unique<state>(options, clock, std::move(random),
                                     std::move(hooks)))
{
}

table_client::~table_client()
{
    stop(base::duration::zero());
}

absl::Status table_client::submit(mutation change, commit_callback callback)
{
    return state_->submit(std::move(change), std::move(callback));
}

absl::Status table_client::read(std::vector<std::string> keys,
                                std::vector<std::string> prefixes,
                                read_callback callback)
{
    state* self = state_.get();
    return state_->enqueue_read(
        [self, keys = std::move(keys), prefixes = std::move(prefixes),
         callback = std::move(callback)](bool cancelled)
        {
            callback(cancelled ? absl::StatusOr<read_result>(stopping_error())
                               : self->read_now(keys, prefixes));
        });
}

absl::Status table_client::fetch_vm_list(vm_list_callback callback)
{
    state* self = state_.get();
    return state_->enqueue_read(
        [self, callback = std::move(callback)](bool cancelled)
        {
            callback(cancelled ? absl::StatusOr<vm_list>(stopping_error())
                               : self->fetch_vm_list_now());
        });
}

http::client_traffic table_client::traffic() const
{
    return state_->traffic();
}

bool table_client::fenced() const
{
    return state_->fenced();
}

void table_client::stop(base::duration limit)
{
    state_->stop(limit);
}

} // namespace coltsfootrack::store
