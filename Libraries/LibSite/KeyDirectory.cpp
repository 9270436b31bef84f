#include <LibSite/KeyDirectory.h>

#include <sodium/crypto_hash_sha256.h>
#include <sodium/utils.h>

#include <cstring>

namespace Site {

KeyDirectory::KeyDirectory(const std::vector<Jobs::Customer> &customers)
{
    static_assert(digestBytes == crypto_hash_sha256_BYTES);
    for (const Jobs::Customer &customer : customers) {
        for (const Jobs::ApiKey &key : customer.keys)
            m_customers.emplace(digestOf(key.secret()), customer.id);
    }
}

std::optional<Core::CustomerId> KeyDirectory::find(std::string_view key) const
{
    const auto found = m_customers.find(digestOf(key));
    return found == m_customers.end() ? std::nullopt : std::optional(found->second);
}

KeyDirectory::Digest KeyDirectory::digestOf(std::string_view key)
{
    Digest digest {};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(key.data()),
                       key.size());
    return digest;
}

std::size_t KeyDirectory::DigestHash::operator()(const Digest &digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

bool KeyDirectory::ConstantTimeEqual::operator()(const Digest &left, const Digest &right) const
{
    return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Site
