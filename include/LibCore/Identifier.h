#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Core {

/// A name. Each \p Tag makes a distinct type, so that the kinds of names can't be mixed up.
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    auto operator<=>(const Identifier &) const = default;

private:
    std::string m_text;
};

template<typename Tag>
std::ostream &operator<<(std::ostream &stream, const Identifier<Tag> &identifier)
{
    return stream << identifier.text();
}

/// A VM of any kind: an entry VM, or a worker together with the backend server that runs on it.
using VmId = Identifier<struct VmTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;
using TaskId = Identifier<struct TaskTag>;
/// A quota holder: a club at Compás Lector, a firm at Kopīgā.
using TeamId = Identifier<struct TeamTag>;
/// A customer in the catalogue of a site; empty for work that belongs to none.
using CustomerId = Identifier<struct CustomerTag>;
/// A kind of task that rules refer to, such as `reminder` or `roster`.
using TaskClassId = Identifier<struct TaskClassTag>;
using RequestId = Identifier<struct RequestTag>;

} // namespace Core

template<typename Tag>
struct std::hash<Core::Identifier<Tag>>
{
    std::size_t operator()(const Core::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.text());
    }
};
