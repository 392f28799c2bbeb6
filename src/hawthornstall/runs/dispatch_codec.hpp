#pragma once

/// The protocol codec that a dispatch host requires: pure functions that translate between the HTTP
/// messages of callers and targets and the types of this library. They take no decisions.

#include "hawthornstall/net/http_exchange.hpp"
#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/runs/job_front_end.hpp"
#include "hawthornstall/runs/request_filters.hpp"
#include "hawthornstall/runs/route_table.hpp"
#include "hawthornstall/runs/target_call.hpp"

#include <absl/status/statusor.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornstall::runs {

/// An encoded answer to a caller.
struct caller_answer {
    int status = 200;
    std::string body{};
    core::duration_ms retry_after{};
};

/// Asks how many accepted jobs of the queue have not started.
struct count_query {};

/// Asks for the state of a job by its id.
struct job_query {
    std::string id{};
};

/// Asks for the end of a job by its id.
struct job_cancellation {
    std::string id{};
};

/// A decoded request of a caller to a queue.
using caller_request = std::variant<job_request, count_query, job_query, job_cancellation>;

/// Answer to a count_query.
struct waiting_count {
    std::uint64_t jobs = 0;
};

/// Answer to a job_query or a job_cancellation about an unknown job.
struct unknown_job {};

/// Answer to a job_cancellation about a job that ends now.
struct cancelled_job {};

/// An encoded call to a target.
struct encoded_call {
    std::string path{};
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
};

/// Codec between HTTP and the types of this library. An absl::Status is answered as a refusal,
/// which means that nothing has run.
template <class Codec>
concept dispatch_codec = requires(Codec codec, std::string_view text, const routed_request& routed,
                                  const job_answer& ended, const absl::Status& refusal,
                                  const waiting_count& count, const target_call& call,
                                  const net::exchange_result& result) {
    { codec.decode_routes(text) } -> std::same_as<absl::StatusOr<route_table>>;
    { codec.decode_request(routed) } -> std::same_as<absl::StatusOr<caller_request>>;
    { codec.answer_to(count) } -> std::same_as<caller_answer>;
    { codec.answer_to(unknown_job{}) } -> std::same_as<caller_answer>;
    { codec.answer_to(cancelled_job{}) } -> std::same_as<caller_answer>;
    { codec.answer_to(ended) } -> std::same_as<caller_answer>;
    { codec.answer_to(refusal) } -> std::same_as<caller_answer>;
    { codec.encode(call) } -> std::same_as<encoded_call>;
    { codec.decode(call, result) } -> std::same_as<call_answer>;
};

} // namespace hawthornstall::runs
