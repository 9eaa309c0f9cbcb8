#include "request/known_packets.h"
#include "request/packet.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <new>

namespace {

std::size_t allocationCount = 0;

} // namespace

// Replaces the global allocation functions of this test program, so that allocations can be
// counted.
void *operator new(std::size_t size)
{
    ++allocationCount;
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace ebonyway {

TEST_CASE("packet parser, accepted and refused packets, allocates nothing")
{
    // Guards the packet decision bound, which excludes allocation.
    const std::vector<std::vector<std::byte>> packets{fromHex(V4SynWithOptions),
                                                      fromHex(V6UdpWithExtensions),
                                                      fromHex(V4TooBigQuotingEightBytes),
                                                      fromHex(V6TooBigQuotingEightBytes),
                                                      {}};
    const std::size_t before = allocationCount;
    std::size_t views = 0;
    for (const std::vector<std::byte> &packet : packets) {
        const auto parsed = parsePacket(packet, packet_direction::ToService);
        views += std::holds_alternative<packet_view>(parsed) ? 1 : 0;
    }
    CHECK(allocationCount == before);
    CHECK(views == 4);
    CHECK(before > 0);
}

} // namespace ebonyway
