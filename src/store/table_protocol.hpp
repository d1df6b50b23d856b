#ifndef COLTSFOOTRACK_STORE_TABLE_PROTOCOL_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_TABLE_PROTOCOL_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/http/client_result.hpp>
#include <coltsfootrack/http/request.hpp>
#include <coltsfootrack/store/commit_answer.hpp>
#include <coltsfootrack/store/mutation.hpp>
#include <coltsfootrack/store/read_result.hpp>
#include <coltsfootrack/store/vm_list.hpp>

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace coltsfootrack::store
{

// The platform's HTTP API; see section 3.10 of the design.

http::request commit_request(const mutation& content);
http::request read_request(const std::vector<std::string>& keys,
                           const std::vector<std::string>& prefixes);
// The request for the VM list. With the ETag of a known list the answer is 304
// if the list has not changed.
http::request vm_list_request(const std::string& known_etag);

// What the result of a commit call proves. An answer that is not of the
// documented form counts as lost.
commit_answer commit_answer_of(const http::client_result& result);

// The rows, or store_unavailable, or peer_protocol for a malformed answer.
absl::StatusOr<read_result> read_answer_of(const http::client_result& result,
                                           base::time_point sent_at);

// The list, with the same errors.
absl::StatusOr<vm_list> vm_list_answer_of(const http::client_result& result,
                                          base::time_point sent_at);

} // namespace coltsfootrack::store

#endif
