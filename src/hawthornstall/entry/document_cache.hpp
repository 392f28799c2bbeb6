#pragma once

/// The latest documents of an entry host, kept in its data folder. A host that restarts while no
/// control host answers can serve with them, and never goes back to an older version of a document
/// than it has saved.

#include "hawthornstall/control/data_files.hpp"
#include "hawthornstall/control/document_messages.hpp"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::entry {

/// Name of the file in the data folder.
inline constexpr std::string_view saved_documents_name = "documents";

/// Content of the file: the documents and their checksum.
[[nodiscard]] std::string encode_saved(const control::config_delta& documents);

/// Inverse of encode_saved(). kDataLoss, with `path` as the peer, when `bytes` are damaged.
[[nodiscard]] absl::StatusOr<control::config_delta> decode_saved(std::string_view path,
                                                                 std::string_view bytes);

/// Replaces the saved documents. They are durable when the function returns OK.
template <control::file_operations Files>
[[nodiscard]] absl::Status save_documents(Files& files, const std::string& folder,
                                          const control::config_delta& documents) {
    return control::replace_file(files, folder, std::string{saved_documents_name},
                                 encode_saved(documents));
}

/// The saved documents; empty when none were saved, kDataLoss when the file is damaged.
template <control::file_operations Files>
[[nodiscard]] absl::StatusOr<std::optional<control::config_delta>>
load_documents(Files& files, const std::string& folder) {
    const auto path = folder + '/' + std::string{saved_documents_name};
    const auto bytes = files.read(path);
    if (!bytes.ok()) {
        return bytes.status();
    }
    if (!bytes->has_value()) {
        return std::optional<control::config_delta>{};
    }
    auto documents = decode_saved(path, **bytes);
    if (!documents.ok()) {
        return documents.status();
    }
    return std::optional{*std::move(documents)};
}

/// As above, on the file system of the host.
[[nodiscard]] absl::Status save_documents(const std::string& folder,
                                          const control::config_delta& documents);
[[nodiscard]] absl::StatusOr<std::optional<control::config_delta>>
load_documents(const std::string& folder);

} // namespace hawthornstall::entry
