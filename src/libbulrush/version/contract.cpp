#include "version/contract.h"

#include <algorithm>
#include <set>

namespace bulrush {

namespace {

std::string fieldOf(std::string_view list, std::size_t index, std::string_view field)
{
    return std::string{list} + "[" + std::to_string(index) + "]." + std::string{field};
}

/**
 * Collects the problems of one contract.
 */
class ContractCheck
{
public:
    explicit ContractCheck(const Contract &contract)
        : m_contract(contract)
    { }

    FieldProblems run();

private:
    void checkTarget(const ServiceLevelTarget &target, const std::string &field);
    void checkServices();
    void checkOperation(std::size_t index);
    void checkName(std::size_t index);
    void checkKey(std::size_t index, const ServiceTerms &terms);
    void checkKeySegment(std::size_t index, const KeyFromPath &key);
    void checkPath(std::size_t index);
    std::string serviceNames() const;

    const Contract &m_contract;
    std::set<ServiceName> m_services;
    std::set<OperationName> m_operations;
    FieldProblems m_problems;
};

FieldProblems ContractCheck::run()
{
    checkTarget(m_contract.target, "target.within");
    checkServices();
    for (std::size_t i = 0; i < m_contract.operations.size(); ++i)
        checkOperation(i);
    return std::move(m_problems);
}

void ContractCheck::checkTarget(const ServiceLevelTarget &target, const std::string &field)
{
    if (target.within > target.window)
        m_problems.push_back({field, "is longer than the window that it is counted over",
                              "at most the target's window"});
}

void ContractCheck::checkServices()
{
    for (std::size_t i = 0; i < m_contract.services.size(); ++i) {
        const ServiceName &name = m_contract.services[i].name;
        if (!m_services.insert(name).second)
            m_problems.push_back({fieldOf("services", i, "name"),
                                  "\"" + name.value() + "\" is the name of a service above",
                                  "a name of its own"});
        if (m_contract.services[i].connectionLimit < m_contract.services[i].slotsPerServer)
            m_problems.push_back(
                {fieldOf("services", i, "pool.connectionLimit"),
                 "is lower than slotsPerServer, so that some slots could never be used",
                 "at least slotsPerServer"});
    }
}

void ContractCheck::checkOperation(std::size_t index)
{
    const Operation &operation = m_contract.operations[index];
    checkName(index);
    checkPath(index);
    checkTarget(operation.target, fieldOf("operations", index, "target.within"));

    const ServiceTerms *terms = serviceTerms(m_contract, operation.service);
    if (!terms) {
        m_problems.push_back({fieldOf("operations", index, "service"),
                              "there is no service \"" + operation.service.value() + "\"",
                              serviceNames()});
        return;
    }
    checkKey(index, *terms);
}

void ContractCheck::checkName(std::size_t index)
{
    const OperationName &name = m_contract.operations[index].name;
    if (!m_operations.insert(name).second)
        m_problems.push_back({fieldOf("operations", index, "name"),
                              "\"" + name.value() + "\" is the name of an operation above",
                              "a name of its own"});
}

void ContractCheck::checkKey(std::size_t index, const ServiceTerms &terms)
{
    const KeySource &key = m_contract.operations[index].key;
    const bool hasKey = !std::holds_alternative<NoKey>(key);
    if (terms.isDividedByKey && !hasKey)
        m_problems.push_back(
            {fieldOf("operations", index, "key"),
             "is missing: the service \"" + terms.name.value() + "\" is divided by key",
             "{header: NAME} or {segment: PLACEHOLDER}"});
    if (!terms.isDividedByKey && hasKey)
        m_problems.push_back(
            {fieldOf("operations", index, "key"),
             "has no use: the service \"" + terms.name.value() + "\" is not divided by key",
             "nothing here, or dividedByKey: true at the service"});
    if (const auto *fromPath = std::get_if<KeyFromPath>(&key))
        checkKeySegment(index, *fromPath);
}

void ContractCheck::checkKeySegment(std::size_t index, const KeyFromPath &key)
{
    const auto &segments = m_contract.operations[index].path.segments();
    if (key.segment < segments.size() && segments[key.segment].isPlaceholder)
        return;

    m_problems.push_back({fieldOf("operations", index, "key.segment"),
                          "is not a placeholder of the path, so all callers would share one key",
                          "a placeholder of the path"});
}

void ContractCheck::checkPath(std::size_t index)
{
    const Operation &operation = m_contract.operations[index];
    const auto above = std::span{m_contract.operations}.first(index);
    const auto same = std::ranges::find_if(above, [&](const Operation &other) {
        return other.method == operation.method && other.path.isEquivalentTo(operation.path);
    });
    if (same == above.end())
        return;

    m_problems.push_back({fieldOf("operations", index, "path"),
                          "matches the same requests as operation \"" + same->name.value() + "\"",
                          "a method and path of its own"});
}

std::string ContractCheck::serviceNames() const
{
    std::string names;
    for (const ServiceName &name : m_services)
        names += (names.empty() ? "" : ", ") + name.value();
    return names.empty() ? "a service of this contract; it has none" : names;
}

} // namespace

FieldProblems problemsOf(const Contract &contract)
{
    return ContractCheck{contract}.run();
}

const Operation *operationFor(const Contract &contract, std::string_view method,
                              std::span<const std::string> segments)
{
    const Operation *best = nullptr;
    for (const Operation &operation : contract.operations) {
        if (operation.method != method || !operation.path.matches(segments))
            continue;
        if (!best || operation.path.isMoreSpecificThan(best->path))
            best = &operation;
    }
    return best;
}

const ServiceTerms *serviceTerms(const Contract &contract, const ServiceName &name)
{
    const auto found = std::ranges::find(contract.services, name, &ServiceTerms::name);
    return found == contract.services.end() ? nullptr : &*found;
}

} // namespace bulrush
