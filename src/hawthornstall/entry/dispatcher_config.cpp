/// Members of dispatcher that apply service documents and carry out the effects of config_client.

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/core/overloaded.hpp"
#include "hawthornstall/entry/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

core::audit_view to_view(const control::audit_record& record) {
    return {.revision = record.revision,
            .edit_id = record.edit_id,
            .service = record.service,
            .actor = record.actor,
            .team = record.actor_team,
            .from_version = record.from_version,
            .to_version = record.to_version,
            .wall_time = record.wall_time,
            .host = record.host};
}

std::vector<core::audit_view> to_view(std::span<const control::audit_record> records) {
    std::vector<core::audit_view> rows;
    rows.reserve(records.size());
    std::ranges::transform(records, std::back_inserter(rows),
                           [](const auto& record) { return to_view(record); });
    return rows;
}

} // namespace detail

void dispatcher::process(const edit_submitted& submitted, times at) {
    carry_out(config_.edit(submitted.from, submitted.edit, at.now), at);
}

void dispatcher::carry_out(config_effects effects, times at) {
    for (auto& effect : effects) {
        std::visit(
            core::overloaded{
                [&](send_to_control_host& out) {
                    effects_.emplace_back(outgoing_message{out.host, std::move(out.message)});
                },
                [&](const edit_ended& ended) {
                    const auto request = ended.caller.request;
                    if (ended.answer.ok()) {
                        reply_to_front_end(ended.caller, edit_answered{request, *ended.answer});
                    } else {
                        reply_to_front_end(ended.caller,
                                           request_done{request, ended.answer.status()});
                    }
                },
                [&](const audit_ended& ended) {
                    const auto request = ended.caller.request;
                    if (ended.records.ok()) {
                        reply_to_front_end(ended.caller,
                                           view_ready{request, detail::to_view(*ended.records)});
                    } else {
                        reply_to_front_end(ended.caller,
                                           request_done{request, ended.records.status()});
                    }
                },
                [&](const documents_updated& /*updated*/) { apply_documents(at); },
            },
            effect);
    }
}

void dispatcher::apply_documents(times at) {
    const auto copy = std::make_shared<const control::applied_documents>(config_.documents());
    effects_.emplace_back(publish_documents{documents_changed{copy}});
    notice_due_ = true;
    for (const auto& document : copy->documents()) {
        if (auto* const owned = find_shard(document.service)) {
            owned->apply(document);
            continue;
        }
        auto added = std::make_unique<shard>(
            document, options_.self.zone,
            journal::owner_identity{options_.self.name, options_.incarnation},
            options_.journal_replicas);
        offer_all_targets(*added, at);
        shards_.emplace(document.service, std::move(added));
    }
    next_claim_ = at.now;
}

} // namespace hawthornstall::entry
