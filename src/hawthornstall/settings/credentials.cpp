#include "hawthornstall/settings/credentials.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <stdexcept>

namespace hawthornstall::settings {

token_digest digest_of(std::string_view token) {
    token_digest digest{};
    unsigned int length = 0;
    if (EVP_Digest(token.data(), token.size(), digest.data(), &length, EVP_sha256(), nullptr) !=
            1 ||
        length != digest.size()) {
        throw std::runtime_error{"OpenSSL provides no SHA-256"};
    }
    return digest;
}

const principal* find_by_token(std::span<const credential> credentials, std::string_view token) {
    const auto digest = digest_of(token);
    const principal* found = nullptr;
    for (const auto& candidate : credentials) {
        if (CRYPTO_memcmp(candidate.digest.data(), digest.data(), digest.size()) == 0) {
            found = &candidate.identity;
        }
    }
    return found;
}

} // namespace hawthornstall::settings
