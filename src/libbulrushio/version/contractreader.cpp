#include "version/contractreader.h"

#include "process/yamlfields.h"
#include "process/yamlfile.h"

#include <algorithm>
#include <limits>

namespace bulrush::io {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxServices = 64;
constexpr std::size_t maxOperations = 256;
constexpr std::uint64_t maxVersion = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t maxBodyLimit = std::uint64_t{16} << 30;

const ScalarType<PathPattern> pathPattern{
    PathPattern::parse,
    "a path such as /catalogue/{item}, of letters, digits, - . _ ~ and {placeholders} of names of "
    "their own"};

bool isHeaderNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-';
}

const ScalarType<std::string> headerName{
    [](std::string_view text) -> std::optional<std::string> {
        constexpr std::size_t maxLength = 64;
        if (text.empty() || text.size() > maxLength)
            return std::nullopt;
        if (!std::ranges::all_of(text, isHeaderNameCharacter))
            return std::nullopt;
        return std::string{text};
    },
    "the name of a header field, of 1 to 64 letters, digits and hyphens"};

const ScalarType<std::string> anyText{
    [](std::string_view text) -> std::optional<std::string> { return std::string{text}; },
    "the name of a placeholder of the path"};

ScalarType<std::string> httpMethod()
{
    return choice<std::string>({{"GET", "GET"},
                                {"HEAD", "HEAD"},
                                {"POST", "POST"},
                                {"PUT", "PUT"},
                                {"PATCH", "PATCH"},
                                {"DELETE", "DELETE"}});
}

/**
 * Parses a contract, field by field.
 */
class ContractParser
{
public:
    explicit ContractParser(std::string name)
        : m_name(std::move(name))
    { }

    ContractResult parse(std::string_view text);
    ContractResult unreadableResult(std::error_code error);

private:
    void readAll(YamlFields &fields);
    void readLimits(YamlFields &parent);
    static void readTarget(YamlFields &parent, ServiceLevelTarget &target, Presence presence);
    void readService(YamlFields &fields);
    void readOperation(YamlFields &fields);
    static KeySource readKey(YamlFields &parent, const PathPattern &path);

    std::string m_name;
    ConfigReport m_report;
    Contract m_contract;
};

ContractResult ContractParser::parse(std::string_view text)
{
    const YamlDocument document = parseYaml(text, m_name, m_report);
    if (document.error)
        return {document.error, {}, m_report.sorted()};

    YamlFields fields{m_report, {}, {m_name, 1}};
    if (fields.merge(document.root, m_name))
        readAll(fields);
    if (m_report.isEmpty())
        m_report.addFieldProblems(problemsOf(m_contract));
    if (!m_report.isEmpty())
        return {make_error_code(ConfigError::Invalid), {}, m_report.sorted()};
    return {{}, std::move(m_contract), {}};
}

ContractResult ContractParser::unreadableResult(std::error_code error)
{
    m_report.add({m_name, 1}, {}, error.message());
    return {error, {}, m_report.sorted()};
}

void ContractParser::readAll(YamlFields &fields)
{
    fields.read("organisation", identifier<OrganisationName>(), m_contract.organisation,
                Presence::Required);
    fields.read("version", wholeNumber(0, maxVersion), m_contract.version, Presence::Required);
    readLimits(fields);
    readTarget(fields, m_contract.target, Presence::Required);
    for (YamlFields &service : fields.mappings("services", maxServices, Presence::Required))
        readService(service);
    for (YamlFields &operation : fields.mappings("operations", maxOperations, Presence::Required))
        readOperation(operation);
    fields.finish();
}

void ContractParser::readLimits(YamlFields &parent)
{
    auto fields = parent.mapping("limits", Presence::Required);
    if (!fields)
        return;

    OrganisationLimits &limits = m_contract.limits;
    fields->read("requestsPerSecond", wholeNumber(1, 10'000'000), limits.requestsPerSecond,
                 Presence::Required);
    fields->read("concurrency", wholeNumber(1, 1'000'000), limits.concurrency, Presence::Required);
    fields->finish();
}

void ContractParser::readTarget(YamlFields &parent, ServiceLevelTarget &target, Presence presence)
{
    auto fields = parent.mapping("target", presence);
    if (!fields)
        return;

    fields->read("objective", percentage(), target.objectivePpm, Presence::Required);
    fields->read("within", duration(1ms, 1h), target.within, Presence::Required);
    fields->read("window", duration(1h, 24h * 90), target.window, Presence::Optional);
    fields->finish();
}

void ContractParser::readService(YamlFields &fields)
{
    const auto preference = choice<Preference>(
        {{"imbalance", Preference::Imbalance}, {"availability", Preference::Availability}});
    ServiceTerms &terms = m_contract.services.emplace_back();
    fields.read("name", identifier<ServiceName>(), terms.name, Presence::Required);
    fields.read("dividedByKey", boolean(), terms.isDividedByKey, Presence::Required);
    fields.read("weigh", preference, terms.preference, Presence::Optional);
    if (auto pool = fields.mapping("pool", Presence::Required)) {
        pool->read("checksFence", boolean(), terms.checksFence, Presence::Optional);
        pool->read("slotsPerServer", wholeNumber(1, 10'000), terms.slotsPerServer,
                   Presence::Required);
        pool->read("connectionLimit", wholeNumber(1, 100'000), terms.connectionLimit,
                   Presence::Required);
        pool->finish();
    }
    fields.finish();
}

void ContractParser::readOperation(YamlFields &fields)
{
    const auto operationClass = choice<OperationClass>(
        {{"ordinary", OperationClass::Ordinary}, {"priority", OperationClass::Priority}});
    Operation &operation = m_contract.operations.emplace_back();
    operation.target = m_contract.target;
    fields.read("name", identifier<OperationName>(), operation.name, Presence::Required);
    fields.read("service", identifier<ServiceName>(), operation.service, Presence::Required);
    fields.read("method", httpMethod(), operation.method, Presence::Required);
    const bool hasPath = fields.read("path", pathPattern, operation.path, Presence::Required);
    operation.key = readKey(fields, operation.path);
    if (!hasPath && std::holds_alternative<KeyFromPath>(operation.key))
        operation.key = NoKey{};
    fields.read("repeatable", boolean(), operation.isRepeatable, Presence::Required);
    fields.read("class", operationClass, operation.operationClass, Presence::Optional);
    fields.read("lossCost", wholeNumber(0, 1000), operation.lossCost, Presence::Optional);
    fields.read("deadline", duration(10ms, 1h), operation.deadline, Presence::Required);
    fields.read("maxBody", byteCount(0, maxBodyLimit), operation.maxBodyBytes, Presence::Optional);
    readTarget(fields, operation.target, Presence::Optional);
    fields.finish();
}

KeySource ContractParser::readKey(YamlFields &parent, const PathPattern &path)
{
    auto fields = parent.mapping("key", Presence::Optional);
    if (!fields)
        return NoKey{};

    std::string header;
    std::string placeholder;
    const bool hasHeader = fields->read("header", headerName, header, Presence::Optional);
    const bool hasSegment = fields->read("segment", anyText, placeholder, Presence::Optional);
    fields->finish();
    if (fields->has("header") == fields->has("segment")) {
        parent.reportProblem("key", "names no place of the key, or two",
                             "{header: NAME} or {segment: PLACEHOLDER}");
        return NoKey{};
    }
    if (hasHeader)
        return KeyFromHeader{header};
    if (!hasSegment)
        return NoKey{};

    const auto segment = path.placeholder(placeholder);
    if (segment)
        return KeyFromPath{*segment};
    if (!path.text().empty())
        fields->reportProblem("segment", "is no placeholder of " + path.text(), anyText.allowed);
    return NoKey{};
}

} // namespace

ContractResult readContract(std::string_view text, std::string_view name)
{
    return ContractParser{std::string{name}}.parse(text);
}

ContractResult readContractFile(std::string_view path)
{
    const FileText file = readTextFile(path);
    if (file.error)
        return ContractParser{std::string{path}}.unreadableResult(file.error);
    return readContract(file.text, path);
}

} // namespace bulrush::io
