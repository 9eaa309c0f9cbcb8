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

/** Named field of a log line. Tools depend on the names, so they must not change. */
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

/** Renders the line as one JSON object without a line break. */
std::string renderLogLine(const log_line &line, const std::string &timestamp);

/** Destination of log lines. */
class event_log
{
public:
    virtual ~event_log() = default;

    /** Writes one line. Thread-safe. Must not be called for every packet. */
    virtual void write(const log_line &line) = 0;
};

/** Writes events as JSON lines through log4cxx, to a file or to standard output. */
class log4cxx_event_log : public event_log
{
public:
    /** How lines reach their destination. */
    enum class delivery : std::uint8_t {
        Direct, ///< Written on the calling thread.
        Buffered, ///< Written by a log4cxx thread. Lines are discarded if the buffer is full.
    };

    /**
     * Configures log4cxx for this process. `level` is debug, info, warn or error. If `file` is
     * empty, lines go to standard output.
     */
    log4cxx_event_log(const std::string &level, const std::string &file,
                      delivery mode = delivery::Direct);
    /** Writes the buffered lines and shuts log4cxx down. */
    ~log4cxx_event_log() override;

    void write(const log_line &line) override;
};

} // namespace ebonyway
