#include "hawthornstall/control/document_store.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <numeric>
#include <utility>

namespace hawthornstall::control {

std::size_t document_bytes(const core::service_document& document) {
    const auto& callers = document.accepts.callers;
    return std::accumulate(
        callers.begin(), callers.end(),
        sizeof document + document.service.size() + document.team.size(),
        [](std::size_t sum, const std::string& caller) { return sum + caller.size(); });
}

edit_answer document_store::apply(const edit_command& edit) {
    // The answer to an invalid edit is not cached: its identifier may be unusable, and then a
    // resent edit could not be recognised.
    if (!is_valid(edit)) {
        return evaluate(edit);
    }
    edit_key key{.team = edit.actor_team, .edit_id = edit.edit_id};
    const auto edit_content_hash = content_hash(edit);
    if (const auto answer = find_earlier_answer(key, edit_content_hash)) {
        return *answer;
    }
    const auto answer = evaluate(edit);
    const bool accepted = answer.result == edit_result::accepted;
    if (accepted) {
        put(edit.document, answer.version);
        record(edit, answer.version);
    }
    auto& cache = accepted ? accepted_edits_ : refused_edits_;
    cache.add({.key = std::move(key), .content_hash = edit_content_hash, .answer = answer});
    return answer;
}

std::optional<edit_answer>
document_store::find_earlier_answer(const edit_key& key, std::uint64_t edit_content_hash) const {
    for (const auto* cache : {&accepted_edits_, &refused_edits_}) {
        if (const auto* const known = cache->find(key)) {
            return known->content_hash == edit_content_hash
                       ? known->answer
                       : edit_answer{.result = edit_result::id_reused, .version = 0};
        }
    }
    return std::nullopt;
}

edit_answer document_store::apply(const numbered_config& config) {
    if (config.version > numbered_.version) {
        ++revision_;
        append_audit({.revision = revision_,
                      .edit_id = {},
                      .service = {},
                      .actor = config.actor,
                      .actor_team = {},
                      .from_version = numbered_.version,
                      .to_version = config.version,
                      .wall_time = config.wall_time,
                      .host = config.host});
        numbered_ = config;
        numbered_at_revision_ = revision_;
    }
    return {.result = edit_result::accepted, .version = numbered_.version};
}

edit_answer document_store::apply(const zone_drain_order& order) {
    if (order.zone.empty() || order.zone.size() > bounds_.max_name_bytes) {
        return {.result = edit_result::invalid, .version = drains_.revision};
    }
    const auto position = std::ranges::lower_bound(drains_.zones, order.zone);
    if (drains_.contains(order.zone) == order.drained) {
        return {.result = edit_result::accepted, .version = drains_.revision};
    }
    if (order.drained && drains_.zones.size() >= bounds_.max_drained_zones) {
        return {.result = edit_result::store_full, .version = drains_.revision};
    }
    if (order.drained) {
        drains_.zones.insert(position, order.zone);
    } else {
        drains_.zones.erase(position);
    }
    const auto earlier = std::exchange(drains_.revision, ++revision_);
    append_audit({.revision = revision_,
                  .edit_id = {},
                  .service = (order.drained ? "drain-zone " : "undrain-zone ") + order.zone,
                  .actor = order.actor,
                  .actor_team = {},
                  .from_version = earlier,
                  .to_version = revision_,
                  .wall_time = order.wall_time,
                  .host = order.host});
    return {.result = edit_result::accepted, .version = revision_};
}

edit_answer document_store::evaluate(const edit_command& edit) const {
    const auto* const current = find(edit.service);
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (!is_valid(edit)) {
        return {.result = edit_result::invalid, .version = version};
    }
    const std::string_view owner = current == nullptr ? edit.document.team : current->team;
    if (edit.actor_team != owner || edit.document.team != owner) {
        return {.result = edit_result::not_owner, .version = version};
    }
    if (edit.base_version != version) {
        return {.result = edit_result::version_conflict, .version = version};
    }
    if (!fits_bounds(edit.document)) {
        return {.result = edit_result::store_full, .version = version};
    }
    return {.result = edit_result::accepted, .version = version + 1};
}

bool document_store::is_valid(const edit_command& edit) const {
    const auto is_name = [this](std::string_view name) {
        return !name.empty() && name.size() <= bounds_.max_name_bytes;
    };
    const auto& document = edit.document;
    const std::array<std::string_view, 6> names{edit.edit_id,    edit.service,  edit.actor,
                                                edit.actor_team, document.team, edit.host};
    return std::ranges::all_of(names, is_name) && document.service == edit.service &&
           document.accepts.callers.size() <= bounds_.max_callers &&
           std::ranges::all_of(document.accepts.callers, is_name);
}

bool document_store::fits_bounds(const core::service_document& document) const {
    const auto* const current = find(document.service);
    const std::size_t freed = current == nullptr ? 0 : document_bytes(*current);
    return (current != nullptr || documents_.size() < bounds_.max_documents) &&
           total_bytes_ - freed + document_bytes(document) <= bounds_.max_total_document_bytes;
}

std::size_t document_store::position_of(std::string_view service) const {
    const auto found =
        std::ranges::lower_bound(documents_, service, {}, &core::service_document::service);
    return static_cast<std::size_t>(found - documents_.begin());
}

const core::service_document* document_store::find(std::string_view service) const {
    const auto position = position_of(service);
    const bool known = position < documents_.size() && documents_[position].service == service;
    return known ? &documents_[position] : nullptr;
}

void document_store::put(const core::service_document& document, std::uint64_t version) {
    const auto position = position_of(document.service);
    const auto offset = static_cast<std::ptrdiff_t>(position);
    if (find(document.service) == nullptr) {
        documents_.insert(documents_.begin() + offset, core::service_document{});
        changed_at_revision_.insert(changed_at_revision_.begin() + offset, 0);
    } else {
        total_bytes_ -= document_bytes(documents_[position]);
    }
    documents_[position] = document;
    documents_[position].version = version;
    total_bytes_ += document_bytes(document);
    changed_at_revision_[position] = ++revision_;
}

void document_store::append_audit(audit_record record) {
    if (audit_.size() >= bounds_.max_audit_records) {
        // Dropping an eighth at a time avoids moving the remaining records on most edits.
        const auto dropped = static_cast<std::ptrdiff_t>(bounds_.max_audit_records / 8 + 1);
        audit_.erase(audit_.begin(), audit_.begin() + dropped);
    }
    audit_.push_back(std::move(record));
}

void document_store::record(const edit_command& edit, std::uint64_t version) {
    append_audit({.revision = revision_,
                  .edit_id = edit.edit_id,
                  .service = edit.service,
                  .actor = edit.actor,
                  .actor_team = edit.actor_team,
                  .from_version = edit.base_version,
                  .to_version = version,
                  .wall_time = edit.wall_time,
                  .host = edit.host});
}

std::span<const audit_record> document_store::audit_after(std::uint64_t revision,
                                                          std::size_t limit) const {
    const auto first = std::ranges::upper_bound(audit_, revision, {}, &audit_record::revision);
    const auto skipped = static_cast<std::size_t>(first - audit_.begin());
    const std::span all{audit_};
    return all.subspan(skipped, std::min(limit, all.size() - skipped));
}

config_delta document_store::delta_after(std::uint64_t revision) const {
    config_delta delta{.from_revision = revision, .to_revision = revision_, .documents = {}};
    for (std::size_t position = 0; position < documents_.size(); ++position) {
        if (changed_at_revision_[position] > revision) {
            delta.documents.push_back(documents_[position]);
        }
    }
    if (numbered_at_revision_ > revision) {
        delta.numbered = numbered_;
    }
    if (drains_.revision > revision) {
        delta.drains = drains_;
    }
    return delta;
}

store_snapshot document_store::snapshot() const {
    return {.revision = revision_,
            .documents = documents_,
            .changed_at_revision = changed_at_revision_,
            .audit = audit_,
            .accepted_edits = accepted_edits_.entries(),
            .refused_edits = refused_edits_.entries(),
            .numbered = numbered_,
            .numbered_at_revision = numbered_at_revision_,
            .drains = drains_};
}

void document_store::restore(store_snapshot snapshot) {
    revision_ = snapshot.revision;
    documents_ = std::move(snapshot.documents);
    changed_at_revision_ = std::move(snapshot.changed_at_revision);
    audit_ = std::move(snapshot.audit);
    accepted_edits_.restore(snapshot.accepted_edits);
    refused_edits_.restore(snapshot.refused_edits);
    numbered_ = std::move(snapshot.numbered);
    numbered_at_revision_ = snapshot.numbered_at_revision;
    drains_ = std::move(snapshot.drains);
    total_bytes_ = 0;
    for (const auto& document : documents_) {
        total_bytes_ += document_bytes(document);
    }
}

} // namespace hawthornstall::control
