#pragma once

#include <LibCore/Identifier.h>
#include <LibJob/Catalogue.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Site {

/// Finds the customer of a key.
///
/// Keeps digests instead of the keys, so that the time of a lookup depends neither on the keys nor
/// on their number.
class KeyDirectory
{
public:
    KeyDirectory() = default;
    explicit KeyDirectory(const std::vector<Jobs::Customer> &customers);

    /// Returns nothing for a key that no customer has.
    std::optional<Core::CustomerId> find(std::string_view key) const;

private:
    static constexpr std::size_t digestBytes = 32;
    using Digest = std::array<unsigned char, digestBytes>;

    struct DigestHash
    {
        std::size_t operator()(const Digest &digest) const;
    };
    struct ConstantTimeEqual
    {
        bool operator()(const Digest &left, const Digest &right) const;
    };

    static Digest digestOf(std::string_view key);

    std::unordered_map<Digest, Core::CustomerId, DigestHash, ConstantTimeEqual> m_customers;
};

} // namespace Site
