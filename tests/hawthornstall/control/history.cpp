#include "hawthornstall/control/history.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::control {

violations check_one_leader_per_term(const history& observed) {
    violations found;
    for (const auto& [term, members] : observed.leaders) {
        if (members.size() > 1) {
            found.push_back("term " + std::to_string(term) + " has two leaders");
        }
    }
    return found;
}

violations check_committed_agree(const history& observed) {
    violations found;
    for (const auto& [index, terms] : observed.committed_terms) {
        if (terms.size() > 1) {
            found.push_back("index " + std::to_string(index) + " is committed differently");
        }
    }
    return found;
}

violations check_accepted_kept(const history& observed) {
    violations found;
    for (const auto& [edit, answer] : observed.answers) {
        if (answer.result != edit_result::accepted) {
            continue;
        }
        const auto& wanted = edit;
        const auto version = answer.version;
        const bool kept =
            std::ranges::any_of(observed.final_audit, [&](const audit_record& record) {
                return record.edit_id == wanted.edit_id && record.service == wanted.service &&
                       record.to_version == version;
            });
        if (!kept) {
            found.push_back("accepted edit " + edit.edit_id + " is lost");
        }
    }
    return found;
}

violations check_one_winner(const history& observed) {
    violations found;
    std::map<std::pair<std::string, std::uint64_t>, std::string> winners;
    for (const auto& [edit, answer] : observed.answers) {
        if (answer.result != edit_result::accepted) {
            continue;
        }
        const auto [winner, first] =
            winners.try_emplace({edit.service, edit.base_version}, edit.edit_id);
        if (!first && winner->second != edit.edit_id) {
            found.push_back("edits " + winner->second + " and " + edit.edit_id +
                            " both replaced one version");
        }
    }
    return found;
}

violations check_first_answer(const history& observed) {
    violations found;
    std::map<std::string, edit_answer> first_answers;
    for (const auto& [edit, answer] : observed.answers) {
        const auto [known, first] = first_answers.try_emplace(edit.edit_id, answer);
        if (!first && known->second != answer) {
            found.push_back("edit " + edit.edit_id + " has two answers");
        }
    }
    return found;
}

violations check_versions_monotonic(const history& observed) {
    violations found;
    std::map<std::pair<std::string, std::string>, std::uint64_t> latest;
    for (const auto& [observer, service, version] : observed.versions) {
        auto& known = latest[{observer, service}];
        if (version < known) {
            found.push_back(observer + " went back to version " + std::to_string(version));
        }
        known = version;
    }
    return found;
}

} // namespace hawthornstall::control
