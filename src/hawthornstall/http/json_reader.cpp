#include "hawthornstall/http/json_reader.hpp"

#include "hawthornstall/core/error.hpp"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace hawthornstall::http::detail {
namespace {

using nlohmann::json;

const json empty_object = json::object();

/// Maximum nesting depth of a document. It exceeds the depth of every body of the API, with a
/// margin for fields added later.
constexpr int max_nesting_depth = 16;

/// Maximum number of bytes of a field name that an error message quotes.
constexpr std::size_t max_quoted_bytes = 64;

/// Parser callback that rejects what the parser itself accepts: duplicate fields and deep nesting.
class structure_validator {
public:
    explicit structure_validator(fault_recorder& faults) : faults_(faults) {}

    bool operator()(int depth, json::parse_event_t event, const json& parsed) {
        if (!faults_.status().ok()) {
            return false;
        }
        if (depth > max_nesting_depth) {
            faults_.add("", "nesting is deeper than 16 levels");
        } else if (event == json::parse_event_t::object_start) {
            open_object_fields_.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            open_object_fields_.pop_back();
        } else if (event == json::parse_event_t::key) {
            const auto& name = parsed.get_ref<const std::string&>();
            if (!open_object_fields_.back().insert(name).second) {
                faults_.add(name.substr(0, max_quoted_bytes), "field occurs twice");
            }
        }
        // Returning false discards values after a fault, so that a hostile document takes no more
        // memory.
        return faults_.status().ok();
    }

private:
    fault_recorder& faults_;
    std::vector<std::set<std::string>> open_object_fields_;
};

std::string describe_range(std::uint64_t smallest, std::uint64_t largest) {
    return std::to_string(smallest) + " to " + std::to_string(largest);
}

} // namespace

void fault_recorder::add(std::string_view path, std::string_view problem) {
    if (!status_.ok()) {
        return;
    }
    std::string message{path.empty() ? "document" : path};
    message.append(": ").append(problem);
    status_ =
        core::make_error(absl::StatusCode::kInvalidArgument, {.step = step_, .peer = {}}, message);
}

json parse_document(std::string_view text, fault_recorder& faults) {
    try {
        auto document = json::parse(text.begin(), text.end(), structure_validator{faults});
        return faults.status().ok() ? document : json{};
    } catch (const json::parse_error& error) {
        faults.add("", "not valid JSON at byte " + std::to_string(error.byte));
    } catch (const json::exception&) {
        faults.add("", "holds a number that is out of range");
    }
    return {};
}

object_reader::object_reader(const json& value, std::string path, fault_recorder& faults)
    : value_(value.is_object() ? &value : &empty_object), path_(std::move(path)), faults_(&faults) {
    if (!value.is_object()) {
        faults.add(path_, "must be an object");
    }
}

std::string object_reader::text(const char* field, presence needed, length_range length) {
    const auto* const found = find(field, needed);
    return found == nullptr ? std::string{} : read_text(*found, path_of(field), length, *faults_);
}

std::uint64_t object_reader::number(const char* field, presence needed, number_range range) {
    const auto* const found = find(field, needed);
    if (found == nullptr) {
        return 0;
    }
    const bool is_unsigned = found->is_number_unsigned();
    const auto value = is_unsigned ? found->get<std::uint64_t>() : 0;
    if (!is_unsigned || value < range.smallest || value > range.largest) {
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
    return {found == nullptr ? empty_object : *found, path_of(field), *faults_};
}

bool object_reader::has(const char* field) const {
    return value_->contains(field);
}

void object_reader::fault(const char* field, std::string_view problem) {
    faults_->add(path_of(field), problem);
}

void object_reader::refuse_unknown_fields() {
    for (const auto& [name, value] : value_->items()) {
        if (!looked_up_fields_.contains(name)) {
            faults_->add(path_of(std::string_view{name}.substr(0, max_quoted_bytes)),
                         "unknown field");
        }
    }
}

const json* object_reader::find(const char* field, presence needed) {
    looked_up_fields_.insert(field);
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
                      fault_recorder& faults) {
    if (!value.is_string()) {
        faults.add(path, "must be a text");
        return {};
    }
    const auto& text = value.get_ref<const std::string&>();
    if (text.size() < length.shortest || text.size() > length.longest) {
        faults.add(path, "must have " + describe_range(length.shortest, length.longest) + " bytes");
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
