#include "version/burnreport.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace bulrush::io {

namespace {

constexpr std::uint64_t formatVersion = 1;
constexpr std::array<std::string_view, burnWindows.size()> windowNames{"5m", "1h", "6h", "3d"};

class BurnReportCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "burn report";
    }

    std::string message(int value) const override
    {
        switch (static_cast<BurnReportError>(value)) {
        case BurnReportError::NotJson:
            return "the burn counts are not a JSON object";
        case BurnReportError::UnknownFormat:
            return "the burn counts have an unsupported format version";
        case BurnReportError::WrongField:
            return "a field of the burn counts is missing or invalid";
        case BurnReportError::WrongWindows:
            return "the burn counts have different windows";
        case BurnReportError::WrongHistogram:
            return "the latencies of the burn counts have different bins";
        }
        return "unknown error";
    }
};

/** Thrown only within this file. decodeBurnSnapshot() converts it to an error code. */
class DecodeFailure : public std::exception
{
public:
    explicit DecodeFailure(BurnReportError error)
        : m_error(error)
    { }

    BurnReportError error() const
    {
        return m_error;
    }

private:
    BurnReportError m_error;
};

void require(bool condition, BurnReportError error = BurnReportError::WrongField)
{
    if (!condition)
        throw DecodeFailure(error);
}

Json::Value numberValue(std::uint64_t number)
{
    return Json::Value(static_cast<Json::UInt64>(number));
}

std::uint64_t numberOf(const Json::Value &value)
{
    require(value.isUInt64());
    return value.asUInt64();
}

Duration durationOf(const Json::Value &value)
{
    const std::uint64_t number = numberOf(value);
    require(number <= static_cast<std::uint64_t>(Duration::max().count()));
    return Duration{static_cast<Duration::rep>(number)};
}

std::string textOf(const Json::Value &value)
{
    require(value.isString());
    return value.asString();
}

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string serialize(const Json::Value &value, const char *indentation)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indentation;
    builder["precision"] = 6;
    return Json::writeString(builder, value);
}

Json::Value encode(const BurnSeries &series)
{
    Json::Value value(Json::objectValue);
    value["organisation"] = series.organisation.value();
    value["operation"] = series.operation.value();
    // Text with 17 significant digits, so that equal targets compare equal after decoding.
    value["targetShare"] = fmt::format("{:.17g}", series.target.share);
    value["targetLatencyNs"] =
        numberValue(static_cast<std::uint64_t>(series.target.latency.count()));
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        Json::Value counted(Json::arrayValue);
        counted.append(numberValue(series.windows[window].good));
        counted.append(numberValue(series.windows[window].bad));
        value["windows"][std::string(windowNames[window])] = counted;
    }
    value["latencies"] = Json::Value(Json::arrayValue);
    for (const std::uint64_t count : series.latencies)
        value["latencies"].append(numberValue(count));
    return value;
}

double shareOf(const Json::Value &value)
{
    const std::string text = textOf(value);
    char *end = nullptr;
    const double share = std::strtod(text.c_str(), &end);
    require(!text.empty() && *end == '\0' && share > 0 && share < 1);
    return share;
}

BurnSeries decodeSeries(const Json::Value &value)
{
    require(value.isObject());
    BurnSeries series;
    series.organisation = OrganisationName(textOf(value["organisation"]));
    series.operation = OperationName(textOf(value["operation"]));
    series.target.share = shareOf(value["targetShare"]);
    series.target.latency = durationOf(value["targetLatencyNs"]);

    const Json::Value &windows = value["windows"];
    require(windows.isObject() && windows.size() == burnWindows.size(),
            BurnReportError::WrongWindows);
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        const Json::Value &counted = windows[std::string(windowNames[window])];
        require(counted.isArray() && counted.size() == 2, BurnReportError::WrongWindows);
        series.windows[window] = {numberOf(counted[0]), numberOf(counted[1])};
    }

    const Json::Value &latencies = value["latencies"];
    require(latencies.isArray() && latencies.size() == LatencyHistogram::binCount,
            BurnReportError::WrongHistogram);
    for (const Json::Value &count : latencies)
        series.latencies.push_back(numberOf(count));
    return series;
}

Json::Value parse(std::string_view text)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    const bool isParsed = reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    require(isParsed && value.isObject(), BurnReportError::NotJson);
    return value;
}

std::string_view stateText(const BurnRow &row)
{
    if (row.isBurningFast)
        return "FAST";
    if (row.isBurningSlowly)
        return "slow";
    return "ok";
}

std::string percentText(double share)
{
    return fmt::format("{:.1f}%", share * 100);
}

std::string rateText(double rate)
{
    return fmt::format("{:.2f}", rate);
}

std::string latencyText(const std::optional<Duration> &latency)
{
    return latency ? fmt::format("{:.0f} ms", secondsOf(*latency) * 1000) : "-";
}

std::string targetText(const ServiceTarget &target)
{
    return fmt::format("{:g}% in {:.0f} ms", target.share * 100, secondsOf(target.latency) * 1000);
}

std::string spanText(Duration span)
{
    const double hours = secondsOf(span) / 3600;
    return hours < 1 ? fmt::format("{:.0f} min", hours * 60) : fmt::format("{:.1f} h", hours);
}

std::string joinNames(const std::vector<HostName> &hosts)
{
    std::string result;
    for (const HostName &host : hosts)
        result += (result.empty() ? "" : ", ") + host.value();
    return result;
}

/** \returns one line for each note on the coverage of the report, such as missing daemons. */
std::vector<std::string> coverageLines(const BurnReport &report)
{
    const std::size_t expected = report.reported.size() + report.missing.size();
    std::vector<std::string> lines;
    lines.push_back(fmt::format("From {} of {} daemons.", report.reported.size(), expected));
    if (!report.missing.empty())
        lines.push_back("Missing, and not counted: " + joinNames(report.missing) + ".");
    if (report.partlyObserved > 0)
        lines.push_back(fmt::format("Counting for less than 3 days: {}, the shortest for {}. What "
                                    "earlier daemons counted there is lost.",
                                    report.partlyObserved, spanText(report.minObservedDuration)));
    const bool isMixed = std::ranges::any_of(report.rows, &BurnRow::hasMixedTargets);
    if (isMixed)
        lines.push_back("* Daemons judged by different targets; the strictest is shown.");
    return lines;
}

std::vector<std::string> tableCells(const BurnRow &row)
{
    std::vector<std::string> cells{row.organisation.value(), row.operation.value(),
                                   targetText(row.target) + (row.hasMixedTargets ? " *" : "")};
    for (const WindowBurn &window : row.windows)
        cells.push_back(rateText(window.rate));
    cells.push_back(percentText(row.budgetLeft));
    cells.push_back(latencyText(row.median));
    cells.push_back(latencyText(row.percentile99));
    cells.emplace_back(stateText(row));
    return cells;
}

const std::vector<std::string> &headings()
{
    static const std::vector<std::string> names{"organisation", "operation", "target", "burn 5m",
                                                "1h",           "6h",        "3d",     "budget",
                                                "p50",          "p99",       "state"};
    return names;
}

/** \returns the number of characters in the UTF-8 \a text. */
std::size_t widthOf(std::string_view text)
{
    const auto isContinuation = [](char byte) {
        return (static_cast<unsigned char>(byte) & 0xc0) == 0x80;
    };
    return text.size() - static_cast<std::size_t>(std::ranges::count_if(text, isContinuation));
}

std::string alignedRows(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths(headings().size());
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], widthOf(row[column]));
    }
    std::string result;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
            line += row[column] + std::string(widths[column] - widthOf(row[column]) + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        result += line + "\n";
    }
    return result;
}

Json::Value encodeRow(const BurnRow &row)
{
    Json::Value entry(Json::objectValue);
    entry["organisation"] = row.organisation.value();
    entry["operation"] = row.operation.value();
    entry["targetShare"] = row.target.share;
    entry["targetLatencySeconds"] = secondsOf(row.target.latency);
    entry["hasMixedTargets"] = row.hasMixedTargets;
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        Json::Value &burn = entry["windows"][std::string(windowNames[window])];
        burn["good"] = numberValue(row.windows[window].counted.good);
        burn["bad"] = numberValue(row.windows[window].counted.bad);
        burn["rate"] = row.windows[window].rate;
    }
    entry["budgetLeft"] = row.budgetLeft;
    entry["isBurningFast"] = row.isBurningFast;
    entry["isBurningSlowly"] = row.isBurningSlowly;
    if (row.median && row.percentile99) {
        entry["medianSeconds"] = secondsOf(*row.median);
        entry["percentile99Seconds"] = secondsOf(*row.percentile99);
    }
    return entry;
}

Json::Value encodeHosts(const std::vector<HostName> &hosts)
{
    Json::Value value(Json::arrayValue);
    for (const HostName &host : hosts)
        value.append(host.value());
    return value;
}

std::string csvCell(std::string_view text)
{
    if (text.find_first_of(",\"\r\n") == std::string_view::npos)
        return std::string(text);

    std::string result = "\"";
    for (const char character : text)
        result += character == '"' ? std::string("\"\"") : std::string(1, character);
    return result + "\"";
}

std::string htmlText(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += character;
        }
    }
    return result;
}

std::string_view barColour(const BurnRow &row)
{
    if (row.isBurningFast || row.budgetLeft <= 0)
        return "#b3261e";
    if (row.isBurningSlowly)
        return "#b26a00";
    return "#2e7d32";
}

constexpr int labelWidth = 260;
constexpr int barWidth = 400;
constexpr int rowHeight = 26;

std::string budgetBar(const BurnRow &row, int top)
{
    const double left = std::clamp(row.budgetLeft, 0.0, 1.0);
    const std::string name =
        htmlText(row.organisation.value()) + " / " + htmlText(row.operation.value());
    std::string result = fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{}</text>\n",
                                     labelWidth - 8, top + 16, name);
    result += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"18\" fill=\"#e6e6e6\"/>\n",
                          labelWidth, top + 2, barWidth);
    result += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"18\" fill=\"{}\"/>\n",
                          labelWidth, top + 2, left * barWidth, barColour(row));
    result += fmt::format("<text x=\"{}\" y=\"{}\">{} {}</text>\n", labelWidth + barWidth + 8,
                          top + 16, percentText(row.budgetLeft), stateText(row));
    return result;
}

std::string budgetChart(const BurnReport &report)
{
    const int height = rowHeight * static_cast<int>(report.rows.size());
    std::string result =
        fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" role=\"img\" viewBox=\"0 0 {} {}\" "
                    "width=\"{}\">\n"
                    "<title>Share of each operation's budget of 3 days that is left</title>\n",
                    labelWidth + barWidth + 120, height, labelWidth + barWidth + 120);
    int top = 0;
    for (const BurnRow &row : report.rows) {
        result += budgetBar(row, top);
        top += rowHeight;
    }
    return result + "</svg>\n";
}

std::string htmlRow(const std::vector<std::string> &cells, std::string_view tag)
{
    std::string result = "<tr>";
    for (const std::string &cell : cells)
        result += fmt::format("<{0}>{1}</{0}>", tag, htmlText(cell));
    return result + "</tr>\n";
}

constexpr std::string_view style =
    "body{font:15px sans-serif;margin:2em;max-width:70em;color:#1a1a1a;background:#fff}"
    "table{border-collapse:collapse}"
    "td,th{padding:4px 10px;border-bottom:1px solid #ccc;text-align:left}"
    "svg{font:13px sans-serif;max-width:100%;height:auto}";

} // namespace

const std::error_category &burnReportCategory()
{
    static const BurnReportCategory category;
    return category;
}

std::error_code make_error_code(BurnReportError error)
{
    return {static_cast<int>(error), burnReportCategory()};
}

std::string encodeBurnSnapshot(const BurnSnapshot &snapshot)
{
    Json::Value value(Json::objectValue);
    value["format"] = numberValue(formatVersion);
    value["host"] = snapshot.host.value();
    value["incarnation"] = snapshot.incarnation.value();
    value["observedForNs"] = numberValue(static_cast<std::uint64_t>(snapshot.observedFor.count()));
    value["series"] = Json::Value(Json::arrayValue);
    for (const BurnSeries &series : snapshot.series)
        value["series"].append(encode(series));
    return serialize(value, "");
}

std::error_code decodeBurnSnapshot(std::string_view text, BurnSnapshot &snapshot)
{
    try {
        const Json::Value value = parse(text);
        require(numberOf(value["format"]) == formatVersion, BurnReportError::UnknownFormat);
        snapshot.host = HostName(textOf(value["host"]));
        snapshot.incarnation = Incarnation(textOf(value["incarnation"]));
        snapshot.observedFor = durationOf(value["observedForNs"]);
        require(value["series"].isArray());
        snapshot.series.clear();
        for (const Json::Value &series : value["series"])
            snapshot.series.push_back(decodeSeries(series));
    } catch (const DecodeFailure &failure) {
        return failure.error();
    } catch (const Json::Exception &) {
        return BurnReportError::NotJson;
    }
    return {};
}

std::string burnTable(const BurnReport &report)
{
    std::vector<std::vector<std::string>> rows{headings()};
    for (const BurnRow &row : report.rows)
        rows.push_back(tableCells(row));

    std::string result = alignedRows(rows) + "\n";
    for (const std::string &line : coverageLines(report))
        result += line + "\n";
    return result;
}

std::string burnJson(const BurnReport &report)
{
    Json::Value value(Json::objectValue);
    value["rows"] = Json::Value(Json::arrayValue);
    for (const BurnRow &row : report.rows)
        value["rows"].append(encodeRow(row));
    value["reported"] = encodeHosts(report.reported);
    value["missing"] = encodeHosts(report.missing);
    value["partlyObserved"] = numberValue(report.partlyObserved);
    value["shortestObservedSeconds"] = secondsOf(report.minObservedDuration);
    return serialize(value, "  ") + "\n";
}

std::string burnCsv(const BurnReport &report)
{
    std::string result = "organisation,operation,target_share,target_latency_s";
    for (const std::string_view name : windowNames)
        result += fmt::format(",good_{0},bad_{0},burn_{0}", name);
    result += ",budget_left,state,p50_s,p99_s,daemons_reported,daemons_missing\r\n";

    const auto secondsText = [](const std::optional<Duration> &span) {
        return span ? fmt::format("{:.4g}", secondsOf(*span)) : std::string();
    };
    for (const BurnRow &row : report.rows) {
        result += fmt::format("{},{},{:g},{:g}", csvCell(row.organisation.value()),
                              csvCell(row.operation.value()), row.target.share,
                              secondsOf(row.target.latency));
        for (const WindowBurn &window : row.windows)
            result +=
                fmt::format(",{},{},{:.4f}", window.counted.good, window.counted.bad, window.rate);
        result += fmt::format(",{:.4f},{},{},{},{},{}\r\n", row.budgetLeft, stateText(row),
                              secondsText(row.median), secondsText(row.percentile99),
                              report.reported.size(), report.missing.size());
    }
    return result;
}

std::string burnHtml(const BurnReport &report, std::string_view generatedAt)
{
    std::string result = fmt::format("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
                                     "<meta charset=\"utf-8\">\n<title>Service-level burn</title>\n"
                                     "<style>{}</style>\n</head>\n<body>\n"
                                     "<h1>Service-level burn</h1>\n<p>{}</p>\n",
                                     style, htmlText(generatedAt));
    for (const std::string &line : coverageLines(report))
        result += "<p>" + htmlText(line) + "</p>\n";
    result += "<h2>Budget left of 3 days</h2>\n" + budgetChart(report);
    result += "<h2>Burn rates</h2>\n<table>\n" + htmlRow(headings(), "th");
    for (const BurnRow &row : report.rows)
        result += htmlRow(tableCells(row), "td");
    return result + "</table>\n</body>\n</html>\n";
}

} // namespace bulrush::io
