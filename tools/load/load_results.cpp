#include "load/load_results.hpp"

namespace hawthornstall::tools {

std::uint64_t load_results::faults() const {
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < verdict_counts.size(); ++index) {
        sum += is_fault(static_cast<verdict>(index)) ? verdict_counts.at(index) : 0;
    }
    return sum;
}

std::string load_results::summary() const {
    std::string text = "submitted " + std::to_string(submitted);
    for (std::size_t index = 0; index < verdict_counts.size(); ++index) {
        if (verdict_counts.at(index) > 0) {
            text.append(" ").append(verdict_names.at(index)).append(" ");
            text.append(std::to_string(verdict_counts.at(index)));
        }
    }
    text.append(" p50 ").append(std::to_string(answered.quantile(0.5).count()));
    text.append(" p99 ").append(std::to_string(answered.quantile(0.99).count()));
    return text.append(" ms");
}

std::string load_results::report() const {
    std::string text = "submitted        " + std::to_string(submitted) + " jobs with " +
                       std::to_string(tasks) + " tasks, " + std::to_string(resubmitted) +
                       " resubmissions\n";
    for (std::size_t index = 0; index < verdict_counts.size(); ++index) {
        std::string label{verdict_names.at(index)};
        label.resize(17, ' ');
        text.append(label).append(std::to_string(verdict_counts.at(index))).append("\n");
    }
    text.append("latency of answered jobs in ms: p50 ");
    for (const auto& [label, share] : {std::pair{"", 0.5}, std::pair{", p90 ", 0.9},
                                       std::pair{", p99 ", 0.99}, std::pair{", p99.9 ", 0.999}}) {
        text.append(label).append(std::to_string(answered.quantile(share).count()));
    }
    text.append(", longest ").append(std::to_string(answered.max_latency().count())).append("\n");
    return text.append(answered.format_bars());
}

} // namespace hawthornstall::tools
