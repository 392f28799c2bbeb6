#include "hawthornstall/entry/document_cache.hpp"

#include "hawthornstall/control/document_layouts.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <xxhash.h>

#include <cstdint>

namespace hawthornstall::entry {

/// Content of the file: encoded documents and their checksum.
struct saved_documents {
    std::uint64_t checksum = 0; ///< XXH3 of the encoded documents.
    std::string documents;
};

} // namespace hawthornstall::entry

namespace hawthornstall::wire {

template <> struct layout<entry::saved_documents> {
    using type = entry::saved_documents;
    static constexpr auto members = std::tuple{&type::checksum, &type::documents};
};

} // namespace hawthornstall::wire

namespace hawthornstall::entry {
namespace detail {

absl::Status damaged(std::string_view path, std::string_view bytes, std::string_view problem) {
    return core::make_error(absl::StatusCode::kDataLoss, {.step = "load_documents", .peer = path},
                            "the saved documents are damaged: " + std::to_string(bytes.size()) +
                                " bytes, " + std::string{problem});
}

} // namespace detail

std::string encode_saved(const control::config_delta& documents) {
    saved_documents saved;
    saved.documents = wire::encode(documents);
    saved.checksum = XXH3_64bits(saved.documents.data(), saved.documents.size());
    return wire::encode(saved);
}

absl::StatusOr<control::config_delta> decode_saved(std::string_view path, std::string_view bytes) {
    const auto saved = wire::decode<saved_documents>(bytes);
    if (!saved.ok()) {
        return detail::damaged(path, bytes, core::describe(saved.status()));
    }
    if (saved->checksum != XXH3_64bits(saved->documents.data(), saved->documents.size())) {
        return detail::damaged(path, bytes, "the checksum does not match");
    }
    auto documents = wire::decode<control::config_delta>(saved->documents);
    if (!documents.ok()) {
        return detail::damaged(path, bytes, core::describe(documents.status()));
    }
    return documents;
}

absl::Status save_documents(const std::string& folder, const control::config_delta& documents) {
    control::posix_files files;
    return save_documents(files, folder, documents);
}

absl::StatusOr<std::optional<control::config_delta>> load_documents(const std::string& folder) {
    control::posix_files files;
    return load_documents(files, folder);
}

} // namespace hawthornstall::entry
