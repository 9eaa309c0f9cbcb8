#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ebonyway {

/** Severity of a log line. */
enum class log_level : std::uint8_t {
    Debug,
    Info,
    Warn,
    Error,
};

/** Value of a log field. */
using log_value = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

/** One named field of a log line. Names are stable; tools depend on them. */
struct log_field
{
    std::string name;
    log_value value;
};

/** A log event with a stable name, for example "note_adopted". */
struct log_line
{
    log_level level = log_level::Info;
    std::string name;
    std::vector<log_field> fields;
};

/** Renders the event as one JSON object without a line break. */
std::string renderLogLine(const log_line &line, const std::string &timestamp);

/** Writes events as JSON lines. */
class event_log
{
public:
    virtual ~event_log() = default;

    /** Writes one line. Safe to call from several threads. Never called per packet. */
    virtual void write(const log_line &line) = 0;
};

/** Event log on log4cxx, to a file or to standard output. */
class log4cxx_event_log : public event_log
{
public:
    /** How lines reach their destination. */
    enum class delivery : std::uint8_t {
        Direct, ///< The caller writes them.
        Buffered, ///< A thread of log4cxx writes them; lines are discarded rather than waited for.
    };

    /**
     * Configures log4cxx for this process. `level` is one of debug, info, warn, error. `file` is
     * empty for standard output.
     */
    log4cxx_event_log(const std::string &level, const std::string &file,
                      delivery how = delivery::Direct);
    /** Writes what is buffered. */
    ~log4cxx_event_log() override;

    void write(const log_line &line) override;
};

} // namespace ebonyway
