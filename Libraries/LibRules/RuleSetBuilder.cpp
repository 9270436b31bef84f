#include "RuleSetBuilder.h"

#include "RuleOptions.h"
#include <LibCore/TextValues.h>
#include <LibRules/RuleSet.h>

#include <algorithm>
#include <optional>
#include <string_view>

namespace Rules {

static constexpr std::int64_t maxCores = 1'000'000;
static constexpr std::int64_t maxAccelerators = 100'000;
static constexpr std::int64_t maxWeight = 1'000;
static constexpr std::int64_t maxPriority = 1'000;
static constexpr std::int64_t maxSlots = 10'000;
static constexpr std::int64_t milliCoresPerCore = 1'000;

namespace {

/// Returns a parser of integers within bounds, for `RuleOptions::value`.
auto boundedNumber(std::int64_t minimum, std::int64_t maximum)
{
    return [minimum, maximum](std::string_view text) {
        return Core::parseNumber(text, minimum, maximum);
    };
}

std::optional<TaskKind> parseKind(std::string_view text)
{
    if (text == "latency-critical")
        return TaskKind::LatencyCritical;
    if (text == "batch")
        return TaskKind::Batch;
    return std::nullopt;
}

std::optional<CutOffPolicy> parseCutOff(std::string_view text)
{
    if (text == "stay")
        return CutOffPolicy::Stay;
    if (text == "move")
        return CutOffPolicy::Move;
    return std::nullopt;
}

} // namespace

void RuleSetBuilder::addLine(const RuleLine &line)
{
    if (line.requestedBy.empty())
        addDiagnostic(line.number, line.commentColumn,
                      "the rule doesn't say who asked for it; end the line with '# NAME'");
    const std::string &kind = line.words.front().text;
    if (kind == "team")
        addTeam(line);
    else if (kind == "class")
        addClass(line);
    else if (kind == "place")
        addPlace(line);
    else if (kind == "slots")
        addSlots(line);
    else if (kind == "domain")
        addDomain(line);
    else
        addDiagnostic(line.number, line.words.front().column,
                      "'" + kind + "' is no rule; allowed: team, class, place, slots, domain");
}

void RuleSetBuilder::checkWhole()
{
    for (const auto &[taskClass, line] : m_placeLines) {
        if (!m_rules.classes.contains(taskClass))
            addDiagnostic(line.number, line.words[1].column,
                          "no rule defines the class '" + taskClass.text() + "'");
    }
    std::sort(m_diagnostics.begin(), m_diagnostics.end());
}

void RuleSetBuilder::addTeam(const RuleLine &line)
{
    const std::string name = subject(line);
    RuleOptions options(line, 2, { "cores", "memory", "accelerators", "weight" }, m_diagnostics);
    TeamRule rule;
    rule.team = Core::TeamId(name);
    rule.quota.milliCores = milliCoresPerCore
        * options.value<std::int64_t>("cores", boundedNumber(0, maxCores), "0 to 1000000");
    rule.quota.mebibytes = options.value<std::int64_t>("memory", Core::parseMebibytes,
                                                       "a size such as 512M or 800G");
    rule.quota.accelerators = options.value<std::int64_t>(
        "accelerators", boundedNumber(0, maxAccelerators), "0 to 100000", 0);
    rule.weight = static_cast<int>(
        options.value<std::int64_t>("weight", boundedNumber(1, maxWeight), "1 to 1000", 1));
    rule.requestedBy = line.requestedBy;
    m_rules.teams.emplace(rule.team, rule);
}

void RuleSetBuilder::addClass(const RuleLine &line)
{
    const std::string name = subject(line);
    RuleOptions options(line, 2, { "kind", "priority", "cut-off", "after" }, m_diagnostics);
    TaskClassRule rule;
    rule.taskClass = Core::TaskClassId(name);
    rule.kind = options.value<TaskKind>("kind", parseKind, "latency-critical, batch");
    rule.priority = static_cast<int>(
        options.value<std::int64_t>("priority", boundedNumber(0, maxPriority), "0 to 1000"));
    rule.cutOffPolicy
        = options.value<CutOffPolicy>("cut-off", parseCutOff, "stay, move", CutOffPolicy::Stay);
    rule.cutOffAfter = options.value<Core::Duration>("after", Core::parseDuration,
                                                     "a time such as 500ms, 30s or 5m",
                                                     Core::Duration(std::chrono::seconds(120)));
    rule.requestedBy = line.requestedBy;
    m_rules.classes.emplace(rule.taskClass, rule);
}

void RuleSetBuilder::addPlace(const RuleLine &line)
{
    const std::string name = subject(line);
    if (line.words.size() != 4 || line.words[2].text != "in") {
        addDiagnostic(line.number, line.words.front().column,
                      "allowed: place CLASS in DOMAIN[,DOMAIN...]");
        return;
    }
    PlaceRule rule;
    rule.taskClass = Core::TaskClassId(name);
    rule.requestedBy = line.requestedBy;
    const Word &list = line.words[3];
    std::size_t begin = 0;
    while (begin <= list.text.size()) {
        const std::size_t end = std::min(list.text.find(',', begin), list.text.size());
        const std::string domain = list.text.substr(begin, end - begin);
        if (!Core::isName(domain))
            addDiagnostic(line.number, list.column + static_cast<int>(begin),
                          "'" + domain + "' is no name of a failure domain");
        rule.failureDomains.insert(Core::FailureDomainId(domain));
        begin = end + 1;
    }
    m_rules.places.emplace(rule.taskClass, rule);
    m_placeLines.emplace(rule.taskClass, line);
}

void RuleSetBuilder::addSlots(const RuleLine &line)
{
    if (m_rules.slots)
        addDiagnostic(line.number, line.words.front().column, "'slots' is given twice");
    RuleOptions options(line, 1, { "limit", "connections" }, m_diagnostics);
    SlotRule rule;
    rule.slots = static_cast<int>(
        options.value<std::int64_t>("limit", boundedNumber(1, maxSlots), "1 to 10000"));
    rule.connections = static_cast<int>(
        options.value<std::int64_t>("connections", boundedNumber(1, maxSlots), "1 to 10000"));
    rule.requestedBy = line.requestedBy;
    m_rules.slots = rule;
}

void RuleSetBuilder::addDomain(const RuleLine &line)
{
    const std::string name = subject(line);
    const bool isKnown
        = line.words.size() == 3 && (line.words[2].text == "out" || line.words[2].text == "in");
    if (!isKnown) {
        addDiagnostic(line.number, line.words.front().column, "allowed: domain NAME out|in");
        return;
    }
    // `in` has no effect, but documents who brought the failure domain back.
    if (line.words[2].text == "in")
        return;
    const Core::FailureDomainId failureDomain(name);
    m_rules.domainsOut.emplace(failureDomain, DomainOutRule { failureDomain, line.requestedBy });
}

std::string RuleSetBuilder::subject(const RuleLine &line)
{
    const std::string &kind = line.words.front().text;
    if (line.words.size() < 2 || !Core::isName(line.words[1].text)) {
        const int column = line.words.size() < 2 ? line.commentColumn : line.words[1].column;
        addDiagnostic(line.number, column, "a name must follow '" + kind + "'");
        return {};
    }
    const std::string &name = line.words[1].text;
    const auto [first, isNew] = m_firstLines.emplace(kind + ' ' + name, line.number);
    if (!isNew)
        addDiagnostic(line.number, line.words[1].column,
                      "'" + kind + ' ' + name + "' already has a rule on line "
                          + std::to_string(first->second));
    return name;
}

void RuleSetBuilder::addDiagnostic(int line, int column, const std::string &message)
{
    m_diagnostics.push_back({ line, column, message });
}

} // namespace Rules
