#ifndef COLTSFOOTRACK_DAEMON_BLOCKING_STORE_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_BLOCKING_STORE_HPP_INCLUDED

#include <coltsfootrack/store/table_client.hpp>

#include <absl/status/statusor.h>
#include <functional>
#include <string>
#include <vector>

namespace coltsfootrack::daemon
{

// Reads rows and blocks until the answer; for connection threads only.
absl::StatusOr<store::read_result> read_and_wait(store::table_client& table,
                                                 std::vector<std::string> keys);

// Commits and blocks until the first outcome; for connection threads only. If
// it is unknown, `on_late` gets the final outcome later, on the commit thread.
store::commit_outcome
commit_and_wait(store::table_client& table, store::mutation change,
                std::function<void(const store::commit_outcome&)> on_late = {});

} // namespace coltsfootrack::daemon

#endif
