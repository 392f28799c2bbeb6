#include "hawthornstall/http/json_reader.hpp"

#include "hawthornstall/core/error.hpp"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace hawthornstall::http::detail {
namespace {

using nlohmann::json;

const json empty_object = json::object();

/// Deepest nesting that any body of the API needs, with room for later fields.
constexpr int max_depth = 16;

/// Longest part of a caller's own text that an error message repeats.
constexpr std::size_t max_quoted = 64;

/// Faults that the parser itself accepts: duplicate fields and deep nesting.
class structure_check {
public:
    explicit structure_check(fault_log& log) : log_(log) {}

    bool operator()(int depth, json::parse_event_t event, const json& parsed) {
        if (!log_.status().ok()) {
            return false;
        }
        if (depth > max_depth) {
            log_.add("", "nesting is deeper than 16 levels");
        } else if (event == json::parse_event_t::object_start) {
            open_.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            open_.pop_back();
        } else if (event == json::parse_event_t::key) {
            const auto& name = parsed.get_ref<const std::string&>();
            if (!open_.back().insert(name).second) {
                log_.add(name.substr(0, max_quoted), "field occurs twice");
            }
        }
        // Values are dropped after a fault, so that a hostile document takes no more memory.
        return log_.status().ok();
    }

private:
    fault_log& log_;
    std::vector<std::set<std::string>> open_;
};

std::string describe_range(std::uint64_t smallest, std::uint64_t largest) {
    return std::to_string(smallest) + " to " + std::to_string(largest);
}

} // namespace

void fault_log::add(std::string_view path, std::string_view problem) {
    if (!status_.ok()) {
        return;
    }
    std::string message{path.empty() ? "document" : path};
    message.append(": ").append(problem);
    status_ =
        core::make_error(absl::StatusCode::kInvalidArgument, {.step = step_, .peer = {}}, message);
}

json parse_document(std::string_view text, fault_log& log) {
    try {
        auto document = json::parse(text.begin(), text.end(), structure_check{log});
        return log.status().ok() ? document : json{};
    } catch (const json::parse_error& error) {
        log.add("", "not valid JSON at byte " + std::to_string(error.byte));
    } catch (const json::exception&) {
        log.add("", "holds a number that is out of range");
    }
    return {};
}

object_reader::object_reader(const json& value, std::string path, fault_log& log)
    : value_(value.is_object() ? &value : &empty_object), path_(std::move(path)), log_(&log) {
    if (!value.is_object()) {
        log.add(path_, "must be an object");
    }
}

std::string object_reader::text(const char* field, presence needed, length_range length) {
    const auto* const found = find(field, needed);
    return found == nullptr ? std::string{} : read_text(*found, path_of(field), length, *log_);
}

std::uint64_t object_reader::number(const char* field, presence needed, number_range range) {
    const auto* const found = find(field, needed);
    if (found == nullptr) {
        return 0;
    }
    const bool whole = found->is_number_unsigned();
    const auto value = whole ? found->get<std::uint64_t>() : 0;
    if (!whole || value < range.smallest || value > range.largest) {
        fault(field, "must be a whole number of " + describe_range(range.smallest, range.largest));
        return 0;
    }
    return value;
}

bool object_reader::flag(const char* field, presence needed) {
    const auto* const found = find(field, needed);
    if (found != nullptr && !found->is_boolean()) {
        fault(field, "must be true or false");
        return false;
    }
    return found != nullptr && found->get<bool>();
}

void object_reader::each(const char* field, presence needed,
                         const std::function<void(const json&, const std::string&)>& read) {
    const auto* const found = find(field, needed);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        fault(field, "must be an array");
        return;
    }
    std::size_t index = 0;
    for (const auto& element : *found) {
        read(element, path_of(field) + '[' + std::to_string(index++) + ']');
    }
}

object_reader object_reader::object(const char* field, presence needed) {
    const auto* const found = find(field, needed);
    return {found == nullptr ? empty_object : *found, path_of(field), *log_};
}

bool object_reader::has(const char* field) const {
    return value_->contains(field);
}

void object_reader::fault(const char* field, std::string_view problem) {
    log_->add(path_of(field), problem);
}

void object_reader::refuse_others() {
    for (const auto& [name, value] : value_->items()) {
        if (!known_.contains(name)) {
            log_->add(path_of(std::string_view{name}.substr(0, max_quoted)), "unknown field");
        }
    }
}

const json* object_reader::find(const char* field, presence needed) {
    known_.insert(field);
    const auto found = value_->find(field);
    if (found == value_->end()) {
        if (needed == presence::required) {
            fault(field, "is missing");
        }
        return nullptr;
    }
    return &*found;
}

std::string object_reader::path_of(std::string_view field) const {
    std::string path = path_;
    if (!path.empty()) {
        path += '.';
    }
    return path.append(field);
}

std::string read_text(const json& value, const std::string& path, length_range length,
                      fault_log& log) {
    if (!value.is_string()) {
        log.add(path, "must be a text");
        return {};
    }
    const auto& text = value.get_ref<const std::string&>();
    if (text.size() < length.shortest || text.size() > length.longest) {
        log.add(path, "must have " + describe_range(length.shortest, length.longest) + " bytes");
        return {};
    }
    return text;
}

absl::StatusOr<std::string> write_document(const json& value) {
    try {
        return value.dump();
    } catch (const json::type_error&) {
        return core::make_error(absl::StatusCode::kInvalidArgument,
                                {.step = "write_json", .peer = {}},
                                "document holds text that is not UTF-8");
    }
}

} // namespace hawthornstall::http::detail
