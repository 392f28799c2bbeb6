#pragma once

/// Stand-ins of the platform for the cases in review/: a minion, an operator, clients, and the
/// processes of a small deployment on loopback. Usage: harness SCENARIO FOLDER TROUBLE, or harness
/// minion ID IP PORT ZONE SERVICE CPU LABEL LOG CONTROL...

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline std::int64_t now_ms() {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000;
}

inline std::int64_t wall_ms() {
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000;
}

inline void sleep_ms(std::int64_t time) {
    std::this_thread::sleep_for(std::chrono::milliseconds{std::max<std::int64_t>(time, 0)});
}

inline void sleep_until_ms(std::int64_t time) {
    sleep_ms(time - now_ms());
}

// ---------------------------------------------------------------------------------------- sockets

struct endpoint {
    std::string ip;
    int port = 0;

    [[nodiscard]] std::string text() const { return ip + ':' + std::to_string(port); }
};

inline endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in to_address(const endpoint& where) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &address.sin_addr);
    return address;
}

/// An HTTP message: the start line, the headers in lower case, and the body.
struct message {
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
};

inline std::string to_lower(std::string text) {
    for (auto& character : text) {
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    return text;
}

/// A TCP connection with blocking calls that have a time limit.
class connection {
public:
    connection() = default;
    explicit connection(int descriptor) : descriptor_(descriptor) { set_no_delay(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)), input_(std::move(other.input_)) {}
    connection& operator=(connection&& other) noexcept {
        std::swap(descriptor_, other.descriptor_);
        std::swap(input_, other.input_);
        return *this;
    }
    ~connection() { close(); }

    static connection open(const endpoint& where, std::int64_t timeout) {
        connection opened{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
        const auto address = to_address(where);
        const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
        if (::connect(opened.descriptor_, generic, sizeof address) != 0) {
            int error = errno;
            if (error == EINPROGRESS && opened.wait(POLLOUT, now_ms() + timeout)) {
                socklen_t size = sizeof error;
                getsockopt(opened.descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
            }
            if (error != 0) {
                opened.close();
            }
        }
        return opened;
    }

    void close() {
        if (descriptor_ >= 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }

    bool write(std::string_view bytes, std::int64_t until) {
        while (!bytes.empty()) {
            const auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(count));
            } else if ((errno != EAGAIN && errno != EINTR) || !wait(POLLOUT, until)) {
                return false;
            }
        }
        return true;
    }

    /// Reads a whole message. Empty when the connection ends or the time is over; `timed_out` tells
    /// the two apart.
    std::optional<message> read(std::int64_t until, bool& timed_out) {
        timed_out = false;
        for (;;) {
            if (auto complete = take_message()) {
                return complete;
            }
            if (!wait(POLLIN, until)) {
                timed_out = true;
                return std::nullopt;
            }
            std::array<char, 65'536> bytes{};
            const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
            if (count > 0) {
                input_.append(bytes.data(), static_cast<std::size_t>(count));
            } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
                return std::nullopt;
            }
        }
    }

private:
    void set_no_delay() const {
        const int one = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        fcntl(descriptor_, F_SETFL, fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
    }

    [[nodiscard]] bool wait(short events, std::int64_t until) const {
        pollfd item{.fd = descriptor_, .events = events, .revents = 0};
        const auto left = std::max<std::int64_t>(until - now_ms(), 0);
        return ::poll(&item, 1, static_cast<int>(left)) > 0;
    }

    std::optional<message> take_message() {
        const auto end = input_.find("\r\n\r\n");
        if (end == std::string::npos) {
            return std::nullopt;
        }
        message found;
        std::istringstream head{input_.substr(0, end)};
        std::string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(": ");
            if (found.start.empty()) {
                found.start = line;
            } else if (colon != std::string::npos) {
                found.headers[to_lower(line.substr(0, colon))] = line.substr(colon + 2);
            }
        }
        const auto length = static_cast<std::size_t>(
            std::strtoull(found.header("content-length").c_str(), nullptr, 10));
        constexpr std::size_t separator = 4;
        if (input_.size() < end + separator + length) {
            return std::nullopt;
        }
        found.body = input_.substr(end + separator, length);
        input_.erase(0, end + separator + length);
        return found;
    }

    int descriptor_ = -1;
    std::string input_;
};

inline std::string make_request(const std::string& method, const std::string& path,
                                const std::string& host, const std::string& body,
                                const std::string& more_headers = {}) {
    return method + ' ' + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Type: application/json\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline int status_of(const message& answer) {
    return answer.start.size() < 12 ? 0 : std::atoi(answer.start.c_str() + 9);
}

/// One call on a connection of its own. Status 0: no whole answer in time.
inline std::pair<int, std::string> call(const endpoint& where, const std::string& method,
                                        const std::string& path, const std::string& host,
                                        const std::string& body, std::int64_t timeout) {
    const auto until = now_ms() + timeout;
    auto link = connection::open(where, timeout);
    bool timed_out = false;
    if (!link.is_open() || !link.write(make_request(method, path, host, body), until)) {
        return {0, {}};
    }
    const auto answer = link.read(until, timed_out);
    return answer ? std::pair{status_of(*answer), answer->body} : std::pair{0, std::string{}};
}

inline int listen_on(const endpoint& where) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = to_address(where);
    const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
    if (::bind(descriptor, generic, sizeof address) != 0 || ::listen(descriptor, 256) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

// ----------------------------------------------------------------------------------------- minion

struct minion_options {
    std::string id;
    endpoint address;
    std::string zone;
    std::string service;
    std::int64_t cpu = 0;
    std::string label;
    std::string log;
    std::int64_t mute_ms = 0; ///< For so long after its start it cannot reach the control machines.
    int late_start =
        0; ///< Which start of this life is left unanswered and carried out late; 0: none.
    std::int64_t late_ms = 0;
    std::vector<endpoint> control;
};

/// Reads the words that deployment::add_minion writes.
inline minion_options parse_minion(const std::vector<std::string>& words) {
    constexpr std::size_t first_control = 13;
    minion_options options{.id = words.at(2),
                           .address = {words.at(3), std::atoi(words.at(4).c_str())},
                           .zone = words.at(5),
                           .service = words.at(6),
                           .cpu = std::atoll(words.at(7).c_str()),
                           .label = words.at(8),
                           .log = words.at(9),
                           .mute_ms = std::atoll(words.at(10).c_str()),
                           .late_start = std::atoi(words.at(11).c_str()),
                           .late_ms = std::atoll(words.at(12).c_str()),
                           .control = {}};
    for (std::size_t index = first_control; index < words.size(); ++index) {
        options.control.push_back(parse_endpoint(words[index]));
    }
    return options;
}

/// Orders to a minion from the platform's side, by signal: SIGUSR1 cuts it off from all machines
/// for cut_ms, SIGUSR2 makes it leave the next call of /api/hold unanswered and carry it out late,
/// with its time counted from then.
struct minion_signals {
    static inline std::atomic<bool> cut{false};
    static inline std::atomic<int> late_holds{0};

    static void install() {
        std::signal(SIGUSR1, [](int) { cut = true; });
        std::signal(SIGUSR2, [](int) { ++late_holds; });
    }
};

/// A minion as PROTOCOL.md describes it: runs, leases, fences, ends and heartbeats. A task takes as
/// many ms as its specification says in its first word. The log has one line for each event.
class minion {
public:
    explicit minion(minion_options options)
        : options_(std::move(options)), log_(options_.log, std::ios::app), born_(wall_ms()),
          started_(now_ms()) {}

    [[noreturn]] void run() {
        const int listener = listen_on(options_.address);
        if (listener < 0) {
            std::cerr << "cannot listen on " << options_.address.text() << '\n';
            std::_Exit(exit_not_run);
        }
        minion_signals::install();
        write_log("born " + options_.label + ' ' + std::to_string(options_.cpu));
        std::thread{[this] {
            end_runs();
        }}.detach();
        std::thread{[this] {
            watch_cut();
        }}.detach();
        std::thread{[this] {
            send_heartbeats();
        }}.detach();
        for (;;) {
            const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                std::thread{[this, accepted] {
                    serve(connection{accepted});
                }}.detach();
            }
        }
    }

private:
    struct run_state {
        std::int64_t done_at = 0;
        std::int64_t cpu = 0;
    };
    using run_id = std::pair<std::string, std::uint64_t>;

    [[nodiscard]] std::int64_t clock() const { return now_ms() - started_ + 1; }

    void write_log(const std::string& text) {
        log_ << now_ms() << ' ' << options_.id << ' ' << text << std::endl;
    }

    void serve(connection link) {
        constexpr std::int64_t longest_idle = 600'000;
        bool timed_out = false;
        while (const auto request = link.read(now_ms() + longest_idle, timed_out)) {
            const bool is_start = request->start.find("/api/run-start") != std::string::npos;
            ++orders_;
            wait_for_end_of_cut();
            if (request->start.find("/api/hold") != std::string::npos && take_late_hold()) {
                const std::lock_guard lock{mutex_};
                write_log("leaves a hold unanswered");
                std::thread{[this] {
                    extend_lease_late();
                }}.detach();
                continue;
            }
            if (is_start && ++starts_ == options_.late_start) {
                const std::lock_guard lock{mutex_};
                const auto body = json::parse(request->body, nullptr, false);
                write_log("leaves unanswered " + body.value("task", std::string{}));
                std::thread{[this, late = *request] {
                    carry_out_late(late);
                }}.detach();
                continue;
            }
            const auto [status, body] = answer_to(*request);
            wait_for_end_of_cut();
            const auto text = body.dump();
            const auto reply = "HTTP/1.1 " + std::to_string(status) +
                               " X\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(text.size()) + "\r\n\r\n" + text;
            if (!link.write(reply, now_ms() + 1'000)) {
                return;
            }
        }
    }

    void watch_cut() {
        constexpr std::int64_t cut_ms = 5'500;
        for (;;) {
            sleep_ms(1);
            if (minion_signals::cut.exchange(false)) {
                cut_until_ = now_ms() + cut_ms;
                const std::lock_guard lock{mutex_};
                write_log("is cut off from all machines");
            }
        }
    }

    void wait_for_end_of_cut() const {
        while (now_ms() < cut_until_) {
            sleep_ms(5);
        }
    }

    static bool take_late_hold() {
        auto count = minion_signals::late_holds.load();
        while (count > 0) {
            if (minion_signals::late_holds.compare_exchange_weak(count, count - 1)) {
                return true;
            }
        }
        return false;
    }

    /// The hold is carried out, with as long a lease as allowed from now on.
    void extend_lease_late() {
        constexpr std::int64_t late_ms = 2'050;
        constexpr std::int64_t max_hold = 1'000;
        sleep_ms(late_ms);
        const std::lock_guard lock{mutex_};
        lease_end_ = std::max(lease_end_, clock() + max_hold);
        write_log("has carried out the hold");
    }

    void carry_out_late(const message& request) {
        sleep_ms(options_.late_ms);
        const auto [status, body] = answer_to(request);
        const std::lock_guard lock{mutex_};
        write_log("has carried out the late order: " + std::to_string(status) + ' ' + body.dump() +
                  " of " + std::to_string(orders_) + " orders in this life");
    }

    std::pair<int, json> answer_to(const message& request) {
        std::unique_lock lock{mutex_};
        const auto body = json::parse(request.body, nullptr, false);
        if (request.header("x-expect-instance") != options_.id) {
            return {421, json::object()};
        }
        if (!body.is_object()) {
            return {400, json::object()};
        }
        const auto token = body.value("fencing_token", std::uint64_t{0});
        if (token < token_) {
            return reject("fence");
        }
        token_ = token;
        if (request.start.find("/api/run-start") != std::string::npos) {
            return start(body);
        }
        if (request.start.find("/api/run-stop") != std::string::npos) {
            return stop(body);
        }
        return hold(body, lock);
    }

    [[nodiscard]] std::pair<int, json> reject(const char* reason) const {
        return {409, {{"clock_ms", clock()}, {"born", born_}, {"reason", reason}}};
    }

    void extend_lease(const json& body) {
        constexpr std::int64_t max_hold = 1'000;
        const auto until = body.value("deadline_ms", std::int64_t{0});
        lease_end_ = std::max(lease_end_, std::min(until, clock() + max_hold));
    }

    std::pair<int, json> start(const json& body) {
        const run_id id{body.value("task", std::string{}), body.value("run", std::uint64_t{0})};
        if (running_.count(id) > 0) {
            extend_lease(body);
            return {200, {{"clock_ms", clock()}, {"born", born_}}};
        }
        const auto old = highest_ended_.find(id.first);
        if (old != highest_ended_.end() && id.second <= old->second) {
            extend_lease(body);
            return reject("old");
        }
        if (body.value("deadline_ms", std::int64_t{0}) < clock()) {
            return reject("late");
        }
        extend_lease(body);
        const auto text = body.value("specification", std::string{});
        running_[id] = {.done_at = clock() + std::strtoll(text.c_str(), nullptr, 10), .cpu = 0};
        write_log("start " + id.first + ' ' + std::to_string(id.second) + ' ' + text);
        return {200, {{"clock_ms", clock()}, {"born", born_}}};
    }

    std::pair<int, json> stop(const json& body) {
        const run_id id{body.value("task", std::string{}), body.value("run", std::uint64_t{0})};
        highest_ended_[id.first] = std::max(highest_ended_[id.first], id.second);
        if (running_.erase(id) > 0) {
            end(id, "stopped");
        }
        return {200, {{"clock_ms", clock()}, {"born", born_}}};
    }

    std::pair<int, json> hold(const json& body, std::unique_lock<std::mutex>& lock) {
        extend_lease(body);
        const auto seen = body.value("last_seen", std::uint64_t{0});
        std::erase_if(ended_, [&](const json& row) { return row[0].get<std::uint64_t>() <= seen; });
        const auto wait = std::chrono::milliseconds{body.value("wait_ms", std::int64_t{0})};
        changed_.wait_for(lock, wait, [&] { return !ended_.empty(); });
        json answer{{"clock_ms", clock()}, {"born", born_}};
        answer["running"] = json::array();
        for (const auto& [id, state] : running_) {
            answer["running"].push_back({id.first, id.second, "", 100, 0});
        }
        answer["ended"] = ended_;
        return {200, answer};
    }

    void end(const run_id& id, const char* how) {
        highest_ended_[id.first] = std::max(highest_ended_[id.first], id.second);
        ended_.push_back({++last_end_, id.first, id.second, how, ""});
        write_log("end " + id.first + ' ' + std::to_string(id.second) + ' ' + how);
        changed_.notify_all();
    }

    void end_runs() {
        for (;;) {
            sleep_ms(2);
            const std::lock_guard lock{mutex_};
            const auto time = clock();
            for (auto item = running_.begin(); item != running_.end();) {
                const bool done = time >= item->second.done_at;
                if (!done && time <= lease_end_) {
                    ++item;
                    continue;
                }
                const auto id = item->first;
                item = running_.erase(item);
                end(id, done ? "done" : "lapsed");
            }
        }
    }

    void send_heartbeats() {
        constexpr std::int64_t interval = 1'500;
        std::uint64_t sequence = 0;
        sleep_ms(options_.mute_ms);
        auto due = now_ms();
        for (std::size_t next = 0;; ++next) {
            const json beat{
                {"service", options_.service},
                {"address", options_.address.text()},
                {"zone", options_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"capacity", {{"cpu", options_.cpu}, {"requested_memory_mb", 262'144}, {"gpu", 0}}},
                {"labels", {options_.label, "r1-1"}},
                {"clock_ms", clock()},
                {"born", born_},
                {"sequence", ++sequence}};
            wait_for_end_of_cut();
            write_log("has had " + std::to_string(orders_) + " orders");
            const auto& where = options_.control[next % options_.control.size()];
            const auto path = "/api/instances/" + options_.id + "/heartbeat";
            const auto answer = call(where, "POST", path, where.text(), beat.dump(), 1'000);
            if (answer.first / 100 == 2) {
                due = std::max(due + interval, now_ms());
                sleep_until_ms(due);
            } else {
                sleep_ms(20);
            }
        }
    }

    minion_options options_;
    std::ofstream log_;
    std::int64_t born_;
    std::int64_t started_;
    std::atomic<std::int64_t> cut_until_{0};
    std::atomic<int> starts_{0};
    std::atomic<int> orders_{0};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t token_ = 0;
    std::int64_t lease_end_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<run_id, run_state> running_;
    std::map<std::string, std::uint64_t> highest_ended_;
    std::vector<json> ended_;
};

// ------------------------------------------------------------------------------------- deployment

/// A child process that the kernel kills when the harness ends.
class process {
public:
    process(std::vector<std::string> arguments, std::string log)
        : arguments_(std::move(arguments)), log_(std::move(log)) {}
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&&) = delete;
    process& operator=(process&&) = delete;
    ~process() { kill(); }

    void start() {
        std::vector<char*> argv;
        for (auto& word : arguments_) {
            argv.push_back(word.data());
        }
        argv.push_back(nullptr);
        const auto parent = getpid();
        pid_ = fork();
        started_ = true;
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) {
                _exit(exit_not_run);
            }
            const int output = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            execv(argv.front(), argv.data());
            _exit(127);
        }
    }

    void signal(int number) const {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    void kill() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            waitpid(std::exchange(pid_, -1), nullptr, 0);
            started_ = false;
        }
    }

    /// Whether the process is to run: it was started, and not killed for good.
    [[nodiscard]] bool was_started() const { return started_; }

    /// Whether the process has ended by itself.
    bool has_ended() {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ <= 0;
    }

    /// Sets a word of the command line, for the next start.
    void set_word(std::size_t position, const std::string& word) { arguments_.at(position) = word; }

private:
    std::vector<std::string> arguments_;
    std::string log_;
    pid_t pid_ = -1;
    bool started_ = false;
};

struct job_plan {
    std::string id;
    json body;
    std::int64_t deadline = 1'500;
};

/// One event of the record.
class record_file {
public:
    explicit record_file(const std::string& path) : file_(path), origin_(now_ms()) {}

    void write(const std::string& text) {
        const std::lock_guard lock{mutex_};
        file_ << (now_ms() - origin_) << " ms: " << text << std::endl;
    }
    [[nodiscard]] std::int64_t origin() const { return origin_; }
    std::ofstream& file() { return file_; }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t origin_;
};

/// Ports that every machine of the deployment has.
struct port_set {
    int callers = 0;
    int ready = 0;
    int operators = 0;
    int control_peer = 0;
    int entry_peer = 0;
    int minion = 0;
};

class deployment {
public:
    deployment(record_file& record, std::string folder)
        : record_(record), folder_(std::move(folder)),
          network_("127." + std::to_string(20 + getpid() % 200) + '.') {
        int base = 21'000 + getpid() % 9'000;
        while (!are_free(base)) {
            base += port_count;
        }
        ports_ = {base, base + 1, base + 2, base + 3, base + 4, base + 5};
    }

    /// Control host 3 is the one that replaces control host 2, in its zone.
    [[nodiscard]] std::string control_ip(int index) const {
        return network_ + std::to_string(zone_of_control(index) + 1) + (index < 3 ? ".32" : ".33");
    }
    [[nodiscard]] std::string entry_ip(int index) const {
        return network_ + std::to_string(index % 3 + 1) + '.' + std::to_string(13 + index);
    }
    [[nodiscard]] std::string minion_ip(int index) const {
        return network_ + std::to_string(index % 3 + 1) + '.' + std::to_string(100 + index);
    }
    [[nodiscard]] endpoint callers(int index) const { return {entry_ip(index), ports_.callers}; }
    [[nodiscard]] endpoint ready(int index) const { return {entry_ip(index), ports_.ready}; }
    [[nodiscard]] endpoint operators(int zone) const {
        return {control_ip(zone), ports_.operators};
    }

    void write_settings(const std::string& name, const std::string& ip, int zone,
                        const json& more) const {
        json settings{{"name", name},
                      {"zone", zone_name(zone)},
                      {"ip", ip},
                      {"cpu_share", more.contains("data_folder") ? 0.5 : 0.25},
                      {"control_peer_port", ports_.control_peer},
                      {"entry_peer_port", ports_.entry_peer},
                      {"shutdown_grace_s", 6},
                      {"seeds", json::array()}};
        for (const int seed : seeds) {
            settings["seeds"].push_back(operators(seed).text());
        }
        settings.update(more);
        std::ofstream{folder_ + '/' + name + ".json"} << settings.dump(1) << '\n';
    }

    void write_control_settings(int zone, bool bootstrap) const {
        const auto name = "control-" + std::to_string(zone);
        const auto data = folder_ + "/data-" + name;
        std::filesystem::create_directories(data);
        write_settings(name, control_ip(zone), zone_of_control(zone),
                       {{"may_found", bootstrap},
                        {"operator_address", operators(zone).text()},
                        {"data_folder", data}});
    }

    [[nodiscard]] std::string data_folder(int zone) const {
        return folder_ + "/data-control-" + std::to_string(zone);
    }

    /// Empties the data folder of a stopped control host.
    void wipe_data(int zone) const {
        std::filesystem::remove_all(data_folder(zone));
        write_control_settings(zone, false);
    }

    void add_control(int index, bool bootstrap) {
        write_control_settings(index, bootstrap);
        controls.push_back(make_program("control", "control-" + std::to_string(index)));
    }

    void add_controls() {
        for (int index = 0; index < 3; ++index) {
            add_control(index, true);
        }
    }

    void write_entry_settings(int index) const {
        write_settings("entry-" + std::to_string(index), entry_ip(index), index % 3,
                       {{"caller_address", callers(index).text()},
                        {"readiness_address", ready(index).text()},
                        {"longest_lease_ms", 1'000},
                        {"stop_time_ms", 50},
                        {"resubmission_delay_ms", 1'300}});
    }

    void add_entries(int count) {
        for (int index = 0; index < count; ++index) {
            write_entry_settings(index);
            entries.push_back(make_program("entry", "entry-" + std::to_string(index)));
        }
    }

    void add_minion(const std::string& self, std::int64_t cpu, const std::string& label) {
        const auto index = static_cast<int>(minions.size());
        const auto id = "i-" + std::to_string(index);
        std::vector<std::string> words{self,
                                       "minion",
                                       id,
                                       minion_ip(index),
                                       std::to_string(ports_.minion),
                                       zone_name(index % 3),
                                       "svc1",
                                       std::to_string(cpu),
                                       label,
                                       folder_ + "/minions.log",
                                       "0",
                                       "0",
                                       "0"};
        for (int zone = 0; zone < 3; ++zone) {
            words.push_back(operators((zone + index) % 3).text());
        }
        minions.push_back(std::make_unique<process>(words, folder_ + '/' + id + ".log"));
    }

    void start_all() {
        for (auto* group : {&controls, &entries, &minions}) {
            for (auto& item : *group) {
                item->start();
            }
        }
    }

    /// Sends a configuration until a node acknowledges it.
    bool put_config(const json& config, std::int64_t timeout) {
        const auto until = now_ms() + timeout;
        for (std::size_t node = 0; now_ms() < until; node = (node + 1) % seeds.size()) {
            const auto where = operators(seeds.at(node));
            const auto answer =
                call(where, "POST", "/api/configuration/put", where.text(), config.dump(), 1'000);
            if (answer.first / 100 == 2) {
                record_.write("configuration " + config["version"].dump() + " acknowledged by " +
                              where.text());
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }

    /// Waits until all entry hosts are ready.
    bool wait_ready(std::int64_t timeout) {
        const auto until = now_ms() + timeout;
        for (std::size_t index = 0; index < entries.size();) {
            const auto where = ready(static_cast<int>(index));
            if (call(where, "GET", "/api/readiness", where.text(), {}, 500).first == 200) {
                ++index;
            } else if (now_ms() > until) {
                return false;
            } else {
                sleep_ms(50);
            }
        }
        return true;
    }

    [[nodiscard]] std::vector<std::string> minion_log() const {
        std::vector<std::string> lines;
        std::ifstream file{folder_ + "/minions.log"};
        for (std::string line; std::getline(file, line);) {
            lines.push_back(line);
        }
        return lines;
    }

    /// Appends what the minions did to the record, with times since its origin.
    void copy_minion_log() {
        record_.file() << "what the minions did, ms since the start of the record:\n";
        for (const auto& line : minion_log()) {
            const auto space = line.find(' ');
            record_.file() << (std::atoll(line.c_str()) - record_.origin()) << line.substr(space)
                           << '\n';
        }
        record_.file().flush();
    }

    /// Positions in the command line of a minion.
    static constexpr std::size_t mute_word = 10;
    static constexpr std::size_t late_start_word = 11;
    static constexpr std::size_t late_ms_word = 12;

    /// Control hosts that the settings name, and that callers know.
    std::array<int, 3> seeds{0, 1, 2};
    std::vector<std::unique_ptr<process>> controls;
    std::vector<std::unique_ptr<process>> entries;
    std::vector<std::unique_ptr<process>> minions;

private:
    static constexpr int port_count = 6;

    static int zone_of_control(int index) { return std::min(index, 2); }

    [[nodiscard]] bool are_free(int base) const {
        for (int port = base; port < base + port_count; ++port) {
            const int descriptor = listen_on({control_ip(0), port});
            if (descriptor < 0) {
                return false;
            }
            ::close(descriptor);
        }
        return true;
    }

    static std::string zone_name(int zone) {
        constexpr std::array names{"bilbao", "oviedo", "pamplona"};
        return names.at(static_cast<std::size_t>(zone));
    }

    [[nodiscard]] std::unique_ptr<process> make_program(const std::string& role,
                                                        const std::string& name) const {
        return std::make_unique<process>(
            std::vector<std::string>{"target/bin/hawthornstall-platform-" + role, "--settings",
                                     folder_ + '/' + name + ".json"},
            folder_ + '/' + name + ".log");
    }

    record_file& record_;
    std::string folder_;
    std::string network_;
    port_set ports_;
};

constexpr const char* queue_host = "nony24.example";
constexpr const char* queue_prefix = "/lohu930/";

inline json make_config(std::uint64_t version) {
    constexpr std::int64_t timeout = 1'500;
    return {{"version", version},
            {"routes",
             {{{"name", "r-1"},
               {"host", queue_host},
               {"path_prefix", queue_prefix},
               {"kind", "unsafe"},
               {"timeout_ms", timeout},
               {"target_latency_ms", 60},
               {"priority", 0},
               {"service", "svc1"},
               {"retry_attempts", 4},
               {"stretch", 1.6}}}},
            {"services",
             {{{"name", "svc1"},
               {"health_path", "/health"},
               {"max_connections", 64},
               {"protocol", "h1"},
               {"tls", false},
               {"enforces_capacity", false},
               {"spare", false}}}},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", 262'144},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}}};
}

inline std::string job_id(int number) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016x", 0x5c0e0000 + number);
    return text.data();
}

inline json make_step(int count, std::int64_t run_ms, const std::string& label = {}) {
    json step{
        {"count", count}, {"cpu", 27'000}, {"requested_memory_mb", 64}, {"estimated_ms", run_ms}};
    if (!label.empty()) {
        step["requirements"] = label;
    }
    return step;
}

inline json make_job(std::int64_t run_ms, const std::vector<json>& steps) {
    return {{"specification", std::to_string(run_ms) + " work"},
            {"best_effort", true},
            {"steps", steps}};
}

/// What a client has seen of its request.
struct outcome {
    int status = 0;         ///< 0: no whole answer.
    bool timed_out = false; ///< The client's own time was over.
    std::int64_t sent = 0;
    std::int64_t ended = 0;
    std::string body;
};

/// Sends a job on an open connection and waits for its answer as long as its deadline says.
inline outcome submit(connection& link, const job_plan& job) {
    outcome seen;
    seen.sent = now_ms();
    const auto request =
        make_request("POST", queue_prefix + job.id, queue_host, job.body.dump(),
                     "X-Deadline-Milliseconds: " + std::to_string(job.deadline) + "\r\n");
    std::optional<message> answer;
    if (link.write(request, seen.sent + job.deadline)) {
        answer = link.read(seen.sent + job.deadline, seen.timed_out);
    }
    seen.ended = now_ms();
    if (answer) {
        seen.status = status_of(*answer);
        seen.body = answer->body;
    }
    return seen;
}

inline std::string describe(const job_plan& job, const outcome& seen, std::int64_t origin) {
    std::string text = "job " + job.id + " sent at " + std::to_string(seen.sent - origin) +
                       " ms, deadline " + std::to_string(job.deadline) + " ms: ";
    if (seen.status != 0) {
        text += "status " + std::to_string(seen.status) + ' ' + seen.body;
    } else {
        text +=
            seen.timed_out ? "no answer by the deadline" : "the connection ended without an answer";
    }
    return text + " after " + std::to_string(seen.ended - seen.sent) + " ms";
}

inline std::uint64_t inode_of(const std::string& path) {
    struct stat info {};
    return ::stat(path.c_str(), &info) == 0 ? info.st_ino : 0;
}

/// What a scenario gets.
struct scenario_context {
    record_file& record;
    deployment& system;
    std::string self;
    bool trouble = true;
};

/// Runs a short job at each entry host until all succeed, so that targets are claimed.
inline bool warm_up(scenario_context& context, int& next_job) {
    for (std::size_t index = 0; index < context.system.entries.size(); ++index) {
        const auto until = now_ms() + 15'000;
        for (;;) {
            auto link = connection::open(context.system.callers(static_cast<int>(index)), 1'000);
            const job_plan job{job_id(++next_job), make_job(50, {make_step(1, 50)}), 1'500};
            if (link.is_open() && submit(link, job).status == 200) {
                break;
            }
            if (now_ms() > until) {
                return false;
            }
            sleep_ms(200);
        }
    }
    return true;
}

inline bool start_system(scenario_context& context, const json& config, int& next_job) {
    context.system.start_all();
    return context.system.put_config(config, 20'000) && context.system.wait_ready(20'000) &&
           warm_up(context, next_job);
}

} // namespace review
