#include "hawthornstall/runs/message_packing.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/runs/run_layouts.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>
#include <variant>

namespace hawthornstall::runs {
namespace detail {

/// What grant_run and start_run say about a single run.
struct packed_run {
    std::uint64_t key_offset = 0; ///< Added to the key of the group.
    std::uint32_t holder = 0;     ///< Position in the list of lease holders; grants only.
    std::string target{};
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t number = 0;
};

/// Consecutive grants of one submission.
struct packed_grants {
    std::uint64_t submission = 0;
    std::uint64_t first_key = 0;
    std::vector<std::string> holders{};
    std::vector<packed_run> runs{};
};

/// Consecutive starts of one submission by one scheduler.
struct packed_starts {
    std::string scheduler{};
    std::uint64_t submission = 0;
    std::uint64_t first_key = 0;
    std::string job{};
    std::string specification{};
    core::time_ms caller_leaves_at{};
    core::resources resources{};
    std::vector<packed_run> runs{};
};

/// An element of an encoded list. Messages other than grants and starts stand alone.
using packed_item = std::variant<run_message, packed_grants, packed_starts>;

bool belongs_to(const packed_grants& group, const grant_run& grant) {
    return group.submission == grant.number && grant.key >= group.first_key;
}

bool belongs_to(const packed_starts& group, const start_run& start) {
    return group.submission == start.submission && group.scheduler == start.scheduler &&
           start.key >= group.first_key && group.job == start.run.task.job &&
           group.specification == start.specification &&
           group.caller_leaves_at == start.caller_leaves_at && group.resources == start.resources;
}

packed_grants make_group(const grant_run& grant) {
    return {.submission = grant.number, .first_key = grant.key, .holders = {}, .runs = {}};
}

packed_starts make_group(const start_run& start) {
    return {.scheduler = start.scheduler,
            .submission = start.submission,
            .first_key = start.key,
            .job = start.run.task.job,
            .specification = start.specification,
            .caller_leaves_at = start.caller_leaves_at,
            .resources = start.resources,
            .runs = {}};
}

void add(packed_grants& group, const grant_run& grant) {
    auto holder = std::ranges::find(group.holders, grant.holder);
    if (holder == group.holders.end()) {
        holder = group.holders.insert(group.holders.end(), grant.holder);
    }
    group.runs.push_back({.key_offset = grant.key - group.first_key,
                          .holder = static_cast<std::uint32_t>(holder - group.holders.begin()),
                          .target = grant.target,
                          .step = grant.step,
                          .index = grant.index,
                          .number = grant.run});
}

void add(packed_starts& group, const start_run& start) {
    group.runs.push_back({.key_offset = start.key - group.first_key,
                          .holder = 0,
                          .target = start.target,
                          .step = start.run.task.step,
                          .index = start.run.task.index,
                          .number = start.run.number});
}

/// Adds a grant or start to the last item if that is its group, else as a new group.
template <class Group, class Message>
void add_to_group(std::vector<packed_item>& items, const Message& message) {
    auto* const last = items.empty() ? nullptr : std::get_if<Group>(&items.back());
    if (last != nullptr && belongs_to(*last, message)) {
        add(*last, message);
        return;
    }
    auto group = make_group(message);
    add(group, message);
    items.emplace_back(std::move(group));
}

std::vector<packed_item> group_messages(std::span<const run_message> messages) {
    std::vector<packed_item> items;
    for (const auto& message : messages) {
        if (const auto* const grant = std::get_if<grant_run>(&message)) {
            add_to_group<packed_grants>(items, *grant);
        } else if (const auto* const start = std::get_if<start_run>(&message)) {
            add_to_group<packed_starts>(items, *start);
        } else {
            items.emplace_back(message);
        }
    }
    return items;
}

/// Appends the messages of an item. Returns whether the item is consistent.
bool append_messages(run_message&& message, std::vector<run_message>& messages) {
    messages.push_back(std::move(message));
    return true;
}

bool append_messages(packed_grants&& group, std::vector<run_message>& messages) {
    for (auto& run : group.runs) {
        if (run.holder >= group.holders.size()) {
            return false;
        }
        messages.emplace_back(grant_run{.number = group.submission,
                                        .key = group.first_key + run.key_offset,
                                        .holder = group.holders[run.holder],
                                        .target = std::move(run.target),
                                        .step = run.step,
                                        .index = run.index,
                                        .run = run.number});
    }
    return true;
}

bool append_messages(packed_starts&& group, std::vector<run_message>& messages) {
    for (auto& run : group.runs) {
        messages.emplace_back(
            start_run{.scheduler = group.scheduler,
                      .key = group.first_key + run.key_offset,
                      .target = std::move(run.target),
                      .run = {.task = {group.job, run.step, run.index}, .number = run.number},
                      .specification = group.specification,
                      .resources = group.resources,
                      .submission = group.submission,
                      .caller_leaves_at = group.caller_leaves_at});
    }
    return true;
}

std::size_t count_of(const run_message& /*message*/) {
    return 1;
}
template <class Group> std::size_t count_of(const Group& group) {
    return group.runs.size();
}

std::size_t kind_of(const run_message& message) {
    return message.index();
}
std::size_t kind_of(const packed_grants& /*group*/) {
    return run_message{grant_run{}}.index();
}
std::size_t kind_of(const packed_starts& /*group*/) {
    return run_message{start_run{}}.index();
}

} // namespace detail
} // namespace hawthornstall::runs

namespace hawthornstall::wire {

template <> struct layout<runs::detail::packed_run> {
    using type = runs::detail::packed_run;
    static constexpr auto members = std::tuple{&type::key_offset, &type::holder, &type::target,
                                               &type::step,       &type::index,  &type::number};
};

template <> struct layout<runs::detail::packed_grants> {
    using type = runs::detail::packed_grants;
    static constexpr auto members =
        std::tuple{&type::submission, &type::first_key, &type::holders, &type::runs};
};

template <> struct layout<runs::detail::packed_starts> {
    using type = runs::detail::packed_starts;
    static constexpr auto members =
        std::tuple{&type::scheduler,     &type::submission,       &type::first_key, &type::job,
                   &type::specification, &type::caller_leaves_at, &type::resources, &type::runs};
};

} // namespace hawthornstall::wire

namespace hawthornstall::runs {

std::string pack_messages(std::span<const run_message> messages,
                          const packed_size_handler& on_size) {
    const auto items = detail::group_messages(messages);
    return wire::encode_list(
        std::span{items}, [&](const detail::packed_item& item, std::size_t bytes) {
            std::visit(
                [&](const auto& content) {
                    on_size(detail::kind_of(content), detail::count_of(content), bytes);
                },
                item);
        });
}

absl::StatusOr<std::vector<run_message>> unpack_messages(std::string_view bytes) {
    auto items = wire::decode<std::vector<detail::packed_item>>(bytes);
    if (!items.ok()) {
        return items.status();
    }
    std::vector<run_message> messages;
    messages.reserve(items->size());
    for (auto& item : *items) {
        const bool is_consistent = std::visit(
            [&](auto& content) { return detail::append_messages(std::move(content), messages); },
            item);
        if (!is_consistent) {
            return core::make_error(absl::StatusCode::kInvalidArgument,
                                    {.step = "unpack_messages", .peer = {}},
                                    "a grant names a lease holder that is not listed");
        }
    }
    return messages;
}

} // namespace hawthornstall::runs
