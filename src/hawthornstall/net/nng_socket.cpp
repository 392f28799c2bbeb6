#include "hawthornstall/net/nng_socket.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/runtime/bounded_call.hpp"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <utility>

namespace hawthornstall::net::detail {
namespace {

/// Messages queued per direction. Beyond this number a send fails, which tells the sender that the
/// peer is slow.
constexpr int queue_capacity_messages = 4096;

/// Reconnect attempts are frequent because a peer counts as unreachable after 1,500 ms.
constexpr nng_duration reconnect_min_ms = 50;
constexpr nng_duration reconnect_max_ms = 250;

/// nng_close of nng 1.5 can block forever on a connection that is being closed.
constexpr core::duration_ms close_timeout{1'000};

absl::Status nng_error(int code, core::error_origin origin) {
    return core::make_error(absl::StatusCode::kUnavailable, origin, nng_strerror(code));
}

std::string to_url(std::string_view address) {
    return "tcp://" + std::string{address};
}

} // namespace

nng_message::~nng_message() {
    if (message_ != nullptr) {
        nng_msg_free(message_);
    }
}

nng_message::nng_message(nng_message&& other) noexcept
    : message_(std::exchange(other.message_, nullptr)) {}

std::string_view nng_message::body() const noexcept {
    return {static_cast<const char*>(nng_msg_body(message_)), nng_msg_len(message_)};
}

std::uint32_t nng_message::pipe() const noexcept {
    return static_cast<std::uint32_t>(nng_pipe_id(nng_msg_get_pipe(message_)));
}

absl::Status nng_socket_handle::listen_pull(std::string_view address) {
    (void)close();
    const core::error_origin origin{.step = "listen_for_peers", .peer = address};
    if (const int code = nng_pull0_open(&socket_); code != 0) {
        return nng_error(code, origin);
    }
    nng_socket_set_int(socket_, NNG_OPT_RECVBUF, queue_capacity_messages);
    nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, std::size_t{64} * 1024 * 1024);
    if (const int code = nng_listen(socket_, to_url(address).c_str(), nullptr, 0); code != 0) {
        (void)close();
        return nng_error(code, origin);
    }
    return absl::OkStatus();
}

absl::Status nng_socket_handle::dial_push(std::string_view address) {
    (void)close();
    const core::error_origin origin{.step = "connect_to_peer", .peer = address};
    if (const int code = nng_push0_open(&socket_); code != 0) {
        return nng_error(code, origin);
    }
    nng_socket_set_int(socket_, NNG_OPT_SENDBUF, queue_capacity_messages);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, reconnect_min_ms);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, reconnect_max_ms);
    const int code = nng_dial(socket_, to_url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (code != 0) {
        (void)close();
        return nng_error(code, origin);
    }
    return absl::OkStatus();
}

bool nng_socket_handle::close() noexcept {
    if (nng_socket_id(socket_) <= 0) {
        return true;
    }
    const nng_socket closing = std::exchange(socket_, NNG_SOCKET_INITIALIZER);
    return runtime::ends_within(close_timeout, [closing] { nng_close(closing); });
}

absl::Status nng_socket_handle::send(std::string_view bytes) {
    nng_msg* message = nullptr;
    if (const int code = nng_msg_alloc(&message, 0); code != 0) {
        return nng_error(code, {.step = "send_to_peer", .peer = {}});
    }
    int code = nng_msg_append(message, bytes.data(), bytes.size());
    if (code == 0) {
        code = nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK);
    }
    if (code != 0) {
        nng_msg_free(message);
        return nng_error(code, {.step = "send_to_peer", .peer = {}});
    }
    return absl::OkStatus();
}

std::optional<nng_message> nng_socket_handle::receive() {
    nng_msg* message = nullptr;
    if (nng_recvmsg(socket_, &message, NNG_FLAG_NONBLOCK) != 0) {
        return std::nullopt;
    }
    return nng_message{message};
}

int nng_socket_handle::receive_descriptor() const noexcept {
    int descriptor = -1;
    nng_socket_get_int(socket_, NNG_OPT_RECVFD, &descriptor);
    return descriptor;
}

void close_pipe(std::uint32_t pipe) noexcept {
    nng_pipe handle = NNG_PIPE_INITIALIZER;
    handle.id = pipe;
    nng_pipe_close(handle);
}

} // namespace hawthornstall::net::detail
