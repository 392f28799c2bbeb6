#include "hawthornstall/discovery/check_target.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::discovery {
namespace {

target_record valid_record() {
    return {.id = "w-1",
            .incarnation = 1'700'000'000'000,
            .sequence = 4,
            .service = "restock",
            .address = "10.0.0.1:80",
            .zone = "bilbao",
            .labels = {"a", "r1-3"},
            .capacity = {.cpu_millis = 16'000, .memory_mb = 32'768, .accelerators = 1}};
}

struct limit_case {
    std::string_view name;
    std::function<void(target_record&)> change;
    bool accepted = true;
};

// Guards against a limit that is off by one or is not enforced.
TEST_CASE("a target is accepted up to each limit") {
    using record = target_record;
    const std::vector<limit_case> cases{
        {"valid record",
         [](record&) {
         }},
        {"longest id",
         [](record& item) {
             item.id.assign(max_name_bytes, 'i');
         }},
        {"too long id", [](record& item) { item.id.assign(max_name_bytes + 1, 'i'); }, false},
        {"empty id", [](record& item) { item.id.clear(); }, false},
        {"id with a space", [](record& item) { item.id = "w 1"; }, false},
        {"longest service",
         [](record& item) {
             item.service.assign(max_name_bytes, 's');
         }},
        {"too long service", [](record& item) { item.service.assign(max_name_bytes + 1, 's'); },
         false},
        {"empty service", [](record& item) { item.service.clear(); }, false},
        {"longest zone",
         [](record& item) {
             item.zone.assign(max_name_bytes, 'z');
         }},
        {"too long zone", [](record& item) { item.zone.assign(max_name_bytes + 1, 'z'); }, false},
        {"most labels",
         [](record& item) {
             item.labels.assign(max_labels, "a");
         }},
        {"too many labels", [](record& item) { item.labels.assign(max_labels + 1, "a"); }, false},
        {"longest label",
         [](record& item) {
             item.labels = {std::string(max_name_bytes, 'a')};
         }},
        {"too long label",
         [](record& item) { item.labels = {std::string(max_name_bytes + 1, 'a')}; }, false},
        {"largest port",
         [](record& item) {
             item.address = "10.0.0.1:65535";
         }},
        {"too large port", [](record& item) { item.address = "10.0.0.1:65536"; }, false},
        {"port 0", [](record& item) { item.address = "10.0.0.1:0"; }, false},
        {"host name", [](record& item) { item.address = "localhost:80"; }, false},
        {"latest start time",
         [](record& item) {
             item.incarnation = max_incarnation;
         }},
        {"too late start time", [](record& item) { item.incarnation = max_incarnation + 1; },
         false},
        {"largest sequence",
         [](record& item) {
             item.sequence = max_sequence;
         }},
        {"too large sequence", [](record& item) { item.sequence = max_sequence + 1; }, false},
        {"largest capacity",
         [](record& item) {
             item.capacity = max_capacity;
         }},
        {"no capacity",
         [](record& item) {
             item.capacity = {};
         }},
        {"too many cores",
         [](record& item) { item.capacity.cpu_millis = max_capacity.cpu_millis + 1; }, false},
        {"too much memory",
         [](record& item) { item.capacity.memory_mb = max_capacity.memory_mb + 1; }, false},
        {"too many accelerators",
         [](record& item) { item.capacity.accelerators = max_capacity.accelerators + 1; }, false},
        {"negative cores", [](record& item) { item.capacity.cpu_millis = -1; }, false},
        {"negative memory", [](record& item) { item.capacity.memory_mb = -1; }, false},
        {"negative accelerators", [](record& item) { item.capacity.accelerators = -1; }, false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        auto changed = valid_record();
        item.change(changed);
        CHECK(check_target(changed).ok() == item.accepted);
    }
}

} // namespace
} // namespace hawthornstall::discovery
