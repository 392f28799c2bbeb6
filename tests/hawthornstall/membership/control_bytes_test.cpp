#include "hawthornstall/membership/target_registry.hpp"
#include "hawthornstall/membership/wire_layouts.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::membership {
namespace {

/// Envelope of a message, with the fields that section 10 of the design page names.
struct measured_envelope {
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint32_t kind = 0;
    std::string body;
};

} // namespace
} // namespace hawthornstall::membership

namespace hawthornstall::wire {

template <> struct layout<membership::measured_envelope> {
    static constexpr auto members = std::tuple{
        &membership::measured_envelope::sender, &membership::measured_envelope::incarnation,
        &membership::measured_envelope::kind, &membership::measured_envelope::body};
};

} // namespace hawthornstall::wire

namespace hawthornstall::membership {
namespace {

constexpr std::size_t host_count = 7;
constexpr std::int64_t measured_seconds = 10;
constexpr std::int64_t warm_up_seconds = 5;
/// Values of realistic size, because they decide the encoded size: a wall-clock time as
/// incarnation, and a clock that started eleven days ago.
constexpr std::uint64_t incarnation = 1'764'846'000'000;
constexpr std::int64_t start_ms = 1'000'000'000;

std::string host_name(std::size_t index) {
    return "entry-bilbao-" + std::to_string(index);
}

core::target_announcement make_announcement(std::size_t index, std::uint64_t sequence) {
    core::target_announcement announcement;
    announcement.name = "worker-" + std::to_string(10'000 + index);
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    announcement.zone = "bilbao";
    announcement.rack = "rack-" + std::to_string(index / 8);
    announcement.address = "192.0.2.1:8080";
    announcement.services = {"draws", "x-ray"};
    announcement.capacity = {.slots = 8, .connections = 60};
    return announcement;
}

/// Zone without faults, in which every target renews its lease every second at the same host.
class steady_zone {
public:
    explicit steady_zone(std::size_t targets) : targets_(targets) {
        for (std::size_t index = 0; index < host_count; ++index) {
            registry_config config{.incarnation = incarnation, .zone = "bilbao", .peers = {}};
            for (std::size_t other = 0; other < host_count; ++other) {
                if (other != index) {
                    config.peers.push_back(host_name(other));
                }
            }
            hosts_.emplace_back(std::move(config));
        }
    }

    /// Runs the zone. Returns the bytes per second that its busiest host sends and receives.
    std::size_t run() {
        for (std::int64_t second = 0; second < warm_up_seconds + measured_seconds; ++second) {
            if (second == warm_up_seconds) {
                bytes_ = {};
                transfers_ = 0;
            }
            for (std::int64_t part = 0; part < 2; ++part) {
                step(second, core::from_count(start_ms + 1000 * second + 500 * part), part == 0);
            }
        }
        return std::ranges::max(bytes_) / static_cast<std::size_t>(measured_seconds);
    }

    /// Number of transfers of full state.
    [[nodiscard]] std::size_t transfers() const { return transfers_; }

    /// Whether all targets are usable on all hosts.
    [[nodiscard]] bool all_usable() const {
        return std::ranges::all_of(hosts_, [&](const auto& host) {
            return static_cast<std::size_t>(
                       std::ranges::count_if(host.view().entries(), [&](const auto& item) {
                           return item.second.is_usable(last_step_);
                       })) == targets_;
        });
    }

private:
    void step(std::int64_t second, core::time_ms now, bool renews) {
        last_step_ = now;
        for (std::size_t index = 0; renews && index < targets_; ++index) {
            const auto sequence = static_cast<std::uint64_t>(second) + 1;
            static_cast<void>(
                hosts_[index % host_count].announce(make_announcement(index, sequence), now));
        }
        for (std::size_t index = 0; index < host_count; ++index) {
            send(index, hosts_[index].tick(now), now);
        }
    }

    void send(std::size_t from, const registry_effects& effects, core::time_ms now) {
        for (const auto& [peer, body] : effects) {
            const auto to = static_cast<std::size_t>(peer.back() - '0');
            const auto size =
                wire::encode(
                    measured_envelope{
                        host_name(from), incarnation, static_cast<std::uint32_t>(body.index()),
                        std::visit([](const auto& content) { return wire::encode(content); },
                                   body)})
                    .size();
            bytes_.at(from) += size;
            bytes_.at(to) += size;
            transfers_ += std::holds_alternative<target_state>(body) ? 1 : 0;
            send(to, hosts_[to].receive(host_name(from), incarnation, body, now), now);
        }
    }

    std::size_t targets_;
    std::vector<target_registry> hosts_;
    std::array<std::size_t, host_count> bytes_{};
    std::size_t transfers_ = 0;
    core::time_ms last_step_{};
};

struct size_case {
    std::size_t targets;
    std::size_t bytes_per_second; ///< Limit for one host, sent and received.
};

// Guards against control traffic beyond the budget of 3 KB/s per host at the design scale, and
// against transfers of full state without a mismatch.
TEST_CASE("renewals stay within the control budget") {
    // 5,000 targets in one zone are 18 times the design scale of a zone. The budget doesn't apply
    // to them, so their limit is wider.
    constexpr std::array cases{size_case{50, 3000}, size_case{278, 3000}, size_case{5000, 20'000}};
    for (const auto& test : cases) {
        steady_zone zone{test.targets};
        const auto bytes = zone.run();
        MESSAGE(test.targets, " targets, 7 hosts: ", bytes, " bytes/s per host");
        CHECK(bytes <= test.bytes_per_second);
        CHECK(zone.transfers() == 0);
        CHECK(zone.all_usable());
    }
}

// Guards against a member that is missing from a layout: the receiver would read its default value.
TEST_CASE("membership messages survive a round trip") {
    const clock_sample clock{core::from_count(7), 3, core::from_count(5), core::duration_ms{2}};
    const std::vector<table_change> changes{{4, make_announcement(1, 1)}, {5, std::nullopt}};
    const std::array<message, 5> samples{target_delta{clock, 8, 9, changes, "\x01\xff"},
                                         target_digest{9, 10}, target_state_request{},
                                         target_state{clock, 9, changes, "\x02"},
                                         target_correction{{make_announcement(2, 2)}}};
    for (const auto& sample : samples) {
        CAPTURE(sample.index());
        const auto decoded = wire::decode<message>(wire::encode(sample));
        REQUIRE(decoded.ok());
        CHECK(*decoded == sample);
    }
}

} // namespace
} // namespace hawthornstall::membership
