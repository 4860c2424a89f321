// Feeds arbitrary bytes to the decoders of peer frames; what they accept can be encoded again.

#include "Protocol/CellMessages.h"
#include "Protocol/PeerMessages.h"
#include "Protocol/ProtocolError.h"

#include <cstddef>
#include <cstdint>

using namespace Cranberrymount;

// The name is given by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, std::size_t size)
{
    const std::string frame(reinterpret_cast<const char *>(data), size);
    try {
        decodeCellEnvelope(encodeCellEnvelope(decodeCellEnvelope(frame)));
    } catch (const ProtocolError &) {
        // Refused, as a malformed frame must be.
    }
    try {
        decodeEnvelope(encodeEnvelope(decodeEnvelope(frame)));
    } catch (const ProtocolError &) {
        return 0;
    }
    return 0;
}
