#include "hawthornstall/entry/document_cache.hpp"

#include "hawthornstall/control/data_files.hpp"
#include "hawthornstall/control/document_layouts.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <xxhash.h>

#include <cstdint>
#include <string_view>

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

constexpr std::string_view file_name = "documents";

absl::Status damaged(std::string_view folder) {
    return core::make_error(absl::StatusCode::kDataLoss, {.step = "load_documents", .peer = folder},
                            "the saved documents are damaged");
}

} // namespace detail

absl::Status save_documents(const std::string& folder, const control::config_delta& documents) {
    saved_documents saved;
    saved.documents = wire::encode(documents);
    saved.checksum = XXH3_64bits(saved.documents.data(), saved.documents.size());
    control::posix_files files;
    return control::replace_file(files, folder, std::string{detail::file_name},
                                 wire::encode(saved));
}

absl::StatusOr<std::optional<control::config_delta>> load_documents(const std::string& folder) {
    const auto bytes = control::posix_files::read(folder + '/' + std::string{detail::file_name});
    if (!bytes.ok()) {
        return bytes.status();
    }
    if (!bytes->has_value()) {
        return std::optional<control::config_delta>{};
    }
    const auto saved = wire::decode<saved_documents>(**bytes);
    if (!saved.ok() ||
        saved->checksum != XXH3_64bits(saved->documents.data(), saved->documents.size())) {
        return detail::damaged(folder);
    }
    auto documents = wire::decode<control::config_delta>(saved->documents);
    if (!documents.ok()) {
        return detail::damaged(folder);
    }
    return std::optional{*std::move(documents)};
}

} // namespace hawthornstall::entry
