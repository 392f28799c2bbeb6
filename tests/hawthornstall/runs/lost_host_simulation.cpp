#include "hawthornstall/runs/lost_host_simulation.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms simulation_start = core::from_count(1'000'000);
constexpr core::time_ms wall_start = core::from_count(1'790'000'000'000);
constexpr std::uint64_t incarnation = 1;

/// By then the hosts know each other, hold the targets and have reported them.
constexpr duration_ms warm_up{4'000};
/// After the request; the caller has returned by then and its second run has started.
constexpr duration_ms observed_time{1'700};

/// Delay of what a process has sent shortly before it was killed: its kernel sends lost packets
/// again.
constexpr duration_ms late_packet_delay{600};
constexpr duration_ms late_packet_span{400};

constexpr duration_ms tick_interval{50};
constexpr duration_ms ping_every{200};
constexpr duration_ms silent_after{700};

constexpr core::resources capacity{.cpu_millis = 64'000, .memory_mb = 1'000};
constexpr core::resources task_size{.cpu_millis = 27'000, .memory_mb = 64};
constexpr duration_ms never_done{600'000};
constexpr std::string_view preferred_rack = "rack";
const std::string front_end = "front-end";
const std::string scheduler = "scheduler";
const std::string holder = "holder";
const std::string next_host = "next";

discovery::target_record make_record(const std::string& id, bool is_preferred) {
    discovery::target_record record{.id = id,
                                    .incarnation = 1,
                                    .sequence = 1,
                                    .service = "restock",
                                    .address = id + ":80",
                                    .zone = "bilbao",
                                    .labels = {},
                                    .capacity = capacity};
    if (is_preferred) {
        record.labels.emplace_back(preferred_rack);
    }
    return record;
}

job_request make_job(const loss_scenario& scenario) {
    job_request job;
    job.id = "job";
    job.steps.resize(1);
    job.steps[0].count = scenario.tasks;
    job.steps[0].resources = task_size;
    job.steps[0].estimated = scenario.estimated;
    job.steps[0].data_rack = preferred_rack;
    job.terms = {.service = "restock",
                 .max_attempts = 3,
                 .stretch = 1.6,
                 .latency_target = duration_ms{60},
                 .deadline = scenario.deadline};
    return job;
}

} // namespace

net::sign_of_life lost_host_simulation::host_links::last_sign_of_life(std::string_view peer) const {
    const auto found = states.find(peer);
    return found == states.end() ? net::sign_of_life{} : found->second.last_sign_of_life();
}

lost_host_simulation::host_process::host_process(const std::string& name, const std::string& zone,
                                                 double weight, std::uint64_t number,
                                                 core::time_ms now)
    : process(number), logic({.name = name, .zone = zone, .weight = weight}, run_bounds{}, number,
                             std::hash<std::string>{}(name), now) {}

lost_host_simulation::lost_host_simulation(const loss_scenario& scenario)
    : scenario_(scenario), now_(simulation_start), requested_at_(simulation_start + warm_up) {
    random_.seed(scenario.seed);
    constexpr double small = 0.25;
    hosts_.try_emplace(front_end, front_end, "oviedo", small, incarnation, local(front_end));
    hosts_.try_emplace(scheduler, scheduler, "oviedo", 1.0, incarnation, local(scheduler));
    hosts_.try_emplace(holder, holder, "bilbao", small, incarnation, local(holder));
    hosts_.try_emplace(next_host, next_host, "bilbao", small, incarnation, local(next_host));
    choose_targets();
    for (auto& [name, host] : hosts_) {
        for (const auto& [peer, unused] : hosts_) {
            if (peer != name) {
                host.links.states.try_emplace(peer, incarnation);
            }
        }
        announce_targets(name, host);
    }
}

/// Announces the targets' processes that are known to the control hosts.
void lost_host_simulation::announce_targets(const std::string& name, host_process& host) {
    for (const auto& [id, worker] : targets_) {
        auto record = make_record(id, id == target_);
        record.incarnation = is_restart_announced_ ? worker.incarnation : record.incarnation;
        host.logic.directory().announce(record, local(name));
    }
}

/// Chooses one target that the host "holder" holds and one that "next" holds.
void lost_host_simulation::choose_targets() {
    host_membership view{{.host = {.name = holder, .zone = "bilbao", .weight = 0.25}}};
    view.on_presence({.host = {.name = next_host, .zone = "bilbao", .weight = 0.25}});
    std::string other;
    for (int number = 0; target_.empty() || other.empty(); ++number) {
        const auto id = "w-" + std::to_string(number);
        (view.preferred_holder(id, "bilbao") == holder ? target_ : other) = id;
    }
    for (const auto& id : {target_, other}) {
        targets_.try_emplace(id, capacity, never_done, 5'000, slow_clock_rate);
    }
}

loss_outcome lost_host_simulation::run() {
    while (since_request() < scenario_.deadline + observed_time) {
        step();
        now_ += duration_ms{1};
    }
    return outcome_;
}

void lost_host_simulation::step() {
    restart_process();
    restart_target();
    thaw();
    deliver_packets();
    deliver_calls();
    execute_late_calls();
    act_as_caller();
    const auto elapsed = now_ - simulation_start;
    duration_ms phase{};
    for (auto& [name, host] : hosts_) {
        phase += duration_ms{11};
        if (!is_running(name)) {
            continue;
        }
        if (elapsed % ping_every == duration_ms{0}) {
            check_links(name, host);
        }
        if ((elapsed + phase) % tick_interval == duration_ms{0}) {
            host.logic.tick(host.links, local(name), wall_start + elapsed);
            host.has_input = true;
        }
        if (host.has_input) {
            flush(name, host);
        }
    }
    observe();
}

std::string lost_host_simulation::name_of(lost_part part) const {
    switch (part) {
    case lost_part::front_end:
        return front_end;
    case lost_part::scheduler:
        return scheduler;
    case lost_part::holder:
        return holder;
    case lost_part::target:
        return target_;
    case lost_part::caller:
        break;
    }
    return "caller";
}

/// Hosts have clocks of their own.
core::time_ms lost_host_simulation::local(std::string_view host) const {
    const double rate = host == front_end ? scenario_.front_end_rate : 1.0;
    const auto elapsed = static_cast<double>((now_ - simulation_start).count());
    const auto offset = static_cast<std::int64_t>(host.size()) * 1'000'003;
    return core::from_count(offset + static_cast<std::int64_t>(rate * elapsed));
}

bool lost_host_simulation::is_lost(std::string_view name, loss_kind kind) const {
    const bool first = name_of(scenario_.part) == name && scenario_.kind == kind &&
                       since_request() >= scenario_.lost_at;
    const auto& second = scenario_.second;
    return first || (second && name_of(second->part) == name && second->kind == kind &&
                     since_request() >= second->lost_at);
}

bool lost_host_simulation::is_frozen(std::string_view name) const {
    const auto lasts = [&](lost_part part, loss_kind kind, duration_ms at, duration_ms length) {
        return kind == loss_kind::frozen && name_of(part) == name && since_request() >= at &&
               since_request() < at + length;
    };
    const auto& second = scenario_.second;
    return lasts(scenario_.part, scenario_.kind, scenario_.lost_at, scenario_.frozen_for) ||
           (second && lasts(second->part, second->kind, second->lost_at, second->frozen_for));
}

/// When `part` is lost in the way of `kind`; nothing if it is not.
std::optional<duration_ms> lost_host_simulation::time_of(lost_part part, loss_kind kind) const {
    if (scenario_.part == part && scenario_.kind == kind) {
        return scenario_.lost_at;
    }
    const auto& second = scenario_.second;
    return second && second->part == part && second->kind == kind ? std::optional{second->lost_at}
                                                                  : std::nullopt;
}

bool lost_host_simulation::has_ended(std::string_view name) const {
    if (name == target_ && has_target_restarted_) {
        const auto restarted_at = *time_of(lost_part::target, loss_kind::reborn);
        if (since_request() < restarted_at + restart_time) {
            return true;
        }
    }
    return is_lost(name, loss_kind::killed) || is_lost(name, loss_kind::dark) ||
           (is_lost(name, loss_kind::restarted) && !has_restarted_);
}

bool lost_host_simulation::is_running(std::string_view host) const {
    return !has_ended(host) && !is_frozen(host);
}

/// Whether a packet that is under way at this time can arrive.
bool lost_host_simulation::is_path_up(std::string_view from, std::string_view to) const {
    const bool between_hosts =
        hosts_.contains(std::string{from}) && hosts_.contains(std::string{to});
    const bool is_sender_cut = is_lost(from, loss_kind::dark) ||
                               is_lost(from, loss_kind::cut_outgoing) ||
                               is_lost(from, loss_kind::cut_off);
    const bool is_receiver_cut =
        has_ended(to) || is_lost(to, loss_kind::cut_incoming) || is_lost(to, loss_kind::cut_off);
    const bool is_partition = between_hosts && (is_lost(from, loss_kind::cut_from_hosts) ||
                                                is_lost(to, loss_kind::cut_from_hosts));
    const auto other = name_of(scenario_.other);
    const bool is_link_cut =
        (other == to &&
         (is_lost(from, loss_kind::cut_to_other) || is_lost(from, loss_kind::cut_between))) ||
        (other == from &&
         (is_lost(to, loss_kind::cut_from_other) || is_lost(to, loss_kind::cut_between)));
    return !is_sender_cut && !is_receiver_cut && !is_partition && !is_link_cut;
}

void lost_host_simulation::restart_process() {
    constexpr duration_ms restart_after{300};
    const auto name = name_of(scenario_.part);
    if (has_restarted_ || scenario_.kind != loss_kind::restarted || !hosts_.contains(name) ||
        since_request() < scenario_.lost_at + restart_after) {
        return;
    }
    has_restarted_ = true;
    const bool is_scheduler = name == scheduler;
    const auto zone = name == holder ? "bilbao" : "oviedo";
    hosts_.erase(name);
    auto& host =
        hosts_
            .try_emplace(name, name, zone, is_scheduler ? 1.0 : 0.25, incarnation + 1, local(name))
            .first->second;
    for (const auto& [peer, unused] : hosts_) {
        if (peer != name) {
            host.links.states.try_emplace(peer, incarnation + 1);
        }
    }
    announce_targets(name, host);
}

/// Ends the target's process when it is time; another one starts under its id, which the hosts
/// learn of later.
void lost_host_simulation::restart_target() {
    const auto restart_at = time_of(lost_part::target, loss_kind::reborn);
    if (!restart_at || since_request() < *restart_at) {
        return;
    }
    if (!std::exchange(has_target_restarted_, true)) {
        targets_.at(target_).restart_at(now_);
        break_calls_to_target();
    }
    const auto announced_at = *restart_at + restart_time + scenario_.announced_after;
    if (since_request() < announced_at || std::exchange(is_restart_announced_, true)) {
        return;
    }
    for (auto& [name, host] : hosts_) {
        announce_targets(name, host);
    }
}

void lost_host_simulation::thaw() {
    for (auto& [name, host] : hosts_) {
        if (is_frozen(name)) {
            frozen_.insert(name);
            continue;
        }
        if (frozen_.erase(name) == 0 || !is_running(name)) {
            continue;
        }
        // The worst order: what depends on time comes before what has arrived meanwhile.
        check_links(name, host);
        host.logic.tick(host.links, local(name), wall_start + (now_ - simulation_start));
        flush(name, host);
        for (const auto& item : std::exchange(host.unread, {})) {
            receive(host, item);
        }
        for (const auto& item : std::exchange(host.unread_calls, {})) {
            host.logic.answered(item.call, *item.answer, local(name));
        }
        host.has_input = true;
    }
}

void lost_host_simulation::deliver_packets() {
    const auto due = std::stable_partition(packets_.begin(), packets_.end(),
                                           [&](const packet& item) { return item.due > now_; });
    const std::vector<packet> arrived{std::make_move_iterator(due),
                                      std::make_move_iterator(packets_.end())};
    packets_.erase(due, packets_.end());
    for (const auto& item : arrived) {
        auto& host = hosts_.at(item.to);
        if (!is_path_up(item.from, item.to)) {
            continue;
        }
        if (is_running(item.to)) {
            receive(host, item);
        } else {
            host.unread.push_back(item);
        }
    }
}

void lost_host_simulation::receive(host_process& host, const packet& item) {
    auto& state = host.links.states.at(item.from);
    const auto received = state.receive(item.envelope, item.connection, local(item.to));
    host.has_input = true;
    if (!received.accepted) {
        return;
    }
    for (const auto change : received.changes) {
        host.logic.link_changed(item.from, change, local(item.to));
    }
    if (received.is_current) {
        for (const auto& message : item.messages) {
            host.logic.receive(item.from, message, host.links, local(item.to));
        }
    }
}

void lost_host_simulation::check_links(const std::string& name, host_process& host) {
    host.has_input = true;
    for (auto& [peer, state] : host.links.states) {
        if (state.lose_if_silent(silent_after, local(name))) {
            host.logic.link_changed(peer, net::link_change::unreachable, local(name));
        }
        if (now_ - host.links.last_sent[peer] >= ping_every) {
            send(name, peer, net::envelope_kind::ping, {});
        }
    }
}

void lost_host_simulation::flush(const std::string& name, host_process& host) {
    host.has_input = false;
    const auto effects = host.logic.take_effects(local(name));
    for (const auto& call : effects.calls) {
        call_target(name, call);
    }
    for (const auto& answer : effects.answers) {
        const bool is_first_attempt = name == name_of(scenario_.entry) &&
                                      !(has_restarted_ && name == name_of(scenario_.part));
        if (is_first_attempt && answer.result != job_result::completed) {
            outcome_.caller_returns_at = std::min(
                outcome_.caller_returns_at, since_request() + run_bounds{}.resubmission_delay);
        }
    }
    for (const auto& [peer, messages] : effects.messages) {
        if (host.links.states.at(peer).reachable()) {
            send(name, peer, net::envelope_kind::data, messages);
        }
    }
}

void lost_host_simulation::send(const std::string& from, const std::string& to,
                                net::envelope_kind kind, std::vector<run_message> messages) {
    auto& links = hosts_.at(from).links;
    links.last_sent[to] = now_;
    packet item{.due = now_ + network_delay,
                .from = from,
                .to = to,
                .envelope = links.states.at(to).next_envelope(from, kind, {}, local(from)),
                .connection = hosts_.at(from).process,
                .messages = std::move(messages)};
    const bool ends_soon =
        (scenario_.kind == loss_kind::killed || scenario_.kind == loss_kind::restarted) &&
        from == name_of(scenario_.part) && !has_restarted_ &&
        since_request() + late_packet_span >= scenario_.lost_at;
    if (ends_soon && kind == net::envelope_kind::ping) {
        item.due += late_packet_delay;
    }
    if (chance()) {
        item.due += duration_ms{200 + static_cast<int>(random_() % 400)};
    }
    auto& due = link_due_[{from, to}];
    if (!ends_soon) {
        item.due = due = std::max(due, item.due);
    }
    packets_.push_back(std::move(item));
}

bool lost_host_simulation::chance() {
    return since_request() >= duration_ms{0} && scenario_.fault_share > 0.0 &&
           std::uniform_real_distribution<>{}(random_) < scenario_.fault_share;
}

void lost_host_simulation::act_as_caller() {
    if (since_request() == duration_ms{0}) {
        outcome_.caller_returns_at = scenario_.deadline + run_bounds{}.resubmission_delay;
        is_request_waiting_ = true;
    }
    if (is_request_waiting_ && !is_frozen(name_of(scenario_.entry))) {
        is_request_waiting_ = false;
        submit(name_of(scenario_.entry));
    }
    const bool leaves = is_lost("caller", loss_kind::killed);
    if (leaves && is_running(name_of(scenario_.entry)) && !std::exchange(caller_left_, true)) {
        auto& entry = hosts_.at(name_of(scenario_.entry));
        entry.logic.caller_left(1, local(name_of(scenario_.entry)));
        entry.has_input = true;
    }
    const auto entry = name_of(scenario_.entry);
    const bool is_broken =
        leaves || is_lost(entry, loss_kind::killed) || is_lost(entry, loss_kind::restarted);
    if (is_broken && !std::exchange(was_broken_, true)) {
        // The connection is broken for the caller.
        outcome_.caller_returns_at =
            std::min(outcome_.caller_returns_at, since_request() + run_bounds{}.resubmission_delay);
    }
    if (since_request() > duration_ms{0} && since_request() == outcome_.caller_returns_at &&
        !std::exchange(submitted_again_, true)) {
        submit(next_host);
    }
}

void lost_host_simulation::submit(const std::string& through) {
    auto& host = hosts_.at(through);
    host.logic.open(1, make_job(scenario_), local(through), local(through));
    host.has_input = true;
}

void lost_host_simulation::observe() {
    std::map<task_name, int> executing; // Number of runs by task.
    for (auto& [id, worker] : targets_) {
        const bool is_gone = id == target_ && (is_lost(target_, loss_kind::killed) ||
                                               is_lost(target_, loss_kind::dark));
        worker.advance(now_);
        const auto running = is_gone ? std::vector<run_name>{} : worker.running();
        for (const auto& run : running) {
            outcome_.overlapped = ++executing[run.task] > 1 || outcome_.overlapped;
        }
        auto& known = first_attempt_[id];
        if (!submitted_again_) {
            known.insert(running.begin(), running.end());
        }
        const auto is_first_attempt = [&](const run_name& run) {
            return known.contains(run);
        };
        if (std::ranges::any_of(running, is_first_attempt)) {
            if (outcome_.started) {
                outcome_.longest_gap =
                    std::max(outcome_.longest_gap,
                             since_request() - outcome_.last_execution - duration_ms{1});
            }
            outcome_.started = true;
            outcome_.last_execution = since_request();
        }
    }
}

} // namespace hawthornstall::runs
