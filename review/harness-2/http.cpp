#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

constexpr int accept_poll_ms = 50;
constexpr std::size_t read_size = 65'536;

sockaddr_in parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
        throw std::runtime_error{"not an address: " + address};
    }
    return parsed;
}

const sockaddr* as_generic(const sockaddr_in& address) {
    return reinterpret_cast<const sockaddr*>(&address); // NOLINT: interface of the socket API
}

bool wait_for(int descriptor, short events, int timeout_ms) {
    pollfd item{.fd = descriptor, .events = events, .revents = 0};
    return poll(&item, 1, timeout_ms) > 0;
}

void set_timeouts(int descriptor, int timeout_ms) {
    constexpr int ms_per_second = 1'000;
    constexpr suseconds_t us_per_ms = 1'000;
    const timeval time{.tv_sec = timeout_ms / ms_per_second,
                       .tv_usec = timeout_ms % ms_per_second * us_per_ms};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

bool send_all(int descriptor, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto count = send(descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

bool receive_more(int descriptor, std::string& unread) {
    const auto before = unread.size();
    unread.resize(before + read_size);
    const auto count = recv(descriptor, unread.data() + before, read_size, 0);
    unread.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return count > 0;
}

/// Discards what arrives until the peer closes the connection.
void wait_for_end(int descriptor, std::string& unread) {
    while (receive_more(descriptor, unread)) {
        unread.clear();
    }
}

std::string lower_case(std::string text) {
    std::ranges::transform(text, text.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

void read_headers(const std::string& head, http_message& message) {
    auto position = head.find("\r\n");
    while (position != std::string::npos && position + 2 < head.size()) {
        const auto start = position + 2;
        position = head.find("\r\n", start);
        const auto line = head.substr(start, position - start);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[lower_case(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
    }
}

/// Reads a message with a Content-Length. Nothing when the connection ends before its end.
std::optional<http_message> receive_message(int descriptor, std::string& unread) {
    auto end = unread.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!receive_more(descriptor, unread)) {
            return std::nullopt;
        }
        end = unread.find("\r\n\r\n");
    }
    http_message message;
    const auto head = unread.substr(0, end);
    read_headers(head, message);
    const auto line = head.substr(0, head.find("\r\n"));
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    const auto middle = line.substr(first + 1, second - first - 1);
    if (line.starts_with("HTTP/")) {
        message.status = std::stoi(middle);
    } else {
        message.method = line.substr(0, first);
        message.path = middle;
    }
    const auto length = message.headers.find("content-length");
    const auto body_size = length == message.headers.end() ? 0 : std::stoul(length->second);
    const auto body_start = end + 4;
    while (unread.size() < body_start + body_size) {
        if (!receive_more(descriptor, unread)) {
            return std::nullopt;
        }
    }
    message.body = unread.substr(body_start, body_size);
    unread.erase(0, body_start + body_size);
    return message;
}

} // namespace

socket_handle::~socket_handle() {
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

socket_handle::socket_handle(socket_handle&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

socket_handle& socket_handle::operator=(socket_handle&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

http_connection::http_connection(const std::string& address, int timeout_ms) : address_(address) {
    socket_handle opened{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    set_timeouts(opened.get(), timeout_ms);
    const auto parsed = parse_address(address);
    if (connect(opened.get(), as_generic(parsed), sizeof parsed) == 0) {
        socket_ = std::move(opened);
    }
}

http_message http_connection::exchange(const std::string& method, const std::string& path,
                                       const std::string& body,
                                       const std::map<std::string, std::string>& headers) {
    if (!is_open()) {
        return {};
    }
    std::string text = method + ' ' + path + " HTTP/1.1\r\n";
    if (!headers.contains("Host")) {
        text += "Host: " + address_ + "\r\n";
    }
    for (const auto& [name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
    auto answer = send_all(socket_.get(), text) ? receive_message(socket_.get(), unread_)
                                                : std::optional<http_message>{};
    if (!answer) {
        socket_ = socket_handle{};
        return {};
    }
    return std::move(*answer);
}

http_message exchange_once(const std::string& address, const std::string& method,
                           const std::string& path, const std::string& body,
                           const std::map<std::string, std::string>& headers, int timeout_ms) {
    http_connection connection{address, timeout_ms};
    return connection.exchange(method, path, body, headers);
}

http_server::http_server(const std::string& address, handler handle)
    : handle_(std::move(handle)), listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int enabled = 1;
    setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const auto parsed = parse_address(address);
    if (bind(listener_.get(), as_generic(parsed), sizeof parsed) != 0 ||
        listen(listener_.get(), SOMAXCONN) != 0) {
        throw std::runtime_error{"cannot listen on " + address};
    }
    acceptor_ = std::thread{[this] {
        accept_connections();
    }};
}

http_server::~http_server() {
    stopping_ = true;
    acceptor_.join();
    close_connections();
    for (auto& worker : workers_) {
        worker.join();
    }
}

void http_server::close_connections() {
    const std::lock_guard lock{mutex_};
    for (const auto descriptor : open_) {
        shutdown(descriptor, SHUT_RDWR);
    }
}

void http_server::accept_connections() {
    while (!stopping_) {
        if (!wait_for(listener_.get(), POLLIN, accept_poll_ms)) {
            continue;
        }
        const int accepted = accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted >= 0) {
            const std::lock_guard lock{mutex_};
            open_.insert(accepted);
            workers_.emplace_back([this, accepted] { serve(accepted); });
        }
    }
}

void http_server::serve(int descriptor) {
    const socket_handle owned{descriptor};
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    std::string unread;
    while (const auto request = receive_message(descriptor, unread)) {
        const auto answer = handle_(*request);
        if (answer.status == 0) {
            wait_for_end(descriptor, unread);
            break;
        }
        const auto text = "HTTP/1.1 " + std::to_string(answer.status) +
                          " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
        if (!send_all(descriptor, text)) {
            break;
        }
    }
    const std::lock_guard lock{mutex_};
    open_.erase(descriptor);
}

} // namespace review
