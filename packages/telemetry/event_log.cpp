#include "telemetry/event_log.h"

#include <json/value.h>
#include <json/writer.h>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>

namespace ebonyway {

namespace {

// Capacity of the buffer of the log4cxx thread, in lines. Holds about two seconds of lines at the
// highest expected rate.
constexpr int LogBufferLines = 512;

const char *levelName(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warn:
        return "warn";
    case log_level::Error:
        return "error";
    }
    return "info";
}

Json::Value toJson(const log_value &value)
{
    if (const auto *text = std::get_if<std::string>(&value)) {
        return *text;
    }
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return Json::Int64(*number);
    }
    if (const auto *number = std::get_if<std::uint64_t>(&value)) {
        return Json::UInt64(*number);
    }
    if (const auto *number = std::get_if<double>(&value)) {
        return *number;
    }
    return std::get<bool>(value);
}

std::string utcTimestamp()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) % 1000;
    std::tm calendar{};
    gmtime_r(&seconds, &calendar);
    char date[32] = {};
    std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &calendar);
    char stamp[48] = {};
    std::snprintf(stamp, sizeof(stamp), "%s.%03dZ", date, static_cast<int>(millis.count()));
    return stamp;
}

log4cxx::LevelPtr log4cxxLevel(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return log4cxx::Level::getDebug();
    case log_level::Info:
        return log4cxx::Level::getInfo();
    case log_level::Warn:
        return log4cxx::Level::getWarn();
    case log_level::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

} // namespace

std::string renderLogLine(const log_line &line, const std::string &timestamp)
{
    Json::Value object(Json::objectValue);
    object["time"] = timestamp;
    object["level"] = levelName(line.level);
    object["event"] = line.name;
    for (const log_field &field : line.fields) {
        object[field.name] = toJson(field.value);
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, object);
}

log4cxx_event_log::log4cxx_event_log(const std::string &level, const std::string &file,
                                     delivery mode)
{
    // Events are rendered as JSON before they reach log4cxx, so the layout adds only a line break.
    const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    log4cxx::AppenderPtr appender;
    if (file.empty()) {
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
    } else {
        appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
    }
    if (mode == delivery::Buffered) {
        const auto buffered = std::make_shared<log4cxx::AsyncAppender>();
        buffered->setBufferSize(LogBufferLines);
        buffered->setBlocking(false);
        buffered->addAppender(appender);
        appender = buffered;
    }
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(
            log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

log4cxx_event_log::~log4cxx_event_log()
{
    log4cxx::LogManager::shutdown();
}

void log4cxx_event_log::write(const log_line &line)
{
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
    const log4cxx::LevelPtr level = log4cxxLevel(line.level);
    if (!logger->isEnabledFor(level)) {
        return;
    }
    logger->forcedLog(level, renderLogLine(line, utcTimestamp()));
}

} // namespace ebonyway
