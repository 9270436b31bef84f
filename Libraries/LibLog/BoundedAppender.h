#pragma once

#include <LibCore/Time.h>
#include <LibLog/LineBudget.h>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/spi/loggingevent.h>

#include <cstdint>
#include <string>

namespace Log {

/// Writes lines to a file descriptor. Drops those that would block or exceed the budget.
class BoundedAppender final : public log4cxx::AppenderSkeleton
{
public:
    BoundedAppender(const log4cxx::LayoutPtr &layout, int descriptor, const BudgetLimits &limits);

    void close() override { }
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;

private:
    bool isWritable() const;
    void writeLine(const std::string &line, LineKind kind);
    void countDropped(LineKind kind);
    void reportDropped(Core::Instant now);

    log4cxx::LayoutPtr m_lineLayout;
    int m_descriptor;
    LineBudget m_budget;
    std::int64_t m_dropped = 0;
    /// How many of the dropped lines were essential.
    std::int64_t m_droppedEssential = 0;
    Core::Instant m_nextReportAt = {};
};

} // namespace Log
