#include "hawthornstall/settings/credentials_json.hpp"

#include "hawthornstall/settings/json_document.hpp"

#include <algorithm>
#include <charconv>
#include <span>
#include <utility>

namespace hawthornstall::settings {
namespace detail {

constexpr std::size_t min_token_length = 16;
constexpr std::size_t max_token_length = 256;
constexpr std::size_t hex_digest_length = 2 * std::tuple_size_v<token_digest>;

/// A lookup hashes the token once and compares it with every digest, so this limit bounds the cost
/// of authenticating a request.
constexpr list_range token_count_range{1, 1000};

bool is_token(std::string_view text) {
    return std::ranges::all_of(text,
                               [](char character) { return character > ' ' && character <= '~'; });
}

bool is_hex(std::string_view text) {
    return std::ranges::all_of(text, [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    });
}

constexpr text_rule token_rule{min_token_length, max_token_length, &is_token,
                               "16 to 256 printable ASCII characters without spaces"};
constexpr text_rule digest_rule{hex_digest_length, hex_digest_length, &is_hex,
                                "64 lower-case hexadecimal digits"};

token_digest parse_digest(std::string_view text) {
    constexpr int hexadecimal = 16;
    token_digest digest{};
    for (std::size_t index = 0; index < digest.size(); ++index) {
        const char* const begin = text.data() + 2 * index;
        std::from_chars(begin, begin + 2, digest.at(index), hexadecimal);
    }
    return digest;
}

/// Reads the digest, or computes it from a token in plain text.
void read_digest(object_checker& fields, token_digest& digest) {
    std::string token;
    std::string hex;
    fields.text("token", presence::optional, token_rule, token);
    fields.text("token_sha256", presence::optional, digest_rule, hex);
    if (fields.contains("token") == fields.contains("token_sha256")) {
        fields.problems().add(fields.path_of("token"),
                              "exactly one of \"token\" and \"token_sha256\" must be given");
    } else if (!token.empty()) {
        digest = digest_of(token);
    } else if (!hex.empty()) {
        digest = parse_digest(hex);
    }
}

credential read_credential(object_checker& fields) {
    credential read;
    auto& [name, kind, team] = read.identity;
    fields.text("name", presence::required, name_rule, name);
    fields.choice("role", presence::required, role_names, kind);
    fields.text("team", presence::optional, name_rule, team);
    read_digest(fields, read.digest);
    if (fields.contains("team") == (kind == role::site_operator)) {
        fields.problems().add_conflict({fields.path_of("team"), fields.path_of("role")},
                                       kind == role::site_operator
                                           ? "must not be given for role operator"
                                           : "missing; roles caller and team need a team");
    }
    return read;
}

/// Reports a name or token that an earlier entry has, because two principals with the same name or
/// token could not be told apart.
void check_distinct(object_checker& entry, const credential& current,
                    std::span<const credential> earlier) {
    if (std::ranges::any_of(earlier, [&](const credential& other) {
            return other.identity.name == current.identity.name;
        })) {
        entry.problems().add_conflict({entry.path_of("name")}, "name of an earlier entry");
    }
    if (current.digest != token_digest{} &&
        std::ranges::find(earlier, current.digest, &credential::digest) != earlier.end()) {
        entry.problems().add_conflict({entry.path_of("token")}, "token of an earlier entry");
    }
}

} // namespace detail

std::vector<credential> read_credentials(object_checker& fields, presence need) {
    std::vector<credential> credentials;
    fields.objects("tokens", need, detail::token_count_range, [&](object_checker& entry) {
        auto current = detail::read_credential(entry);
        detail::check_distinct(entry, current, credentials);
        credentials.push_back(std::move(current));
    });
    return credentials;
}

absl::StatusOr<std::vector<credential>> parse_credentials(std::string_view text) {
    std::vector<credential> credentials;
    const auto status = check_document(text, "parse_credentials", [&](object_checker& fields) {
        credentials = read_credentials(fields, presence::required);
    });
    if (!status.ok()) {
        return status;
    }
    return credentials;
}

} // namespace hawthornstall::settings
