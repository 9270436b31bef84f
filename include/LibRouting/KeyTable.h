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

/// The limits of a key table.
struct KeyTableSettings
{
    /// How long an outcome is kept; callers must not repeat a key later than this.
    Core::Duration lifetime = std::chrono::hours(24);
    /// Maximum difference between a caller's clock and the one of this VM.
    Core::Duration clockTolerance = std::chrono::seconds(5);
    std::size_t maximumKeys = 200'000;
    std::size_t maximumKeysPerTeam = 50'000;
    /// A longer answer isn't stored; repetitions get only its status.
    std::size_t maximumAnswerBytes = 4'096;

    bool operator==(const KeyTableSettings &) const = default;
};

/// The callers' idempotency keys that one entry VM owns. Memory is bounded: a full table refuses
/// new keys, and never deletes a known one before its lifetime has ended.
class KeyTable
{
public:
    explicit KeyTable(const KeyTableSettings &settings);

    /// Decides whether the request may run. \p issuedAt is the creation time of a UUIDv7 key on
    /// this VM's clock; nothing for an opaque key. \p ownership must be that of this entry VM.
    KeyDecision begin(const Core::TeamId &team, const std::string &key,
                      const Core::RequestId &request, std::optional<Core::Instant> issuedAt,
                      const KeyOwnership &ownership, Core::Instant now);

    /// Stores the outcome of the request that was allowed to run. If it certainly hasn't run, the
    /// key can be used again. Ignores other requests.
    void finish(const Core::TeamId &team, const std::string &key, const Core::RequestId &request,
                const StoredOutcome &outcome, Core::Instant now);
    void finishNotRun(const Core::TeamId &team, const std::string &key,
                      const Core::RequestId &request);

    /// The entry VM that ran the requests is gone or silent: their outcomes are unknown unless the
    /// VM reports them later.
    void giveUp(const Core::TeamId &team, const std::string &key, const Core::RequestId &request,
                Core::Instant now);

    /// Deletes keys whose lifetime has ended.
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
    /// By the time of the first use, or of the outcome once it is known.
    std::multimap<Core::Instant, std::string> m_byTouch;
    std::unordered_map<Core::TeamId, std::size_t> m_keysPerTeam;
};

} // namespace Routing
