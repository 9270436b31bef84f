#include "Commands.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibRules/RulesEditor.h>
#include <LibRules/RulesError.h>
#include <LibRules/RulesParser.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace Control {

/// Maximum number of times that a change of one line is rebased onto another operator's change.
static constexpr int mostRebases = 3;

const char *const commandSummary = "rules check FILE | rules publish FILE --for WHO | rules show | "
                                   "domain out NAME --for WHO | domain back NAME --for WHO | "
                                   "domain takeover --for WHO | explain ID | status | jobs | "
                                   "submit FILE | cancel ID";

static std::string readFile(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    if (!file)
        throw Core::FormatError("read file", path, "the file can't be read");
    text << file.rdbuf();
    return text.str();
}

Commands::Commands(const DaemonClient &daemon, Invocation invocation)
    : m_daemon(daemon)
    , m_invocation(std::move(invocation))
{
}

ExitStatus Commands::run()
{
    const std::vector<std::string> &words = m_invocation.words;
    const std::string first = words.empty() ? "" : words[0];
    const std::string second = words.size() > 1 ? words[1] : "";
    if (first == "rules" && second == "check" && words.size() == 3)
        return checkRules(words[2]);
    if (first == "rules" && second == "publish" && words.size() == 3)
        return publishRules(words[2]);
    if (first == "rules" && second == "show" && words.size() == 2)
        return showRules();
    if (first == "domain" && second == "out" && words.size() == 3)
        return changeDomain(words[2], true);
    if (first == "domain" && second == "back" && words.size() == 3)
        return changeDomain(words[2], false);
    if (first == "domain" && second == "takeover" && words.size() == 2)
        return takeOver();
    if (first == "explain" && words.size() == 2)
        return explain(second);
    if (first == "status" && words.size() == 1)
        return status();
    if (first == "jobs" && words.size() == 1)
        return jobs();
    if (first == "submit" && words.size() == 2)
        return submit(second);
    if (first == "cancel" && words.size() == 2)
        return cancel(second);
    return usageError("there is no such command; known: " + std::string(commandSummary));
}

ExitStatus Commands::usageError(const std::string &message) const
{
    std::cerr << "lagoonctl: " << message << '\n';
    return ExitStatus::BadInput;
}

ExitStatus Commands::conclude(const DaemonAnswer &answer) const
{
    if (m_invocation.isJson)
        std::cout << Core::Json::write(answer.body) << '\n';
    if (answer.status < 400)
        return ExitStatus::Success;
    if (answer.body.isObject() && answer.body.isMember("error"))
        std::cerr << "lagoonctl: " << answer.body["error"].asString() << '\n';
    else
        std::cerr << "lagoonctl: the daemon answered " << answer.status << '\n';
    if (answer.outcome == "unknown")
        return ExitStatus::Unknown;
    return answer.status == 409 ? ExitStatus::LostRace : ExitStatus::Refused;
}

ExitStatus Commands::checkRules(const std::string &path)
{
    try {
        const Rules::RuleSet rules = Rules::parseRules(readFile(path), path);
        if (!m_invocation.isJson)
            std::cout << path << ": in order; " << rules.teams.size() << " teams, "
                      << rules.classes.size() << " classes, " << rules.domainsOut.size()
                      << " failure domains out\n";
        return ExitStatus::Success;
    } catch (const Rules::RulesError &error) {
        for (const Rules::Diagnostic &diagnostic : error.diagnostics())
            std::cerr << path << ':' << diagnostic.line << ':' << diagnostic.column << ": "
                      << diagnostic.message << '\n';
        return ExitStatus::BadInput;
    }
}

ExitStatus Commands::publishRules(const std::string &path)
{
    if (needsName())
        return usageError("--for must say who asks for the change");
    if (const ExitStatus checked = checkRules(path); checked != ExitStatus::Success)
        return checked;
    const DaemonAnswer current = m_daemon.get("/admin/rules");
    if (current.status != 200)
        return conclude(current);
    const auto base
        = static_cast<std::uint64_t>(Core::Json::integerMember(current.body, "version"));
    return publish(base, readFile(path));
}

ExitStatus Commands::publish(std::uint64_t base, const std::string &text)
{
    Json::Value body(Json::objectValue);
    body["base"] = Json::UInt64(base);
    body["text"] = text;
    body["by"] = m_invocation.requestedBy;
    const DaemonAnswer answer = m_daemon.post("/admin/rules", body);
    const ExitStatus status = conclude(answer);
    if (status == ExitStatus::LostRace)
        std::cerr << "lagoonctl: version " << answer.body["version"].asUInt64() << " by "
                  << answer.body["by"].asString() << " won; yours wasn't accepted\n";
    if (status != ExitStatus::Success || m_invocation.isJson)
        return status;
    std::cout << "accepted as version " << answer.body["version"].asUInt64() << "; in force on "
              << answer.body["inForce"].size() << " VMs\n";
    for (const Json::Value &vm : answer.body["pending"])
        std::cout << "not confirmed by " << vm.asString()
                  << "; it starts nothing until it has read the rules\n";
    return status;
}

ExitStatus Commands::showRules()
{
    const DaemonAnswer answer = m_daemon.get("/admin/rules");
    if (answer.status == 200 && !m_invocation.isJson) {
        std::cout << "# version " << answer.body["version"].asUInt64() << ", published by "
                  << answer.body["by"].asString() << '\n'
                  << answer.body["text"].asString();
    }
    return conclude(answer);
}

ExitStatus Commands::changeDomain(const std::string &name, bool isOut)
{
    if (needsName())
        return usageError("--for must say who asks for the change");
    ExitStatus status = ExitStatus::LostRace;
    // The change concerns one line only, so it can be rebased onto another operator's change.
    for (int attempt = 0; attempt < mostRebases && status == ExitStatus::LostRace; ++attempt) {
        const DaemonAnswer current = m_daemon.get("/admin/rules");
        if (current.status != 200)
            return conclude(current);
        const auto base
            = static_cast<std::uint64_t>(Core::Json::integerMember(current.body, "version"));
        const std::string text
            = Rules::withDomainRule(Core::Json::stringMember(current.body, "text"),
                                    Core::FailureDomainId(name), isOut, m_invocation.requestedBy);
        status = publish(base, text);
    }
    return status;
}

ExitStatus Commands::takeOver()
{
    if (needsName())
        return usageError("--for must say who vouches that all placers of the domain are gone");
    Json::Value body(Json::objectValue);
    body["by"] = m_invocation.requestedBy;
    const DaemonAnswer answer = m_daemon.post("/admin/takeover", body);
    if (answer.status == 200 && !m_invocation.isJson)
        std::cout << "recorded against epoch " << answer.body["epoch"].asUInt64() << '\n';
    return conclude(answer);
}

ExitStatus Commands::explain(const std::string &id)
{
    const DaemonAnswer answer = m_daemon.get("/jobs/" + id);
    if (answer.status == 200 && !m_invocation.isJson) {
        std::cout << id << " is " << answer.body["state"].asString() << " in "
                  << answer.body["domain"].asString();
        if (answer.body.isMember("worker"))
            std::cout << " on " << answer.body["worker"].asString();
        std::cout << "\n" << answer.body["explanation"].asString() << '\n';
    }
    return conclude(answer);
}

ExitStatus Commands::status()
{
    const DaemonAnswer answer = m_daemon.get("/admin/status");
    if (answer.status == 200 && !m_invocation.isJson) {
        const Json::Value &body = answer.body;
        std::cout << body["vm"].asString() << " in " << body["domain"].asString()
                  << (body["ready"].asBool() ? ", ready" : ", not ready") << ", rules version "
                  << body["rules"].asUInt64() << (body["rulesFresh"].asBool() ? "" : " (not fresh)")
                  << ", placer " << body["holder"].asString() << " (epoch "
                  << body["epoch"].asUInt64() << ")\n";
        for (const Json::Value &peer : body["peers"])
            std::cout << "  " << peer["vm"].asString() << " in " << peer["domain"].asString()
                      << (peer["inReach"].asBool() ? "" : ", out of reach")
                      << (peer["placer"].asBool() ? ", placer" : "") << ", rules version "
                      << peer["rules"].asUInt64() << '\n';
        for (const std::string &domain : body["domainsOut"].getMemberNames())
            std::cout << "  failure domain " << domain << " is out, asked for by "
                      << body["domainsOut"][domain].asString() << '\n';
    }
    return conclude(answer);
}

ExitStatus Commands::jobs()
{
    const DaemonAnswer answer = m_daemon.get("/jobs");
    if (answer.status == 200 && !m_invocation.isJson) {
        for (const std::string &domain : answer.body.getMemberNames()) {
            std::cout << domain << ':';
            for (const std::string &state : answer.body[domain].getMemberNames())
                std::cout << ' ' << state << ' ' << answer.body[domain][state].asInt();
            std::cout << '\n';
        }
    }
    return conclude(answer);
}

ExitStatus Commands::submit(const std::string &path)
{
    const DaemonAnswer answer = m_daemon.post("/jobs", Core::Json::parse(readFile(path), path));
    if (answer.status == 201 && !m_invocation.isJson)
        std::cout << answer.body["id"].asString() << " " << answer.body["state"].asString() << '\n';
    return conclude(answer);
}

ExitStatus Commands::cancel(const std::string &id)
{
    const DaemonAnswer answer = m_daemon.remove("/jobs/" + id);
    if (answer.status == 201 && !m_invocation.isJson)
        std::cout << "cancellation of " << id << " recorded\n";
    return conclude(answer);
}

} // namespace Control
