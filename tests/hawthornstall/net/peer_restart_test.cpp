#include "hawthornstall/net/peer_links.hpp"
#include "hawthornstall/net/peer_listener.hpp"
#include "hawthornstall/net/socket_address.hpp"
#include "support/loopback.hpp"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <ctime>
#include <fcntl.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace hawthornstall::net {
namespace {

/// The event loop and the links of one simulated process.
class linked_process {
public:
    linked_process(std::string name, std::uint64_t incarnation, std::string address,
                   const peer_endpoint& peer)
        : links_(
              loop_,
              {.name = std::move(name),
               .incarnation = incarnation,
               .listen_address = std::move(address),
               .ping_every = core::duration_ms{1},
               .silent_after = core::duration_ms{20}},
              [](std::string_view, std::uint64_t, std::string_view) {},
              [](std::string_view, link_change) {}),
          started_(links_.start(std::array{peer}).ok()) {}

    void run() { loop_.run(); }
    void run_for(core::duration_ms time) {
        const auto end = loop_.after(time, [this] { loop_.stop(); });
        loop_.run();
    }
    void stop() { loop_.stop(); }

    [[nodiscard]] bool started() const noexcept { return started_; }

private:
    runtime::event_loop loop_;
    peer_links links_;
    bool started_;
};

// Guards against a process that ends with signal 11 because it sends a ping while the connection to
// a peer that has ended is being closed.
TEST_CASE("a process survives peers that restart while it sends pings") {
    constexpr std::size_t pairs = 4;
    constexpr std::uint64_t restarts = 100;
    constexpr core::duration_ms lifetime{5};
    const auto addresses = testing::free_addresses<2 * pairs>();
    std::array<std::thread, pairs> threads;
    std::atomic<std::uint64_t> started = 0;
    for (std::size_t pair = 0; pair < pairs; ++pair) {
        threads.at(pair) = std::thread{[&, pair] {
            const peer_endpoint survivor{"survivor", addresses.at(2 * pair)};
            const peer_endpoint restarted{"restarted", addresses.at(2 * pair + 1)};
            linked_process process{survivor.name, 1, survivor.address, restarted};
            std::thread survivor_thread{[&process] {
                process.run();
            }};
            for (std::uint64_t incarnation = 1; incarnation <= restarts; ++incarnation) {
                linked_process peer{restarted.name, incarnation, restarted.address, survivor};
                started += peer.started() ? 1 : 0;
                peer.run_for(lifetime);
            }
            process.stop();
            survivor_thread.join();
        }};
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(started == pairs * restarts);
}

/// Processor time of this thread.
core::duration_ms thread_time() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr std::int64_t ms_per_second = 1'000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    return core::duration_ms{time.tv_sec * ms_per_second + time.tv_nsec / ns_per_ms};
}

// Guards against a process that uses a whole core, and writes a warning in each iteration of its
// event loop, while it has no descriptor left for a connection that waits to be accepted.
TEST_CASE("a listener without descriptors does not spin") {
    runtime::event_loop loop;
    peer_listener listener{loop, [](std::uint64_t, std::string_view) {
                               return true;
                           }};
    const auto address = testing::free_addresses<1>().front();
    REQUIRE(listener.start(address).ok());
    const auto parsed = parse_socket_address(address);
    REQUIRE(parsed.ok());
    const auto end = loop.after(core::duration_ms{300}, [&loop] { loop.stop(); });
    const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(client >= 0);
    REQUIRE(connect(client, parsed->data(), static_cast<socklen_t>(parsed->length)) == 0);
    rlimit known{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &known) == 0);
    const rlimit none{.rlim_cur = 0, .rlim_max = known.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    const auto before = thread_time();
    loop.run();
    const auto used = thread_time() - before;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &known) == 0);
    close(client);
    CHECK(used.count() < 100);
}

} // namespace
} // namespace hawthornstall::net
