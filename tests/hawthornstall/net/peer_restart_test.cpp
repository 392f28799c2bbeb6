#include "hawthornstall/net/peer_links.hpp"
#include "support/loopback.hpp"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>

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

} // namespace
} // namespace hawthornstall::net
