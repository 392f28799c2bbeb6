#include "hawthornstall/control/document_messages.hpp"

#include <xxhash.h>

namespace hawthornstall::control {

std::uint64_t versions_hash(std::span<const core::service_document> documents) {
    std::uint64_t hash = 0;
    for (const auto& document : documents) {
        hash = XXH3_64bits_withSeed(document.service.data(), document.service.size(),
                                    hash + document.version);
    }
    return hash;
}

} // namespace hawthornstall::control
