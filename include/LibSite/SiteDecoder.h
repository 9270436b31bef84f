#pragma once

#include <LibCore/Identifier.h>
#include <LibJob/Catalogue.h>
#include <LibJob/JobRecord.h>
#include <LibJob/WorkerInfo.h>

#include <variant>

namespace Site {

/// The operators have published a version of the catalogue of queues and services.
struct CatalogueChange
{
    Jobs::Catalogue catalogue;
};

/// The operators have taken a failure domain out of service, or returned it to service.
struct DomainChange
{
    Core::FailureDomainId domain;
    bool isOutOfService = false;
};

/// A record that this program doesn't use.
struct IrrelevantChange
{
};

using OperatorChange = std::variant<CatalogueChange, DomainChange, IrrelevantChange>;

/// Decodes the records that operators and workers publish.
class SiteDecoder
{
public:
    SiteDecoder() = default;
    SiteDecoder(const SiteDecoder &) = delete;
    SiteDecoder &operator=(const SiteDecoder &) = delete;
    virtual ~SiteDecoder() = default;

    /// \throws Core::FormatError for a malformed record.
    virtual OperatorChange decodeOperatorRecord(const Jobs::StoredRecord &record) const = 0;
    /// \throws Core::FormatError for a record that doesn't describe a usable worker.
    virtual Jobs::WorkerInfo decodeWorkerRecord(const Jobs::StoredRecord &record) const = 0;
};

} // namespace Site
