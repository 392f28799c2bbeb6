#pragma once

/// A small blocking HTTP/1.1 client and server for the stand-ins of the review.

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// A request or a response. Header names are in lower case.
struct http_message {
    std::string method{}; ///< Of a request.
    std::string path{};   ///< Of a request.
    int status = 0;       ///< Of a response; 0 if there was no whole response.
    std::map<std::string, std::string> headers{};
    std::string body{};
};

/// Owns a socket.
class socket_handle {
public:
    explicit socket_handle(int descriptor = -1) noexcept : descriptor_(descriptor) {}
    ~socket_handle();
    socket_handle(socket_handle&& other) noexcept;
    socket_handle& operator=(socket_handle&& other) noexcept;
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;

    [[nodiscard]] int get() const noexcept { return descriptor_; }
    [[nodiscard]] bool is_open() const noexcept { return descriptor_ >= 0; }

private:
    int descriptor_;
};

/// A connection that is kept open between requests.
class http_connection {
public:
    /// Connects to "IP:PORT". `timeout_ms` limits the connection and each read.
    http_connection(const std::string& address, int timeout_ms);

    [[nodiscard]] bool is_open() const noexcept { return socket_.is_open(); }

    /// Sends a request and waits for the response. Its status is 0 if the connection was closed, or
    /// the time was over, before the response was whole.
    [[nodiscard]] http_message exchange(const std::string& method, const std::string& path,
                                        const std::string& body,
                                        const std::map<std::string, std::string>& headers = {});

private:
    std::string address_;
    socket_handle socket_;
    std::string unread_;
};

/// Sends one request on a connection of its own.
[[nodiscard]] http_message exchange_once(const std::string& address, const std::string& method,
                                         const std::string& path, const std::string& body,
                                         const std::map<std::string, std::string>& headers,
                                         int timeout_ms);

/// Serves each connection on a thread of its own.
class http_server {
public:
    /// An answer with status 0 is not sent, and the connection stays open without one.
    using handler = std::function<http_message(const http_message&)>;

    /// Listens on "IP:PORT". Throws std::runtime_error when it cannot.
    http_server(const std::string& address, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Closes all open connections, as the end of the process would.
    void close_connections();

private:
    void accept_connections();
    void serve(int descriptor);

    handler handle_;
    socket_handle listener_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> workers_;
    std::thread acceptor_;
};

} // namespace review
