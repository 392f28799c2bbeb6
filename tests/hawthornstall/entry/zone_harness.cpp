#include "hawthornstall/entry/zone_harness.hpp"

#include "hawthornstall/net/peer_links.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry::testing {
namespace {

constexpr std::string_view zone = "zone-a";
constexpr std::ptrdiff_t replica_count = 3;

/// Offset of the wall clock from the monotonic one, so that code which confuses the two fails.
constexpr core::duration_ms wall_offset{500'000'000};

std::string echo_of(std::string_view payload) {
    return "echo of " + std::string{payload};
}

} // namespace

zone_harness::zone_harness(std::size_t host_count, core::service_document document)
    : document_(std::move(document)) {
    for (std::size_t number = 1; number <= host_count; ++number) {
        names_.push_back("h" + std::to_string(number));
        hosts_[names_.back()];
    }
    for (const auto& name : names_) {
        start_host(name);
    }
}

shard::times zone_harness::times() const {
    return {.now = now_, .wall = now_ + wall_offset};
}

void zone_harness::start_host(const std::string& name) {
    auto& host = hosts_.at(name);
    ++host.start_count;
    host.alive = true;
    dispatcher_options options;
    options.self = {name, std::string{zone}, 1.0};
    host.incarnation = static_cast<std::uint64_t>(core::to_count(now_)) + host.start_count;
    options.incarnation = host.incarnation;
    for (const auto& other : names_) {
        if (other != name) {
            options.others.push_back({other, std::string{zone}, 1.0});
            reachable_[{name, other}] = false;
        }
    }
    options.journal_replicas = {names_.begin(),
                                names_.begin() + std::min(replica_count, std::ssize(names_))};
    options.control_hosts = {"c1"};
    host.logic = std::make_unique<dispatcher>(std::move(options), times());
    schedule(now_, name, [document = document_] {
        return incoming_message{"c1", 1,
                                control::control_to_entry{control::config_delta{0, 1, {document}}}};
    });
}

void zone_harness::add_target(const std::string& name, std::uint32_t slots) {
    auto& target = targets_[name];
    target.announcement.name = name;
    target.announcement.incarnation = 1;
    target.announcement.zone = zone;
    target.announcement.address = name;
    target.announcement.services = {document_.service};
    target.announcement.capacity.slots = slots;
}

void zone_harness::leave(const std::string& target) {
    targets_.at(target).announcement.leaving = true;
    next_announcement_ = now_;
}

void zone_harness::set_services(const std::string& target, std::vector<std::string> services) {
    targets_.at(target).announcement.services = std::move(services);
    next_announcement_ = now_;
}

std::size_t zone_harness::call(std::string_view host, core::job_request job) {
    const auto number = calls_.size();
    calls_.push_back({.job = job, .answers = {}, .sent = now_, .answered = {}});
    schedule(now_, std::string{host}, [number, job = std::move(job)] {
        return job_submitted{{.front_end = 0, .request = number}, job};
    });
    return number;
}

void zone_harness::run_for(core::duration_ms duration) {
    const auto end = now_ + duration;
    while (now_ < end) {
        now_ += core::duration_ms{1};
        update_reachability();
        if (now_ >= next_announcement_) {
            next_announcement_ = now_ + core::duration_ms{1000};
            announce_all();
        }
        deliver_due();
        tick_due();
    }
}

void zone_harness::kill(const std::string& host) {
    hosts_.at(host).alive = false;
    hosts_.at(host).logic.reset();
}

void zone_harness::restart(const std::string& host) {
    start_host(host);
}

void zone_harness::shut_down(const std::string& host) {
    schedule(now_, host, [] { return shutdown_requested{}; });
}

void zone_harness::partition(const std::string& host, bool is_partitioned) {
    hosts_.at(host).partitioned = is_partitioned;
}

std::string zone_harness::owner(const std::string& host) const {
    core::job_request request;
    for (const auto& [name, state] : hosts_) {
        if (state.alive && !state.paused && linked(host, name) &&
            state.logic->admits_jobs_of(document_.service)) {
            return name;
        }
    }
    return {};
}

core::submission_id zone_harness::make_id(const std::string& host, std::string_view key) const {
    const auto& owning = hosts_.at(owner(host));
    return {.zone = std::string{zone},
            .generation = owning.logic->generation_of(document_.service),
            .issued = times().wall,
            .key = std::string{key}};
}

void zone_harness::announce_all() {
    for (auto& [name, target] : targets_) {
        if (target.behaviour == target_behaviour::dead ||
            target.behaviour == target_behaviour::silent) {
            continue;
        }
        ++target.announcement.sequence;
        // A target announces itself to the next entry host when one does not answer.
        const auto reachable_host = std::ranges::find_if(names_, [&](const auto& host) {
            const auto& state = hosts_.at(host);
            return state.alive && !state.paused && !state.partitioned;
        });
        if (reachable_host != names_.end()) {
            schedule(now_ + link_delay, *reachable_host, [announcement = target.announcement] {
                return target_announced{{.front_end = 0, .request = SIZE_MAX}, announcement};
            });
        }
    }
}

bool zone_harness::linked(const std::string& left, const std::string& right) const {
    const auto& first = hosts_.at(left);
    const auto& second = hosts_.at(right);
    return left == right ||
           (first.alive && second.alive && !first.partitioned && !second.partitioned);
}

void zone_harness::update_reachability() {
    for (auto& [pair, reachable] : reachable_) {
        const auto& [observer, other] = pair;
        const auto& observing = hosts_.at(observer);
        if (!observing.alive || observing.paused) {
            continue;
        }
        const bool linked_now = linked(observer, other) && !hosts_.at(other).paused;
        if (linked_now) {
            link_down_since_.erase(pair);
        } else {
            link_down_since_.try_emplace(pair, now_);
        }
        const bool silent = !linked_now && now_ - link_down_since_.at(pair) >= net::silence_limit;
        const bool changed = reachable ? silent : linked_now;
        if (changed) {
            reachable = !reachable;
            schedule(now_, observer, [other = other, state = reachable] {
                return peer_state_changed{other, state};
            });
        }
    }
}

void zone_harness::schedule(core::time_ms at, const std::string& host,
                            std::function<dispatcher_message()> make) {
    events_.emplace(at, event{host, hosts_.at(host).start_count, std::move(make)});
}

void zone_harness::deliver_due() {
    std::vector<event> deferred;
    while (!events_.empty() && events_.begin()->first <= now_) {
        auto due = std::move(events_.extract(events_.begin()).mapped());
        auto& host = hosts_.at(due.host);
        if (!host.alive || host.start_count != due.start_count) {
            continue;
        }
        if (host.paused) {
            deferred.push_back(std::move(due));
            continue;
        }
        carry_out(due.host, host.logic->handle(due.make(), times()));
    }
    for (auto& waiting : deferred) {
        events_.emplace(now_ + core::duration_ms{1}, std::move(waiting));
    }
}

void zone_harness::tick_due() {
    for (const auto& name : names_) {
        auto& host = hosts_.at(name);
        if (host.alive && !host.paused && host.logic->next_call() <= now_) {
            carry_out(name, host.logic->tick(times()));
        }
    }
}

void zone_harness::carry_out(const std::string& host, dispatcher_effects effects) {
    for (auto& effect : effects) {
        if (const auto* const out = std::get_if<outgoing_message>(&effect)) {
            send(host, *out);
        } else if (const auto* const order = std::get_if<start_order>(&effect)) {
            run_task_at(host, *order);
        } else if (const auto* const front = std::get_if<send_to_front_end>(&effect)) {
            if (const auto* const answered = std::get_if<job_answered>(&front->message)) {
                auto& call = calls_.at(answered->request);
                call.answers.push_back(answered->answer);
                call.answered = now_;
            }
        }
    }
}

void zone_harness::send(const std::string& from, const outgoing_message& out) {
    const auto* const content = std::get_if<peer_message>(&out.content);
    if (content != nullptr && linked(from, out.peer)) {
        schedule(now_ + link_delay, out.peer,
                 [from, incarnation = hosts_.at(from).incarnation, content = *content] {
                     return incoming_message{from, incarnation, content};
                 });
    }
}

void zone_harness::run_task_at(const std::string& host, const start_order& order) {
    const auto& target = targets_.at(order.task.target);
    task_report report{order.service, order.task.run, task_result::answered,
                       echo_of(order.task.payload)};
    auto end = now_ + run_time;
    if (target.behaviour == target_behaviour::dead) {
        report.result = task_result::not_sent;
        end = now_ + link_delay;
    } else {
        starts_.push_back({order.task.task_id, order.task.attempt, order.task.target, now_});
    }
    if (target.behaviour == target_behaviour::failing) {
        report.result = task_result::failed;
        end = now_ + link_delay;
    }
    schedule(end, host, [report] { return report; });
}

std::vector<std::string> violations(std::span<const observed_start> starts,
                                    std::span<const observed_call> calls) {
    std::vector<std::string> found;
    std::map<std::string, int> starts_of_task;
    std::set<std::string> started_submissions;
    for (const auto& start : starts) {
        ++starts_of_task[start.task_id];
        started_submissions.insert(start.task_id.substr(0, start.task_id.rfind('/')));
    }
    for (std::size_t number = 0; number < calls.size(); ++number) {
        const auto& call = calls[number];
        const auto name = "call " + std::to_string(number);
        if (call.answers.size() != 1) {
            found.push_back(name + " got " + std::to_string(call.answers.size()) + " answers");
            continue;
        }
        const auto& answer = call.answers.front();
        const bool answered = answer.outcome == core::outcome_class::answered;
        if (answer.results.size() != (answered ? call.job.tasks.size() : 0)) {
            found.push_back(name + " got a partial answer");
        }
        for (std::size_t task = 0; answered && task < answer.results.size(); ++task) {
            if (answer.results[task] != echo_of(call.job.tasks[task].payload)) {
                found.push_back(name + " got the answer to another task");
            }
        }
        if (answer.outcome == core::outcome_class::refused_not_run && answer.id &&
            started_submissions.contains(core::to_string(*answer.id))) {
            found.push_back(name + " was told \"not run\" although a task had started");
        }
        if (!answer.id) {
            continue;
        }
        for (std::size_t task = 0; task < call.job.tasks.size(); ++task) {
            const auto id = core::to_string(*answer.id) + '/' + std::to_string(task);
            if (starts_of_task[id] > 1) {
                found.push_back("task " + id + " started " + std::to_string(starts_of_task[id]) +
                                " times");
            }
        }
    }
    return found;
}

} // namespace hawthornstall::entry::testing
