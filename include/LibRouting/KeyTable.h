#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibRouting/KeyDecision.h>
#include <LibRouting/KeyOwnership.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Routing {

/// The bounds of a key table.
struct KeyTableSettings
{
    /// How long an outcome is kept; callers must not repeat a key later than this.
    Core::Duration lifetime = std::chrono::hours(24);
    /// How far a caller's clock and ours may differ.
    Core::Duration clockTolerance = std::chrono::seconds(5);
    std::size_t maximumKeys = 200'000;
    std::size_t maximumKeysPerTeam = 50'000;
    /// A longer answer isn't kept; its repetition gets the status alone.
    std::size_t maximumAnswerBytes = 4'096;

    bool operator==(const KeyTableSettings &) const = default;
};

/// What one entry VM knows of the callers' keys that it owns. Memory is bounded: a full table
/// refuses new keys and never forgets a known one before its lifetime is over.
class KeyTable
{
public:
    explicit KeyTable(const KeyTableSettings &settings);

    /// Asks whether the request may run. \p issuedAt is the key's own issue time (UUIDv7) on our
    /// timeline; nothing for an opaque key. \p ownership must be about this entry VM.
    KeyDecision begin(const Core::TeamId &team, const std::string &key,
                      const Core::RequestId &request, std::optional<Core::Instant> issuedAt,
                      const KeyOwnership &ownership, Core::Instant now);

    /// The request that was told to run has ended. A key whose request certainly didn't run is
    /// free again. Anything but the request that was told to run is ignored.
    void finish(const Core::TeamId &team, const std::string &key, const Core::RequestId &request,
                const StoredOutcome &outcome, Core::Instant now);
    void finishNotRun(const Core::TeamId &team, const std::string &key,
                      const Core::RequestId &request);

    /// The entry VM that ran the request is gone or silent: its end is unknown, unless it reports
    /// after all.
    void giveUp(const Core::TeamId &team, const std::string &key, const Core::RequestId &request,
                Core::Instant now);

    /// Forgets keys whose lifetime is over.
    void expire(Core::Instant now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        Core::TeamId team;
        Core::RequestId request;
        bool isFinished = false;
        StoredOutcome outcome;
        std::multimap<Core::Instant, std::string>::iterator position;
    };
    using Entries = std::unordered_map<std::string, Entry>;

    static KeyDecision decisionForSeen(const Entry &entry, const Core::RequestId &request);
    std::optional<std::string> refusalForUnseen(Core::Instant ownedSince,
                                                std::optional<Core::Instant> issuedAt,
                                                Core::Instant now) const;
    void erase(Entries::iterator entry);

    KeyTableSettings m_settings;
    Entries m_entries;
    /// By the instant of the first use, or of its end.
    std::multimap<Core::Instant, std::string> m_byTouch;
    std::unordered_map<Core::TeamId, std::size_t> m_keysPerTeam;
};

} // namespace Routing
