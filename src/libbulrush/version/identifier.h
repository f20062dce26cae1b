#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace bulrush {

/**
 * Name with a type of its own, so that names of different kinds cannot be mixed up.
 */
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value);

    const std::string &value() const;
    bool isEmpty() const;

    auto operator<=>(const Identifier &) const = default;

private:
    std::string m_value;
};

/** Name of a failure domain. */
using DomainName = Identifier<struct DomainNameTag>;
/** Name of an entry host. It stays the same across restarts of the daemon on that host. */
using HostName = Identifier<struct HostNameTag>;
/** Identifies one run of a daemon. It is never reused, not even on the same host. */
using Incarnation = Identifier<struct IncarnationTag>;
/** Name of a backend server. */
using ServerName = Identifier<struct ServerNameTag>;
/** Name of a service, such as "catalogue". */
using ServiceName = Identifier<struct ServiceNameTag>;
/** Name of a customer organisation, which is also the name of its contract. */
using OrganisationName = Identifier<struct OrganisationNameTag>;
/** Name of an operation in a contract, such as "deposit". */
using OperationName = Identifier<struct OperationNameTag>;

template<typename Tag>
inline Identifier<Tag>::Identifier(std::string value)
    : m_value(std::move(value))
{ }

template<typename Tag>
inline const std::string &Identifier<Tag>::value() const
{
    return m_value;
}

template<typename Tag>
inline bool Identifier<Tag>::isEmpty() const
{
    return m_value.empty();
}

} // namespace bulrush

template<typename Tag>
struct std::hash<bulrush::Identifier<Tag>>
{
    std::size_t operator()(const bulrush::Identifier<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.value());
    }
};
