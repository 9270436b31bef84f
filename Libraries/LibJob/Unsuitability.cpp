#include <LibJob/Unsuitability.h>

namespace Jobs {

const char *unsuitabilityText(Unsuitability reason)
{
    switch (reason) {
    case Unsuitability::None:
        return "suitable";
    case Unsuitability::OtherService:
        return "other-service";
    case Unsuitability::OutOfService:
        return "out-of-service";
    case Unsuitability::Draining:
        return "draining";
    case Unsuitability::MissingLabel:
        return "missing-label";
    case Unsuitability::Unknown:
        return "unknown";
    case Unsuitability::NotRecorded:
        return "not-recorded";
    case Unsuitability::Avoided:
        return "avoided";
    case Unsuitability::NoRoom:
        return "no-room";
    case Unsuitability::Reserved:
        return "reserved";
    case Unsuitability::TooManyOfStep:
        return "too-many-of-step";
    case Unsuitability::NotIsolated:
        return "not-isolated";
    case Unsuitability::Disturbing:
        return "disturbing";
    }
    return "suitable";
}

} // namespace Jobs
