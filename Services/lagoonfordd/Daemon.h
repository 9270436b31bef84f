#pragma once

#include "AdminService.h"
#include "DirectoryPart.h"
#include "DomainFollower.h"
#include "FrontDoor.h"
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

/// The whole daemon: its parts under one tree of supervisors, and its graceful shutdown.
class Daemon
{
public:
    explicit Daemon(const Settings::Settings &settings);

    /// Runs until a signal to stop and the shutdown that follows it. \throws if a part failed for
    /// good.
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
    FrontDoor m_door;
    /// What decides on tasks, and what serves callers: a failure in one doesn't restart the other.
    Supervision::Supervisor m_control;
    Supervision::Supervisor m_service;
    Supervision::Supervisor m_root;
    std::exception_ptr m_failure;
};

} // namespace Daemon
