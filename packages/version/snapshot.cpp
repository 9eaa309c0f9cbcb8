#include "version/snapshot.h"

#include "version/note_fold.h"
#include "version/release_note.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>

#include <bit>
#include <cmath>
#include <map>
#include <sstream>

namespace ebonyway {

namespace {

/** First bytes of a snapshot; the last one is the version of the format. */
constexpr std::uint32_t SnapshotFormat = 0x45575301;

/** Totals over all tables; they bound the memory that a hostile snapshot can claim. */
constexpr std::size_t MaxTotalSlots = 1U << 22;
constexpr std::size_t MaxTotalHistory = 1U << 22;

constexpr std::size_t MinTableSlots = 64;
constexpr std::size_t MaxTableSlots = 65536;

/** A decoding fault; caught in decodeSnapshot. */
[[noreturn]] void reject(const std::string &reason)
{
    throw cereal::Exception(reason);
}

void require(bool condition, const char *reason)
{
    if (!condition) {
        reject(reason);
    }
}

/**
 * What one slot holds. A table has few distinct states, because a note moves many slots in the same
 * way; the snapshot stores each state once and an index per slot, so that it fits into one object.
 */
struct slot_state
{
    backend_server_id target;
    note_number changedAt;
    std::vector<std::pair<note_number, backend_server_id>> history;

    auto
    operator<=>(const slot_state &) const = default; // NOLINT(modernize-use-nullptr): see ids.h
};

slot_state stateOf(const slot_table &table, std::uint16_t slot)
{
    slot_state state{table.targets[slot], table.changedAt[slot], {}};
    for (const earlier_target &entry : table.earlierTargetsOf(slot)) {
        state.history.emplace_back(entry.since, entry.target);
    }
    return state;
}

/** Appends integers in seven-bit groups, lowest group first. */
void appendInteger(std::string &bytes, std::uint64_t value)
{
    while (value >= 0x80) {
        bytes += static_cast<char>((value & 0x7f) | 0x80);
        value >>= 7;
    }
    bytes += static_cast<char>(value);
}

std::uint64_t takeInteger(const std::string &bytes, std::size_t &position)
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
        require(position < bytes.size(), "a slot state is truncated");
        const auto byte = static_cast<std::uint8_t>(bytes[position++]);
        value |= std::uint64_t{byte & 0x7fU} << shift;
        if ((byte & 0x80) == 0) {
            return value;
        }
    }
    reject("an integer is too long");
}

backend_server_id takeTarget(const std::string &bytes, std::size_t &position)
{
    const std::uint64_t value = takeInteger(bytes, position);
    require(value <= NoBackendServer.value, "a target is out of range");
    return {static_cast<std::uint16_t>(value)};
}

void appendState(std::string &bytes, const slot_state &state)
{
    appendInteger(bytes, state.target.value);
    appendInteger(bytes, state.changedAt.value);
    appendInteger(bytes, state.history.size());
    for (const auto &[since, target] : state.history) {
        appendInteger(bytes, since.value);
        appendInteger(bytes, target.value);
    }
}

slot_state takeState(const std::string &bytes, std::size_t &position)
{
    slot_state state;
    state.target = takeTarget(bytes, position);
    state.changedAt = {takeInteger(bytes, position)};
    const std::uint64_t entries = takeInteger(bytes, position);
    require(entries <= EarlierTargetLimit, "a slot has too many former targets");
    for (std::uint64_t i = 0; i < entries; ++i) {
        const note_number since{takeInteger(bytes, position)};
        state.history.emplace_back(since, takeTarget(bytes, position));
    }
    return state;
}

/** Bits that hold any index below the count. */
unsigned indexBits(std::size_t count)
{
    return static_cast<unsigned>(std::bit_width(count - 1));
}

std::string packIndexes(const std::vector<std::uint32_t> &indexes, unsigned bits)
{
    std::string packed((indexes.size() * bits + 7) / 8, '\0');
    std::size_t position = 0;
    for (const std::uint32_t index : indexes) {
        for (unsigned bit = 0; bit < bits; ++bit, ++position) {
            const unsigned value = ((index >> bit) & 1U) << (position % 8);
            packed[position / 8] =
                    static_cast<char>(static_cast<unsigned char>(packed[position / 8]) | value);
        }
    }
    return packed;
}

std::uint32_t unpackIndex(const std::string &packed, std::size_t slot, unsigned bits)
{
    std::uint32_t index = 0;
    for (unsigned bit = 0; bit < bits; ++bit) {
        const std::size_t position = slot * bits + bit;
        const auto byte = static_cast<unsigned char>(packed[position / 8]);
        index |= ((byte >> (position % 8)) & 1U) << bit;
    }
    return index;
}

class snapshot_writer
{
public:
    std::string write(const route_plan &plan)
    {
        const intent &current = plan.currentIntent();
        m_archive(SnapshotFormat, current.number, current.digest, current.nextServiceId,
                  current.nextBackendServerId, current.nextFailureDomainId);
        writeCount(current.failureDomains.size());
        for (const failure_domain &domain : current.failureDomains) {
            m_archive(domain.id, domain.inService);
            writeBytes(domain.name);
        }
        writeCount(current.services.size());
        for (const service &item : current.services) {
            writeService(item);
        }
        writeCount(current.backendServers.size());
        for (const backend_server &server : current.backendServers) {
            m_archive(server.id, server.service, server.failureDomain, server.tunnel, server.health,
                      server.weight, server.connectionLimit, server.slotLimit, server.draining);
            writeBytes(server.name);
        }
        for (const service &item : current.services) {
            writeTable(*plan.slotTable(item.id));
        }
        return m_stream.str();
    }

private:
    void writeCount(std::size_t count) { m_archive(static_cast<std::uint32_t>(count)); }

    void writeBytes(const std::string &bytes)
    {
        writeCount(bytes.size());
        m_archive(cereal::binary_data(bytes.data(), bytes.size()));
    }

    void writeService(const service &item)
    {
        m_archive(item.id, static_cast<std::uint8_t>(item.protocol), item.port,
                  std::int64_t{item.idleTimeout.count()}, item.objective.goodFlowRatio,
                  std::int64_t{item.objective.window.count()});
        writeBytes(item.name);
        writeCount(item.addresses.size());
        for (const ip_address &address : item.addresses) {
            m_archive(address);
        }
    }

    void writeTable(const slot_table &table)
    {
        std::map<slot_state, std::uint32_t> known;
        std::vector<std::uint32_t> indexes;
        std::string states;
        for (std::size_t slot = 0; slot < table.targets.size(); ++slot) {
            const slot_state state = stateOf(table, static_cast<std::uint16_t>(slot));
            const auto next = static_cast<std::uint32_t>(known.size());
            const auto [entry, added] = known.emplace(state, next);
            if (added) {
                appendState(states, state);
            }
            indexes.push_back(entry->second);
        }
        writeCount(table.targets.size());
        writeCount(known.size());
        writeBytes(states);
        writeBytes(packIndexes(indexes, indexBits(known.size())));
    }

    std::ostringstream m_stream{std::ios::binary};
    cereal::PortableBinaryOutputArchive m_archive{m_stream};
};

class snapshot_reader
{
public:
    explicit snapshot_reader(const std::string &bytes)
        : m_stream(bytes, std::ios::binary)
    { }

    route_plan read()
    {
        std::uint32_t format = 0;
        m_archive(format);
        require(format == SnapshotFormat, "it has an unknown format");
        m_archive(m_intent.number, m_intent.digest, m_intent.nextServiceId,
                  m_intent.nextBackendServerId, m_intent.nextFailureDomainId);
        readFailureDomains();
        readServices();
        readBackendServers();
        std::vector<slot_table> tables;
        for (const service &item : m_intent.services) {
            tables.push_back(readTable(item.id));
        }
        require(m_stream.peek() == std::istringstream::traits_type::eof(), "bytes follow its end");
        return {std::move(m_intent), std::move(tables)};
    }

private:
    std::size_t readCount(std::size_t limit)
    {
        std::uint32_t count = 0;
        m_archive(count);
        require(count <= limit, "a count is above its limit");
        return count;
    }

    std::string readBytes(std::size_t limit)
    {
        std::string bytes(readCount(limit), '\0');
        m_archive(cereal::binary_data(bytes.data(), bytes.size()));
        return bytes;
    }

    std::string readName()
    {
        std::string name = readBytes(MaxNameLength);
        require(!name.empty(), "a name is empty");
        return name;
    }

    bool readFlag()
    {
        std::uint8_t flag = 0;
        m_archive(flag);
        require(flag <= 1, "a flag is neither true nor false");
        return flag == 1;
    }

    /** Checks that ids ascend and are below the next id. */
    template <typename Object>
    void checkId(const std::vector<Object> &earlier, const Object &object, std::uint16_t nextId)
    {
        require(object.id.value < nextId && nextId <= NoBackendServer.value,
                "an id is out of range");
        require(earlier.empty() || earlier.back().id < object.id, "ids are not in order");
    }

    void readFailureDomains()
    {
        const std::size_t count = readCount(MaxFailureDomains);
        for (std::size_t i = 0; i < count; ++i) {
            failure_domain domain;
            m_archive(domain.id);
            domain.inService = readFlag();
            domain.name = readName();
            checkId(m_intent.failureDomains, domain, m_intent.nextFailureDomainId);
            m_intent.failureDomains.push_back(std::move(domain));
        }
    }

    std::chrono::seconds readDuration(std::chrono::seconds least, std::chrono::seconds most)
    {
        std::int64_t seconds = 0;
        m_archive(seconds);
        require(seconds >= least.count() && seconds <= most.count(), "a duration is out of range");
        return std::chrono::seconds{seconds};
    }

    void readServices()
    {
        const std::size_t count = readCount(MaxServices);
        for (std::size_t i = 0; i < count; ++i) {
            service item;
            std::uint8_t protocol = 0;
            m_archive(item.id, protocol, item.port);
            item.protocol = static_cast<transport_protocol>(protocol);
            require(item.protocol == transport_protocol::Tcp
                            || item.protocol == transport_protocol::Udp,
                    "a protocol is unknown");
            item.idleTimeout = readDuration(MinIdleTimeout, MaxIdleTimeout);
            m_archive(item.objective.goodFlowRatio);
            require(item.objective.goodFlowRatio > 0.0 && item.objective.goodFlowRatio < 1.0,
                    "an objective is out of range");
            item.objective.window = readDuration(MinObjectiveWindow, MaxObjectiveWindow);
            item.name = readName();
            item.addresses.resize(readCount(MaxAddressesPerService));
            for (ip_address &address : item.addresses) {
                m_archive(address);
            }
            checkId(m_intent.services, item, m_intent.nextServiceId);
            m_intent.services.push_back(std::move(item));
        }
    }

    void readBackendServers()
    {
        const std::size_t count = readCount(MaxBackendServers);
        for (std::size_t i = 0; i < count; ++i) {
            backend_server server;
            m_archive(server.id, server.service, server.failureDomain, server.tunnel, server.health,
                      server.weight, server.connectionLimit, server.slotLimit);
            server.draining = readFlag();
            server.name = readName();
            require(server.weight <= MaxWeight, "a weight is out of range");
            require(findService(m_intent, server.service) != nullptr, "a service is unknown");
            require(findFailureDomain(m_intent, server.failureDomain) != nullptr,
                    "a failure domain is unknown");
            checkId(m_intent.backendServers, server, m_intent.nextBackendServerId);
            m_intent.backendServers.push_back(std::move(server));
        }
    }

    slot_table readTable(service_id service)
    {
        const std::size_t slots = readCount(MaxTableSlots);
        require(std::has_single_bit(slots) && slots >= MinTableSlots,
                "a slot count is not a power of two in range");
        m_totalSlots += slots;
        require(m_totalSlots <= MaxTotalSlots, "it has too many slots");
        const std::size_t stateCount = readCount(slots);
        require(stateCount > 0, "a table has no slot state");
        const std::vector<slot_state> states = readStates(stateCount);

        const unsigned bits = indexBits(stateCount);
        const std::string packed = readBytes(MaxSnapshotBytes);
        require(packed.size() == (slots * bits + 7) / 8, "a table has a wrong length");
        slot_table table;
        table.service = service;
        for (std::size_t slot = 0; slot < slots; ++slot) {
            const std::uint32_t index = unpackIndex(packed, slot, bits);
            require(index < stateCount, "a slot state is out of range");
            appendSlot(table, static_cast<std::uint16_t>(slot), states[index]);
        }
        return table;
    }

    std::vector<slot_state> readStates(std::size_t count)
    {
        const std::string bytes = readBytes(MaxSnapshotBytes);
        std::vector<slot_state> states;
        std::size_t position = 0;
        for (std::size_t i = 0; i < count; ++i) {
            states.push_back(takeState(bytes, position));
            checkState(states.back());
        }
        require(position == bytes.size(), "slot states have a wrong length");
        return states;
    }

    void checkState(const slot_state &state)
    {
        checkTarget(state.target);
        require(state.changedAt <= m_intent.number, "a slot changed after the snapshot");
        note_number limit = state.changedAt;
        for (auto entry = state.history.rbegin(); entry != state.history.rend(); ++entry) {
            require(entry->first < limit, "former targets are not in order");
            limit = entry->first;
            checkTarget(entry->second);
        }
    }

    void checkTarget(backend_server_id target)
    {
        require(target == NoBackendServer || target.value < m_intent.nextBackendServerId,
                "a target is unknown");
    }

    void appendSlot(slot_table &table, std::uint16_t slot, const slot_state &state)
    {
        m_totalHistory += state.history.size();
        require(m_totalHistory <= MaxTotalHistory, "it has too many former targets");
        table.targets.push_back(state.target);
        table.changedAt.push_back(state.changedAt);
        for (const auto &[since, target] : state.history) {
            table.earlierTargets.push_back({since, slot, target});
        }
    }

    std::istringstream m_stream;
    cereal::PortableBinaryInputArchive m_archive{m_stream};
    intent m_intent;
    std::size_t m_totalSlots = 0;
    std::size_t m_totalHistory = 0;
};

error notASnapshot(const std::string &reason)
{
    return {error_kind::InvalidInput, "the snapshot cannot be used: " + reason,
            "Use another snapshot, or start from the release notes."};
}

} // namespace

result<std::string> encodeSnapshot(const route_plan &plan)
{
    std::string bytes = snapshot_writer().write(plan);
    if (bytes.size() > MaxSnapshotBytes) {
        return error{error_kind::LimitExceeded,
                     "the snapshot has " + std::to_string(bytes.size()) + " bytes; the limit is "
                             + std::to_string(MaxSnapshotBytes),
                     "Start instances from the release notes instead."};
    }
    return bytes;
}

result<route_plan> decodeSnapshot(const std::string &bytes)
{
    if (bytes.size() > MaxSnapshotBytes) {
        return notASnapshot("it has " + std::to_string(bytes.size()) + " bytes");
    }
    try {
        return snapshot_reader(bytes).read();
    } catch (const std::exception &failure) {
        return notASnapshot(failure.what());
    }
}

result<route_plan> foldNotes(route_plan plan, const std::vector<std::string> &notes)
{
    for (const std::string &text : notes) {
        result<intent> next = foldReleaseNote(plan.currentIntent(), text);
        if (!isOk(next)) {
            error failure = errorOf(next);
            failure.message = "note " + std::to_string(plan.currentIntent().number.value + 1) + ": "
                              + failure.message;
            return failure;
        }
        plan = route_plan(plan, std::move(valueOf(next)));
    }
    return plan;
}

} // namespace ebonyway
