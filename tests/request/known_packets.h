#pragma once

#include "core/ip_address.h"
#include "core/result.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ebonyway {

// Packets written by hand, with checksums computed apart from the code under test.

/** 198.51.100.7:40000 -> 192.0.2.10:443, SYN 0x01020304, IPv4 header with options. */
inline const std::string V4SynWithOptions = "4600002c0000400040064b86c6336407c000020a"
                                            "010101009c4001bb01020304000000005002ffff"
                                            "219c0000";

/** The RST that RFC 9293 3.10.7.1 prescribes for that SYN. */
inline const std::string V4ResetToSyn = "450000280000400040064e8bc000020ac6336407"
                                        "01bb9c4000000000010203055014000021890000";

/** [2001:db8::7]:5353 -> [2001:db8:1::10]:5000, UDP "hey" after three extension headers. */
inline const std::string V6UdpWithExtensions = "600000000023004020010db80000000000000000"
                                               "0000000720010db8000100000000000000000010"
                                               "2b000104000000003c0004000000000011000104"
                                               "0000000014e91388000b9a77686579";

/** 203.0.113.1 tells 192.0.2.10 that TCP 443 -> 198.51.100.7:40000 is too big; 8 bytes of TCP. */
inline const std::string V4TooBigQuotingEightBytes = "450000380000400040013cb9cb007101c000020a"
                                                     "03045981000005784500008c0000400040064e27"
                                                     "c000020ac633640701bb9c4000000007";

/** The same for UDP [2001:db8:1::10]:5000 -> [2001:db8::7]:5353. */
inline const std::string V6TooBigQuotingEightBytes = "6000000000383a4020010db8ffff000000000000"
                                                     "0000000120010db8000100000000000000000010"
                                                     "02005b0900000500600000000048114020010db8"
                                                     "00010000000000000000001020010db800000000"
                                                     "0000000000000007138814e900484c34";

inline std::vector<std::byte> fromHex(const std::string &hex)
{
    std::vector<std::byte> bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        bytes.push_back(static_cast<std::byte>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    }
    return bytes;
}

inline endpoint at(const std::string &text)
{
    return valueOf(endpoint::parse(text));
}

} // namespace ebonyway
