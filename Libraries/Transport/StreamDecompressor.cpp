#include "Transport/StreamDecompressor.h"

#include "Transport/TransportError.h"

#include <zstd.h>

namespace Cranberrymount {

namespace {

/** Limit on the memory that a sender can make this side use for the window: 2^17 bytes. */
constexpr int MaxWindowLog = 17;
constexpr std::size_t ChunkBytes = 16'384;

} // namespace

StreamDecompressor::StreamDecompressor()
    : m_context(ZSTD_createDCtx())
{
    if (!m_context)
        throw TransportError("no memory for a decompression stream");
    ZSTD_DCtx_setParameter(m_context, ZSTD_d_windowLogMax, MaxWindowLog);
}

StreamDecompressor::~StreamDecompressor()
{
    ZSTD_freeDCtx(m_context);
}

std::string StreamDecompressor::decompress(std::string_view part, std::size_t maxBytes)
{
    std::string bytes;
    ZSTD_inBuffer input{part.data(), part.size(), 0};
    while (true) {
        const std::size_t begin = bytes.size();
        bytes.resize(begin + ChunkBytes);
        ZSTD_outBuffer output{bytes.data() + begin, ChunkBytes, 0};
        const std::size_t hint = ZSTD_decompressStream(m_context, &output, &input);
        if (ZSTD_isError(hint))
            throw TransportError(std::string("cannot decompress: ") + ZSTD_getErrorName(hint));
        bytes.resize(begin + output.pos);
        if (bytes.size() > maxBytes)
            throw TransportError("decompressed message is too large");
        // A chunk that is not full means that the decompressor holds nothing back.
        if (input.pos == input.size && output.pos < ChunkBytes)
            return bytes;
    }
}

} // namespace Cranberrymount
