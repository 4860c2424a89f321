#include "Transport/StreamCompressor.h"

#include "Transport/TransportError.h"

#include <zstd.h>

namespace Cranberrymount {

namespace {

/** A window of 32 KB holds about a second of the messages between a leader and one follower, and
 * keeps the memory of a link near 150 KB. */
constexpr int WindowLog = 15;
constexpr int HashLog = 13;
constexpr int CompressionLevel = 1;

} // namespace

StreamCompressor::StreamCompressor()
    : m_context(ZSTD_createCCtx())
{
    if (!m_context)
        throw TransportError("no memory for a compression stream");
    ZSTD_CCtx_setParameter(m_context, ZSTD_c_compressionLevel, CompressionLevel);
    ZSTD_CCtx_setParameter(m_context, ZSTD_c_windowLog, WindowLog);
    ZSTD_CCtx_setParameter(m_context, ZSTD_c_hashLog, HashLog);
}

StreamCompressor::~StreamCompressor()
{
    ZSTD_freeCCtx(m_context);
}

std::string StreamCompressor::compress(std::string_view bytes)
{
    std::string compressed;
    compressed.resize(ZSTD_compressBound(bytes.size()));
    ZSTD_inBuffer input{bytes.data(), bytes.size(), 0};
    ZSTD_outBuffer output{compressed.data(), compressed.size(), 0};
    while (true) {
        const std::size_t remaining =
            ZSTD_compressStream2(m_context, &output, &input, ZSTD_e_flush);
        if (ZSTD_isError(remaining))
            throw TransportError(std::string("cannot compress: ") + ZSTD_getErrorName(remaining));
        if (remaining == 0)
            break;
        compressed.resize(compressed.size() + remaining);
        output.dst = compressed.data();
        output.size = compressed.size();
    }
    compressed.resize(output.pos);
    return compressed;
}

} // namespace Cranberrymount
