#pragma once

#include "AdminService.h"
#include "CallerServer.h"
#include "DirectoryPart.h"
#include "DomainFollower.h"
#include "JobService.h"
#include "KeyService.h"
#include "LeasePart.h"
#include "Node.h"
#include "PeersPart.h"
#include "PlacerPart.h"
#include "RequestPart.h"
#include "RequestService.h"
#include "RulesFollower.h"

#include <LibSupervision/Supervisor.h>

#include <boost/asio/io_context.hpp>

#include <exception>

namespace Daemon {

/// The daemon process: a tree of supervisors with all parts, and the graceful shutdown.
class Daemon
{
public:
    explicit Daemon(const Settings::Settings &settings);

    /// Runs until SIGTERM or SIGINT, and then until the graceful shutdown is complete.
    /// \throws std::exception if a part can't be restarted any more.
    void run();

private:
    boost::asio::awaitable<void> stopOnSignal();
    boost::asio::awaitable<void> superviseAll();

    boost::asio::io_context m_context;
    Node m_node;
    RequestService m_requests;
    KeyService m_keys;
    JobService m_jobs;
    AdminService m_admin;
    DirectoryPart m_directory;
    RulesFollower m_rules;
    DomainFollower m_domain;
    PeersPart m_peers;
    LeasePart m_lease;
    PlacerPart m_placer;
    RequestPart m_router;
    CallerServer m_callerServer;
    /// The parts that place tasks and those that serve callers have separate supervisors, so that a
    /// failure in one group doesn't restart the other.
    Supervision::Supervisor m_control;
    Supervision::Supervisor m_service;
    Supervision::Supervisor m_root;
    std::exception_ptr m_failure;
};

} // namespace Daemon
