#include <LibRouting/KeyTable.h>

namespace Routing {

namespace {

std::string nameOf(const Core::TeamId &team, const std::string &key)
{
    return team.text() + '\0' + key;
}

} // namespace

KeyTable::KeyTable(const KeyTableSettings &settings)
    : m_settings(settings)
{
}

KeyDecision KeyTable::begin(const Core::TeamId &team, const std::string &key,
                            const Core::RequestId &request, std::optional<Core::Instant> issuedAt,
                            const KeyOwnership &ownership, Core::Instant now)
{
    expire(now);
    const std::optional<Core::Instant> since = ownership.ownedSince(team, key, now);
    if (!since)
        return RefusedKey { "this entry VM isn't surely the key's owner" };
    if (issuedAt && *issuedAt > now + m_settings.clockTolerance)
        return RefusedKey { "the key's issue time is in the future" };
    const std::string name = nameOf(team, key);
    const auto known = m_entries.find(name);
    if (known != m_entries.end())
        return decisionForSeen(known->second, request);
    if (const auto reason = refusalForUnseen(*since, issuedAt, now))
        return RefusedMayHaveRun { *reason };
    if (m_entries.size() >= m_settings.maximumKeys)
        return RefusedKey { "the table of keys is full" };
    if (m_keysPerTeam[team] >= m_settings.maximumKeysPerTeam)
        return RefusedKey { "the team has too many keys in use" };
    ++m_keysPerTeam[team];
    Entry &entry = m_entries[name];
    entry.team = team;
    entry.request = request;
    entry.position = m_byTouch.emplace(now, name);
    return Run {};
}

KeyDecision KeyTable::decisionForSeen(const Entry &entry, const Core::RequestId &request)
{
    if (entry.isFinished && entry.outcome.mayHaveRun)
        return RefusedMayHaveRun { "the outcome of the first use isn't known" };
    if (entry.isFinished)
        return Known { entry.outcome };
    // The same request asks again if the answer was lost. It doesn't run without an answer.
    if (entry.request == request)
        return Run {};
    return InProgress {};
}

std::optional<std::string> KeyTable::refusalForUnseen(Core::Instant ownedSince,
                                                      std::optional<Core::Instant> issuedAt,
                                                      Core::Instant now) const
{
    if (!issuedAt) {
        if (now < ownedSince + m_settings.lifetime)
            return "the key carries no issue time, and an earlier owner may have known it";
        return std::nullopt;
    }
    if (*issuedAt <= ownedSince + m_settings.clockTolerance)
        return "the key was issued before this entry VM owned it";
    if (now >= *issuedAt + m_settings.lifetime - m_settings.clockTolerance)
        return "the key is older than outcomes are kept";
    return std::nullopt;
}

void KeyTable::finish(const Core::TeamId &team, const std::string &key,
                      const Core::RequestId &request, const StoredOutcome &outcome,
                      Core::Instant now)
{
    const auto found = m_entries.find(nameOf(team, key));
    if (found == m_entries.end() || found->second.request != request)
        return;
    Entry &entry = found->second;
    // The outcome of a request that was given up on may still be reported; a known outcome never
    // changes.
    if (entry.isFinished && !entry.outcome.mayHaveRun)
        return;
    entry.isFinished = true;
    entry.outcome = outcome;
    if (entry.outcome.answer.size() > m_settings.maximumAnswerBytes)
        entry.outcome.answer.clear();
    m_byTouch.erase(entry.position);
    entry.position = m_byTouch.emplace(now, found->first);
}

void KeyTable::finishNotRun(const Core::TeamId &team, const std::string &key,
                            const Core::RequestId &request)
{
    const auto found = m_entries.find(nameOf(team, key));
    if (found == m_entries.end() || found->second.request != request || found->second.isFinished)
        return;
    m_byTouch.erase(found->second.position);
    erase(found);
}

void KeyTable::giveUp(const Core::TeamId &team, const std::string &key,
                      const Core::RequestId &request, Core::Instant now)
{
    const auto found = m_entries.find(nameOf(team, key));
    if (found == m_entries.end() || found->second.isFinished)
        return;
    finish(team, key, request, { 0, {}, true }, now);
}

void KeyTable::expire(Core::Instant now)
{
    while (!m_byTouch.empty() && m_byTouch.begin()->first + m_settings.lifetime <= now) {
        erase(m_entries.find(m_byTouch.begin()->second));
        m_byTouch.erase(m_byTouch.begin());
    }
}

void KeyTable::erase(Entries::iterator entry)
{
    const auto count = m_keysPerTeam.find(entry->second.team);
    if (--count->second == 0)
        m_keysPerTeam.erase(count);
    m_entries.erase(entry);
}

} // namespace Routing
