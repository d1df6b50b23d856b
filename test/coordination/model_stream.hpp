#ifndef COLTSFOOTRACK_TEST_COORDINATION_MODEL_STREAM_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_COORDINATION_MODEL_STREAM_HPP_INCLUDED

#include <coordination/model_mutation.hpp>

#include <coltsfootrack/coordination/session_lease.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::coordination
{

class model_daemon;
class model_cluster;

// A daemon's commit stream with at most one mutation per commit.
class model_stream
{
public:
    // Calls `committed` after each commit that is known to have taken effect.
    model_stream(model_cluster& cluster, model_daemon& owner,
                 std::function<void()> committed);

    // Sets the session version from the first read; later calls are ignored.
    void start(std::uint64_t version);
    void push(model_mutation mutation);
    // Sends, retries and resolves commits; called every 100 ms.
    void run();

    session_lease lease;

private:
    struct open_commit
    {
        std::string token;
        std::uint64_t attempt;
        std::optional<model_mutation> mutation;
        base::time_point sent;
    };

    struct commit_result
    {
        bool session_holds = false;
        std::uint64_t version = 0;
    };

    void send_commit(std::optional<model_mutation> mutation);
    void answered(const std::string& token, commit_result result);
    void resolve();
    void resolved(const observed_session& row);
    void succeed(const std::string& token, std::uint64_t version);
    void reject(const open_commit& commit);

    model_cluster& cluster_;
    model_daemon& owner_;
    std::function<void()> committed_;
    std::optional<std::uint64_t> session_version_;
    std::uint64_t counter_ = 0;
    std::deque<model_mutation> mutations_;
    std::vector<open_commit> open_;
    base::time_point last_commit_{};
    base::time_point last_resolve_{};
};

} // namespace coltsfootrack::coordination

#endif
